#pragma once

#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::upstreams {

/// This router's attempts in flight at one upstream.
struct UpstreamInFlight
{
    int attempts = 0;
    /// Attempts whose request is suspected of crashing upstreams.
    int suspectAttempts = 0;
};

/// This router's attempts in flight at all upstreams.
struct InFlightTable
{
    std::unordered_map<kernel::UpstreamId, UpstreamInFlight> upstreams;
    int totalAttempts = 0;
};

void addAttempt(InFlightTable &table, const kernel::UpstreamId &upstream, bool suspect);
void removeAttempt(InFlightTable &table, const kernel::UpstreamId &upstream, bool suspect);

/// Returns the upstreams that run a suspected request.
std::vector<kernel::UpstreamId> upstreamsWithSuspects(const InFlightTable &table);
/// Returns the upstreams that run any request of this router.
std::vector<kernel::UpstreamId> busyUpstreams(const InFlightTable &table);

} // namespace acaciasail::upstreams
