#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

const poison::Fingerprint crasher("crasher");
const poison::Fingerprint innocent("innocent");

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant(100s + time);
}

kernel::WallTime wall(kernel::Duration time)
{
    return kernel::WallTime(1000000s + time);
}

LostRun run(const poison::Fingerprint &fingerprint, const std::string &upstream,
            kernel::Duration time)
{
    return { .request = kernel::RequestId("r"),
             .fingerprint = fingerprint,
             .upstream = kernel::UpstreamId(upstream),
             .process = kernel::UpstreamId(upstream + "@1"),
             .begun = at(time - 100ms),
             .at = at(time) };
}

// Simulates that an upstream crashes during a run; half a second later the router is certain of the
// crash.
void crash(CrashEvidence &evidence, const poison::Fingerprint &fingerprint,
           const std::string &upstream, kernel::Duration time)
{
    noteLost(evidence, run(fingerprint, upstream, time));
    noteGone(evidence, kernel::UpstreamId(upstream), at(time));
    settleLost(evidence, at(time + 500ms), wall(time));
}

// Returns the evidence that is shared with the other routers at that time.
poison::PoisonBook told(CrashEvidence &evidence, kernel::Duration time)
{
    EXPECT_TRUE(isShareDue(evidence, at(time)));
    return takeShare(evidence, at(time));
}

} // namespace

TEST(CrashEvidence, RefusesARequestAfterItsThirdCrash)
{
    CrashEvidence evidence;
    crash(evidence, crasher, "a", 0s);
    EXPECT_FALSE(crashesUpstreams(evidence, crasher));
    crash(evidence, crasher, "b", 1s);
    EXPECT_FALSE(crashesUpstreams(evidence, crasher));
    crash(evidence, crasher, "c", 2s);
    EXPECT_TRUE(crashesUpstreams(evidence, crasher));
    EXPECT_EQ(countRefused(evidence), 1U);
    EXPECT_FALSE(crashesUpstreams(evidence, innocent));
    noteRan(evidence, crasher, wall(2s));
    EXPECT_FALSE(crashesUpstreams(evidence, crasher)) << "one that ran to its end crashes nobody";
}

TEST(CrashEvidence, AnUpstreamThatIsFoundAliveDidNotCrash)
{
    CrashEvidence evidence;
    for (int i = 0; i < 10; ++i) {
        noteLost(evidence, run(innocent, "a", 0s));
        noteLost(evidence, run(innocent, "b", 0s));
        noteAlive(evidence, kernel::UpstreamId("a"));
        noteAlive(evidence, kernel::UpstreamId("b"));
    }
    EXPECT_EQ(countCrashes(evidence, innocent), 0);
    noteLost(evidence, run(crasher, "a", 0s));
    noteLost(evidence, run(crasher, "b", 0s));
    EXPECT_EQ(countCrashes(evidence, crasher), 2);
    noteGone(evidence, kernel::UpstreamId("a"), at(100ms));
    noteAlive(evidence, kernel::UpstreamId("a"));
    EXPECT_EQ(settleLost(evidence, at(600ms), wall(1s)).size(), 1U)
        << "it came back after its crash";
    EXPECT_TRUE(settleLost(evidence, at(1900ms), wall(1s)).empty());
    EXPECT_EQ(settleLost(evidence, at(2s), wall(3s)).size(), 1U) << "nobody found it alive";
    EXPECT_EQ(countCrashes(evidence, crasher), 2);
}

TEST(CrashEvidence, WhatIsSentToAnUpstreamThatIsGoneDidNotCrashIt)
{
    CrashEvidence evidence;
    noteGone(evidence, kernel::UpstreamId("a"), at(0s));
    noteLost(evidence, run(innocent, "a", 1s));
    EXPECT_EQ(countCrashes(evidence, innocent), 0);
    noteAlive(evidence, kernel::UpstreamId("a"));
    noteLost(evidence, run(crasher, "a", 3s));
    EXPECT_EQ(countCrashes(evidence, crasher), 1);
}

TEST(CrashEvidence, ManyUpstreamsThatGoAtOnceCondemnNoRequest)
{
    CrashEvidence evidence;
    for (int i = 0; i < 8; ++i) {
        const std::string upstream = "u" + std::to_string(i);
        noteLost(evidence, run(innocent, upstream, std::chrono::milliseconds(i < 2 ? 0 : 5000)));
        noteLost(evidence, run(poison::Fingerprint(upstream), upstream, 0s));
        if (i < 4)
            noteLost(evidence, run(crasher, upstream, 0s));
        noteGone(evidence, kernel::UpstreamId(upstream), at(std::chrono::milliseconds(50 * i)));
    }
    std::erase_if(evidence.lost, [](const LostRun &lost) { return lost.at > at(1s); });
    settleLost(evidence, at(1s), wall(1s));
    EXPECT_EQ(countCrashes(evidence, innocent), 0);
    EXPECT_EQ(countCrashes(evidence, poison::Fingerprint("u7")), 0);
    EXPECT_TRUE(crashesUpstreams(evidence, crasher)) << "it explains half of them";
}

TEST(CrashEvidence, ManyLostRunsRefuseARequestBeforeTheyAreCertain)
{
    CrashEvidence evidence;
    for (const char *upstream : { "a", "b", "c" })
        noteLost(evidence, run(crasher, upstream, 0s));
    EXPECT_TRUE(crashesUpstreams(evidence, crasher));
}

TEST(CrashEvidence, OneCrashThatTwoDaemonsSawCountsOnce)
{
    CrashEvidence mine;
    CrashEvidence other;
    crash(mine, crasher, "a", 0s);
    crash(other, crasher, "a", 200ms);
    EXPECT_TRUE(joinCrashes(mine, told(other, 2s)));
    EXPECT_EQ(countCrashes(mine, crasher), 1);
    noteLost(mine, run(crasher, "b", 3s));
    crash(other, crasher, "b", 3s);
    joinCrashes(mine, told(other, 4s));
    EXPECT_EQ(countCrashes(mine, crasher), 2) << "the lost run is the crash that was told of";
}

TEST(CrashEvidence, TellsOfItsOwnCrashesAndNotTooOften)
{
    CrashEvidence evidence;
    CrashEvidence other;
    crash(other, innocent, "z", 0s);
    joinCrashes(evidence, told(other, 2s));
    EXPECT_FALSE(isShareDue(evidence, at(10s)));
    crash(evidence, crasher, "a", 0s);
    crash(evidence, crasher, "b", 100ms);
    ASSERT_TRUE(isShareDue(evidence, at(100ms))) << "a second crash is told at once";
    const poison::PoisonBook shared = takeShare(evidence, at(100ms));
    EXPECT_TRUE(shared.evidence.contains(crasher));
    EXPECT_FALSE(shared.evidence.contains(innocent));
    crash(evidence, crasher, "c", 200ms);
    EXPECT_FALSE(isShareDue(evidence, at(1s)));
    EXPECT_TRUE(isShareDue(evidence, at(1100ms)));
}

TEST(CrashEvidence, AFirstCrashIsToldOnceNoAnswerComes)
{
    CrashEvidence evidence;
    crash(evidence, crasher, "a", 0s);
    EXPECT_FALSE(isShareDue(evidence, at(900ms)));
    EXPECT_TRUE(isShareDue(evidence, at(1s)));

    CrashEvidence ended;
    noteLost(ended, run(crasher, "a", 0s));
    noteUnanswered(ended, crasher);
    noteGone(ended, kernel::UpstreamId("a"), at(0s));
    settleLost(ended, at(500ms), wall(0s));
    EXPECT_TRUE(isShareDue(ended, at(500ms)));
}

TEST(CrashEvidence, ARequestThatGoesOnElsewhereIsNotToldOf)
{
    CrashEvidence evidence;
    crash(evidence, innocent, "a", 0s);
    noteProgress(evidence, innocent);
    EXPECT_FALSE(isShareDue(evidence, at(10s)));
    noteRan(evidence, innocent, wall(10s));
    EXPECT_FALSE(isShareDue(evidence, at(20s)));
    EXPECT_EQ(countCrashes(evidence, innocent), 0);

    crash(evidence, crasher, "b", 20s);
    noteProgress(evidence, crasher);
    crash(evidence, crasher, "c", 21s);
    EXPECT_TRUE(isShareDue(evidence, at(21s))) << "it crashed the next one too";
}

TEST(CrashEvidence, ARunToTheEndClearsWhatOthersSaw)
{
    CrashEvidence seer;
    CrashEvidence runner;
    crash(seer, innocent, "a", 0s);
    joinCrashes(runner, told(seer, 1s));
    noteRan(runner, innocent, wall(2s));
    joinCrashes(seer, told(runner, 3s));
    EXPECT_EQ(countCrashes(seer, innocent), 0);
    noteRan(runner, innocent, wall(4s));
    EXPECT_FALSE(isShareDue(runner, at(10s))) << "nothing is left to clear";
}

TEST(CrashEvidence, IsBounded)
{
    CrashEvidence evidence;
    for (const char *upstream : { "a", "b", "d" })
        crash(evidence, crasher, upstream, 0s);
    for (int i = 0; i < 5000; ++i) {
        const poison::Fingerprint fingerprint(std::to_string(i));
        const kernel::Duration time = std::chrono::seconds(i);
        crash(evidence, fingerprint, "u" + std::to_string(i), time);
        noteLost(evidence, run(fingerprint, "c", 9000s));
    }
    EXPECT_LE(evidence.known.evidence.size(), 1024U);
    EXPECT_LE(evidence.own.evidence.size(), 1024U);
    EXPECT_LE(evidence.lost.size(), 1024U);
    EXPECT_LE(evidence.held.size(), 1024U);
    EXPECT_LE(told(evidence, 6000s).evidence.size(), 64U);
    EXPECT_LE(evidence.gone.size(), 64U);
    EXPECT_TRUE(evidence.known.evidence.contains(poison::Fingerprint("4999")));
    EXPECT_TRUE(crashesUpstreams(evidence, crasher)) << "what is refused is kept";
}

TEST(CrashEvidence, APreviousProcessesSightingsAreSharedAgain)
{
    CrashEvidence before;
    for (const char *upstream : { "a", "b", "c" })
        crash(before, crasher, upstream, 0s);
    CrashEvidence after;
    adoptCrashes(after, told(before, 1s));
    EXPECT_TRUE(crashesUpstreams(after, crasher));
    crash(after, innocent, "c", 2s);
    EXPECT_TRUE(told(after, 3s).evidence.contains(crasher));
}
