#include "upstreams/internal/inflight.h"

namespace acaciasail::upstreams {

void addAttempt(InFlightTable &table, const kernel::UpstreamId &upstream, bool suspect)
{
    auto &entry = table.upstreams[upstream];
    ++entry.attempts;
    entry.suspectAttempts += suspect ? 1 : 0;
    ++table.totalAttempts;
}

void removeAttempt(InFlightTable &table, const kernel::UpstreamId &upstream, bool suspect)
{
    const auto found = table.upstreams.find(upstream);
    if (found == table.upstreams.end())
        return;
    --found->second.attempts;
    found->second.suspectAttempts -= suspect ? 1 : 0;
    --table.totalAttempts;
    if (found->second.attempts == 0)
        table.upstreams.erase(found);
}

std::vector<kernel::UpstreamId> upstreamsWithSuspects(const InFlightTable &table)
{
    std::vector<kernel::UpstreamId> upstreams;
    for (const auto &[upstream, entry] : table.upstreams) {
        if (entry.suspectAttempts > 0)
            upstreams.push_back(upstream);
    }
    return upstreams;
}

std::vector<kernel::UpstreamId> busyUpstreams(const InFlightTable &table)
{
    std::vector<kernel::UpstreamId> upstreams;
    upstreams.reserve(table.upstreams.size());
    for (const auto &[upstream, entry] : table.upstreams)
        upstreams.push_back(upstream);
    return upstreams;
}

} // namespace acaciasail::upstreams
