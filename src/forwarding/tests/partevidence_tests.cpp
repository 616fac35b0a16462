#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

const kernel::ServiceName engines("engines");

PromptPartKey part(const std::string &id)
{
    return { engines, id };
}

kernel::WallTime wall(kernel::Duration time)
{
    return kernel::WallTime(1000000s + time);
}

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant(100s + time);
}

// Records a crash during which one request with these parts ran.
void recordCrashOf(PartCrashes &crashes, const std::vector<std::string> &parts,
                   const std::string &process, const std::string &request, kernel::Duration time)
{
    PartCrash crash;
    for (const std::string &id : parts)
        crash.parts.push_back(part(id));
    crash.process = kernel::UpstreamId(process);
    crash.request = poison::Fingerprint(request);
    crash.crashedAt = wall(time);
    recordPartCrash(crashes, crash, at(time));
}

std::string processName(int number)
{
    return "u" + std::to_string(number);
}

// Four crashes, one second apart, during which a request with the bad and a shared part ran.
void recordFourCrashes(PartCrashes &crashes)
{
    for (int i = 0; i < 4; ++i)
        recordCrashOf(crashes, { "shared", "bad" }, processName(i), "r" + std::to_string(i),
                      std::chrono::seconds(i));
}

std::set<PromptPartKey> blamedParts(PartCrashes &crashes)
{
    updateBlame(crashes);
    return crashes.blamed.parts;
}

} // namespace

TEST(PartEvidence, PartThatIsNeverCompletedIsBlamed)
{
    PartCrashes crashes;
    recordPartsCompleted(crashes, { part("shared") }, wall(-1s));
    recordFourCrashes(crashes);
    EXPECT_EQ(blamedParts(crashes), std::set{ part("bad") });
    EXPECT_EQ(crashes.blamed.processes.size(), 4U);
    EXPECT_EQ(findBlamedPart(crashes, { part("shared"), part("bad") }), part("bad"));
    EXPECT_EQ(findBlamedPart(crashes, { part("shared"), part("other") }), std::nullopt);
}

TEST(PartEvidence, OneRequestSaysNothingAboutItsParts)
{
    PartCrashes crashes;
    for (int i = 0; i < 8; ++i)
        recordCrashOf(crashes, { "part" }, processName(i), "same", std::chrono::seconds(i));
    EXPECT_TRUE(blamedParts(crashes).empty());
}

TEST(PartEvidence, CompletedRunClearsPart)
{
    PartCrashes crashes;
    recordFourCrashes(crashes);
    EXPECT_FALSE(blamedParts(crashes).empty());
    recordPartsCompleted(crashes, { part("shared"), part("bad") }, wall(4s));
    EXPECT_TRUE(blamedParts(crashes).empty());
}

TEST(PartEvidence, PartsBesideABlamedPartAreNotBlamed)
{
    PartCrashes crashes;
    recordFourCrashes(crashes);
    for (int i = 0; i < 3; ++i)
        recordCrashOf(crashes, { "beside" }, processName(i), "b" + std::to_string(i),
                      std::chrono::seconds(i));
    recordPartsCompleted(crashes, { part("shared") }, wall(3500ms));
    EXPECT_EQ(blamedParts(crashes), std::set{ part("bad") });
}

TEST(PartEvidence, TwoPartsThatCrashUpstreamsAtTheSameTimeAreBlamed)
{
    PartCrashes crashes;
    for (int i = 0; i < 13; ++i) {
        const bool isFirst = i % 3 != 0;
        recordCrashOf(crashes, { "shared", isFirst ? "first" : "second" }, processName(i),
                      "r" + std::to_string(i), std::chrono::milliseconds(100 * i));
    }
    recordPartsCompleted(crashes, { part("shared") }, wall(1100ms));
    const std::set expected{ part("first"), part("second") };
    EXPECT_EQ(blamedParts(crashes), expected);
}

// Guards against a blame that the ids of the parts decide where no run was completed yet, as after
// a restart: the part that all requests share was blamed in place of the one that crashes.
TEST(PartEvidence, PartThatIsWrittenOnIsNotBlamedInPlaceOfTheCrashingOne)
{
    for (const std::string crashing : { "aaa", "zzz" }) {
        PartCrashes crashes;
        recordPartsWritten(crashes, { part("shared") }, wall(-1s));
        for (int i = 0; i < 5; ++i)
            recordCrashOf(crashes, { "shared", crashing }, processName(i), "r" + std::to_string(i),
                          std::chrono::milliseconds(600 * i));
        EXPECT_EQ(blamedParts(crashes), std::set{ part(crashing) });
    }
}

TEST(PartEvidence, EarlierCompletionDoesNotReplaceALaterOne)
{
    PartCrashes crashes;
    recordFourCrashes(crashes);
    recordPartsCompleted(crashes, { part("bad") }, wall(4s));
    recordPartsCompleted(crashes, { part("bad") }, wall(2s));
    EXPECT_EQ(crashes.known[part("bad")].completedAt, wall(4s));
    EXPECT_EQ(crashes.completedAt[part("bad")], wall(4s));
}

// Guards against a report for each stream that began before the crashes: it clears none of them.
TEST(PartEvidence, RunThatBeganBeforeTheCrashesIsNotShared)
{
    PartCrashes crashes;
    recordFourCrashes(crashes);
    ASSERT_TRUE(isPartShareDue(crashes, at(5s)));
    takePartsToShare(crashes);
    recordPartsCompleted(crashes, { part("shared") }, wall(-1s));
    EXPECT_FALSE(isPartShareDue(crashes, at(6s)));
    recordPartsCompleted(crashes, { part("shared") }, wall(2s));
    EXPECT_TRUE(isPartShareDue(crashes, at(7s)));
}

// Guards against evidence that is dropped unheard because a run cleared only the crashes before it.
TEST(PartEvidence, CrashesAfterARunAreSharedAlthoughItClearedEarlierOnes)
{
    PartCrashes crashes;
    recordFourCrashes(crashes);
    recordPartsCompleted(crashes, { part("bad") }, wall(1500ms));
    ASSERT_TRUE(isPartShareDue(crashes, at(5s)));
    const PartEvidenceSet shared = takePartsToShare(crashes);
    ASSERT_TRUE(shared.contains(part("bad")));
    EXPECT_EQ(unclearedCrashes(shared.at(part("bad"))).size(), 2U);
}

TEST(PartEvidence, PartAtFewOfTheCrashesIsNotBlamed)
{
    PartCrashes crashes;
    for (int i = 0; i < 12; ++i) {
        const std::string id = i % 3 == 0 ? "common" : "rare" + std::to_string(i);
        recordCrashOf(crashes, { id }, processName(i), "r" + std::to_string(i),
                      std::chrono::milliseconds(100 * i));
    }
    EXPECT_TRUE(blamedParts(crashes).empty());
}

TEST(PartEvidence, PartThatWasSoundBeforeIsNotBlamedForSimultaneousCrashes)
{
    for (const bool isCompleted : { true, false }) {
        PartCrashes crashes;
        if (isCompleted)
            recordPartsCompleted(crashes, { part("p") }, wall(-10s));
        else
            recordPartsWritten(crashes, { part("p") }, wall(-10s));
        for (int i = 0; i < 8; ++i)
            recordCrashOf(crashes, { "p" }, processName(i), "r" + std::to_string(i),
                          std::chrono::milliseconds(50 * i));
        EXPECT_TRUE(blamedParts(crashes).empty());
        for (int i = 8; i < 12; ++i)
            recordCrashOf(crashes, { "p" }, processName(i), "r" + std::to_string(i),
                          std::chrono::seconds(i));
        EXPECT_EQ(blamedParts(crashes), std::set{ part("p") }) << "it crashes upstreams by now";
    }
}

TEST(PartEvidence, RoutersJoinTheirEvidence)
{
    PartCrashes first;
    PartCrashes second;
    recordCrashOf(first, { "bad" }, "u1", "r1", 0s);
    recordCrashOf(first, { "bad" }, "u2", "r2", 100ms);
    recordCrashOf(second, { "bad" }, "u3", "r3", 200ms);
    recordCrashOf(second, { "bad" }, "u4", "r4", 300ms);
    EXPECT_TRUE(blamedParts(first).empty());
    EXPECT_FALSE(isPartShareDue(second, at(400ms)));
    EXPECT_TRUE(isPartShareDue(second, at(1s)));
    EXPECT_TRUE(mergeReceivedParts(first, takePartsToShare(second)));
    EXPECT_EQ(blamedParts(first), std::set{ part("bad") });
    EXPECT_FALSE(isPartShareDue(second, at(20s))) << "all is shared";
}

TEST(PartEvidence, CompletedPartIsNotShared)
{
    PartCrashes crashes;
    recordCrashOf(crashes, { "sound" }, "u1", "r1", 0s);
    recordPartsCompleted(crashes, { part("sound") }, wall(300ms));
    EXPECT_FALSE(isPartShareDue(crashes, at(10s)));
    EXPECT_TRUE(takePartsToShare(crashes).empty());
}

TEST(PartEvidence, CompletionAtAnotherRouterClearsPart)
{
    PartCrashes observer;
    PartCrashes completer;
    for (int i = 0; i < 4; ++i)
        recordCrashOf(observer, { "p" }, processName(i), "r" + std::to_string(i),
                      std::chrono::seconds(i));
    EXPECT_FALSE(blamedParts(observer).empty());
    ASSERT_TRUE(isPartShareDue(observer, at(5s)));
    recordPartsCompleted(completer, { part("p") }, wall(4s));
    EXPECT_TRUE(mergeReceivedParts(completer, takePartsToShare(observer)));
    EXPECT_TRUE(blamedParts(completer).empty());
    ASSERT_TRUE(isPartShareDue(completer, at(6s))) << "the observer doesn't know of the completion";
    mergeReceivedParts(observer, takePartsToShare(completer));
    EXPECT_TRUE(blamedParts(observer).empty());
    EXPECT_FALSE(isPartShareDue(completer, at(20s)));
}

TEST(PartEvidence, EvidenceIsBoundedAndExpires)
{
    PartCrashes crashes;
    for (int i = 0; i < 3000; ++i) {
        const std::string id = "p" + std::to_string(i);
        recordCrashOf(crashes, { id, "bad" }, processName(i), "r" + std::to_string(i),
                      std::chrono::seconds(i));
        recordPartsCompleted(
            crashes,
            { part("done" + std::to_string(2 * i)), part("done" + std::to_string(2 * i + 1)) },
            wall(std::chrono::seconds(i)));
    }
    isPartShareDue(crashes, at(4000s));
    expireParts(crashes, wall(3000s));
    EXPECT_LE(crashes.known.size(), 1024U);
    EXPECT_LE(crashes.known[part("bad")].crashes.size(), 32U);
    EXPECT_LE(crashes.known[part("bad")].requests.size(), 4U);
    EXPECT_LE(crashes.crashed[engines].size(), 256U);
    EXPECT_LE(crashes.completedAt.size(), 4096U);
    const PartEvidenceSet shared = takePartsToShare(crashes);
    EXPECT_LE(shared.size(), 64U);
    EXPECT_TRUE(shared.contains(part("bad"))) << "the part with the most crashes is kept";
    EXPECT_FALSE(blamedParts(crashes).empty());
    expireParts(crashes, wall(3h));
    EXPECT_TRUE(crashes.known.empty());
    EXPECT_TRUE(blamedParts(crashes).empty());
}

namespace {

const kernel::VmId self("vm-2");

// A router that saw all four crashes, and blames the part from the fourth second on.
PartCrashes blamingRouter()
{
    PartCrashes crashes;
    for (int i = 0; i < 4; ++i)
        recordCrashOf(crashes, { "shared" }, processName(i), "r" + std::to_string(i),
                      std::chrono::seconds(i));
    recordBlame(crashes, updateBlame(crashes).blamed, at(4s));
    return crashes;
}

bool mayTry(const PartCrashes &crashes, kernel::Duration time,
            const std::vector<PromptPartKey> &parts = { part("shared"), part("fresh") })
{
    return partToTry(crashes, parts, self, at(time), wall(time)) == part("shared");
}

} // namespace

TEST(PartTrial, BlamedPartIsTriedTwiceAtMost)
{
    PartCrashes crashes = blamingRouter();
    EXPECT_FALSE(mayTry(crashes, 4500ms)) << "other routers may clear it";
    ASSERT_TRUE(mayTry(crashes, 5s));
    {
        PartTrial trial(crashes, part("shared"));
        EXPECT_FALSE(mayTry(crashes, 5s));
        EXPECT_TRUE(isTrialUnderWay(crashes, { part("shared"), part("fresh") }));
    }
    ASSERT_TRUE(mayTry(crashes, 6s)) << "it was not sent";
    PartTrial(crashes, part("shared")).recordSent(wall(6s));
    EXPECT_FALSE(isTrialUnderWay(crashes, { part("shared") }));
    EXPECT_FALSE(mayTry(crashes, 20s));
    ASSERT_TRUE(mayTry(crashes, 21s));
    PartTrial(crashes, part("shared")).recordSent(wall(21s));
    EXPECT_FALSE(mayTry(crashes, 10min));
}

TEST(PartTrial, RequestWithAnotherSuspectIsNoTrial)
{
    PartCrashes crashes = blamingRouter();
    for (int i = 0; i < 3; ++i)
        recordCrashOf(crashes, { "other" }, processName(i), "o" + std::to_string(i),
                      std::chrono::seconds(i));
    recordCrashOf(crashes, { "rare" }, processName(0), "rare", 0s);
    updateBlame(crashes);
    EXPECT_FALSE(mayTry(crashes, 8s, { part("shared"), part("other") }));
    EXPECT_TRUE(mayTry(crashes, 8s, { part("shared"), part("rare") }));
    EXPECT_FALSE(mayTry(crashes, 8s, { part("fresh") }));
}

TEST(PartTrial, RoutersTryOneAfterTheOther)
{
    PartCrashes crashes = blamingRouter();
    recordReporter(crashes, kernel::VmId("vm-3"), crashes.known);
    EXPECT_TRUE(mayTry(crashes, 5s)) << "it comes later";
    recordReporter(crashes, kernel::VmId("vm-1"), crashes.known);
    EXPECT_FALSE(mayTry(crashes, 9s));
    EXPECT_TRUE(mayTry(crashes, 10s)) << "the first one had no request with the part";
    PartEvidenceSet reported{ { part("shared"), { .trials = { wall(5s) } } } };
    EXPECT_TRUE(mergeReceivedParts(crashes, reported));
    EXPECT_FALSE(mayTry(crashes, 20s));
    EXPECT_TRUE(mayTry(crashes, 25s));
}

TEST(PartTrial, RouterThatSawNoCrashTriesNothing)
{
    const PartCrashes observer = blamingRouter();
    PartCrashes crashes;
    mergeReceivedParts(crashes, observer.known);
    recordBlame(crashes, updateBlame(crashes).blamed, at(4s));
    EXPECT_EQ(crashes.blamed.parts, std::set{ part("shared") });
    EXPECT_FALSE(mayTry(crashes, 10min));
}

TEST(PartTrial, TrialsBeforeACompletedRunDoNotCount)
{
    PartCrashes crashes = blamingRouter();
    PartTrial(crashes, part("shared")).recordSent(wall(6s));
    PartTrial(crashes, part("shared")).recordSent(wall(21s));
    recordPartsCompleted(crashes, { part("shared") }, wall(25s));
    EXPECT_EQ(updateBlame(crashes).cleared, std::vector{ part("shared") });
    for (int i = 0; i < 4; ++i)
        recordCrashOf(crashes, { "shared" }, "later" + std::to_string(i), "l" + std::to_string(i),
                      std::chrono::seconds(100 + i));
    recordBlame(crashes, updateBlame(crashes).blamed, at(104s));
    EXPECT_TRUE(mayTry(crashes, 105s));
}
