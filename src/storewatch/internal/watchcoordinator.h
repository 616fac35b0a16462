#pragma once

#include <map>
#include <string>
#include <vector>

#include "storewatch/internal/seenrevisions.h"
#include "storewatch/internal/storereader.h"

namespace acaciasail::storewatch {

class KindWatcher;

/// The store's revision as a response named it, and the time of that.
struct NamedRevision
{
    kernel::Revision revision;
    kernel::Instant namedAt{};
};

/// What the watchers of one store tell each other, so that few calls show all of them whether they
/// know the store's current state. A store may charge for each call, even a refused one.
///
/// - While the store is unreachable, one watcher probes it and the others wait.
/// - Each response names the store's revision. If it includes a change that no watcher has seen,
///   those that pause between two watches end their pause; if none of them returns the change, all
///   watchers that may have missed it list again.
class WatchCoordinator
{
public:
    explicit WatchCoordinator(const kernel::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {}
    WatchCoordinator(const WatchCoordinator &) = delete;
    WatchCoordinator &operator=(const WatchCoordinator &) = delete;

    /// Adds a watcher; it must be removed before it is destroyed.
    void add(KindWatcher &watcher) { m_watchers.push_back(&watcher); }
    void remove(const KindWatcher &watcher);

    /// Makes this watcher the prober if there is none. Returns whether this watcher is the prober.
    bool tryBecomeProber(const KindWatcher &watcher);
    /// Records that the store has responded: there is no prober any more, and the waiting watchers
    /// resume.
    void onResponse();

    /// Records a change that a watcher has seen.
    void recordChange(kernel::Revision revision) { m_seenRevisions.add(revision); }
    /// Records the store's revision as a response named it. The watchers compare it with what they
    /// know once the responses that are on their way have had time to arrive.
    void recordNamedRevision(kernel::Revision revision);
    /// Records what a relay knows of each kind. A watcher that lacks a change which the relay has,
    /// and doesn't get it soon, lists again.
    void recordRelayed(const std::map<std::string, RelayedKnowledge> &relayed);
    /// Returns whether the watchers have seen all changes after the first revision, up to and
    /// including the second one.
    bool sawAllChanges(kernel::Revision after, kernel::Revision upTo) const
    {
        return m_seenRevisions.containsAll(after, upTo);
    }

private:
    void startComparison();
    void endPauses(NamedRevision named);
    void requireRevision(NamedRevision named);
    void requireRelayed(const std::map<std::string, RelayedKnowledge> &relayed);

    const kernel::Scheduler &m_scheduler;
    std::vector<KindWatcher *> m_watchers;
    const KindWatcher *m_prober = nullptr;
    SeenRevisions m_seenRevisions;
    NamedRevision m_storeRevision;
    bool m_comparisonPending = false;
    kernel::Timer m_comparisonTimer;
    bool m_relayedPending = false;
    kernel::Timer m_relayedTimer;
};

/// Time within which the response to a call that the store has answered arrives, at the latest,
/// after the response to another call that the store answered at the same time.
constexpr kernel::Duration responseSpread = std::chrono::milliseconds(100);

} // namespace acaciasail::storewatch
