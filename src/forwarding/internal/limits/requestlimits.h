#pragma once

#include <map>
#include <optional>
#include <vector>

#include "forwarding/internal/state.h"

namespace acaciasail::forwarding {

/// Returns the rate limits that registered upstreams named to this router, in requests per second,
/// by upstream process.
std::map<kernel::UpstreamId, double> namedLimits(const ForwardingState &state);

/// Records that the upstream's process may be cold for this time from now. Has no effect if the
/// service has no limit for cold upstreams.
void recordColdUpstream(ForwardingState &state, const Upstream &upstream, kernel::Duration time);
/// Records the cold time that a registration states, unless the same one was recorded before.
void recordRegisteredCold(ForwardingState &state, const Upstream &upstream);
/// Records that the upstream, which was unreachable, can be reached again. If it was unreachable
/// for long enough to have restarted, it counts as cold for the service's cold time.
void recordColdReturn(ForwardingState &state, const Upstream &upstream);
/// Records that a data centre is no longer evacuated. Its upstreams may have become cold meanwhile,
/// so they count as cold for the service's cold time.
void recordColdDataCentre(ForwardingState &state, const kernel::DataCentreId &dataCentre);

/// Sets the pace of this router's requests to an upstream according to the limit that the upstream
/// named to this router or, if it named none, the one that other routers report. While the upstream
/// is cold, its service's limit for cold upstreams holds as well.
void applyLimit(ForwardingState &state, const Upstream &upstream, std::optional<double> reported);

/// Applies the limits of all upstreams.
void applyLimits(ForwardingState &state);

/// Returns the number of upstreams to which this router sends at a limited rate.
std::size_t countLimitedUpstreams(const ForwardingState &state);
/// Returns the number of upstreams that may be cold.
std::size_t countColdUpstreams(const ForwardingState &state);

/// Ends the limits that these upstream processes named to this router: they named none to another
/// router since.
void endNamedLimits(ForwardingState &state, const std::vector<kernel::UpstreamId> &processes);

/// Returns the time until an upstream of a service that is in cooldown or limited may get the
/// request of one more caller that is refused now; nothing if the service has no such upstream.
/// Each call counts as the refusal of one caller.
std::optional<kernel::Duration> reserveRetryTime(ForwardingState &state,
                                                 const kernel::ServiceName &service);

} // namespace acaciasail::forwarding
