#include <array>

#include <gtest/gtest.h>

#include "forwarding/tests/routerfleet.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace acaciasail::forwarding::tests;
using namespace std::chrono_literals;

namespace {

// Time after the first naming of a limit from which the routers must keep it.
constexpr kernel::Duration limitEffectTime = 3s;
constexpr std::size_t largeFleet = 37;

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant(100s + time);
}

// Lets all upstreams name a limit, and returns the time from which the limit must be kept.
kernel::Instant nameLimits(RouterFleet &fleet, double perSecond)
{
    for (FleetUpstream &upstream : fleet.upstreams())
        upstream.limitPerSecond = perSecond;
    return fleet.now() + limitEffectTime;
}

void expectLimitsKept(const RouterFleet &fleet, std::size_t upstreams, double perSecond,
                      kernel::Instant from)
{
    for (std::size_t i = 0; i < upstreams; ++i) {
        EXPECT_LE(fleet.mostArrivals(i, from), RouterFleet::maxArrivals(perSecond))
            << "upstream " << i << ", limit " << perSecond;
    }
}

} // namespace

TEST(UpstreamLimit, EndsOnlyWithResponseToLaterRequest)
{
    std::optional<UpstreamLimit> limit;
    EXPECT_EQ(recordLimit(limit, std::nullopt, at(0s), at(1s)), LimitChange::None);
    EXPECT_EQ(recordLimit(limit, 1.5, at(0s), at(2s)), LimitChange::Named);
    EXPECT_EQ(recordLimit(limit, std::nullopt, at(1s), at(3s)), LimitChange::None);
    EXPECT_EQ(recordLimit(limit, 1.5, at(1s), at(3s)), LimitChange::None);
    EXPECT_EQ(recordLimit(limit, 2, at(3s), at(4s)), LimitChange::Changed);
    EXPECT_EQ(recordLimit(limit, std::nullopt, at(5s), at(6s)), LimitChange::Ended);
    EXPECT_FALSE(limit);
}

TEST(RequestPace, AllowsOneRequestPerInterval)
{
    kernel::Random random(1);
    std::optional<RequestPace> pace;
    EXPECT_TRUE(setPace(pace, 2, at(0s), random));
    EXPECT_LE(pace->nextAt, at(500ms));
    EXPECT_FALSE(setPace(pace, 2, at(0s), random)) << "an unchanged pace keeps its schedule";
    recordPacedRequest(*pace, at(10s));
    EXPECT_EQ(pace->nextAt, at(10s + 250ms)) << "only half an interval is caught up";
    recordPacedRequest(*pace, at(10s + 250ms));
    EXPECT_EQ(pace->nextAt, at(10s + 750ms));
    EXPECT_TRUE(setPace(pace, 0, at(11s), random));
    EXPECT_EQ(pace->nextAt, kernel::Instant::max());
}

TEST(RequestLimits, FleetKeepsLimitOfEachUpstream)
{
    for (const double perSecond : { 0.0, 0.3, 1.4, 5.0, 20.0 }) {
        for (const std::size_t routers : { std::size_t{ 1 }, std::size_t{ 4 }, largeFleet }) {
            RouterFleet fleet(routers, 4, 7);
            fleet.run(3s, 100);
            const kernel::Instant from = nameLimits(fleet, perSecond);
            fleet.run(20s, 100);
            expectLimitsKept(fleet, 4, perSecond, from);
        }
    }
}

TEST(RequestLimits, FleetUsesMostOfTheLimits)
{
    constexpr double perSecond = 1.4;
    RouterFleet fleet(largeFleet, 12, 3);
    fleet.run(3s, 100);
    nameLimits(fleet, perSecond);
    fleet.run(10s, 200);
    const kernel::Instant from = fleet.now();
    fleet.run(30s, 200);
    int arrivals = 0;
    for (std::size_t i = 0; i < 12; ++i)
        arrivals += fleet.arrivals(i, from, fleet.now());
    EXPECT_GE(arrivals, 0.7 * perSecond * 12 * 30);
    EXPECT_LE(arrivals, 1.05 * perSecond * 12 * 30);
}

TEST(RequestLimits, ChosenRouterUsesUpTheLimitOfOneUpstreamAmongMany)
{
    constexpr double perSecond = 1.4;
    RouterFleet fleet(largeFleet, 12, 3);
    fleet.run(3s, 100);
    fleet.upstreams()[0].limitPerSecond = perSecond;
    fleet.run(10s, 100);
    const kernel::Instant from = fleet.now();
    fleet.run(30s, 100);
    EXPECT_GE(fleet.arrivals(0, from, fleet.now()), 0.7 * perSecond * 30);
    EXPECT_LE(fleet.mostArrivals(0, from), RouterFleet::maxArrivals(perSecond));
}

TEST(RequestLimits, OtherUpstreamsTakeTheRest)
{
    RouterFleet fleet(4, 4, 5);
    fleet.run(3s, 40);
    fleet.upstreams()[0].limitPerSecond = 1.4;
    fleet.run(20s, 40);
    EXPECT_EQ(fleet.responses().refused, 0);
    EXPECT_EQ(fleet.responses().other, 0);
}

TEST(RequestLimits, WholeLimitedServiceRefusesAtOnceWithRetryAfter)
{
    RouterFleet fleet(4, 2, 5);
    fleet.run(3s, 40);
    nameLimits(fleet, 2);
    fleet.run(5s, 40);
    fleet.responses() = {};
    fleet.run(20s, 40);
    EXPECT_GT(fleet.responses().refused, 600);
    EXPECT_GT(fleet.responses().served, 60);
    EXPECT_EQ(fleet.responses().refusedWithoutRetryAfter, 0);
    EXPECT_EQ(fleet.responses().other, 0);
}

TEST(RequestLimits, RestartedRoutersKeepLimits)
{
    constexpr double perSecond = 1.4;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        RouterFleet fleet(largeFleet, 6, seed);
        kernel::Random random(seed);
        fleet.run(3s, 100);
        const kernel::Instant from = nameLimits(fleet, perSecond);
        for (int i = 0; i < 40; ++i) {
            const std::size_t router = kernel::uniformBelow(random, largeFleet);
            fleet.killRouter(router);
            fleet.run(300ms, 100);
            fleet.startRouter(router);
            fleet.run(300ms, 100);
        }
        expectLimitsKept(fleet, 6, perSecond, from);
    }
}

TEST(RequestLimits, LimitIsKeptWhileStoreIsAway)
{
    for (const double perSecond : { 0.3, 1.4, 5.0 }) {
        RouterFleet fleet(largeFleet, 6, 11);
        fleet.run(3s, 100);
        for (std::size_t i = 0; i < largeFleet; ++i)
            fleet.setConnected(i, false, false);
        const kernel::Instant from = nameLimits(fleet, perSecond);
        fleet.run(20s, 100);
        EXPECT_GT(fleet.arrivals(0, from, fleet.now()), 0) << "the limit is still used";
        for (std::size_t i = 0; i < largeFleet; ++i)
            fleet.setConnected(i, true, true);
        fleet.run(20s, 100);
        for (std::size_t i = 0; i < largeFleet; ++i)
            fleet.setConnected(i, false, false);
        fleet.run(20s, 100);
        // Nobody can tell the other routers, so each upstream has to tell them itself.
        for (std::size_t i = 0; i < 6; ++i)
            EXPECT_LE(fleet.mostArrivalsFromTold(i, from), RouterFleet::maxArrivals(perSecond));
        expectLimitsKept(fleet, 6, perSecond, from + 10s);
    }
}

TEST(RequestLimits, LimitIsKeptByRoutersThatHearOrAreHeardOnly)
{
    constexpr double perSecond = 1.4;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        RouterFleet fleet(12, 6, seed);
        fleet.run(3s, 100);
        const kernel::Instant from = nameLimits(fleet, perSecond);
        fleet.run(10s, 100);
        for (std::size_t i = 0; i < 12; ++i)
            fleet.setConnected(i, i % 3 != 0, i % 3 != 1);
        fleet.run(40s, 100);
        for (std::size_t i = 0; i < 12; ++i)
            fleet.setConnected(i, true, true);
        fleet.run(10s, 100);
        expectLimitsKept(fleet, 6, perSecond, from);
    }
}

TEST(RequestLimits, ShareOfDeadRouterIsGivenToAnother)
{
    constexpr double perSecond = 2;
    RouterFleet fleet(5, 6, 2);
    fleet.run(3s, 100);
    const kernel::Instant from = nameLimits(fleet, perSecond);
    fleet.run(5s, 100);
    fleet.killRouter(1);
    fleet.killRouter(3);
    fleet.run(35s, 100);
    EXPECT_EQ(fleet.storedReports(), 3U) << "the reports of the dead routers are removed";
    const kernel::Instant reassigned = fleet.now();
    fleet.run(20s, 100);
    for (std::size_t i = 0; i < 6; ++i)
        EXPECT_GE(fleet.arrivals(i, reassigned, fleet.now()), 0.7 * perSecond * 20);
    expectLimitsKept(fleet, 6, perSecond, from);
}

TEST(RequestLimits, RoutersReturnToUpstreamWhoseLimitEnded)
{
    constexpr double perSecond = 1.4;
    RouterFleet fleet(largeFleet, 4, 4);
    fleet.run(3s, 100);
    fleet.upstreams()[0].limitPerSecond = perSecond;
    fleet.run(15s, 100);
    fleet.upstreams()[0].limitPerSecond.reset();
    fleet.run(8s, 100);
    const kernel::Instant from = fleet.now();
    fleet.run(10s, 100);
    EXPECT_GE(fleet.arrivals(0, from, fleet.now()), 100 * 10 / 4 * 2 / 3);
}

TEST(RequestLimits, EndIsFoundThoughChosenRouterHasNoCallers)
{
    constexpr std::size_t routers = 6;
    for (std::size_t busy = 0; busy < routers; ++busy) {
        RouterFleet fleet(routers, 4, 4);
        fleet.run(3s, 100);
        fleet.upstreams()[0].limitPerSecond = 1.4;
        fleet.run(5s, 100);
        for (std::size_t i = 0; i < routers; ++i)
            fleet.setIdle(i, i != busy);
        fleet.run(5s, 100);
        fleet.upstreams()[0].limitPerSecond.reset();
        fleet.run(50s, 100);
        const kernel::Instant from = fleet.now();
        fleet.run(5s, 100);
        EXPECT_GE(fleet.arrivals(0, from, fleet.now()), 100) << "router " << busy;
    }
}

TEST(RequestLimits, NewProcessOfUpstreamHasNoLimit)
{
    RouterFleet fleet(4, 4, 6);
    fleet.run(3s, 100);
    fleet.upstreams()[0].limitPerSecond = 1.4;
    fleet.run(10s, 100);
    fleet.restartUpstream(0);
    const kernel::Instant from = fleet.now();
    fleet.run(5s, 100);
    EXPECT_GE(fleet.arrivals(0, from, fleet.now()), 100);
}

TEST(RequestLimits, RouterThatWasNotToldKeepsTheLimitThatOthersReport)
{
    RouterFleet fleet(2, 2, 8);
    fleet.setIdle(1, true);
    fleet.run(3s, 20);
    fleet.upstreams()[0].limitPerSecond = 1.4;
    fleet.run(10s, 20);
    fleet.setIdle(0, true);
    fleet.setIdle(1, false);
    const kernel::Instant from = fleet.now();
    fleet.run(4s, 20);
    EXPECT_LE(fleet.arrivals(0, from, fleet.now()), 6);
}

TEST(RequestLimits, ReportsAreWrittenOnlyWhileLimitIsInForce)
{
    RouterFleet fleet(4, 2, 9);
    fleet.run(60s, 20);
    EXPECT_EQ(fleet.reportWrites(), 4) << "one at the start of each router";
    fleet.upstreams()[0].limitPerSecond = 1.4;
    fleet.run(30s, 20);
    fleet.upstreams()[0].limitPerSecond.reset();
    fleet.run(60s, 20);
    const int writes = fleet.reportWrites();
    EXPECT_GT(writes, 4 * 5);
    fleet.run(60s, 20);
    EXPECT_EQ(fleet.reportWrites(), writes);
}

TEST(LimitSharing, LeaseStartsLateAndEndsWithoutSeenReports)
{
    const kernel::VmId self("vm-1");
    LimitSharing sharing = makeLimitSharing(self, 12345, true);
    EXPECT_FALSE(takeDueReport(sharing, {}, at(0s))) << "the other routers are not known yet";
    replaceReports(sharing, {}, at(0s));
    sharing.limitInForce = true;
    const auto report = takeDueReport(sharing, {}, at(0s));
    ASSERT_TRUE(report);
    EXPECT_FALSE(holdsLease(sharing, at(500ms)));
    recordReport(sharing, self, *report, at(500ms));
    EXPECT_FALSE(holdsLease(sharing, at(3s))) << "others may not have seen the report yet";
    EXPECT_TRUE(holdsLease(sharing, at(3600ms)));
    EXPECT_FALSE(holdsLease(sharing, at(20s)));
    recordReport(sharing, self, *report, at(20s));
    EXPECT_FALSE(holdsLease(sharing, at(20s))) << "a report counts from its publication";
}

TEST(LimitSharing, ReportOfAnEarlierProcessGivesNoLease)
{
    const kernel::VmId self("vm-1");
    LimitSharing sharing = makeLimitSharing(self, 12345, true);
    LimitReport old;
    old.number = 99;
    replaceReports(sharing, { { self, old } }, at(0s));
    recordReport(sharing, self, old, at(1s));
    EXPECT_FALSE(holdsLease(sharing, at(4s)));
    EXPECT_TRUE(takeDueReport(sharing, {}, at(4s))) << "its report replaces the old one";
}

TEST(RequestLimits, LimitsHoldThroughOverlappingFaults)
{
    constexpr std::size_t upstreams = 6;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        kernel::Random random(seed);
        const std::size_t routers = 2 + kernel::uniformBelow(random, largeFleet);
        const double perSecond = std::array{ 0.3, 1.4, 5.0, 20.0 }[kernel::uniformBelow(random, 4)];
        RouterFleet fleet(routers, upstreams, seed);
        fleet.run(3s, 100);
        const kernel::Instant from = nameLimits(fleet, perSecond);
        for (int i = 0; i < 50; ++i) {
            const std::size_t router = kernel::uniformBelow(random, routers);
            const std::uint64_t fault = kernel::uniformBelow(random, 6);
            if (fault == 0)
                fleet.killRouter(router);
            else if (fault == 1)
                fleet.startRouter(router);
            else if (fault == 2)
                fleet.setConnected(router, kernel::uniformBelow(random, 2) == 0,
                                   kernel::uniformBelow(random, 2) == 0);
            else if (fault == 3)
                fleet.setIdle(router, kernel::uniformBelow(random, 2) == 0);
            else
                fleet.setConnected(router, true, true);
            fleet.run(500ms, 100);
        }
        for (std::size_t i = 0; i < upstreams; ++i) {
            EXPECT_LE(fleet.mostArrivalsFromTold(i, from), RouterFleet::maxArrivals(perSecond))
                << "seed " << seed << ", " << routers << " routers, limit " << perSecond;
        }
    }
}
