#include "forwarding/internal/responsereview.h"

namespace acaciasail::forwarding {

namespace {

// Streams with fewer events than this are not used to estimate the time between events.
constexpr int minEventsForInterval = 3;

void countBad(ResponseReview &review, RolloutEvidence &evidence)
{
    if (review.bad)
        return;
    review.bad = true;
    if (review.counted)
        recountAsBad(evidence, review.responseClass, review.upstream, review.fromTargetVersion);
    else
        recordResponse(evidence, review.responseClass, review.upstream, review.fromTargetVersion,
                       true, std::nullopt);
    review.counted = true;
}

} // namespace

void reviewFirstByte(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now)
{
    if (review.firstByteAt)
        return;
    review.firstByteAt = now;
    if (review.counted) {
        // The response was already counted as late; only its time is recorded.
        if (!review.fromTargetVersion)
            recordBaselineFirstByte(evidence, review.responseClass, now - review.startedAt);
        return;
    }
    review.counted = true;
    review.bad = recordResponse(evidence, review.responseClass, review.upstream,
                                review.fromTargetVersion, false, now - review.startedAt);
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
    countBad(review, evidence);
}

void reviewProgress(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now)
{
    if (review.bad)
        return;
    const auto bound = review.firstByteAt
                           ? slowStreamTime(evidence, review.responseClass, review.events)
                           : slowFirstByteTime(evidence, review.responseClass);
    if (bound && now - review.firstByteAt.value_or(review.startedAt) > *bound)
        countBad(review, evidence);
}

} // namespace acaciasail::forwarding
