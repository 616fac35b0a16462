#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

const kernel::ServiceName engines("engines");

Route makeRoute(const std::string &name, kernel::Duration objective)
{
    Route route;
    route.name = RouteName(name);
    route.latencyObjective = objective;
    route.services = { { engines, 1 } };
    return route;
}

std::vector<Upstream> makeUpstreams(int count)
{
    std::vector<Upstream> upstreams(static_cast<std::size_t>(count));
    for (std::size_t i = 0; i < upstreams.size(); ++i)
        upstreams[i].id = kernel::UpstreamId("u" + std::to_string(i));
    return upstreams;
}

std::vector<const Upstream *> pointers(const std::vector<Upstream> &upstreams)
{
    std::vector<const Upstream *> result(upstreams.size());
    std::ranges::transform(upstreams, result.begin(), [](const Upstream &one) { return &one; });
    return result;
}

// Simulates many routers in front of upstreams that run one request after the other. Each router
// knows only its own requests. Most requests are short; the few long ones take the same total time.
class LoadSimulation
{
public:
    explicit LoadSimulation(bool usesLanes)
        : m_usesLanes(usesLanes)
        , m_upstreams(makeUpstreams(upstreamCount))
        , m_candidates(pointers(m_upstreams))
        , m_routers(routerCount)
        , m_freeAtSeconds(upstreamCount, 0.0)
    {}

    // Returns the seconds that the short requests waited, the longest first.
    std::vector<double> simulate()
    {
        std::vector<double> waits;
        double nowSeconds = 0;
        for (int i = 0; i < requestCount; ++i) {
            nowSeconds += 2 * meanSecondsBetweenRequests * kernel::uniform01(m_random);
            const bool isLong = i % longEvery == 0;
            const double waitSeconds = sendRequest(nowSeconds, isLong, i);
            if (!isLong)
                waits.push_back(waitSeconds);
        }
        std::ranges::sort(waits, std::greater<>{});
        return waits;
    }

private:
    static constexpr int upstreamCount = 60;
    static constexpr int routerCount = 20;
    static constexpr int requestCount = 40'000;
    static constexpr int longEvery = 20;
    static constexpr double shortSeconds = 0.1;
    static constexpr double longSeconds = 1.9;
    // Mean time between requests, with which a third of the upstreams' capacity is used.
    static constexpr double meanSecondsBetweenRequests = 0.0095;

    struct Router
    {
        UpstreamRecords records;
        LaneWork work;
        std::vector<std::pair<double, std::pair<kernel::UpstreamId, double>>> runningRequests;
    };

    double sendRequest(double nowSeconds, bool isLong, int number)
    {
        Router &router = m_routers[kernel::uniformBelow(m_random, routerCount)];
        endFinished(router, nowSeconds);
        const std::string session = std::to_string(number % 997);
        UpstreamQuery query;
        query.affinity = session;
        query.work = isLong ? longSeconds : shortSeconds;
        if (m_usesLanes) {
            query.lane = isLong ? Lane::LongObjective : Lane::ShortObjective;
            recordWork(router.work, query.lane, query.work);
            query.longObjectiveFraction = longObjectiveFraction(router.work);
        }
        const Upstream *chosen
            = chooseUpstream(m_candidates, router.records, query, m_random).upstream;
        recordStart(router.records[chosen->id], query.work);
        double &freeAtSeconds
            = m_freeAtSeconds[static_cast<std::size_t>(chosen - m_upstreams.data())];
        const double beginSeconds = std::max(freeAtSeconds, nowSeconds);
        freeAtSeconds = beginSeconds + query.work;
        router.runningRequests.push_back({ freeAtSeconds, { chosen->id, query.work } });
        return beginSeconds - nowSeconds;
    }

    static void endFinished(Router &router, double nowSeconds)
    {
        std::erase_if(router.runningRequests, [&](const auto &running) {
            if (running.first > nowSeconds)
                return false;
            recordFinish(router.records[running.second.first], AttemptOutcome::Succeeded,
                         running.second.second, 0, {});
            return true;
        });
    }

    bool m_usesLanes;
    std::vector<Upstream> m_upstreams;
    std::vector<const Upstream *> m_candidates;
    std::vector<Router> m_routers;
    std::vector<double> m_freeAtSeconds;
    kernel::Random m_random{ 7 };
};

} // namespace

TEST(Lanes, ModelRoutesAreDividedByObjective)
{
    Configuration configuration;
    configuration.services[engines] = { .name = engines, .memoryTokens = 1000 };
    const Route shortObjective = makeRoute("tight", 1500ms);
    const Route longObjective = makeRoute("patient", 6s);
    configuration.routes = { longObjective, shortObjective };
    const TightestObjectives tightest = tightestObjectives(configuration);
    EXPECT_EQ(laneOf(tightest, engines, shortObjective), Lane::ShortObjective);
    EXPECT_EQ(laneOf(tightest, engines, longObjective), Lane::LongObjective);
    EXPECT_EQ(laneOf(tightest, engines, makeRoute("near", 2s)), Lane::ShortObjective);
}

TEST(Lanes, ServicesWithoutModelsHaveNoLanes)
{
    Configuration configuration;
    configuration.services[engines] = { .name = engines };
    configuration.routes = { makeRoute("tight", 100ms), makeRoute("patient", 6s) };
    const TightestObjectives tightest = tightestObjectives(configuration);
    EXPECT_EQ(laneOf(tightest, engines, configuration.routes[1]), Lane::Any);
}

TEST(Lanes, NoUpstreamIsInBothLanes)
{
    const std::vector<Upstream> upstreams = makeUpstreams(100);
    const auto shortObjective = laneUpstreams(pointers(upstreams), Lane::ShortObjective, 0.4);
    const auto longObjective = laneUpstreams(pointers(upstreams), Lane::LongObjective, 0.4);
    EXPECT_EQ(shortObjective.size() + longObjective.size(), upstreams.size());
    std::set<const Upstream *> all(shortObjective.begin(), shortObjective.end());
    all.insert(longObjective.begin(), longObjective.end());
    EXPECT_EQ(all.size(), upstreams.size());
    EXPECT_NEAR(static_cast<double>(longObjective.size()), 40, 15);
}

TEST(Lanes, FewUpstreamsAreNotDivided)
{
    const std::vector<Upstream> upstreams = makeUpstreams(10);
    EXPECT_EQ(laneUpstreams(pointers(upstreams), Lane::ShortObjective, 0.5).size(), 10U);
}

TEST(Lanes, LongObjectiveFractionFollowsWork)
{
    LaneWork recent;
    EXPECT_EQ(longObjectiveFraction(recent), 0) << "no request has a long objective";
    for (int i = 0; i < 1000; ++i)
        recordWork(recent, i % 2 == 0 ? Lane::LongObjective : Lane::ShortObjective, 10);
    const double even = longObjectiveFraction(recent);
    EXPECT_GT(even, 0.5);
    for (int i = 0; i < 1000; ++i)
        recordWork(recent, i % 10 == 0 ? Lane::LongObjective : Lane::ShortObjective, 10);
    EXPECT_LT(longObjectiveFraction(recent), even / 2);
}

TEST(Lanes, LanesShortenWaitsOfShortRequests)
{
    const std::vector<double> withoutLanes = LoadSimulation(false).simulate();
    const std::vector<double> withLanes = LoadSimulation(true).simulate();
    const std::size_t percentile95Index = withoutLanes.size() / 20;
    EXPECT_GT(withoutLanes[percentile95Index], 1.5) << "the load is too low for a comparison";
    EXPECT_LT(withLanes[percentile95Index], withoutLanes[percentile95Index] / 3);
}
