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
    EXPECT_TRUE(mergeCrashEvidence(local, takeShared(other, 2s), at(0s)));
    EXPECT_EQ(countCrashes(local, poisonRequest), 1);
    recordLostRun(local, makeLostRun(poisonRequest, "b", 3s));
    recordConfirmedCrash(other, poisonRequest, "b", 3s);
    mergeCrashEvidence(local, takeShared(other, 4s), at(0s));
    EXPECT_EQ(countCrashes(local, poisonRequest), 2)
        << "the lost run is the crash that the other router shared";
}

TEST(CrashEvidence, SharesOwnCrashesAtLimitedRate)
{
    CrashEvidence evidence;
    CrashEvidence other;
    recordConfirmedCrash(other, harmlessRequest, "z", 0s);
    mergeCrashEvidence(evidence, takeShared(other, 2s), at(0s));
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
    mergeCrashEvidence(completer, takeShared(observer, 1s), at(0s));
    recordCompletedRun(completer, harmlessRequest, {}, wall(2s));
    mergeCrashEvidence(observer, takeShared(completer, 3s), at(0s));
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
    restoreCrashEvidence(after, takeShared(before, 1s), at(0s));
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
    restoreCrashEvidence(after, stored, at(0s));
    const CrashReport shared = takeShared(after, 10s);
    EXPECT_TRUE(shared.requests.evidence.contains(poisonRequest));
    EXPECT_TRUE(shared.requests.evidence.contains(harmlessRequest));
    restoreCrashEvidence(after, shared, at(0s));
    EXPECT_FALSE(isShareDue(after, at(20s))) << "the router's own report brings nothing new";
}

namespace {

const kernel::UpstreamId upstreamA("a");
const kernel::UpstreamId processA("a@1");
const PromptPartKey sharedPart{ kernel::ServiceName("engines"), "part" };

// Four upstreams of which the first, as it turns out, never ended.
CrashEvidence evidenceOfFourCrashes()
{
    CrashEvidence evidence;
    for (const char *upstream : { "a", "b", "c", "d" }) {
        for (const char *request : { "crasher", "other" }) {
            LostRun run = makeLostRun(poison::Fingerprint(request), upstream, 0s);
            run.sharedParts = { sharedPart };
            recordLostRun(evidence, run);
        }
        recordUpstreamGone(evidence, kernel::UpstreamId(upstream), at(0s));
    }
    classifyLostRuns(evidence, at(500ms), wall(500ms));
    updateBlame(evidence.parts);
    return evidence;
}

// The registration of upstream "a" as a router sees it.
RegisteredProcess registered(const std::optional<kernel::UpstreamId> &process)
{
    return [process](const kernel::UpstreamId &id) {
        return id == upstreamA ? process : std::nullopt;
    };
}

} // namespace

TEST(CrashEvidence, ProcessThatIsFoundAliveCrashedForNoRequestAndNoPart)
{
    CrashEvidence evidence = evidenceOfFourCrashes();
    ASSERT_EQ(poison::unclearedCrashes(evidence.known, poisonRequest), 4);
    ASSERT_EQ(evidence.parts.blamed.parts, std::set{ sharedPart });
    recordProcessAlive(evidence, processA, wall(5s));
    EXPECT_EQ(poison::unclearedCrashes(evidence.known, poisonRequest), 3);
    updateBlame(evidence.parts);
    EXPECT_TRUE(evidence.parts.blamed.parts.empty());
    const CrashReport shared = takeShared(evidence, 6s);
    EXPECT_EQ(shared.alive, (AliveTimes{ { processA, wall(5s) } }));
    EXPECT_FALSE(shared.parts.at(sharedPart).crashes.contains(processA));
}

TEST(CrashEvidence, ProcessFoundAliveByOneRouterIsSoForAll)
{
    CrashEvidence finder = evidenceOfFourCrashes();
    const CrashReport before = takeShared(finder, 2s);
    CrashEvidence other;
    mergeCrashEvidence(other, before, at(2s));
    updateBlame(other.parts);
    ASSERT_EQ(other.parts.blamed.parts, std::set{ sharedPart });
    recordProcessAlive(finder, processA, wall(5s));
    const CrashReport after = takeShared(finder, 6s);
    EXPECT_TRUE(mergeCrashEvidence(other, after, at(6s)));
    updateBlame(other.parts);
    EXPECT_TRUE(other.parts.blamed.parts.empty());
    EXPECT_FALSE(mergeCrashEvidence(other, before, at(7s)))
        << "the older report brings nothing back";
    updateBlame(other.parts);
    EXPECT_TRUE(other.parts.blamed.parts.empty());

    CrashEvidence restarted;
    restoreCrashEvidence(restarted, after, at(8s));
    mergeCrashEvidence(restarted, before, at(8s));
    EXPECT_EQ(poison::unclearedCrashes(restarted.known, poisonRequest), 3);
    EXPECT_EQ(takeEvidenceToShare(restarted, at(10s)).alive, after.alive)
        << "it goes on to tell the others";
}

TEST(CrashEvidence, LaterCrashOfAProcessThatWasFoundAliveCounts)
{
    CrashEvidence evidence = evidenceOfFourCrashes();
    recordProcessAlive(evidence, processA, wall(5s));
    recordUpstreamAlive(evidence, upstreamA, wall(5s));
    LostRun run = makeLostRun(poisonRequest, "a", 20s);
    run.sharedParts = { sharedPart };
    recordLostRun(evidence, run);
    recordUpstreamGone(evidence, upstreamA, at(20s));
    classifyLostRuns(evidence, at(20500ms), wall(20500ms));
    EXPECT_EQ(poison::unclearedCrashes(evidence.known, poisonRequest), 4);
    updateBlame(evidence.parts);
    EXPECT_EQ(evidence.parts.blamed.parts, std::set{ sharedPart });
}

TEST(CrashEvidence, RouterThatReportedNoCrashTakesNoneBack)
{
    CrashEvidence finder = evidenceOfFourCrashes();
    CrashEvidence other;
    mergeCrashEvidence(other, takeShared(finder, 2s), at(2s));
    recordProcessAlive(other, processA, wall(5s));
    EXPECT_EQ(poison::unclearedCrashes(other.known, poisonRequest), 3);
    EXPECT_FALSE(isShareDue(other, at(10s))) << "each router finds it alive by itself";
}

TEST(SuspectedProcesses, ReachedProcessIsAliveOnlyIfItStaysRegistered)
{
    SuspectedProcesses suspected;
    recordSuspicion(suspected, processA, at(0s));
    recordReached(suspected, processA, at(1s));
    EXPECT_TRUE(reviewSuspicions(suspected, registered(processA), at(2s)).alive.empty());
    reviewSuspicions(suspected, registered(kernel::UpstreamId("a@2")), at(2500ms));
    EXPECT_TRUE(reviewSuspicions(suspected, registered(processA), at(4s)).alive.empty())
        << "another process was registered meanwhile";
    recordReached(suspected, processA, at(5s));
    recordUnreached(suspected, upstreamA);
    EXPECT_TRUE(reviewSuspicions(suspected, registered(processA), at(8s)).alive.empty());
    recordReached(suspected, processA, at(9s));
    restartConfirmations(suspected);
    EXPECT_TRUE(reviewSuspicions(suspected, registered(processA), at(12s)).alive.empty());
    recordReached(suspected, processA, at(13s));
    EXPECT_EQ(reviewSuspicions(suspected, registered(processA), at(15s)).alive,
              std::vector{ processA });
    EXPECT_TRUE(suspected.processes.empty());
}

TEST(SuspectedProcesses, RegisteredProcessIsProbedOnceACrashedOneWouldBeGone)
{
    SuspectedProcesses suspected;
    recordSuspicion(suspected, processA, at(0s));
    EXPECT_TRUE(reviewSuspicions(suspected, registered(processA), at(1s)).toProbe.empty());
    EXPECT_TRUE(reviewSuspicions(suspected, registered(std::nullopt), at(3s)).toProbe.empty());
    EXPECT_EQ(reviewSuspicions(suspected, registered(processA), at(3s)).toProbe,
              std::vector{ processA });
    recordReached(suspected, processA, at(3s));
    EXPECT_TRUE(reviewSuspicions(suspected, registered(processA), at(4s)).toProbe.empty());
}

TEST(SuspectedProcesses, AreBoundedAndExpire)
{
    SuspectedProcesses suspected;
    for (int i = 0; i < 2000; ++i)
        recordSuspicion(suspected, kernel::UpstreamId("u" + std::to_string(i) + "@1"),
                        at(std::chrono::seconds(i)));
    EXPECT_EQ(suspected.processes.size(), 512U);
    EXPECT_TRUE(suspected.processes.contains(kernel::UpstreamId("u1999@1")));
    expireSuspicions(suspected, at(48h));
    EXPECT_TRUE(suspected.processes.empty());
}
