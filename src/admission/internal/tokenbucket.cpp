#include "admission/internal/tokenbucket.h"

#include <algorithm>

namespace acaciasail::admission {

namespace {

/// Tolerance for rounding errors in the level, which is a sum of fractions.
constexpr double levelTolerance = 1e-6;

double requiredLevel(const TokenBucket &bucket, double cost)
{
    return std::min(cost, bucket.burst);
}

} // namespace

TokenBucket makeBucket(double rate, double burst, kernel::Instant now)
{
    return TokenBucket{ .rate = rate, .burst = burst, .level = burst, .updatedAt = now };
}

void refill(TokenBucket &bucket, kernel::Instant now)
{
    if (now <= bucket.updatedAt)
        return;
    const double gained = bucket.rate * kernel::toSeconds(now - bucket.updatedAt);
    bucket.level = std::min(bucket.level + gained, bucket.burst);
    bucket.updatedAt = now;
}

void resizeBucket(TokenBucket &bucket, double rate, double burst, kernel::Instant now)
{
    refill(bucket, now);
    bucket.rate = rate;
    bucket.burst = burst;
    bucket.level = std::min(bucket.level, burst);
}

bool canTake(const TokenBucket &bucket, double cost)
{
    return bucket.level + levelTolerance >= requiredLevel(bucket, cost);
}

kernel::Duration timeUntil(const TokenBucket &bucket, double cost)
{
    const double missing = requiredLevel(bucket, cost) - bucket.level;
    if (missing <= 0)
        return kernel::Duration::zero();
    constexpr double maxWaitSeconds = 3600;
    if (bucket.rate <= missing / maxWaitSeconds)
        return kernel::fromSeconds(maxWaitSeconds);
    return kernel::fromSeconds(missing / bucket.rate);
}

bool isFull(const TokenBucket &bucket)
{
    return bucket.level + levelTolerance >= bucket.burst;
}

} // namespace acaciasail::admission
