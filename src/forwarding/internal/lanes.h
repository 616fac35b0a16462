#pragma once

#include <map>
#include <string_view>
#include <vector>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// Which of a model service's upstreams take a request. A long prompt holds up all that its
/// upstream answers meanwhile, and a daemon does not know which upstreams read long prompts for
/// others; so requests with much time use other upstreams than those with little.
enum class Lane {
    /// The service runs no model, or all of its routes have like objectives.
    Any,
    Tight,
    Patient,
};

std::string_view toString(Lane lane);

/// The smallest latency objective among the routes of each service that runs a model.
using TightestObjectives = std::map<kernel::ServiceName, kernel::Duration>;

TightestObjectives tightestObjectives(const Configuration &configuration);

Lane laneOf(const TightestObjectives &tightest, const kernel::ServiceName &service,
            const Route &route);

/// Recent work of a service's requests by lane, with decay.
struct LaneWork
{
    double tight = 0;
    double patient = 0;
    double any = 0;
    /// The number of the requests, with the same decay.
    double requests = 0;
};

void noteWork(LaneWork &recent, Lane lane, double work);

/// Mean work of a request.
double usualWork(const LaneWork &recent);

/// Part of the upstreams that patient requests use, 0 to 1.
double patientPart(const LaneWork &recent);

/// Those of the upstreams that are in the lane; all where they are too few to be divided. Which
/// lane an upstream is in follows from its id and the part alone, so daemons with like traffic
/// agree.
std::vector<const Upstream *> laneUpstreams(std::vector<const Upstream *> upstreams, Lane lane,
                                            double patientPart);

} // namespace acaciasail::forwarding
