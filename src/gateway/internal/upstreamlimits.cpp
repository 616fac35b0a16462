#include "gateway/internal/upstreamlimits.h"

#include <map>
#include <set>

namespace acaciasail::gateway {

namespace {

admission::RunOutcome outcomeOf(const upstreams::AttemptReport &report)
{
    switch (report.code) {
    case kernel::ResultCode::Ok:
        return admission::RunOutcome::Succeeded;
    case kernel::ResultCode::UpstreamOverloaded:
    case kernel::ResultCode::UpstreamTimeout:
        return admission::RunOutcome::Overloaded;
    default:
        return admission::RunOutcome::Ignored;
    }
}

// Returns the upstreams of each pool. An upstream may belong to several pools.
std::map<admission::PoolId, std::set<kernel::UpstreamId>> poolsOf(const table::Snapshot &snapshot)
{
    std::map<admission::PoolId, std::set<kernel::UpstreamId>> pools;
    for (const auto &[id, upstream] : snapshot.upstreams) {
        if (upstream.state == table::UpstreamState::Leaving)
            continue;
        for (const kernel::VersionId &version : upstream.versions) {
            const auto row = snapshot.versions.find(version);
            if (row != snapshot.versions.end())
                pools[poolOf(row->second.model)].insert(id);
        }
        for (const kernel::ServiceName &service : upstream.services)
            pools[poolOf(service)].insert(id);
    }
    return pools;
}

} // namespace

admission::PoolId poolOf(const kernel::ModelId &model)
{
    return admission::PoolId("model:" + model.str());
}

admission::PoolId poolOf(const kernel::ServiceName &service)
{
    return admission::PoolId("service:" + service.str());
}

void UpstreamLimits::recordStart(const kernel::UpstreamId &upstream, kernel::Instant now)
{
    admission::recordRunStart(m_limits[upstream], now);
}

void UpstreamLimits::recordEnd(const upstreams::AttemptReport &report, kernel::Instant now)
{
    const kernel::Duration latency = report.timeToFirstToken.value_or(report.total);
    admission::recordRunEnd(m_limits[report.upstream], m_config, latency, outcomeOf(report), now);
}

std::int64_t UpstreamLimits::limitOf(const kernel::UpstreamId &upstream) const
{
    const auto limit = m_limits.find(upstream);
    return admission::limitOf(
        limit == m_limits.end() ? admission::ConcurrencyLimit{} : limit->second, m_config);
}

std::vector<kernel::UpstreamId>
UpstreamLimits::fullUpstreams(const std::vector<kernel::UpstreamId> &upstreams) const
{
    std::vector<kernel::UpstreamId> full;
    for (const kernel::UpstreamId &upstream : upstreams) {
        const auto limit = m_limits.find(upstream);
        if (limit != m_limits.end() && limit->second.running >= limitOf(upstream))
            full.push_back(upstream);
    }
    return full;
}

void UpstreamLimits::setCapacities(const table::Snapshot &snapshot, Admitter &admitter) const
{
    for (const auto &[pool, upstreams] : poolsOf(snapshot)) {
        std::int64_t capacity = 0;
        for (const kernel::UpstreamId &upstream : upstreams)
            capacity += limitOf(upstream);
        admitter.setCapacity(pool, capacity);
    }
}

void UpstreamLimits::removeMissing(const table::Snapshot &snapshot)
{
    std::erase_if(m_limits, [&](const auto &entry) {
        return entry.second.running == 0 && !snapshot.upstreams.contains(entry.first);
    });
}

} // namespace acaciasail::gateway
