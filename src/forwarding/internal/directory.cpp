#include "forwarding/internal/directory.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciasail::forwarding {

namespace {

// Fraction of the known registrations that a list must contain to show that the registrations did
// not all expire in a store outage.
constexpr double minRegisteredFraction = 0.75;

// All registrations expire together while the store is unreachable for everyone. If nearly all of
// them still exist, the store was unreachable for this router alone, and the missing upstreams have
// really gone, so the grace period ends at once.
void endGraceIfStillRegistered(Directory &directory, const std::set<kernel::UpstreamId> &listed,
                               kernel::Instant now)
{
    const auto stillRegisteredCount = std::ranges::count_if(
        directory.upstreams, [&](const auto &item) { return listed.contains(item.first); });
    if (static_cast<double>(stillRegisteredCount)
        < minRegisteredFraction * static_cast<double>(directory.upstreams.size()))
        return;
    directory.storeReachableSince = now - registrationGracePeriod;
    for (auto &[id, known] : directory.upstreams) {
        if (known.removalDueAt)
            known.removalDueAt = now;
    }
}

void addRejected(std::set<SoftwareVersion> &rejected, const Rollout &rollout)
{
    if (rollout.state == RolloutState::RolledBack)
        rejected.insert(rollout.target);
}

bool isFinal(RolloutState state)
{
    return state == RolloutState::Completed || state == RolloutState::RolledBack;
}

std::vector<RolloutDoubt> joinDoubts(std::vector<RolloutDoubt> doubts,
                                     const std::vector<RolloutDoubt> &others)
{
    for (const RolloutDoubt &other : others) {
        const auto own = std::ranges::find(doubts, other.vm, &RolloutDoubt::vm);
        if (own == doubts.end())
            doubts.push_back(other);
        else if (own->badResponses < other.badResponses)
            *own = other;
    }
    return doubts;
}

// Keeps what is known of the progress of the same order, where the stored progress lies behind. A
// final state in the store stands, as the platform acts on it.
void keepProgress(Rollout &rollout, const Rollout &known)
{
    if (isFinal(rollout.state))
        return;
    const Rollout stored = rollout;
    rollout.state = std::max(rollout.state, known.state);
    rollout.sharePermille = isFinal(known.state)
                                ? known.sharePermille
                                : std::max(rollout.sharePermille, known.sharePermille);
    if (known.startedAt)
        rollout.startedAt = known.startedAt;
    rollout.doubts = joinDoubts(std::move(rollout.doubts), known.doubts);
    rollout.progressLost
        = rollout.state != stored.state || rollout.sharePermille != stored.sharePermille
          || rollout.startedAt != stored.startedAt || rollout.doubts != stored.doubts;
}

} // namespace

std::string_view toString(DirectoryChange change)
{
    switch (change) {
    case DirectoryChange::None:
        return "none";
    case DirectoryChange::Added:
        return "added";
    case DirectoryChange::Changed:
        return "changed";
    case DirectoryChange::Removed:
        return "removed";
    case DirectoryChange::RemovalDeferred:
        return "removal_deferred";
    case DirectoryChange::Stale:
        break;
    }
    return "stale";
}

DirectoryChange putConfiguration(Directory &directory,
                                 std::shared_ptr<const Configuration> configuration,
                                 kernel::Revision revision, kernel::Instant now)
{
    const Configuration *known = directory.configuration.get();
    if (known != nullptr && configuration->number <= known->number)
        return configuration->number == known->number ? DirectoryChange::None
                                                      : DirectoryChange::Stale;
    directory.configuration = std::move(configuration);
    directory.configurationRevision = revision;
    directory.configuredAt = now;
    return known == nullptr ? DirectoryChange::Added : DirectoryChange::Changed;
}

DirectoryChange putUpstream(Directory &directory, const Upstream &upstream)
{
    const auto [at, added] = directory.upstreams.try_emplace(upstream.id);
    const bool isSame = !added && at->second.entry == upstream && !at->second.removalDueAt;
    at->second = { upstream, std::nullopt };
    if (isSame)
        return DirectoryChange::None;
    return added ? DirectoryChange::Added : DirectoryChange::Changed;
}

DirectoryChange removeUpstream(Directory &directory, const kernel::UpstreamId &id,
                               kernel::Instant now)
{
    const auto found = directory.upstreams.find(id);
    if (found == directory.upstreams.end())
        return DirectoryChange::None;
    const kernel::Instant graceEnd = directory.storeReachableSince + registrationGracePeriod;
    // A draining upstream announced its departure, so its removal is final.
    if ((!directory.storeUnreachable && now >= graceEnd) || found->second.entry.draining) {
        directory.upstreams.erase(found);
        return DirectoryChange::Removed;
    }
    if (!found->second.removalDueAt) {
        found->second.removalDueAt = directory.storeUnreachable ? kernel::Instant::max() : graceEnd;
    }
    return DirectoryChange::RemovalDeferred;
}

std::vector<ListedChange>
replaceUpstreams(Directory &directory, const std::vector<Upstream> &upstreams, kernel::Instant now)
{
    std::vector<ListedChange> changes;
    const auto record = [&changes](const kernel::UpstreamId &id, DirectoryChange change) {
        if (change != DirectoryChange::None)
            changes.push_back({ id, change });
    };
    std::set<kernel::UpstreamId> listed;
    for (const Upstream &upstream : upstreams)
        listed.insert(upstream.id);
    endGraceIfStillRegistered(directory, listed, now);
    for (const Upstream &upstream : upstreams)
        record(upstream.id, putUpstream(directory, upstream));
    std::vector<kernel::UpstreamId> gone;
    for (const auto &[id, known] : directory.upstreams) {
        if (!listed.contains(id))
            gone.push_back(id);
    }
    for (const kernel::UpstreamId &id : gone)
        record(id, removeUpstream(directory, id, now));
    directory.upstreamsKnown = true;
    return changes;
}

std::vector<kernel::UpstreamId> removeExpired(Directory &directory, kernel::Instant now)
{
    std::vector<kernel::UpstreamId> gone;
    for (const auto &[id, known] : directory.upstreams) {
        if (known.removalDueAt && *known.removalDueAt <= now)
            gone.push_back(id);
    }
    for (const kernel::UpstreamId &id : gone)
        directory.upstreams.erase(id);
    return gone;
}

DirectoryChange putRollout(Directory &directory, const Rollout &rollout)
{
    const auto known = directory.rollouts.find(rollout.service);
    const bool isKnown = known != directory.rollouts.end();
    if (isKnown && rollout.position <= known->second.position)
        return DirectoryChange::Stale;
    Rollout next = rollout;
    std::set<SoftwareVersion> &rejected = directory.rejectedVersions[rollout.service];
    if (isKnown) {
        const bool mayBeBehind
            = known->second.position.epoch < rollout.position.epoch || known->second.progressLost;
        if (mayBeBehind && known->second.target == rollout.target)
            keepProgress(next, known->second);
        addRejected(rejected, known->second);
    }
    rejected.insert(rollout.rejectedVersions.begin(), rollout.rejectedVersions.end());
    rejected.erase(rollout.target);
    next.rejectedVersions = rejected;
    directory.rollouts.insert_or_assign(rollout.service, std::move(next));
    return isKnown ? DirectoryChange::Changed : DirectoryChange::Added;
}

void removeRollout(Directory &directory, const kernel::ServiceName &service)
{
    const auto known = directory.rollouts.find(service);
    if (known == directory.rollouts.end())
        return;
    addRejected(directory.rejectedVersions[service], known->second);
    directory.rollouts.erase(known);
}

std::set<kernel::DataCentreId> replaceEvacuated(Directory &directory,
                                                std::set<kernel::DataCentreId> evacuated)
{
    std::set<kernel::DataCentreId> ended;
    std::ranges::set_difference(directory.evacuated, evacuated, std::inserter(ended, ended.end()));
    directory.evacuated = std::move(evacuated);
    directory.evacuationsKnown = true;
    return ended;
}

bool markStoreUnreachable(Directory &directory)
{
    return !std::exchange(directory.storeUnreachable, true);
}

bool markStoreReachable(Directory &directory, kernel::Instant now)
{
    if (!directory.storeUnreachable)
        return false;
    directory.storeUnreachable = false;
    directory.storeReachableSince = now;
    for (auto &[id, known] : directory.upstreams) {
        if (known.removalDueAt)
            known.removalDueAt = now + registrationGracePeriod;
    }
    return true;
}

bool canServe(const Directory &directory)
{
    return directory.configuration != nullptr && directory.upstreamsKnown
           && directory.evacuationsKnown;
}

} // namespace acaciasail::forwarding
