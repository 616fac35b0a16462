#pragma once

#include "forwarding/internal/rollouts/rolloutplan.h"

namespace acaciasail::forwarding {

/// Review of one attempt's response for the roll-out of its service.
///
/// A response counts once, as good, slow or failed. It counts as slow as soon as that is known:
/// when the wait for the first byte exceeds a multiple of the baseline, or when the events of the
/// stream arrive far more slowly than the baseline.
struct ResponseReview
{
    ResponseClass responseClass;
    kernel::UpstreamId upstream;
    bool fromTargetVersion = false;
    kernel::Instant startedAt{};
    std::optional<kernel::Instant> firstByteAt;
    /// Number of events after the first one.
    int events = 0;
    /// Set once the response was counted.
    std::optional<ResponseResult> result;
};

/// Records the first byte of a good response, or of a response that is dropped because the request
/// escalates to a larger model.
void reviewFirstByte(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now);
/// Records an event of a stream whose first byte was recorded before.
void reviewEvent(ResponseReview &review);
/// Records that the response is complete.
void reviewEnd(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now);
/// Records that the response is a failure.
void reviewFailure(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now);
/// Records that no one waits for the response any longer.
void reviewAbandoned(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now);
/// Checks a response that is still in progress for slowness.
void reviewProgress(ResponseReview &review, RolloutEvidence &evidence, kernel::Instant now);

} // namespace acaciasail::forwarding
