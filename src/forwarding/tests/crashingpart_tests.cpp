#include <array>
#include <string>
#include <tuple>

#include <gtest/gtest.h>

#include "forwarding/tests/crashingfleet.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace acaciasail::forwarding::tests;
using namespace std::chrono_literals;

namespace {

// Number of crashes after which the routers must recognise a part, the time that they may take for
// it, and the number of requests with the part that may still reach upstreams later.
constexpr std::size_t crashesToDetect = 5;
constexpr kernel::Duration detectionTime = 3s;
constexpr int maxArrivalsAfterDetection = 3;
// Time from that crash until sound requests must be served again, at least half as often as before.
constexpr kernel::Duration recoveryTime = 6s;
constexpr double minAnsweredShare = 0.5;

using Parameters = std::tuple<CrashMoment, bool>;

class CrashingPartTest : public ::testing::TestWithParam<Parameters>
{
protected:
    static CrashingFleetOptions makeOptions()
    {
        CrashingFleetOptions options;
        options.moment = std::get<0>(GetParam());
        options.crashingPartOpensPrompt = std::get<1>(GetParam());
        return options;
    }

    static kernel::Instant lastAllowedArrival(const CrashingFleet &fleet)
    {
        return fleet.crashes().at(crashesToDetect - 1) + detectionTime;
    }

    static void expectSoundRequestsServed(const CrashingFleet &fleet, kernel::Instant calmStart,
                                          kernel::Instant calmEnd, kernel::Instant end)
    {
        const kernel::Instant from = fleet.crashes().at(crashesToDetect - 1) + recoveryTime;
        for (const bool onlySharedFirstPart : { false, true }) {
            const double before = fleet.answeredShare(calmStart, calmEnd, onlySharedFirstPart);
            const double after = fleet.answeredShare(from, end, onlySharedFirstPart);
            EXPECT_GT(before, 0.9);
            EXPECT_GE(after, minAnsweredShare * before)
                << (onlySharedFirstPart ? "requests with the same first part" : "all requests");
        }
    }
};

std::string nameOf(const ::testing::TestParamInfo<Parameters> &info)
{
    const std::array<std::string, 3> moments{ "BeforeHead", "AfterHead", "WithinStream" };
    const auto [moment, opensPrompt] = info.param;
    return moments.at(static_cast<std::size_t>(moment))
           + (opensPrompt ? "PartFirst" : "PartSecond");
}

} // namespace

TEST_P(CrashingPartTest, RequestsWithPartAreNotSentAnyMore)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CrashingFleetOptions options = makeOptions();
        options.seed = seed;
        CrashingFleet fleet(options);
        fleet.run(5s, false);
        fleet.run(25s, true);
        EXPECT_LE(fleet.crashingArrivalsSince(lastAllowedArrival(fleet)), maxArrivalsAfterDetection)
            << "seed " << seed << ", " << fleet.crashes().size() << " crashes";
    }
}

TEST_P(CrashingPartTest, RequestsThatShareOtherPartsAreServed)
{
    CrashingFleet fleet(makeOptions());
    const kernel::Instant start = fleet.now();
    fleet.run(5s, false);
    const kernel::Instant calmEnd = fleet.now() - 1s;
    fleet.run(25s, true);
    const kernel::Instant end = fleet.now() - 1s;
    fleet.run(2s, false);
    expectSoundRequestsServed(fleet, start, calmEnd, end);
}

TEST_P(CrashingPartTest, RestartedRoutersKnowThePart)
{
    CrashingFleet fleet(makeOptions());
    fleet.run(5s, false);
    fleet.run(10s, true);
    const int before = fleet.crashingArrivalsSince({});
    for (std::size_t i = 0; i < CrashingFleetOptions().routers; ++i) {
        fleet.startRouter(i);
        fleet.run(1s, true);
    }
    EXPECT_EQ(fleet.maxBlamedParts(), 1U);
    EXPECT_LE(fleet.crashingArrivalsSince({}) - before, maxArrivalsAfterDetection);
}

TEST_P(CrashingPartTest, PartIsKnownDespiteSlowReports)
{
    CrashingFleetOptions options = makeOptions();
    options.reportTime = 1s;
    CrashingFleet fleet(options);
    fleet.run(5s, false);
    fleet.run(25s, true);
    EXPECT_LE(fleet.crashingArrivalsSince(lastAllowedArrival(fleet)), maxArrivalsAfterDetection);
}

TEST(CrashingPart, UpstreamsThatCrashByThemselvesBlameNoPart)
{
    for (const std::size_t count : { 1, 3, 6, 12, 20 }) {
        CrashingFleetOptions options;
        options.seed = count;
        CrashingFleet fleet(options);
        fleet.run(5s, false);
        const kernel::Instant start = fleet.now();
        for (int round = 0; round < 6; ++round) {
            fleet.crashUpstreams(count);
            for (int i = 0; i < 25; ++i) {
                fleet.run(100ms, false);
                ASSERT_EQ(fleet.maxBlamedParts(), 0U) << count << " at once, round " << round;
            }
        }
        const kernel::Instant end = fleet.now() - 1s;
        fleet.run(3s, false);
        EXPECT_GE(fleet.answeredShare(start, end, false), 0.9) << count << " at once";
    }
}

// All requests share their first part, and their streams are long: none was completed yet when the
// crashing part comes.
class FirstReportsTest : public ::testing::TestWithParam<std::tuple<std::size_t, std::string>>
{
protected:
    static CrashingFleetOptions makeOptions()
    {
        CrashingFleetOptions options;
        std::tie(options.routers, options.crashingPart) = GetParam();
        options.upstreams = 4;
        options.systemPrompts = 1;
        options.soundPerSecond = 12;
        options.crashingPerSecond = 4;
        options.eventsPerStream = 200;
        return options;
    }
};

// Guards against the blame of the part that all requests share in place of the crashing one: no
// request was served beside it any more.
TEST_P(FirstReportsTest, AreServedBesideACrashingPart)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CrashingFleetOptions options = makeOptions();
        options.seed = seed;
        CrashingFleet fleet(options);
        fleet.run(1200ms, false);
        fleet.run(20s, true);
        ASSERT_GE(fleet.crashes().size(), 4U);
        // The fifth crash, or the last if there are fewer.
        const kernel::Instant lastCrash
            = fleet.crashes()[std::min(fleet.crashes().size(), crashesToDetect) - 1];
        const kernel::Instant from = lastCrash + recoveryTime;
        const kernel::Instant end = fleet.now();
        fleet.run(2s, true);
        EXPECT_GE(fleet.answeredShare(from, end, true), minAnsweredShare) << "seed " << seed;
        EXPECT_LE(fleet.crashingArrivalsSince(lastCrash + detectionTime), maxArrivalsAfterDetection)
            << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, FirstReportsTest,
                         ::testing::Combine(::testing::Values(1, 5),
                                            ::testing::Values("aaa", "zzz")),
                         [](const auto &info) {
                             return std::get<1>(info.param) + "AtRouters"
                                    + std::to_string(std::get<0>(info.param));
                         });

// A quiet service: the first long streams of the day share their first part, and something happens
// that no request causes. Nothing else runs afterwards that would show that the part is sound.
CrashingFleetOptions quietFleet(std::size_t upstreams)
{
    CrashingFleetOptions options;
    options.routers = 2;
    options.upstreams = upstreams;
    options.systemPrompts = 1;
    options.eventsPerStream = 64;
    return options;
}

constexpr int firstStreams = 12;
constexpr int streamsPerRound = 20;

// Both routers, the second of which starts only then, serve what shares the part.
void expectAllServed(CrashingFleet &fleet, kernel::Duration time)
{
    for (const std::size_t router : { 0, 1 })
        EXPECT_EQ(fleet.serve(router, streamsPerRound, time), streamsPerRound)
            << "at router " << router;
    EXPECT_EQ(fleet.maxBlamedParts(), 0U);
}

class QuietCutTest
    : public ::testing::TestWithParam<std::tuple<CutKind, kernel::Duration, kernel::Duration>>
{};

std::string nameOfCut(const ::testing::TestParamInfo<QuietCutTest::ParamType> &info)
{
    const auto [kind, written, cutTime] = info.param;
    return (kind == CutKind::Refused ? "Refused" : "Silent")
           + std::to_string(kernel::toMilliseconds(cutTime)) + "MsAfter"
           + std::to_string(kernel::toMilliseconds(written)) + "Ms";
}

// Guards against a cut that passes for crashes: every request with the shared part was refused for
// an hour.
TEST_P(QuietCutTest, BlamesNoPart)
{
    const auto [kind, written, cutTime] = GetParam();
    CrashingFleet fleet(quietFleet(6));
    fleet.serve(0, firstStreams, written);
    fleet.cutLinks({ 0, 1 }, kind);
    fleet.wait(cutTime);
    fleet.restoreLinks();
    fleet.startRouter(1);
    fleet.wait(6s);
    expectAllServed(fleet, 1s);
}

INSTANTIATE_TEST_SUITE_P(
    Cuts, QuietCutTest,
    ::testing::Combine(::testing::Values(CutKind::Refused, CutKind::Silent),
                       ::testing::Values(kernel::Duration(20ms), kernel::Duration(1s)),
                       ::testing::Values(kernel::Duration(700ms), kernel::Duration(5s),
                                         kernel::Duration(15s))),
    nameOfCut);

class QuietCrashTest
    : public ::testing::TestWithParam<std::tuple<std::size_t, kernel::Duration, kernel::Duration>>
{};

std::string nameOfCrash(const ::testing::TestParamInfo<QuietCrashTest::ParamType> &info)
{
    const auto [upstreams, written, interval] = info.param;
    return std::to_string(upstreams) + "UpstreamsEach"
           + std::to_string(kernel::toMilliseconds(interval)) + "MsAfter"
           + std::to_string(kernel::toMilliseconds(written)) + "Ms";
}

// Guards against the blame of the part that all requests share where upstreams end for reasons of
// their own: as nothing with the part ran any more, nothing could clear it.
TEST_P(QuietCrashTest, BlameOfTheSharedPartEnds)
{
    const auto [upstreams, written, interval] = GetParam();
    CrashingFleet fleet(quietFleet(upstreams));
    fleet.serve(0, firstStreams, written);
    for (std::size_t i = 0; i < upstreams; ++i) {
        fleet.crashUpstreams(1);
        fleet.wait(interval);
    }
    fleet.wait(6s);
    fleet.startRouter(1);
    expectAllServed(fleet, 4s);
}

INSTANTIATE_TEST_SUITE_P(
    Crashes, QuietCrashTest,
    ::testing::Combine(::testing::Values(4U, 6U, 12U),
                       ::testing::Values(kernel::Duration(20ms), kernel::Duration(1s)),
                       ::testing::Values(kernel::Duration::zero(), kernel::Duration(300ms),
                                         kernel::Duration(700ms))),
    nameOfCrash);

INSTANTIATE_TEST_SUITE_P(Moments, CrashingPartTest,
                         ::testing::Combine(::testing::Values(CrashMoment::BeforeHead,
                                                              CrashMoment::AfterHead,
                                                              CrashMoment::WithinStream),
                                            ::testing::Bool()),
                         nameOf);
