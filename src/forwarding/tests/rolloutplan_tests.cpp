#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "forwarding/forwarding.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

constexpr kernel::Duration targetDuration = 20s;
const kernel::VmId vm("vm-1");
const ResponseClass chat(RouteName("chat"), "large");

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant(time);
}

Rollout running(int share)
{
    Rollout rollout;
    rollout.service = kernel::ServiceName("s");
    rollout.target = SoftwareVersion("v2");
    rollout.targetDuration = targetDuration;
    rollout.state = RolloutState::Running;
    rollout.sharePermille = share;
    return rollout;
}

void recordResponses(RolloutEvidence &evidence, bool fromTargetVersion, int good, int bad,
                     int upstreams = 3)
{
    for (int i = 0; i < good + bad; ++i) {
        const kernel::UpstreamId id((fromTargetVersion ? "new" : "old")
                                    + std::to_string(i % upstreams));
        const bool failed = i < bad;
        recordResponse(evidence, chat, id, fromTargetVersion, failed,
                       failed ? std::nullopt : std::optional<kernel::Duration>(100ms));
    }
}

} // namespace

// While the share grows, a session moves to the target once and never back.
RC_GTEST_PROP(RolloutProperty, SessionsMoveOnce, ())
{
    const auto session = *rc::gen::arbitrary<std::string>();
    bool moved = false;
    for (int share = 0; share <= 1000; share += 50) {
        const bool choosesTarget = chooseVersion(running(share), session) == VersionChoice::New;
        RC_ASSERT(!moved || choosesTarget);
        moved = choosesTarget;
    }
    RC_ASSERT(moved);
}

TEST(RolloutPlan, NoSessionMovesInFirstHalf)
{
    RolloutEvidence evidence;
    Rollout rollout = running(0);
    rollout.state = RolloutState::Ordered;
    const auto first = nextStep(rollout, evidence, vm, 3, 3, at(0s));
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(*first, (RolloutStep{ RolloutState::Running, 0 }));
    EXPECT_FALSE(nextStep(running(0), evidence, vm, 3, 3, at(targetDuration / 2)).has_value());
    for (int i = 0; i < 1000; ++i)
        EXPECT_EQ(chooseVersion(running(0), std::to_string(i)), VersionChoice::Old);
}

TEST(RolloutPlan, GoodVersionCompletesInTime)
{
    RolloutEvidence evidence;
    Rollout rollout = running(0);
    for (kernel::Duration time{}; time < targetDuration; time += 250ms) {
        recordResponses(evidence, true, rollout.sharePermille / 100, 0);
        recordResponses(evidence, false, 10, 0);
        const auto step = nextStep(rollout, evidence, vm, 3, 3, at(time));
        if (!step)
            continue;
        EXPECT_GT(step->sharePermille + (step->state == RolloutState::Completed ? 1 : 0),
                  rollout.sharePermille);
        rollout.state = step->state;
        rollout.sharePermille = step->sharePermille;
        evidence.shareSince = at(time);
    }
    EXPECT_EQ(rollout.state, RolloutState::Completed);
}

// The target gets at most 15% of the requests, the operators' usual limit, even if the last part of
// the roll-out has a third more traffic than the rest.
TEST(RolloutPlan, TargetExposureStaysBelowLimit)
{
    RolloutEvidence evidence;
    Rollout rollout = running(0);
    double exposed = 0;
    double all = 0;
    for (kernel::Duration time{}; time < targetDuration; time += 50ms) {
        if (const auto step = nextStep(rollout, evidence, vm, 3, 3, at(time))) {
            rollout.state = step->state;
            rollout.sharePermille = step->sharePermille;
        }
        const double traffic = time > targetDuration * 9 / 10 ? 1.33 : 1;
        exposed += traffic * rollout.sharePermille / 1000.0;
        all += traffic;
    }
    EXPECT_EQ(rollout.state, RolloutState::Completed);
    EXPECT_LT(exposed / all, 0.15);
}

TEST(RolloutPlan, FewCanariesCarrySmallShare)
{
    std::vector<Upstream> upstreams(12);
    std::vector<const Upstream *> target;
    target.reserve(upstreams.size());
    for (const Upstream &upstream : upstreams)
        target.push_back(&upstream);
    EXPECT_EQ(selectCanaries(target, 100).size(), 4U);
    EXPECT_EQ(selectCanaries(target, 500).size(), 6U);
    EXPECT_EQ(selectCanaries(target, 1000).size(), 12U);
    EXPECT_EQ(selectCanaries({ target[0] }, 100).size(), 1U);
    EXPECT_EQ(selectCanaries(target, 200)[0], target[0])
        << "every router selects the same upstreams";
}

TEST(RolloutPlan, WaitsForUpstreamsOfTarget)
{
    EXPECT_FALSE(nextStep(running(0), {}, vm, 0, 3, at(targetDuration)).has_value());
    const auto late = nextStep(running(1000), {}, vm, 1, 3, at(targetDuration));
    EXPECT_FALSE(late.has_value()) << "too few upstreams to carry the load of the old version";
}

TEST(RolloutPlan, ManyFailuresRejectTarget)
{
    RolloutEvidence evidence;
    recordResponses(evidence, false, 50, 1);
    recordResponses(evidence, true, 5, 3);
    EXPECT_FALSE(isTargetWorse(evidence)) << "three failures may be a coincidence";
    recordResponses(evidence, true, 0, 2);
    EXPECT_TRUE(isTargetWorse(evidence));
    evidence.targetRejected = true;
    const auto step = nextStep(running(250), evidence, vm, 3, 3, at(12s));
    ASSERT_TRUE(step.has_value());
    EXPECT_EQ(step->state, RolloutState::RolledBack);
    Rollout done = running(0);
    done.state = RolloutState::RolledBack;
    EXPECT_FALSE(nextStep(done, evidence, vm, 3, 3, at(13s)).has_value());
    EXPECT_EQ(chooseVersion(done, "any"), VersionChoice::Old);
}

TEST(RolloutPlan, FailuresOfBothVersionsDoNotRejectTarget)
{
    RolloutEvidence evidence;
    recordResponses(evidence, false, 60, 40);
    recordResponses(evidence, true, 30, 20);
    EXPECT_FALSE(isTargetWorse(evidence));
}

TEST(RolloutPlan, OneFailingUpstreamDoesNotRejectTarget)
{
    RolloutEvidence evidence;
    recordResponses(evidence, false, 50, 0);
    recordResponses(evidence, true, 20, 0, 3);
    for (int i = 0; i < 10; ++i)
        recordResponse(evidence, chat, kernel::UpstreamId("new0"), true, true, std::nullopt);
    EXPECT_FALSE(isTargetWorse(evidence));
}

// Guards against rolling back a good version because two of the target's upstreams failed half of
// their requests.
TEST(RolloutPlan, TwoFailingUpstreamsOfFourDoNotRejectTarget)
{
    RolloutEvidence evidence;
    recordResponses(evidence, false, 40, 2);
    recordResponses(evidence, true, 20, 0, 4);
    for (int i = 0; i < 20; ++i) {
        recordResponse(evidence, chat, kernel::UpstreamId("new" + std::to_string(i % 2)), true,
                       i % 4 < 2, std::nullopt);
    }
    EXPECT_FALSE(isTargetWorse(evidence));
    recordResponse(evidence, chat, kernel::UpstreamId("new2"), true, true, std::nullopt);
    EXPECT_TRUE(isTargetWorse(evidence)) << "three of four upstreams fail";
}

TEST(RolloutPlan, SlowResponsesAreBad)
{
    RolloutEvidence evidence;
    recordResponses(evidence, false, 50, 0);
    for (int i = 0; i < 12; ++i) {
        recordResponse(evidence, chat, kernel::UpstreamId("new" + std::to_string(i % 3)), true,
                       false, 900ms);
    }
    EXPECT_TRUE(isTargetWorse(evidence));
}

// Guards against missing a slow version because the fast responses of the small model hide the slow
// ones of the large model.
TEST(RolloutPlan, SlowResponsesOfOneModelAreBad)
{
    RolloutEvidence evidence;
    const ResponseClass small(RouteName("chat"), "small");
    recordResponses(evidence, false, 30, 0);
    for (int i = 0; i < 60; ++i) {
        recordResponse(evidence, small, kernel::UpstreamId("old0"), false, false, 20ms);
        recordResponse(evidence, small, kernel::UpstreamId("new" + std::to_string(i % 3)), true,
                       false, 20ms);
        if (i % 10 == 0) {
            recordResponse(evidence, chat, kernel::UpstreamId("new" + std::to_string(i / 10 % 3)),
                           true, false, 800ms);
        }
    }
    EXPECT_TRUE(isTargetWorse(evidence));
}

TEST(RolloutPlan, SlownessAfterLastStepDoesNotCount)
{
    RolloutEvidence evidence;
    recordResponses(evidence, false, 30, 0);
    evidence.sharePermille = 1000;
    for (int i = 0; i < 30; ++i) {
        recordResponse(evidence, chat, kernel::UpstreamId("new" + std::to_string(i % 3)), true,
                       false, 900ms);
    }
    EXPECT_FALSE(isTargetWorse(evidence));
}

// Guards against missing a bad version on a large site, where each router sees only two or three
// bad responses among few, too few to reject the version on its own.
TEST(RolloutPlan, DoubtsOfSeveralRoutersRejectTarget)
{
    Rollout rollout = running(100);
    for (const char *name : { "vm-1", "vm-2", "vm-3" }) {
        RolloutEvidence evidence;
        recordResponses(evidence, false, 40, 0);
        recordResponses(evidence, true, 1, 0);
        EXPECT_FALSE(ownDoubt(evidence, vm).has_value());
        recordResponses(evidence, true, 0, 2);
        EXPECT_FALSE(isTargetWorse(evidence));
        EXPECT_EQ(rejectedByDoubts(rollout.doubts, 3), name == std::string_view("vm-3"));
        const auto step = nextStep(rollout, evidence, kernel::VmId(name), 3, 3, at(11s));
        ASSERT_TRUE(step.has_value());
        EXPECT_EQ(step->state, RolloutState::Running);
        EXPECT_EQ(step->sharePermille, 100);
        rollout.doubts = step->doubts;
        EXPECT_FALSE(nextStep(rollout, evidence, kernel::VmId(name), 3, 3, at(11s)).has_value())
            << "a doubt is shared once";
    }
    EXPECT_TRUE(rejectedByDoubts(rollout.doubts, 3));
    EXPECT_FALSE(rejectedByDoubts(rollout.doubts, 4)) << "two failing upstreams of four";
}

// Guards against completing the roll-out of a version that fails on one route with little traffic:
// the doubt of a single router does not reject the version.
TEST(RolloutPlan, DoubtDelaysLastStep)
{
    Rollout rollout = running(250);
    rollout.doubts.push_back({ vm, 2, { kernel::UpstreamId("new0") } });
    const auto step = nextStep(rollout, {}, vm, 3, 3, at(kernel::scaled(targetDuration, 0.95)));
    ASSERT_TRUE(step.has_value()) << "one failing upstream tells nothing about the version";
    EXPECT_EQ(step->sharePermille, 1000);
    rollout.doubts[0].upstreams.emplace_back("new1");
    EXPECT_FALSE(
        nextStep(rollout, {}, vm, 3, 3, at(kernel::scaled(targetDuration, 0.95))).has_value());
    EXPECT_FALSE(nextStep(rollout, {}, vm, 3, 3, at(2 * targetDuration)).has_value());
}

// In a large fleet some upstreams of any version are slow at times. Failures, and slowness of many
// upstreams, still delay the step.
TEST(RolloutPlan, SlowResponsesOfFewUpstreamsDoNotDelayLastStep)
{
    constexpr int upstreams = 80;
    constexpr int slowCanaries = 8; // two fifths of the twenty canaries
    Rollout rollout = running(250);
    for (int i = 0; i + 1 < slowCanaries; ++i)
        rollout.doubts.push_back({ kernel::VmId("vm-" + std::to_string(i)),
                                   2,
                                   { kernel::UpstreamId("new" + std::to_string(i)) },
                                   true });
    const auto lastStep = [&] {
        return nextStep(rollout, {}, vm, upstreams, upstreams,
                        at(kernel::scaled(targetDuration, 0.95)));
    };
    ASSERT_TRUE(lastStep());
    EXPECT_EQ(lastStep()->sharePermille, 1000);
    rollout.doubts[0].onlySlow = false;
    EXPECT_EQ(lastStep()->sharePermille, 1000) << "one failing upstream tells nothing";
    rollout.doubts[1].onlySlow = false;
    EXPECT_FALSE(lastStep()) << "two upstreams that fail";
    rollout.doubts[0].onlySlow = true;
    rollout.doubts[1].onlySlow = true;
    rollout.doubts.push_back(
        { kernel::VmId("vm-last"), 2, { kernel::UpstreamId("newest") }, true });
    EXPECT_FALSE(lastStep()) << "two fifths of the canaries are slow";
}

TEST(RolloutPlan, DoubtsOfOneRouterDoNotRejectTarget)
{
    RolloutDoubt doubt{ vm, 1000, {} };
    for (const char *id : { "new0", "new1", "new2" })
        doubt.upstreams.emplace_back(id);
    EXPECT_FALSE(rejectedByDoubts({ doubt }, 3));
}

// Guards against missing a version that turns bad late: 60 earlier good responses must not hide the
// bad ones.
TEST(RolloutPlan, LatestResponsesDecideOnVersion)
{
    RolloutEvidence evidence;
    recordResponses(evidence, false, 200, 0);
    recordResponses(evidence, true, 60, 0);
    recordResponses(evidence, true, 6, 6);
    EXPECT_TRUE(isTargetWorse(evidence));
}

TEST(RolloutPlan, ShareBoundsWallClockAge)
{
    EXPECT_EQ(clampAgeToShare(running(0), 90s), kernel::scaled(targetDuration, 0.51));
    EXPECT_EQ(clampAgeToShare(running(0), 3s), 3s);
    EXPECT_EQ(clampAgeToShare(running(100), -5s), kernel::scaled(targetDuration, 0.51));
    EXPECT_EQ(clampAgeToShare(running(1000), 1s), kernel::scaled(targetDuration, 0.945));
    EXPECT_EQ(clampAgeToShare(running(1000), 90s), targetDuration);
}

TEST(RolloutPlan, OneBadRouteRejectsTarget)
{
    RolloutEvidence evidence;
    recordResponses(evidence, false, 100, 0);
    recordResponses(evidence, true, 100, 0);
    const ResponseClass other(RouteName("other"), "large");
    for (int i = 0; i < 20; ++i) {
        recordResponse(evidence, other, kernel::UpstreamId("old0"), false, false, 100ms);
        recordResponse(evidence, other, kernel::UpstreamId("new" + std::to_string(i % 3)), true,
                       i % 2 == 0, std::nullopt);
    }
    EXPECT_TRUE(isTargetWorse(evidence));
}

TEST(RolloutPlan, SlowResponsesOfOldVersionDoNotHideFailuresOfTarget)
{
    RolloutEvidence evidence;
    evidence.sharePermille = 250;
    for (int i = 0; i < 60; ++i) {
        const kernel::UpstreamId old("old" + std::to_string(i % 4));
        recordResponse(evidence, chat, old, false, false, 100ms);
        // Its load makes half as many others slow.
        ResponseReview slow;
        slow.responseClass = chat;
        slow.upstream = old;
        if (i % 2 == 0)
            reviewProgress(slow, evidence, at(10s));
    }
    for (int i = 0; i < 15; ++i) {
        const kernel::UpstreamId target("new" + std::to_string(i % 4));
        const bool failed = i % 5 < 3;
        recordResponse(evidence, chat, target, true, failed,
                       failed ? std::nullopt : std::optional<kernel::Duration>(100ms));
    }
    EXPECT_TRUE(isTargetWorse(evidence));
    const auto doubt = ownDoubt(evidence, vm);
    ASSERT_TRUE(doubt);
    EXPECT_EQ(doubt->badResponses, 9);
    EXPECT_EQ(doubt->upstreams.size(), 4U);
}
