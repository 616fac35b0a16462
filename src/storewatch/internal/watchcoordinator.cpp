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

bool WatchCoordinator::recordEpoch(kernel::Epoch epoch)
{
    if (epoch <= m_epoch)
        return epoch == m_epoch;
    const kernel::Epoch before = std::exchange(m_epoch, epoch);
    const bool restored = std::ranges::any_of(
        m_watchers, [](const KindWatcher *watcher) { return watcher->mirror().isListed(); });
    if (restored) {
        ++m_restorations;
        kernel::logEvent(kernel::EventId::StoreRestored,
                         { { "epoch_before", before }, { "epoch", epoch } });
    }
    // The response that named the epoch is still being handled.
    m_restoredTimer = kernel::Timer(m_scheduler, kernel::Duration::zero(), [this] {
        for (KindWatcher *watcher : m_watchers)
            watcher->requireEpoch(m_epoch);
    });
    return true;
}

void WatchCoordinator::recordNamedPosition(kernel::StorePosition position)
{
    m_storePosition = { std::max(m_storePosition.position, position), m_scheduler.now() };
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
                                      [this, named = m_storePosition] { endPauses(named); });
}

// A change may be unseen because the watcher of its kind pauses between two watches.
void WatchCoordinator::endPauses(NamedPosition named)
{
    bool pauseEnded = false;
    for (KindWatcher *watcher : m_watchers)
        pauseEnded = watcher->endPauseIfBehind(named) || pauseEnded;
    if (pauseEnded)
        m_comparisonTimer
            = kernel::Timer(m_scheduler, responseSpread, [this, named] { requirePosition(named); });
    else
        requirePosition(named);
}

void WatchCoordinator::requirePosition(NamedPosition named)
{
    m_comparisonPending = false;
    kernel::StorePosition knownByAll = named.position;
    for (KindWatcher *watcher : m_watchers) {
        watcher->requirePosition(named);
        knownByAll = std::min(knownByAll, watcher->position());
    }
    m_seenPositions.forgetUpTo(knownByAll);
    if (m_storePosition.namedAt > named.namedAt)
        startComparison();
}

} // namespace acaciasail::storewatch
