#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "storewatch/internal/seenpositions.h"
#include "storewatch/internal/storereader.h"

namespace acaciasail::storewatch {

class KindWatcher;

/// The store's position as a response named it, and the time of that.
struct NamedPosition
{
    kernel::StorePosition position;
    kernel::Instant namedAt{};
};

/// What the watchers of one store tell each other, so that few calls show all of them whether they
/// know the store's current state. A store may charge for each call, even a refused one.
///
/// - While the store is unreachable, one watcher probes it and the others wait.
/// - Each response names the store's position. If it includes a change that no watcher has seen,
///   those that pause between two watches end their pause; if none of them returns the change, all
///   watchers that may have missed it list again.
/// - A response of a later epoch shows that the store was restored from an older copy. Positions of
///   the earlier epoch mean nothing to it any more, so all watchers list again.
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
    const std::vector<KindWatcher *> &watchers() const { return m_watchers; }

    /// Makes this watcher the prober if there is none. Returns whether this watcher is the prober.
    bool tryBecomeProber(const KindWatcher &watcher);
    /// Records that the store has responded: there is no prober any more, and the waiting watchers
    /// resume.
    void onResponse();

    /// Records the epoch that a response names. Returns false if a later one is known already: the
    /// response is from before the store was restored, and nothing of it may be used.
    bool recordEpoch(kernel::Epoch epoch);
    /// Returns the latest epoch that a response named.
    kernel::Epoch epoch() const { return m_epoch; }
    /// Returns how often the store was restored since the first list.
    std::uint64_t restorations() const { return m_restorations; }

    /// Records a change that a watcher has seen.
    void recordChange(kernel::StorePosition position) { m_seenPositions.add(position); }
    /// Records the store's position as a response named it. The watchers compare it with what they
    /// know once the responses that are on their way have had time to arrive.
    void recordNamedPosition(kernel::StorePosition position);
    /// Records what a relay knows of each kind. A watcher that lacks a change which the relay has,
    /// and doesn't get it soon, lists again.
    void recordRelayed(const std::map<std::string, RelayedKnowledge> &relayed);
    /// Returns whether the watchers have seen all changes after the first position, up to and
    /// including the second one.
    bool sawAllChanges(kernel::StorePosition after, kernel::StorePosition upTo) const
    {
        return m_seenPositions.containsAll(after, upTo);
    }

private:
    void startComparison();
    void endPauses(NamedPosition named);
    void requirePosition(NamedPosition named);
    void requireRelayed(const std::map<std::string, RelayedKnowledge> &relayed);

    const kernel::Scheduler &m_scheduler;
    std::vector<KindWatcher *> m_watchers;
    const KindWatcher *m_prober = nullptr;
    SeenPositions m_seenPositions;
    kernel::Epoch m_epoch;
    std::uint64_t m_restorations = 0;
    kernel::Timer m_restoredTimer;
    NamedPosition m_storePosition;
    bool m_comparisonPending = false;
    kernel::Timer m_comparisonTimer;
    bool m_relayedPending = false;
    kernel::Timer m_relayedTimer;
};

/// Time within which the response to a call that the store has answered arrives, at the latest,
/// after the response to another call that the store answered at the same time.
constexpr kernel::Duration responseSpread = std::chrono::milliseconds(100);

} // namespace acaciasail::storewatch
