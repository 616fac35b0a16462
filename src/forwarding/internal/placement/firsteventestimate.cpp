#include "forwarding/internal/placement/firsteventestimate.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// Factor by which each new time reduces the weight of the earlier ones.
constexpr double decay = 0.98;
// Time without a new sample after which the estimate is not used: a model that is not asked because
// it was slow must be asked again at times.
constexpr kernel::Duration maxAge = std::chrono::seconds(2);
// Sum of weights below which the estimate is not used.
constexpr double minWeight = 8;

} // namespace

void recordFirstEvent(FirstEventEstimate &estimate, std::int64_t promptTokens,
                      kernel::Duration took, kernel::Instant now)
{
    estimate.recordedAt = now;
    const auto tokens = static_cast<double>(promptTokens);
    const double seconds = kernel::toSeconds(took);
    estimate.weight = decay * estimate.weight + 1;
    estimate.tokens = decay * estimate.tokens + tokens;
    estimate.seconds = decay * estimate.seconds + seconds;
    estimate.tokensSquared = decay * estimate.tokensSquared + tokens * tokens;
    estimate.tokensTimesSeconds = decay * estimate.tokensTimesSeconds + tokens * seconds;
}

std::optional<kernel::Duration> expectedFirstEvent(const FirstEventEstimate &estimate,
                                                   std::int64_t promptTokens, kernel::Instant now)
{
    if (estimate.weight < minWeight || now - estimate.recordedAt > maxAge)
        return std::nullopt;
    const double meanTokens = estimate.tokens / estimate.weight;
    const double meanSeconds = estimate.seconds / estimate.weight;
    const double variance = estimate.tokensSquared / estimate.weight - meanTokens * meanTokens;
    const double covariance
        = estimate.tokensTimesSeconds / estimate.weight - meanTokens * meanSeconds;
    // A longer prompt never takes less time, and no prompt takes less than none.
    const double maxSlope = meanTokens > 0 ? meanSeconds / meanTokens : 0;
    const double slope = variance > 0 ? std::clamp(covariance / variance, 0.0, maxSlope) : 0;
    return kernel::fromSeconds(meanSeconds
                               + slope * (static_cast<double>(promptTokens) - meanTokens));
}

} // namespace acaciasail::forwarding
