#pragma once

#include "forwarding/internal/rolloutplan.h"

namespace acaciasail::forwarding {

/// How one attempt's answer looks so far to the roll-out of its service.
///
/// It counts once, as good or as bad, and as bad as soon as that is known: while a request waits
/// far longer than usual for its first byte, or its stream's events come far more slowly than
/// usual.
struct AnswerReview
{
    AnswerKind kind;
    kernel::UpstreamId upstream;
    bool onTarget = false;
    kernel::Instant begun{};
    std::optional<kernel::Instant> firstByteAt;
    /// Events after the first one.
    int events = 0;
    bool counted = false;
    bool bad = false;
};

/// The first byte of a good answer, or of one that is dropped unread.
void reviewFirstByte(AnswerReview &review, RolloutEvidence &evidence, kernel::Instant now);
/// An event of a stream whose first byte came before.
void reviewEvent(AnswerReview &review);
/// The answer is whole.
void reviewEnd(AnswerReview &review, RolloutEvidence &evidence, kernel::Instant now);
/// The answer is a failure, or nobody waits for it any longer.
void reviewFailure(AnswerReview &review, RolloutEvidence &evidence, kernel::Instant now);
/// Looks at an answer that is still on its way.
void reviewProgress(AnswerReview &review, RolloutEvidence &evidence, kernel::Instant now);

} // namespace acaciasail::forwarding
