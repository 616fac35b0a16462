#pragma once

#include <map>
#include <optional>
#include <vector>

#include "forwarding/internal/state.h"

namespace acaciasail::forwarding {

/// Returns the rate limits that registered upstreams named to this router, in requests per second,
/// by upstream process.
std::map<kernel::UpstreamId, double> namedLimits(const ForwardingState &state);

/// Sets the pace of this router's requests to an upstream according to the limit that the upstream
/// named to this router or, if it named none, the one that other routers report.
void applyLimit(ForwardingState &state, const Upstream &upstream, std::optional<double> reported);

/// Applies the limits of all upstreams.
void applyLimits(ForwardingState &state);

/// Returns the number of upstreams to which this router sends at a limited rate.
std::size_t countLimitedUpstreams(const ForwardingState &state);

/// Ends the limits that these upstream processes named to this router: they named none to another
/// router since.
void endNamedLimits(ForwardingState &state, const std::vector<kernel::UpstreamId> &processes);

/// Returns the time until an upstream of a service that is in cooldown or limited may get the
/// request of one more caller that is refused now; nothing if the service has no such upstream.
/// Each call counts as the refusal of one caller.
std::optional<kernel::Duration> reserveRetryTime(ForwardingState &state,
                                                 const kernel::ServiceName &service);

} // namespace acaciasail::forwarding
