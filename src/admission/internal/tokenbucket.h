#pragma once

#include "kernel/kernel.h"

namespace acaciasail::admission {

/// A token bucket. The level becomes negative when the cost of a request was underestimated; the
/// bucket must refill this debt before it admits another request.
struct TokenBucket
{
    /// Units added per second, and the maximum level.
    double rate = 0;
    double burst = 0;
    double level = 0;
    /// Time of the last refill.
    kernel::Instant updatedAt;
};

/// Returns a full bucket.
TokenBucket makeBucket(double rate, double burst, kernel::Instant now);

/// Changes the rate and the burst. A larger burst fills up at the new rate, so the resize adds no
/// units immediately.
void resizeBucket(TokenBucket &bucket, double rate, double burst, kernel::Instant now);

/// Updates the level to a point in time.
void refill(TokenBucket &bucket, kernel::Instant now);

/// Returns whether a cost may be taken now. A cost above the burst requires a full bucket, and
/// leaves a negative level.
bool canTake(const TokenBucket &bucket, double cost);

/// Returns the time until a cost may be taken, at most one hour.
kernel::Duration timeUntil(const TokenBucket &bucket, double cost);

/// Returns whether the bucket is full. A full bucket can be removed and recreated without any
/// effect.
bool isFull(const TokenBucket &bucket);

} // namespace acaciasail::admission
