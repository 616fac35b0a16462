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
class Load
{
public:
    explicit Load(bool divided)
        : m_divided(divided)
        , m_upstreams(makeUpstreams(upstreamCount))
        , m_candidates(pointers(m_upstreams))
        , m_daemons(daemonCount)
        , m_freeAt(upstreamCount, 0.0)
    {}

    // Returns the seconds that the short requests waited, the longest first.
    std::vector<double> play()
    {
        std::vector<double> waits;
        double now = 0;
        for (int i = 0; i < requestCount; ++i) {
            now += 2 * secondsBetween * kernel::uniform01(m_random);
            const bool isLong = i % longEvery == 0;
            const double wait = ask(now, isLong, i);
            if (!isLong)
                waits.push_back(wait);
        }
        std::ranges::sort(waits, std::greater<>{});
        return waits;
    }

private:
    static constexpr int upstreamCount = 60;
    static constexpr int daemonCount = 20;
    static constexpr int requestCount = 40'000;
    static constexpr int longEvery = 20;
    static constexpr double shortSeconds = 0.1;
    static constexpr double longSeconds = 1.9;
    // Mean time between requests, with which a third of the upstreams' capacity is used.
    static constexpr double secondsBetween = 0.0095;

    struct Daemon
    {
        UpstreamRecords records;
        LaneWork work;
        std::vector<std::pair<double, std::pair<kernel::UpstreamId, double>>> ends;
    };

    double ask(double now, bool isLong, int number)
    {
        Daemon &daemon = m_daemons[kernel::uniformBelow(m_random, daemonCount)];
        endFinished(daemon, now);
        const std::string session = std::to_string(number % 997);
        UpstreamQuery query;
        query.affinity = session;
        query.work = isLong ? longSeconds : shortSeconds;
        if (m_divided) {
            query.lane = isLong ? Lane::Patient : Lane::Tight;
            noteWork(daemon.work, query.lane, query.work);
            query.patientPart = patientPart(daemon.work);
        }
        const Upstream *chosen
            = chooseUpstream(m_candidates, daemon.records, query, m_random).upstream;
        noteBegin(daemon.records[chosen->id], query.work);
        double &freeAt = m_freeAt[static_cast<std::size_t>(chosen - m_upstreams.data())];
        const double begin = std::max(freeAt, now);
        freeAt = begin + query.work;
        daemon.ends.push_back({ freeAt, { chosen->id, query.work } });
        return begin - now;
    }

    static void endFinished(Daemon &daemon, double now)
    {
        std::erase_if(daemon.ends, [&](const auto &end) {
            if (end.first > now)
                return false;
            noteEnd(daemon.records[end.second.first], RunOutcome::Good, end.second.second, 0, {});
            return true;
        });
    }

    bool m_divided;
    std::vector<Upstream> m_upstreams;
    std::vector<const Upstream *> m_candidates;
    std::vector<Daemon> m_daemons;
    std::vector<double> m_freeAt;
    kernel::Random m_random{ 7 };
};

} // namespace

TEST(Lanes, ObjectivesOfRoutesWithModelsDivideThem)
{
    Configuration configuration;
    configuration.services[engines] = { .name = engines, .memoryTokens = 1000 };
    const Route tight = makeRoute("tight", 1500ms);
    const Route patient = makeRoute("patient", 6s);
    configuration.routes = { patient, tight };
    const TightestObjectives tightest = tightestObjectives(configuration);
    EXPECT_EQ(laneOf(tightest, engines, tight), Lane::Tight);
    EXPECT_EQ(laneOf(tightest, engines, patient), Lane::Patient);
    EXPECT_EQ(laneOf(tightest, engines, makeRoute("near", 2s)), Lane::Tight);
}

TEST(Lanes, PlainServicesHaveNone)
{
    Configuration configuration;
    configuration.services[engines] = { .name = engines };
    configuration.routes = { makeRoute("tight", 100ms), makeRoute("patient", 6s) };
    const TightestObjectives tightest = tightestObjectives(configuration);
    EXPECT_EQ(laneOf(tightest, engines, configuration.routes[1]), Lane::Any);
}

TEST(Lanes, NoUpstreamIsInBoth)
{
    const std::vector<Upstream> upstreams = makeUpstreams(100);
    const auto tight = laneUpstreams(pointers(upstreams), Lane::Tight, 0.4);
    const auto patient = laneUpstreams(pointers(upstreams), Lane::Patient, 0.4);
    EXPECT_EQ(tight.size() + patient.size(), upstreams.size());
    std::set<const Upstream *> all(tight.begin(), tight.end());
    all.insert(patient.begin(), patient.end());
    EXPECT_EQ(all.size(), upstreams.size());
    EXPECT_NEAR(static_cast<double>(patient.size()), 40, 15);
}

TEST(Lanes, FewUpstreamsAreNotDivided)
{
    const std::vector<Upstream> upstreams = makeUpstreams(10);
    EXPECT_EQ(laneUpstreams(pointers(upstreams), Lane::Tight, 0.5).size(), 10U);
}

TEST(Lanes, PartsFollowTheWork)
{
    LaneWork recent;
    EXPECT_EQ(patientPart(recent), 0) << "nobody is patient";
    for (int i = 0; i < 1000; ++i)
        noteWork(recent, i % 2 == 0 ? Lane::Patient : Lane::Tight, 10);
    const double even = patientPart(recent);
    EXPECT_GT(even, 0.5);
    for (int i = 0; i < 1000; ++i)
        noteWork(recent, i % 10 == 0 ? Lane::Patient : Lane::Tight, 10);
    EXPECT_LT(patientPart(recent), even / 2);
}

TEST(Lanes, ShortRequestsWaitLessBesideLongOnes)
{
    const std::vector<double> mixed = Load(false).play();
    const std::vector<double> divided = Load(true).play();
    const std::size_t oneInTwenty = mixed.size() / 20;
    EXPECT_GT(mixed[oneInTwenty], 1.5) << "the load is too small to tell";
    EXPECT_LT(divided[oneInTwenty], mixed[oneInTwenty] / 3);
}
