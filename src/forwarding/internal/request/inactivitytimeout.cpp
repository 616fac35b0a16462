#include "forwarding/internal/request/inactivitytimeout.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::forwarding {

namespace {

constexpr double meanWeight = 0.1;
constexpr double deviationWeight = 0.1;
// Number of mean deviations above the mean from which an upstream that sends nothing counts as
// silent.
constexpr double timeoutDeviations = 8;
constexpr int minSamples = 10;

// Bounds of the inactivity timeout: before the first byte as multiples of the route's latency
// objective, afterwards as multiples of the route's longest pause that is still on time.
constexpr double minTimeoutObjectives = 0.35;
constexpr double maxTimeoutObjectives = 2.5;
constexpr double minTimeoutPauses = 1.0;
constexpr double maxTimeoutPauses = 3;

} // namespace

void recordTime(LatencyEstimate &estimate, kernel::Duration took)
{
    const double seconds = kernel::toSeconds(took);
    if (estimate.samples++ == 0) {
        estimate.meanSeconds = seconds;
        estimate.meanDeviationSeconds = seconds / 2;
        return;
    }
    const double difference = seconds - estimate.meanSeconds;
    estimate.meanSeconds += meanWeight * difference;
    estimate.meanDeviationSeconds
        += deviationWeight * (std::abs(difference) - estimate.meanDeviationSeconds);
}

kernel::Duration timeoutFromEstimate(const LatencyEstimate *estimate, const TimeoutBounds &bounds)
{
    const kernel::Duration upper = std::max(bounds.lower, bounds.upper);
    if (estimate == nullptr || estimate->samples < minSamples)
        return upper;
    const double seconds
        = estimate->meanSeconds + timeoutDeviations * estimate->meanDeviationSeconds;
    return std::clamp(kernel::fromSeconds(seconds), bounds.lower, upper);
}

kernel::Duration inactivityTimeout(const LatencyEstimates &estimates, const Route &route,
                                   const std::string &model, bool afterFirstEvent,
                                   kernel::Duration timeLeft)
{
    const auto &times = afterFirstEvent ? estimates.betweenEvents : estimates.firstByte;
    const auto known = times.find({ route.name, model });
    const LatencyEstimate *time = known == times.end() ? nullptr : &known->second;
    if (afterFirstEvent) {
        return timeoutFromEstimate(time, { kernel::scaled(route.maxPause, minTimeoutPauses),
                                           kernel::scaled(route.maxPause, maxTimeoutPauses) });
    }
    const kernel::Duration upper
        = std::min(kernel::scaled(route.latencyObjective, maxTimeoutObjectives), timeLeft / 2);
    return timeoutFromEstimate(
        time, { kernel::scaled(route.latencyObjective, minTimeoutObjectives), upper });
}

} // namespace acaciasail::forwarding
