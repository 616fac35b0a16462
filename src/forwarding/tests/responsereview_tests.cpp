#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

const ResponseClass chat(RouteName("chat"), "large");

ResponseReview review(bool fromTargetVersion)
{
    ResponseReview result;
    result.responseClass = chat;
    result.upstream = kernel::UpstreamId(fromTargetVersion ? "new" : "old");
    result.fromTargetVersion = fromTargetVersion;
    return result;
}

// Records a stream of the old version: the first event after 100 ms, then nine more at intervals of
// 100 ms.
void recordBaselineStream(RolloutEvidence &evidence)
{
    ResponseReview old = review(false);
    reviewFirstByte(old, evidence, kernel::Instant(100ms));
    for (int i = 0; i < 9; ++i)
        reviewEvent(old);
    reviewEnd(old, evidence, kernel::Instant(1000ms));
}

} // namespace

TEST(ResponseReviewTest, CompleteResponseCountsOnce)
{
    RolloutEvidence evidence;
    recordBaselineStream(evidence);
    recordBaselineStream(evidence);
    EXPECT_EQ(evidence.oldTotal.good, 2);
    EXPECT_EQ(evidence.oldTotal.bad, 0);
    EXPECT_NEAR(evidence.baselineEventIntervalSeconds.at(chat), 0.1, 0.001);
}

TEST(ResponseReviewTest, LongWaitCountsAsBadBeforeResponse)
{
    RolloutEvidence evidence;
    recordBaselineStream(evidence);
    ResponseReview late = review(true);
    reviewProgress(late, evidence, kernel::Instant(300ms));
    EXPECT_EQ(evidence.newTotal.total(), 0);
    reviewProgress(late, evidence, kernel::Instant(500ms));
    EXPECT_EQ(evidence.newTotal.bad, 1);
    reviewFirstByte(late, evidence, kernel::Instant(600ms));
    reviewEnd(late, evidence, kernel::Instant(700ms));
    reviewFailure(late, evidence, kernel::Instant(700ms));
    EXPECT_EQ(evidence.newTotal.total(), 1);
}

// Guards against missing a slow version whose first events came in time but whose streams took ten
// times as long.
TEST(ResponseReviewTest, SlowStreamIsBadDespiteTimelyStart)
{
    RolloutEvidence evidence;
    recordBaselineStream(evidence);
    ResponseReview slow = review(true);
    reviewFirstByte(slow, evidence, kernel::Instant(100ms));
    EXPECT_EQ(evidence.newTotal.good, 1);
    reviewEvent(slow);
    reviewProgress(slow, evidence, kernel::Instant(900ms));
    EXPECT_EQ(evidence.newTotal.bad, 0) << "a short pause does not make a stream slow";
    reviewEvent(slow);
    reviewProgress(slow, evidence, kernel::Instant(1900ms));
    EXPECT_EQ(evidence.newTotal.good, 0);
    EXPECT_EQ(evidence.newTotal.bad, 1);
    EXPECT_EQ(evidence.newByClass.at(chat).bad, 1);
    EXPECT_TRUE(evidence.newTotal.badUpstreams.contains(kernel::UpstreamId("new")));
}

TEST(ResponseReviewTest, FailureDuringStreamTurnsGoodResponseBad)
{
    RolloutEvidence evidence;
    ResponseReview cut = review(true);
    reviewFirstByte(cut, evidence, kernel::Instant(100ms));
    reviewFailure(cut, evidence, kernel::Instant(200ms));
    EXPECT_EQ(evidence.newTotal.good, 0);
    EXPECT_EQ(evidence.newTotal.bad, 1);
}

// Load that slows down both versions also shows in the baseline of the old version.
TEST(ResponseReviewTest, SlownessOfBothVersionsDoesNotRejectTarget)
{
    RolloutEvidence evidence;
    recordBaselineStream(evidence);
    for (int i = 0; i < 40; ++i) {
        for (const bool fromTargetVersion : { false, true }) {
            ResponseReview late = review(fromTargetVersion);
            reviewProgress(late, evidence, kernel::Instant(2s));
            reviewFirstByte(late, evidence, kernel::Instant(2s));
            reviewEnd(late, evidence, kernel::Instant(2s));
        }
    }
    EXPECT_FALSE(isTargetWorse(evidence));
    EXPECT_NEAR(evidence.baselineFirstByteSeconds.at(chat), 2, 0.4);
}
