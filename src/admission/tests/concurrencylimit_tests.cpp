#include <cmath>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "admission/tests/fixture.h"

using namespace acaciasail;
using namespace acaciasail::admission;
using namespace acaciasail::admission::tests;

namespace {

/// A simulated upstream. Each run takes `base` seconds up to `knee` concurrent runs; above that,
/// the latency grows in proportion to the concurrency.
struct SimulatedUpstream
{
    double knee = 16;
    double base = 0.05;
};

/// Simulates `runs` runs at the highest concurrency that the limit allows, and returns the mean
/// limit over the last third of the runs.
double simulateRuns(ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config,
                    const SimulatedUpstream &upstream, int runs, kernel::Instant &now,
                    kernel::Random &random)
{
    double sum = 0;
    for (int i = 0; i < runs; ++i) {
        while (limit.running < limitOf(limit, config))
            recordRunStart(limit, now);
        const auto busy = static_cast<double>(limit.running);
        const double noise = 0.9 + 0.2 * kernel::uniform01(random);
        const double latency = upstream.base * std::max(1.0, busy / upstream.knee) * noise;
        now += kernel::fromSeconds(latency / busy);
        recordRunEnd(limit, config, kernel::fromSeconds(latency), RunOutcome::Succeeded, now);
        if (i >= runs - runs / 3)
            sum += static_cast<double>(limitOf(limit, config));
    }
    const int measured = runs / 3;
    return sum / measured;
}

} // namespace

RC_GTEST_PROP(ConcurrencyLimit, ConvergesToTheUpstreamsCapacityAndFollowsItsChanges, ())
{
    kernel::Random random(*rc::gen::inRange<std::uint64_t>(1, 1000));
    const ConcurrencyLimitConfig config;
    ConcurrencyLimit limit;
    auto now = at(0);
    SimulatedUpstream upstream{ .knee = *rc::gen::inRange(4, 120) * 1.0 };
    const double found = simulateRuns(limit, config, upstream, 6000, now, random);
    RC_ASSERT(found >= upstream.knee);
    RC_ASSERT(found <= upstream.knee * 2 + 6);
    upstream.knee = std::max(3.0, upstream.knee / 3);
    const double after = simulateRuns(limit, config, upstream, 6000, now, random);
    RC_ASSERT(after >= upstream.knee);
    RC_ASSERT(after <= upstream.knee * 2 + 6);
}

RC_GTEST_PROP(ConcurrencyLimit, StaysWithinItsBoundsForAnySequenceOfEvents, ())
{
    const ConcurrencyLimitConfig config;
    ConcurrencyLimit limit;
    auto now = at(0);
    for (int i = 0; i < 400; ++i) {
        if (*rc::gen::arbitrary<bool>())
            recordRunStart(limit, now);
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
        const auto outcome
            = *rc::gen::element(RunOutcome::Succeeded, RunOutcome::Overloaded, RunOutcome::Ignored);
        recordRunEnd(limit, config, std::chrono::microseconds(*rc::gen::inRange(0, 5'000'000)),
                     outcome, now);
        RC_ASSERT(limitOf(limit, config) >= 1);
        RC_ASSERT(limitOf(limit, config) <= 512);
        RC_ASSERT(limit.running >= 0);
    }
}

TEST(ConcurrencyLimit, DoesNotGrowWithoutDemandAndFallsOnOverload)
{
    const ConcurrencyLimitConfig config;
    ConcurrencyLimit limit;
    for (std::int64_t i = 0; i < 500; ++i) {
        recordRunStart(limit, at(i * 100));
        recordRunEnd(limit, config, std::chrono::milliseconds(50), RunOutcome::Succeeded,
                     at(i * 100));
    }
    EXPECT_LE(limitOf(limit, config), 4);
    for (int i = 0; i < 64; ++i)
        recordRunEnd(limit, config, {}, RunOutcome::Overloaded, at(60'000 + i));
    EXPECT_LE(limitOf(limit, config), 2);
}
