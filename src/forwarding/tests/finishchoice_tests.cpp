#include <algorithm>
#include <cmath>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"
#include "queueworld.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

const CostKey key{ kernel::ServiceName("models"), "large", RouteName("stories") };
constexpr kernel::Instant start(100s);

// Returns the arrivals per second that use the given part of the upstreams' capacity, judged by the
// work that is left if every request goes where it finishes first.
double arrivalsAt(double load, const QueueWorldOptions &options)
{
    QueueWorldOptions quiet = options;
    quiet.rule = PlacementRule::Perfect;
    quiet.arrivalsPerSecond = 150;
    quiet.slowdown = 1;
    const double meanSpeed = 0.75 * 1.15 + 0.25 * 0.55;
    return load * options.upstreams * meanSpeed * 1000 / playQueueWorld(quiet).meanReadMs();
}

FirstEventObservation observation(double baseMs, double workMs, double actualMs, int upstream,
                                  int caller)
{
    return { baseMs, workMs, actualMs, kernel::UpstreamId("u" + std::to_string(upstream)),
             "caller-" + std::to_string(caller) };
}

// Records requests of 1,000 tokens that take `msPerToken`, from different callers and upstreams.
void teach(CostEstimates &estimates, double msPerToken, int count)
{
    for (int i = 0; i < count; ++i) {
        const CostRates rates = costRates(estimates, key, 1);
        recordFirstEvent(estimates, key,
                         observation(rates.baseMs, 4000 * rates.readMsPerToken,
                                     rates.baseMs + 4000 * msPerToken, i % 20, i % 30));
    }
}

struct LoadCase
{
    int routers;
    double load;
};

class PlacementTest : public testing::TestWithParam<LoadCase>
{};

} // namespace

TEST_P(PlacementTest, IsHalfwayToPerfectKnowledge)
{
    QueueWorldOptions options;
    options.routers = GetParam().routers;
    options.arrivalsPerSecond = arrivalsAt(GetParam().load, options);
    const auto play = [&](PlacementRule rule) {
        options.rule = rule;
        return playQueueWorld(options);
    };
    const QueueWorldResult affinity = play(PlacementRule::Affinity);
    const QueueWorldResult finish = play(PlacementRule::Finish);
    const QueueWorldResult perfect = play(PlacementRule::Perfect);
    RecordProperty("in_time_affinity", std::to_string(affinity.shareInTime()));
    RecordProperty("in_time_finish", std::to_string(finish.shareInTime()));
    RecordProperty("in_time_perfect", std::to_string(perfect.shareInTime()));
    EXPECT_GE(finish.shareInTime(), (affinity.shareInTime() + perfect.shareInTime()) / 2)
        << "affinity " << affinity.shareInTime() << ", perfect " << perfect.shareInTime();
    EXPECT_LE(finish.busiestShare, 1.6) << "affinity " << affinity.busiestShare;
}

INSTANTIATE_TEST_SUITE_P(Routers, PlacementTest,
                         testing::Values(LoadCase{ 1, 0.7 }, LoadCase{ 1, 0.9 }, LoadCase{ 1, 1.1 },
                                         LoadCase{ 5, 0.7 }, LoadCase{ 5, 0.9 }, LoadCase{ 5, 1.1 },
                                         LoadCase{ 63, 0.7 }, LoadCase{ 63, 0.9 },
                                         LoadCase{ 63, 1.1 }));

TEST(FinishChoiceTest, SlowUpstreamGetsItsDuePartOnly)
{
    QueueWorldOptions options;
    options.routers = 5;
    options.slowdown = 5;
    options.arrivalsPerSecond = arrivalsAt(0.7, options);
    const QueueWorldResult result = playQueueWorld(options);
    EXPECT_LT(result.firstUpstreamShareAtEnd, 0.6);
    EXPECT_GT(result.firstUpstreamShareAtEnd, 0.0);
}

TEST(FinishChoiceTest, FewUpstreamsAreChosenByAffinity)
{
    std::vector<Upstream> upstreams(minUpstreamsForFinishChoice - 1);
    std::vector<const Upstream *> candidates;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i].id = kernel::UpstreamId("u" + std::to_string(i));
        candidates.push_back(&upstreams[i]);
    }
    const FinishQuery finish{ .promptTokens = 100, .readMsPerToken = 1 };
    UpstreamQuery query{ .affinity = "session", .finish = &finish, .now = start };
    kernel::Random random(1);
    EXPECT_EQ(chooseUpstream(candidates, {}, query, random).reason, ChoiceReason::Affinity);
    Upstream another;
    another.id = kernel::UpstreamId("another");
    candidates.push_back(&another);
    EXPECT_EQ(chooseUpstream(candidates, {}, query, random).reason, ChoiceReason::ExpectedFinish);
}

TEST(FinishChoiceTest, HolderOfPromptIsPreferredUntilItsBacklogCostsMore)
{
    std::vector<Upstream> upstreams(40);
    std::vector<const Upstream *> candidates;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i].id = kernel::UpstreamId("u" + std::to_string(i));
        candidates.push_back(&upstreams[i]);
    }
    const FinishQuery finish{ .promptTokens = 1000,
                              .sharedTokens = 900,
                              .baseMs = 5,
                              .readMsPerToken = 0.1,
                              .holders = { { processIdOf(upstreams[7]), 900 } } };
    const UpstreamQuery query{ .finish = &finish, .now = start };
    UpstreamRecords records;
    kernel::Random random(1);
    EXPECT_EQ(chooseByFinish(candidates, records, query, random), &upstreams[7]);
    records[upstreams[7].id].backlog.othersMs = 200;
    records[upstreams[7].id].backlog.othersAt = start;
    EXPECT_EQ(chooseByFinish(candidates, records, query, random), &upstreams[7]);
    records[upstreams[7].id].backlog.othersMs = 1000;
    EXPECT_NE(chooseByFinish(candidates, records, query, random), &upstreams[7]);
}

TEST(FinishChoiceTest, RoutersWithoutKnowledgeSelectTheSameUpstreamForSession)
{
    std::vector<Upstream> upstreams(40);
    std::vector<const Upstream *> candidates;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i].id = kernel::UpstreamId("u" + std::to_string(i));
        candidates.push_back(&upstreams[i]);
    }
    const FinishQuery finish{
        .promptTokens = 1000, .sharedTokens = 900, .baseMs = 5, .readMsPerToken = 0.1
    };
    const UpstreamQuery query{ .affinity = "session", .finish = &finish, .now = start };
    UpstreamRecords records;
    kernel::Random random(1);
    const Upstream *first = chooseByFinish(candidates, records, query, random);
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        random.seed(seed);
        EXPECT_EQ(chooseByFinish(candidates, records, query, random), first);
    }
    records[first->id].backlog.othersMs = 1000;
    records[first->id].backlog.othersAt = start;
    EXPECT_NE(chooseByFinish(candidates, records, query, random), first);
}

TEST(FinishChoiceTest, EqualUpstreamsShareRequestsWithoutPromptParts)
{
    std::vector<Upstream> upstreams(30);
    std::vector<const Upstream *> candidates;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i].id = kernel::UpstreamId("u" + std::to_string(i));
        candidates.push_back(&upstreams[i]);
    }
    const FinishQuery finish{ .promptTokens = 1000, .baseMs = 5, .readMsPerToken = 0.1 };
    const UpstreamQuery query{ .finish = &finish, .now = start };
    kernel::Random random(1);
    std::map<const Upstream *, int> counts;
    for (int i = 0; i < 3000; ++i)
        ++counts[chooseByFinish(candidates, {}, query, random)];
    EXPECT_EQ(counts.size(), upstreams.size());
    for (const auto &[upstream, count] : counts)
        EXPECT_LT(count, 200) << upstream->id;
}

TEST(CostEstimateTest, PriceOrdersModelsBeforeAnythingIsLearned)
{
    Configuration configuration;
    configuration.services[key.service].models = { { "small", 0.1 }, { "large", 0.3 } };
    EXPECT_DOUBLE_EQ(relativePrice(configuration, key.service, "large"), 1.5);
    EXPECT_DOUBLE_EQ(relativePrice(configuration, key.service, "small"), 0.5);
    EXPECT_DOUBLE_EQ(relativePrice(configuration, key.service, "other"), 1);
    const CostRates rates = costRates({}, key, 1.5);
    EXPECT_GT(rates.readMsPerToken, 0);
    EXPECT_GT(rates.baseMs, 0);
    EXPECT_GT(rates.readMsPerToken, costRates({}, key, 0.5).readMsPerToken);
}

TEST(CostEstimateTest, FollowsTheActualTimesAndForgets)
{
    CostEstimates estimates;
    teach(estimates, 0.05, 60);
    EXPECT_NEAR(costRates(estimates, key, 1).readMsPerToken, 0.05, 0.005);
    teach(estimates, 0.01, 200);
    EXPECT_NEAR(costRates(estimates, key, 1).readMsPerToken, 0.01, 0.001);
}

TEST(CostEstimateTest, NewRouteStartsFromItsService)
{
    CostEstimates estimates;
    teach(estimates, 0.15, 100);
    CostKey other = key;
    other.route = RouteName("other");
    EXPECT_GT(costRates(estimates, other, 1).readMsPerToken,
              1.2 * costRates({}, other, 1).readMsPerToken);
}

TEST(CostEstimateTest, OneCallerOrUpstreamDoesNotMoveTheEstimateFar)
{
    for (const bool caller : { true, false }) {
        CostEstimates estimates;
        teach(estimates, 0.02, 100);
        for (int i = 0; i < 100; ++i) {
            teach(estimates, 0.02, 1);
            const CostRates rates = costRates(estimates, key, 1);
            recordFirstEvent(estimates, key,
                             observation(rates.baseMs, 4000 * rates.readMsPerToken, 60'000,
                                         caller ? i % 20 : 99, caller ? 99 : i % 30));
        }
        EXPECT_LT(costRates(estimates, key, 1).readMsPerToken, 0.04) << caller;
    }
}

TEST(CostEstimateTest, ManyModelNamesTakeBoundedMemory)
{
    CostEstimates estimates;
    for (int i = 0; i < 5000; ++i) {
        CostKey other = key;
        other.model = "model-" + std::to_string(i);
        recordFirstEvent(estimates, other, observation(5, 100, 200, i, i));
    }
    EXPECT_LE(estimates.routes.size(), 512U);
}

TEST(CostEstimateTest, CachedTokensAreNotReadAndLongPromptsTakeMore)
{
    EXPECT_DOUBLE_EQ(weightedReadTokens(1000, 1000), 0);
    EXPECT_GT(weightedReadTokens(40'000, 0), 10.1 * weightedReadTokens(4000, 0));
    EXPECT_DOUBLE_EQ(weightedReadTokens(500, 2000), 0);
}

TEST(CostEstimateTest, CallersHintReplacesTheUsualOutput)
{
    ModelWork work{ .maxOutputTokens = 400 };
    EXPECT_DOUBLE_EQ(expectedOutputTokens(work), 200);
    work.expectedOutputTokens = 30;
    EXPECT_DOUBLE_EQ(expectedOutputTokens(work), 30);
    work.expectedOutputTokens = 9000;
    EXPECT_DOUBLE_EQ(expectedOutputTokens(work), 400);
}

TEST(UpstreamBacklogTest, RequestCountsByWhatIsLeftOfIt)
{
    UpstreamBacklog backlog;
    startWork(backlog, { .number = 1,
                         .readMs = 100,
                         .outputWorkMs = 40,
                         .outputMs = 1000,
                         .expectedFirstMs = 100,
                         .startedAt = start });
    const double before = ownRemainingMs(backlog, start + 50ms);
    EXPECT_GE(before, 100);
    recordFirstEventOf(backlog, 1, 100, 100, start + 100ms);
    const double writing = ownRemainingMs(backlog, start + 200ms);
    EXPECT_LT(writing, 20);
    EXPECT_LT(ownRemainingMs(backlog, start + 900ms), writing);
    finishWork(backlog, 1);
    EXPECT_EQ(ownRemainingMs(backlog, start + 1s), 0);
    finishWork(backlog, 1);
}

TEST(UpstreamBacklogTest, WhatOthersReportedFades)
{
    UpstreamBacklog backlog;
    backlog.othersMs = 300;
    backlog.othersAt = start;
    EXPECT_DOUBLE_EQ(remainingMs(backlog, start), 300);
    EXPECT_LT(remainingMs(backlog, start + 3s), 100);
}

TEST(UpstreamBacklogTest, WaitingRequestShowsSlowUpstreamAtOnce)
{
    UpstreamBacklog backlog;
    startWork(backlog, { .number = 1, .readMs = 200, .expectedFirstMs = 200, .startedAt = start });
    EXPECT_DOUBLE_EQ(speedOf(backlog, start + 300ms), 1);
    EXPECT_LT(speedOf(backlog, start + 1600ms), 0.3);
}

TEST(UpstreamBacklogTest, SpeedIsLearnedAndForgotten)
{
    UpstreamBacklog backlog;
    for (int i = 0; i < 40; ++i)
        recordFirstEventOf(backlog, 0, 100, 500, start);
    EXPECT_NEAR(speedOf(backlog, start), 0.2, 0.03);
    EXPECT_GT(speedOf(backlog, start + 120s), 0.9);
}

TEST(SentPromptsTest, ReadersAreFoundByModelAndStart)
{
    const kernel::ServiceName service("models");
    const std::vector<PromptPart> parts{ { "a", 100 }, { "b", 200 }, { "c", 50 } };
    const kernel::UpstreamId process("u1@5");
    SentPrompts sent;
    recordPrompt(sent, service, "m", parts, process, start);
    const auto holders = findHolders(sent, service, "m", parts, start);
    ASSERT_EQ(holders.size(), 1U);
    EXPECT_EQ(holders.front().process, process);
    EXPECT_DOUBLE_EQ(holders.front().tokens, 300);
    EXPECT_TRUE(findHolders(sent, service, "other", parts, start).empty());
    const std::vector<PromptPart> otherParts{ { "a", 100 }, { "x", 9 }, { "y", 9 } };
    const auto other = findHolders(sent, service, "m", otherParts, start);
    ASSERT_EQ(other.size(), 1U);
    EXPECT_DOUBLE_EQ(other.front().tokens, 100);
    EXPECT_LT(findHolders(sent, service, "m", parts, start + 60s).front().tokens, 20);
}

TEST(SentPromptsTest, MemoryIsBounded)
{
    SentPrompts sent;
    for (int i = 0; i < 30'000; ++i) {
        recordPrompt(sent, kernel::ServiceName("models"), "m",
                     { { "session-" + std::to_string(i), 100 }, { "own", 1 } },
                     kernel::UpstreamId("u1"), start + std::chrono::milliseconds(i));
    }
    EXPECT_LE(sent.starts.size(), 8192U);
    EXPECT_LE(sent.uses.size(), 8192U);
}
