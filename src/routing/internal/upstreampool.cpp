#include "routing/internal/upstreampool.h"

#include <algorithm>

namespace acaciasail::routing {

namespace {

/// An upstream is ejected after this number of consecutive failures, or above this failure rate.
constexpr int consecutiveFailuresToEject = 5;
constexpr double failureRateToEject = 0.5;
/// Weight of a new outcome in the moving average of the failure rate.
constexpr double failureEwmaWeight = 0.1;
/// Weight of a new value in the moving averages of the time per token.
constexpr double tokenTimeEwmaWeight = 0.1;
/// Duration of the first ejection. The duration doubles with each consecutive ejection.
constexpr kernel::Duration baseEjectionTime = std::chrono::seconds(10);
constexpr int maxEjectionDoublings = 4;

UpstreamLoad *find(UpstreamPool &pool, const kernel::UpstreamId &upstream)
{
    const auto found = pool.upstreams.find(upstream);
    return found == pool.upstreams.end() ? nullptr : &found->second;
}

bool ejectionAllowed(const UpstreamPool &pool, kernel::Instant now)
{
    std::size_t present = 0;
    std::size_t ejected = 0;
    for (const auto &[id, load] : pool.upstreams) {
        if (load.leaving)
            continue;
        ++present;
        ejected += load.ejected && now < load.ejectedUntil ? 1 : 0;
    }
    return static_cast<double>(ejected + 1) <= maxEjectedFraction * static_cast<double>(present);
}

UpstreamChange recordFailure(UpstreamPool &pool, UpstreamLoad &load, kernel::Instant now)
{
    load.consecutiveFailures += 1;
    load.failureRate += failureEwmaWeight * (1 - load.failureRate);
    const bool shouldEject = load.consecutiveFailures >= consecutiveFailuresToEject
                             || load.failureRate > failureRateToEject;
    const bool isEjected = load.ejected && now < load.ejectedUntil;
    if (!shouldEject || isEjected || load.leaving)
        return UpstreamChange::None;
    if (!ejectionAllowed(pool, now))
        return UpstreamChange::EjectionCapped;
    load.ejected = true;
    load.ejectedUntil
        = now + baseEjectionTime * (1 << std::min(load.ejections, maxEjectionDoublings));
    load.ejections += 1;
    // After the ejection the upstream gets a slow start, and a single failure ejects it again.
    load.slowStartSince = load.ejectedUntil;
    load.consecutiveFailures = consecutiveFailuresToEject - 1;
    load.failureRate = 0;
    return UpstreamChange::Ejected;
}

UpstreamChange recordSuccess(UpstreamPool &pool, UpstreamLoad &load, const AttemptFacts &attempt,
                             kernel::Instant now)
{
    load.consecutiveFailures = 0;
    load.failureRate -= failureEwmaWeight * load.failureRate;
    if (attempt.tokens.count() > 0) {
        const double seconds = kernel::toSeconds(attempt.tokensDuration)
                               / static_cast<double>(attempt.tokens.count());
        const auto updateAverage = [&](double &mean) {
            mean += mean == 0 ? seconds : tokenTimeEwmaWeight * (seconds - mean);
        };
        updateAverage(load.tokenSeconds);
        updateAverage(pool.tokenSeconds);
    }
    // A response to a request that was sent before the ejection doesn't end the ejection.
    if (!load.ejected || now < load.ejectedUntil)
        return UpstreamChange::None;
    load.ejected = false;
    load.ejections = 0;
    return UpstreamChange::Returned;
}

void addHolder(PrefixHints &hints, PrefixHash prefix, const kernel::UpstreamId &upstream)
{
    const auto [entry, isNew] = hints.holders.try_emplace(prefix);
    if (isNew) {
        hints.order.push_back(prefix);
        if (hints.order.size() > maxPrefixHints) {
            hints.holders.erase(hints.order.front());
            hints.order.pop_front();
        }
    }
    PrefixHolders &holders = entry->second;
    if (std::ranges::find(holders.upstreams, upstream) != holders.upstreams.end())
        return;
    holders.upstreams.at(holders.next) = upstream;
    holders.next = (holders.next + 1) % PrefixHolders::maxUpstreams;
}

void indexCandidates(UpstreamPool &pool, const table::Snapshot &snapshot)
{
    pool.upstreamsByVersion.clear();
    pool.upstreamsByService.clear();
    for (const auto &[id, load] : pool.upstreams) {
        const table::UpstreamRow &row = snapshot.upstreams.at(id);
        for (const kernel::VersionId &version : row.versions)
            pool.upstreamsByVersion[version].push_back(id);
        for (const kernel::ServiceName &service : row.services)
            pool.upstreamsByService[service].push_back(id);
    }
    for (auto &[version, ids] : pool.upstreamsByVersion)
        std::ranges::sort(ids);
    for (auto &[service, ids] : pool.upstreamsByService)
        std::ranges::sort(ids);
}

} // namespace

void syncUpstreams(UpstreamPool &pool, const table::Snapshot &snapshot,
                   std::span<const kernel::UpstreamId> upstreams, kernel::Instant now)
{
    std::unordered_map<kernel::UpstreamId, UpstreamLoad> next;
    // Only an upstream that joins a running pool gets a slow start. In a newly started router all
    // upstreams are equally new.
    const bool isNewPool = pool.upstreams.empty();
    for (const kernel::UpstreamId &id : upstreams) {
        const auto row = snapshot.upstreams.find(id);
        if (row == snapshot.upstreams.end())
            continue;
        const auto existing = pool.upstreams.find(id);
        UpstreamLoad load;
        if (existing != pool.upstreams.end())
            load = std::move(existing->second);
        else
            load.slowStartSince = isNewPool ? now - slowStartTime : now;
        load.dataCentre = row->second.dataCentre;
        load.leaving = load.leaving || row->second.state == table::UpstreamState::Leaving;
        next.emplace(id, std::move(load));
    }
    pool.upstreams = std::move(next);
    indexCandidates(pool, snapshot);
}

void recordStart(UpstreamPool &pool, const kernel::UpstreamId &upstream,
                 std::span<const PrefixHash> prefixes, kernel::Instant now)
{
    static_cast<void>(now);
    UpstreamLoad *load = find(pool, upstream);
    if (load == nullptr)
        return;
    load->ownInFlight += 1;
    for (const PrefixHash prefix : prefixes)
        addHolder(pool.prefixes, prefix, upstream);
}

void recordFirstToken(UpstreamPool &pool, const kernel::UpstreamId &upstream)
{
    if (UpstreamLoad *load = find(pool, upstream); load != nullptr)
        load->consecutiveFailures = 0;
}

std::string_view toString(UpstreamChange change)
{
    switch (change) {
    case UpstreamChange::None:
        return "none";
    case UpstreamChange::Ejected:
        return "ejected";
    case UpstreamChange::Returned:
        return "returned";
    case UpstreamChange::EjectionCapped:
        return "ejection_capped";
    case UpstreamChange::Leaving:
        break;
    }
    return "leaving";
}

UpstreamChange recordEnd(UpstreamPool &pool, const kernel::UpstreamId &upstream,
                         const AttemptFacts &attempt, kernel::Instant now)
{
    UpstreamLoad *load = find(pool, upstream);
    if (load == nullptr)
        return UpstreamChange::None;
    load->ownInFlight = std::max<std::int64_t>(load->ownInFlight - 1, 0);
    if (attempt.end == AttemptEnd::Failed)
        return recordFailure(pool, *load, now);
    if (attempt.end == AttemptEnd::Ok)
        return recordSuccess(pool, *load, attempt, now);
    return UpstreamChange::None;
}

void recordLoad(UpstreamPool &pool, const kernel::UpstreamId &upstream, const LoadReport &report,
                kernel::Instant now)
{
    UpstreamLoad *load = find(pool, upstream);
    const kernel::Instant measuredAt = now - report.age;
    if (load == nullptr || measuredAt < load->reportedAt)
        return;
    load->reportedAt = measuredAt;
    load->slots = report.slots;
    load->othersInFlight
        = std::max<std::int64_t>(report.running + report.queued - load->ownInFlight, 0);
}

void recordCacheEvent(UpstreamPool &pool, const kernel::UpstreamId &upstream,
                      const CacheEvent &event)
{
    if (!event.evicted) {
        addHolder(pool.prefixes, event.prefix, upstream);
        return;
    }
    const auto holders = pool.prefixes.holders.find(event.prefix);
    if (holders != pool.prefixes.holders.end())
        std::ranges::replace(holders->second.upstreams, upstream, kernel::UpstreamId());
}

UpstreamChange recordLeaving(UpstreamPool &pool, const kernel::UpstreamId &upstream)
{
    UpstreamLoad *load = find(pool, upstream);
    if (load == nullptr || load->leaving)
        return UpstreamChange::None;
    load->leaving = true;
    return UpstreamChange::Leaving;
}

} // namespace acaciasail::routing
