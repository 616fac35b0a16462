#include "storewatch/internal/watchcoordinator.h"

#include <algorithm>
#include <utility>

#include "storewatch/internal/kindwatcher.h"

namespace acaciasail::storewatch {

void WatchCoordinator::remove(const KindWatcher &watcher)
{
    std::erase(m_watchers, &watcher);
    if (m_prober == &watcher)
        m_prober = nullptr;
}

bool WatchCoordinator::tryBecomeProber(const KindWatcher &watcher)
{
    if (m_prober == nullptr)
        m_prober = &watcher;
    return m_prober == &watcher;
}

void WatchCoordinator::onResponse()
{
    m_prober = nullptr;
    for (KindWatcher *watcher : m_watchers)
        watcher->resumeAfterProbe();
}

void WatchCoordinator::recordNamedRevision(kernel::Revision revision)
{
    m_storeRevision = { std::max(m_storeRevision.revision, revision), m_scheduler.now() };
    if (!m_comparisonPending)
        startComparison();
}

void WatchCoordinator::recordRelayed(const std::map<std::string, RelayedKnowledge> &relayed)
{
    bool complete = true;
    for (KindWatcher *watcher : m_watchers) {
        const auto found = relayed.find(watcher->kind());
        complete = (found == relayed.end() || watcher->confirm(found->second)) && complete;
    }
    if (complete || m_relayedPending)
        return;
    m_relayedPending = true;
    // The relay's answers to the other watches may still be on their way.
    m_relayedTimer = kernel::Timer(m_scheduler, 2 * responseSpread,
                                   [this, relayed] { requireRelayed(relayed); });
}

void WatchCoordinator::requireRelayed(const std::map<std::string, RelayedKnowledge> &relayed)
{
    m_relayedPending = false;
    for (KindWatcher *watcher : m_watchers) {
        const auto found = relayed.find(watcher->kind());
        if (found != relayed.end())
            watcher->requireRelayed(found->second);
    }
}

void WatchCoordinator::startComparison()
{
    m_comparisonPending = true;
    m_comparisonTimer = kernel::Timer(m_scheduler, responseSpread,
                                      [this, named = m_storeRevision] { endPauses(named); });
}

// A change may be unseen because the watcher of its kind pauses between two watches.
void WatchCoordinator::endPauses(NamedRevision named)
{
    bool pauseEnded = false;
    for (KindWatcher *watcher : m_watchers)
        pauseEnded = watcher->endPauseIfBehind(named) || pauseEnded;
    if (pauseEnded)
        m_comparisonTimer
            = kernel::Timer(m_scheduler, responseSpread, [this, named] { requireRevision(named); });
    else
        requireRevision(named);
}

void WatchCoordinator::requireRevision(NamedRevision named)
{
    m_comparisonPending = false;
    kernel::Revision knownByAll = named.revision;
    for (KindWatcher *watcher : m_watchers) {
        watcher->requireRevision(named);
        knownByAll = std::min(knownByAll, watcher->revision());
    }
    m_seenRevisions.forgetUpTo(knownByAll);
    if (m_storeRevision.namedAt > named.namedAt)
        startComparison();
}

} // namespace acaciasail::storewatch
