#include "forwarding/internal/lanes.h"

#include <algorithm>

#include "forwarding/internal/routematch.h"

namespace acaciasail::forwarding {

namespace {

// A route belongs to the lane of long objectives if its objective is at least this many times the
// service's smallest.
constexpr double patientFactor = 2;
// With fewer upstreams, a router's own requests show well enough which upstreams are busy.
constexpr std::size_t minUpstreamsToDivide = 24;
constexpr std::size_t minUpstreamsInLane = 2;
// Fraction by which the recorded work decays with each request.
constexpr double workDecay = 0.01;
// Factor by which long prompts take more time per token than short ones.
constexpr double patientWorkFactor = 1.6;
constexpr double minPatientFraction = 0.1;
constexpr double maxPatientFraction = 0.9;

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
    case Lane::Tight:
        return "tight";
    case Lane::Patient:
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
            kernel::Duration &least
                = result.try_emplace(share.service, route.latencyObjective).first->second;
            least = std::min(least, route.latencyObjective);
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
    const double least = kernel::toSeconds(found->second);
    return kernel::toSeconds(route.latencyObjective) >= patientFactor * least ? Lane::Patient
                                                                              : Lane::Tight;
}

void recordWork(LaneWork &recent, Lane lane, double work)
{
    for (double *part : { &recent.tight, &recent.patient, &recent.any, &recent.requests })
        *part *= 1 - workDecay;
    ++recent.requests;
    switch (lane) {
    case Lane::Tight:
        recent.tight += work;
        break;
    case Lane::Patient:
        recent.patient += work;
        break;
    case Lane::Any:
        recent.any += work;
        break;
    }
}

double meanWork(const LaneWork &recent)
{
    const double work = recent.tight + recent.patient + recent.any;
    return recent.requests > 0 ? work / recent.requests : 0;
}

double patientFraction(const LaneWork &recent)
{
    if (recent.patient <= 0)
        return 0;
    const double patient = recent.patient * patientWorkFactor;
    return std::clamp(patient / (patient + recent.tight), minPatientFraction, maxPatientFraction);
}

std::vector<const Upstream *> laneUpstreams(std::vector<const Upstream *> upstreams, Lane lane,
                                            double patientFraction)
{
    if (lane == Lane::Any || patientFraction <= 0 || upstreams.size() < minUpstreamsToDivide)
        return upstreams;
    std::vector<const Upstream *> result;
    for (const Upstream *upstream : upstreams) {
        const bool takesPatient = hashToUnitInterval(upstream->id.str()) < patientFraction;
        if (takesPatient == (lane == Lane::Patient))
            result.push_back(upstream);
    }
    return result.size() < minUpstreamsInLane ? upstreams : result;
}

} // namespace acaciasail::forwarding
