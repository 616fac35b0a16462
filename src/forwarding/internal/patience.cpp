#include "forwarding/internal/patience.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::forwarding {

namespace {

constexpr double meanDecay = 0.1;
constexpr double deviationDecay = 0.1;
// Deviations above the mean at which a time is no longer usual.
constexpr double unusualDeviations = 8;
constexpr int minSeen = 10;

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

} // namespace acaciasail::forwarding
