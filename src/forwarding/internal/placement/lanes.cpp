#include "forwarding/internal/placement/lanes.h"

#include <algorithm>

#include "forwarding/internal/request/routematch.h"

namespace acaciasail::forwarding {

namespace {

// A route belongs to the lane of long objectives if its objective is at least this many times the
// service's smallest.
constexpr double longObjectiveFactor = 2;
// With fewer upstreams, a router's own requests show well enough which upstreams are busy.
constexpr std::size_t minUpstreamsToDivide = 24;
constexpr std::size_t minUpstreamsInLane = 2;
// Fraction by which the recorded work decays with each request.
constexpr double workDecay = 0.01;
// Requests with long objectives usually have long prompts, which take this many times as long per
// token as short ones.
constexpr double longObjectiveWorkFactor = 1.6;
constexpr double minLongObjectiveFraction = 0.1;
constexpr double maxLongObjectiveFraction = 0.9;

bool runsModel(const Configuration &configuration, const kernel::ServiceName &service)
{
    const auto found = configuration.services.find(service);
    return found != configuration.services.end() && found->second.memoryTokens > 0;
}

} // namespace

std::string_view toString(Lane lane)
{
    switch (lane) {
    case Lane::Any:
        return "any";
    case Lane::ShortObjective:
        return "tight";
    case Lane::LongObjective:
        break;
    }
    return "patient";
}

TightestObjectives tightestObjectives(const Configuration &configuration)
{
    TightestObjectives result;
    for (const Route &route : configuration.routes) {
        for (const ServiceShare &share : route.services) {
            if (!runsModel(configuration, share.service))
                continue;
            kernel::Duration &smallest
                = result.try_emplace(share.service, route.latencyObjective).first->second;
            smallest = std::min(smallest, route.latencyObjective);
        }
    }
    return result;
}

Lane laneOf(const TightestObjectives &tightest, const kernel::ServiceName &service,
            const Route &route)
{
    const auto found = tightest.find(service);
    if (found == tightest.end())
        return Lane::Any;
    const double smallest = kernel::toSeconds(found->second);
    return kernel::toSeconds(route.latencyObjective) >= longObjectiveFactor * smallest
               ? Lane::LongObjective
               : Lane::ShortObjective;
}

void recordWork(LaneWork &recent, Lane lane, double work)
{
    for (double *part :
         { &recent.shortObjective, &recent.longObjective, &recent.any, &recent.requests })
        *part *= 1 - workDecay;
    ++recent.requests;
    switch (lane) {
    case Lane::ShortObjective:
        recent.shortObjective += work;
        break;
    case Lane::LongObjective:
        recent.longObjective += work;
        break;
    case Lane::Any:
        recent.any += work;
        break;
    }
}

double meanWork(const LaneWork &recent)
{
    const double work = recent.shortObjective + recent.longObjective + recent.any;
    return recent.requests > 0 ? work / recent.requests : 0;
}

double longObjectiveFraction(const LaneWork &recent)
{
    if (recent.longObjective <= 0)
        return 0;
    const double longObjective = recent.longObjective * longObjectiveWorkFactor;
    return std::clamp(longObjective / (longObjective + recent.shortObjective),
                      minLongObjectiveFraction, maxLongObjectiveFraction);
}

std::vector<const Upstream *> laneUpstreams(std::vector<const Upstream *> upstreams, Lane lane,
                                            double longObjectiveFraction)
{
    if (lane == Lane::Any || longObjectiveFraction <= 0 || upstreams.size() < minUpstreamsToDivide)
        return upstreams;
    std::vector<const Upstream *> result;
    for (const Upstream *upstream : upstreams) {
        const bool servesLongObjectives
            = hashToUnitInterval(upstream->id.str()) < longObjectiveFraction;
        if (servesLongObjectives == (lane == Lane::LongObjective))
            result.push_back(upstream);
    }
    return result.size() < minUpstreamsInLane ? upstreams : result;
}

} // namespace acaciasail::forwarding
