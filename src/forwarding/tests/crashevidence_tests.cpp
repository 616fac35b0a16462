#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

const poison::Fingerprint poisonRequest("crasher");
const poison::Fingerprint harmlessRequest("innocent");

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant(100s + time);
}

kernel::WallTime wall(kernel::Duration time)
{
    return kernel::WallTime(1000000s + time);
}

LostRun makeLostRun(const poison::Fingerprint &fingerprint, const std::string &upstream,
                    kernel::Duration time)
{
    return { .request = kernel::RequestId("r"),
             .fingerprint = fingerprint,
             .upstream = kernel::UpstreamId(upstream),
             .process = kernel::UpstreamId(upstream + "@1"),
             .startedAt = at(time - 100ms),
             .lostAt = at(time) };
}

// Simulates that an upstream crashes during a run; half a second later the router is certain of the
// crash.
void recordConfirmedCrash(CrashEvidence &evidence, const poison::Fingerprint &fingerprint,
                          const std::string &upstream, kernel::Duration time)
{
    recordLostRun(evidence, makeLostRun(fingerprint, upstream, time));
    recordUpstreamGone(evidence, kernel::UpstreamId(upstream), at(time));
    classifyLostRuns(evidence, at(time + 500ms), wall(time));
}

// Returns the evidence that is shared with the other routers at that time.
CrashReport takeShared(CrashEvidence &evidence, kernel::Duration time)
{
    EXPECT_TRUE(isShareDue(evidence, at(time)));
    return takeEvidenceToShare(evidence, at(time));
}

} // namespace

TEST(CrashEvidence, RefusesRequestAfterThirdCrash)
{
    CrashEvidence evidence;
    recordConfirmedCrash(evidence, poisonRequest, "a", 0s);
    EXPECT_FALSE(crashesUpstreams(evidence, poisonRequest));
    recordConfirmedCrash(evidence, poisonRequest, "b", 1s);
    EXPECT_FALSE(crashesUpstreams(evidence, poisonRequest));
    recordConfirmedCrash(evidence, poisonRequest, "c", 2s);
    EXPECT_TRUE(crashesUpstreams(evidence, poisonRequest));
    EXPECT_EQ(countRefusedRequests(evidence), 1U);
    EXPECT_FALSE(crashesUpstreams(evidence, harmlessRequest));
    recordCompletedRun(evidence, poisonRequest, {}, wall(2s));
    EXPECT_FALSE(crashesUpstreams(evidence, poisonRequest))
        << "a request that ran to completion is not poison";
}

TEST(CrashEvidence, LiveUpstreamDidNotCrash)
{
    CrashEvidence evidence;
    for (int i = 0; i < 10; ++i) {
        recordLostRun(evidence, makeLostRun(harmlessRequest, "a", 0s));
        recordLostRun(evidence, makeLostRun(harmlessRequest, "b", 0s));
        recordUpstreamAlive(evidence, kernel::UpstreamId("a"), wall(0s));
        recordUpstreamAlive(evidence, kernel::UpstreamId("b"), wall(0s));
    }
    EXPECT_EQ(countCrashes(evidence, harmlessRequest), 0);
    recordLostRun(evidence, makeLostRun(poisonRequest, "a", 0s));
    recordLostRun(evidence, makeLostRun(poisonRequest, "b", 0s));
    EXPECT_EQ(countCrashes(evidence, poisonRequest), 2);
    recordUpstreamGone(evidence, kernel::UpstreamId("a"), at(100ms));
    recordUpstreamAlive(evidence, kernel::UpstreamId("a"), wall(0s));
    EXPECT_EQ(classifyLostRuns(evidence, at(600ms), wall(1s)).size(), 1U)
        << "the upstream returned after its crash";
    EXPECT_TRUE(classifyLostRuns(evidence, at(1900ms), wall(1s)).empty());
    EXPECT_EQ(classifyLostRuns(evidence, at(2s), wall(3s)).size(), 1U)
        << "no probe found the upstream alive";
    EXPECT_EQ(countCrashes(evidence, poisonRequest), 2);
}

TEST(CrashEvidence, RequestSentAfterUpstreamWasGoneIsNotBlamed)
{
    CrashEvidence evidence;
    recordUpstreamGone(evidence, kernel::UpstreamId("a"), at(0s));
    recordLostRun(evidence, makeLostRun(harmlessRequest, "a", 1s));
    EXPECT_EQ(countCrashes(evidence, harmlessRequest), 0);
    recordUpstreamAlive(evidence, kernel::UpstreamId("a"), wall(0s));
    recordLostRun(evidence, makeLostRun(poisonRequest, "a", 3s));
    EXPECT_EQ(countCrashes(evidence, poisonRequest), 1);
}

TEST(CrashEvidence, LossesWithCommonCauseAreNotBlamedOnRequests)
{
    CrashEvidence evidence;
    for (int i = 0; i < 8; ++i) {
        const std::string upstream = "u" + std::to_string(i);
        recordLostRun(evidence, makeLostRun(harmlessRequest, upstream,
                                            std::chrono::milliseconds(i < 2 ? 0 : 5000)));
        recordLostRun(evidence, makeLostRun(poison::Fingerprint(upstream), upstream, 0s));
        if (i < 4)
            recordLostRun(evidence, makeLostRun(poisonRequest, upstream, 0s));
        recordUpstreamGone(evidence, kernel::UpstreamId(upstream),
                           at(std::chrono::milliseconds(50 * i)));
    }
    std::erase_if(evidence.lost, [](const LostRun &lost) { return lost.lostAt > at(1s); });
    classifyLostRuns(evidence, at(1s), wall(1s));
    EXPECT_EQ(countCrashes(evidence, harmlessRequest), 0);
    EXPECT_EQ(countCrashes(evidence, poison::Fingerprint("u7")), 0);
    EXPECT_TRUE(crashesUpstreams(evidence, poisonRequest))
        << "the request ran at half of the upstreams that disappeared";
}

TEST(CrashEvidence, RequestIsRefusedForUnconfirmedLostRuns)
{
    CrashEvidence evidence;
    for (const char *upstream : { "a", "b", "c" })
        recordLostRun(evidence, makeLostRun(poisonRequest, upstream, 0s));
    EXPECT_TRUE(crashesUpstreams(evidence, poisonRequest));
}

TEST(CrashEvidence, CrashesThatAPartExplainsDoNotCountAgainstOtherRequests)
{
    const PromptPartKey bad{ kernel::ServiceName("engines"), "bad" };
    CrashEvidence evidence;
    for (int i = 0; i < 4; ++i) {
        const std::string upstream = "u" + std::to_string(i);
        const auto time = std::chrono::seconds(i);
        LostRun crasher = makeLostRun(poison::Fingerprint(upstream), upstream, time);
        crasher.sharedParts = { bad };
        recordLostRun(evidence, crasher);
        recordLostRun(evidence, makeLostRun(harmlessRequest, upstream, time));
        recordUpstreamGone(evidence, kernel::UpstreamId(upstream), at(time));
        classifyLostRuns(evidence, at(time + 500ms), wall(time));
    }
    EXPECT_TRUE(crashesUpstreams(evidence, harmlessRequest));
    updateBlame(evidence.parts);
    EXPECT_FALSE(crashesUpstreams(evidence, harmlessRequest));
    EXPECT_TRUE(crashesUpstreams(evidence, poison::Fingerprint("new"), { bad }));
    EXPECT_EQ(countRefusedRequests(evidence), 0U);
}

TEST(CrashEvidence, ResponseThatEndsWithItsConnectionIsCompleteOnlyIfUpstreamIsAlive)
{
    const PromptPartKey part{ kernel::ServiceName("engines"), "part" };
    CrashEvidence evidence;
    LostRun run = makeLostRun(poisonRequest, "a", 0s);
    run.mayBeComplete = true;
    run.sharedParts = { part };
    recordLostRun(evidence, run);
    EXPECT_EQ(countCrashes(evidence, poisonRequest), 0);
    recordUpstreamAlive(evidence, kernel::UpstreamId("a"), wall(100ms));
    EXPECT_TRUE(evidence.parts.completedAt.contains(part));
    recordConfirmedCrash(evidence, poisonRequest, "b", 1s);
    recordLostRun(evidence, run);
    recordUpstreamGone(evidence, kernel::UpstreamId("a"), at(2s));
    EXPECT_EQ(countCrashes(evidence, poisonRequest), 2);
    EXPECT_EQ(classifyLostRuns(evidence, at(3s), wall(3s)).size(), 1U);
    EXPECT_EQ(evidence.parts.known[part].crashes.size(), 1U);
    run.upstream = kernel::UpstreamId("c");
    recordLostRun(evidence, run);
    EXPECT_TRUE(classifyLostRuns(evidence, at(10s), wall(10s)).empty()) << "it is not known";
}

TEST(CrashEvidence, CrashSeenByTwoRoutersCountsOnce)
{
    CrashEvidence local;
    CrashEvidence other;
    recordConfirmedCrash(local, poisonRequest, "a", 0s);
    recordConfirmedCrash(other, poisonRequest, "a", 200ms);
    EXPECT_TRUE(mergeCrashEvidence(local, takeShared(other, 2s)));
    EXPECT_EQ(countCrashes(local, poisonRequest), 1);
    recordLostRun(local, makeLostRun(poisonRequest, "b", 3s));
    recordConfirmedCrash(other, poisonRequest, "b", 3s);
    mergeCrashEvidence(local, takeShared(other, 4s));
    EXPECT_EQ(countCrashes(local, poisonRequest), 2)
        << "the lost run is the crash that the other router shared";
}

TEST(CrashEvidence, SharesOwnCrashesAtLimitedRate)
{
    CrashEvidence evidence;
    CrashEvidence other;
    recordConfirmedCrash(other, harmlessRequest, "z", 0s);
    mergeCrashEvidence(evidence, takeShared(other, 2s));
    EXPECT_FALSE(isShareDue(evidence, at(10s)));
    recordConfirmedCrash(evidence, poisonRequest, "a", 0s);
    recordConfirmedCrash(evidence, poisonRequest, "b", 100ms);
    ASSERT_TRUE(isShareDue(evidence, at(100ms))) << "a second crash is shared at once";
    const CrashReport shared = takeEvidenceToShare(evidence, at(100ms));
    EXPECT_TRUE(shared.requests.evidence.contains(poisonRequest));
    EXPECT_FALSE(shared.requests.evidence.contains(harmlessRequest));
    recordConfirmedCrash(evidence, poisonRequest, "c", 200ms);
    EXPECT_FALSE(isShareDue(evidence, at(1s)));
    EXPECT_TRUE(isShareDue(evidence, at(1100ms)));
}

TEST(CrashEvidence, SharesFirstCrashIfNoResponseFollows)
{
    CrashEvidence evidence;
    recordConfirmedCrash(evidence, poisonRequest, "a", 0s);
    EXPECT_FALSE(isShareDue(evidence, at(900ms)));
    EXPECT_TRUE(isShareDue(evidence, at(1s)));

    CrashEvidence unanswered;
    recordLostRun(unanswered, makeLostRun(poisonRequest, "a", 0s));
    recordUnanswered(unanswered, poisonRequest);
    recordUpstreamGone(unanswered, kernel::UpstreamId("a"), at(0s));
    classifyLostRuns(unanswered, at(500ms), wall(0s));
    EXPECT_TRUE(isShareDue(unanswered, at(500ms)));
}

TEST(CrashEvidence, DoesNotShareRequestThatProgressesElsewhere)
{
    CrashEvidence evidence;
    recordConfirmedCrash(evidence, harmlessRequest, "a", 0s);
    recordProgress(evidence, harmlessRequest);
    EXPECT_FALSE(isShareDue(evidence, at(10s)));
    recordCompletedRun(evidence, harmlessRequest, {}, wall(10s));
    EXPECT_FALSE(isShareDue(evidence, at(20s)));
    EXPECT_EQ(countCrashes(evidence, harmlessRequest), 0);

    recordConfirmedCrash(evidence, poisonRequest, "b", 20s);
    recordProgress(evidence, poisonRequest);
    recordConfirmedCrash(evidence, poisonRequest, "c", 21s);
    EXPECT_TRUE(isShareDue(evidence, at(21s))) << "the request crashed the next upstream too";
}

TEST(CrashEvidence, CompletedRunClearsEvidenceOfOtherRouters)
{
    CrashEvidence observer;
    CrashEvidence completer;
    recordConfirmedCrash(observer, harmlessRequest, "a", 0s);
    mergeCrashEvidence(completer, takeShared(observer, 1s));
    recordCompletedRun(completer, harmlessRequest, {}, wall(2s));
    mergeCrashEvidence(observer, takeShared(completer, 3s));
    EXPECT_EQ(countCrashes(observer, harmlessRequest), 0);
    recordCompletedRun(completer, harmlessRequest, {}, wall(4s));
    EXPECT_FALSE(isShareDue(completer, at(10s))) << "nothing is left to clear";
}

TEST(CrashEvidence, SizeIsBounded)
{
    CrashEvidence evidence;
    for (const char *upstream : { "a", "b", "d" })
        recordConfirmedCrash(evidence, poisonRequest, upstream, 0s);
    for (int i = 0; i < 5000; ++i) {
        const poison::Fingerprint fingerprint(std::to_string(i));
        const kernel::Duration time = std::chrono::seconds(i);
        recordConfirmedCrash(evidence, fingerprint, "u" + std::to_string(i), time);
        recordLostRun(evidence, makeLostRun(fingerprint, "c", 9000s));
    }
    EXPECT_LE(evidence.known.evidence.size(), 1024U);
    EXPECT_LE(evidence.own.evidence.size(), 1024U);
    EXPECT_LE(evidence.lost.size(), 1024U);
    EXPECT_LE(evidence.pending.size(), 1024U);
    EXPECT_LE(takeShared(evidence, 6000s).requests.evidence.size(), 64U);
    EXPECT_LE(evidence.gone.size(), 64U);
    EXPECT_TRUE(evidence.known.evidence.contains(poison::Fingerprint("4999")));
    EXPECT_TRUE(crashesUpstreams(evidence, poisonRequest)) << "refused requests are kept";
}

TEST(CrashEvidence, SharesRestoredEvidenceAgain)
{
    CrashEvidence before;
    for (const char *upstream : { "a", "b", "c" })
        recordConfirmedCrash(before, poisonRequest, upstream, 0s);
    CrashEvidence after;
    restoreCrashEvidence(after, takeShared(before, 1s));
    EXPECT_TRUE(crashesUpstreams(after, poisonRequest));
    recordConfirmedCrash(after, harmlessRequest, "c", 2s);
    EXPECT_TRUE(takeShared(after, 3s).requests.evidence.contains(poisonRequest));
}

TEST(CrashEvidence, ShareBeforeRestoringDoesNotLoseEvidenceOfThePreviousProcess)
{
    CrashEvidence before;
    recordConfirmedCrash(before, poisonRequest, "a", 0s);
    recordConfirmedCrash(before, poisonRequest, "b", 0s);
    const CrashReport stored = takeShared(before, 2s);
    CrashEvidence after;
    recordConfirmedCrash(after, harmlessRequest, "c", 3s);
    recordConfirmedCrash(after, harmlessRequest, "d", 3s);
    const CrashReport early = takeShared(after, 5s);
    restoreCrashEvidence(after, stored);
    const CrashReport shared = takeShared(after, 10s);
    EXPECT_TRUE(shared.requests.evidence.contains(poisonRequest));
    EXPECT_TRUE(shared.requests.evidence.contains(harmlessRequest));
    restoreCrashEvidence(after, shared);
    EXPECT_FALSE(isShareDue(after, at(20s))) << "the router's own report brings nothing new";
}
