#include "forwarding/internal/rollouts/responsereview.h"

namespace acaciasail::forwarding {

namespace {

// Streams with fewer events than this are not used to estimate the time between events.
constexpr int minEventsForInterval = 3;

void countAs(ResponseReview &review, RolloutEvidence &evidence, ResponseResult result)
{
    if (review.result && *review.result >= result)
        return;
    if (review.result)
        recountResponse(evidence, review.responseClass, review.upstream, review.fromTargetVersion,
                        *review.result, result);
    else if (result == ResponseResult::Slow)
        recordSlowResponse(evidence, review.responseClass, review.upstream,
                           review.fromTargetVersion);
    else
        recordResponse(evidence, review.responseClass, review.upstream, review.fromTargetVersion,
                       true, std::nullopt);
    review.result = result;
}

} // namespace

void reviewFirstByte(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now)
{
    if (review.firstByteAt)
        return;
    review.firstByteAt = now;
    if (review.result) {
        // The response was already counted as slow; only its time is recorded.
        if (!review.fromTargetVersion)
            recordBaselineFirstByte(evidence, review.responseClass, now - review.startedAt);
        return;
    }
    const bool slow = recordResponse(evidence, review.responseClass, review.upstream,
                                     review.fromTargetVersion, false, now - review.startedAt);
    review.result = slow ? ResponseResult::Slow : ResponseResult::Good;
}

void reviewEvent(ResponseReview &review)
{
    ++review.events;
}

void reviewEnd(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now)
{
    reviewFirstByte(review, evidence, now);
    reviewProgress(review, evidence, now);
    if (!review.fromTargetVersion && review.events >= minEventsForInterval)
        recordBaselineEventInterval(evidence, review.responseClass,
                                    (now - *review.firstByteAt) / review.events);
}

void reviewFailure(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant /*now*/)
{
    countAs(review, evidence, ResponseResult::Failed);
}

void reviewAbandoned(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant /*now*/)
{
    countAs(review, evidence, ResponseResult::Slow);
}

void reviewProgress(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now)
{
    if (review.result && *review.result != ResponseResult::Good)
        return;
    const auto bound = review.firstByteAt
                           ? slowStreamTime(evidence, review.responseClass, review.events)
                           : slowFirstByteTime(evidence, review.responseClass);
    if (bound && now - review.firstByteAt.value_or(review.startedAt) > *bound)
        countAs(review, evidence, ResponseResult::Slow);
}

} // namespace acaciasail::forwarding
