#include "forwarding/internal/patience.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::forwarding {

namespace {

constexpr double meanDecay = 0.1;
constexpr double deviationDecay = 0.1;
// Number of mean deviations above the mean from which a time counts as unusual.
constexpr double unusualDeviations = 8;
constexpr int minSeen = 10;

// Bounds of the inactivity timeout: before the first byte as multiples of the route's latency
// objective, afterwards as multiples of the route's longest pause that is still on time.
constexpr double leastSilentObjectives = 0.35;
constexpr double mostSilentObjectives = 2.5;
constexpr double leastSilentPauses = 1.0;
constexpr double mostSilentPauses = 3;

} // namespace

void noteTime(UsualTime &usual, kernel::Duration took)
{
    const double seconds = kernel::toSeconds(took);
    if (usual.seen++ == 0) {
        usual.seconds = seconds;
        usual.deviation = seconds / 2;
        return;
    }
    const double difference = seconds - usual.seconds;
    usual.seconds += meanDecay * difference;
    usual.deviation += deviationDecay * (std::abs(difference) - usual.deviation);
}

kernel::Duration patienceFor(const UsualTime *usual, const PatienceBounds &bounds)
{
    const kernel::Duration most = std::max(bounds.least, bounds.most);
    if (usual == nullptr || usual->seen < minSeen)
        return most;
    const double seconds = usual->seconds + unusualDeviations * usual->deviation;
    return std::clamp(kernel::fromSeconds(seconds), bounds.least, most);
}

kernel::Duration allowedSilence(const UsualTimes &usual, const Route &route,
                                const std::string &model, bool midway, kernel::Duration timeLeft)
{
    const auto &times = midway ? usual.betweenEvents : usual.firstByte;
    const auto known = times.find({ route.name, model });
    const UsualTime *time = known == times.end() ? nullptr : &known->second;
    if (midway) {
        return patienceFor(time, { kernel::scaled(route.maxPause, leastSilentPauses),
                                   kernel::scaled(route.maxPause, mostSilentPauses) });
    }
    const kernel::Duration most
        = std::min(kernel::scaled(route.latencyObjective, mostSilentObjectives), timeLeft / 2);
    return patienceFor(time,
                       { kernel::scaled(route.latencyObjective, leastSilentObjectives), most });
}

} // namespace acaciasail::forwarding
