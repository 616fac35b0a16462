#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// Group of a model service's upstreams that serves a request. A long prompt delays everything else
/// that its upstream serves meanwhile, and a router does not know which upstreams read long prompts
/// for other routers. Requests with long latency objectives therefore use other upstreams than
/// those with short ones.
enum class Lane {
    /// The service runs no model, or all of its routes have similar objectives.
    Any,
    /// Routes whose latency objectives are close to the service's smallest.
    ShortObjective,
    /// Routes with much longer latency objectives.
    LongObjective,
};

std::string_view toString(Lane lane);

/// Smallest latency objective among the routes of each service that runs a model.
using TightestObjectives = std::map<kernel::ServiceName, kernel::Duration>;

TightestObjectives tightestObjectives(const Configuration &configuration);

Lane laneOf(const TightestObjectives &tightest, const kernel::ServiceName &service,
            const Route &route);

/// Decaying sum of the expected work of a service's recent requests, by lane, in units of one
/// prompt token.
struct LaneWork
{
    double shortObjective = 0;
    double longObjective = 0;
    double any = 0;
    /// Number of the requests, which decays like the work.
    double requests = 0;
};

void recordWork(LaneWork &recent, Lane lane, double work);

/// Returns the mean work of a request.
double meanWork(const LaneWork &recent);

/// Returns the fraction of the upstreams that serve the lane of long objectives, 0 to 1.
double longObjectiveFraction(const LaneWork &recent);

/// Returns the upstreams that are in the lane, or all upstreams if they are too few to be divided.
/// An upstream's lane depends on its id and the fraction alone, so routers with similar traffic
/// agree.
std::vector<const Upstream *> laneUpstreams(std::vector<const Upstream *> upstreams, Lane lane,
                                            double longObjectiveFraction);

} // namespace acaciasail::forwarding
