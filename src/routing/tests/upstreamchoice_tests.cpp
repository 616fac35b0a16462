#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing/routing.h"

using namespace acaciasail;
using namespace acaciasail::routing;
using namespace std::chrono_literals;

namespace {

std::vector<kernel::UpstreamId> makeIds(std::size_t count)
{
    std::vector<kernel::UpstreamId> ids;
    for (std::size_t i = 0; i < count; ++i)
        ids.emplace_back("runner-" + std::to_string(i));
    std::ranges::sort(ids);
    return ids;
}

UpstreamPool makePool(const std::vector<kernel::UpstreamId> &ids)
{
    UpstreamPool pool;
    for (const auto &id : ids)
        pool.upstreams[id].slots = 8;
    return pool;
}

const AttemptFacts failed{ .end = AttemptEnd::Failed };

} // namespace

// For any order of failures, at most a third of the upstreams is ejected, and a request still gets
// an upstream.
RC_GTEST_PROP(UpstreamChoice, EjectionNeverExceedsItsCap, ())
{
    const auto ids = makeIds(*rc::gen::inRange<std::size_t>(1, 13));
    auto pool = makePool(ids);
    kernel::Random random(1);
    kernel::Instant now{ 1h };
    const int steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
        const auto &id = ids[*rc::gen::inRange<std::size_t>(0, ids.size())];
        const bool bad = *rc::gen::inRange(0, 4) > 0;
        recordStart(pool, id, {}, now);
        recordEnd(pool, id, bad ? failed : AttemptFacts{}, now);
        now += kernel::Duration(*rc::gen::inRange(0, 3'000'000));
        std::size_t ejectedCount = 0;
        for (const auto &[name, load] : pool.upstreams)
            ejectedCount += load.ejected && now < load.ejectedUntil ? 1 : 0;
        RC_ASSERT(ejectedCount * 3 <= ids.size());
        RC_ASSERT(chooseUpstream(pool, ids, { .now = now }, random).ok());
    }
}

// Leaving and excluded upstreams never get requests, whatever the prefixes and loads are.
RC_GTEST_PROP(UpstreamChoice, LeavingAndExcludedUpstreamsAreNeverChosen, ())
{
    const auto ids = makeIds(*rc::gen::inRange<std::size_t>(1, 9));
    auto pool = makePool(ids);
    std::vector<kernel::UpstreamId> excluded;
    std::set<kernel::UpstreamId> unusable;
    const std::vector<PrefixHash> prefixes{ 1, 2 };
    for (const auto &id : ids) {
        if (*rc::gen::arbitrary<bool>())
            recordStart(pool, id, prefixes, {});
        const int assignment = *rc::gen::inRange(0, 3);
        if (assignment == 0)
            recordLeaving(pool, id);
        if (assignment == 1)
            excluded.push_back(id);
        if (assignment < 2)
            unusable.insert(id);
    }
    kernel::Random random(*rc::gen::arbitrary<std::uint64_t>());
    const UpstreamQuery query{ .prefixes = prefixes, .exclude = excluded };
    const auto decision = chooseUpstream(pool, ids, query, random);
    RC_ASSERT(decision.ok() == (unusable.size() < ids.size()));
    RC_ASSERT(!decision.ok() || !unusable.contains(decision.upstream));
}

TEST(UpstreamChoice, EjectsAfterFailuresAndReturnsWithSlowStart)
{
    const auto ids = makeIds(6);
    auto pool = makePool(ids);
    kernel::Instant now{ 1h };
    UpstreamChange change = UpstreamChange::None;
    int failures = 0;
    while (change == UpstreamChange::None && failures < 20) {
        recordStart(pool, ids[0], {}, now);
        change = recordEnd(pool, ids[0], failed, now);
        ++failures;
    }
    EXPECT_EQ(change, UpstreamChange::Ejected);
    EXPECT_EQ(failures, 5);
    kernel::Random random(1);
    const auto countChosen = [&](kernel::Instant at) {
        int count = 0;
        for (int i = 0; i < 3000; ++i)
            count += chooseUpstream(pool, ids, { .now = at }, random).upstream == ids[0] ? 1 : 0;
        return count;
    };
    EXPECT_EQ(countChosen(now + 9s), 0);
    // The upstream is as loaded as the others but still in its slow start, so it is chosen only
    // when no other upstream was sampled.
    EXPECT_LT(countChosen(now + 11s), 100);
    EXPECT_GT(countChosen(now + 60s), 300);
    EXPECT_EQ(recordEnd(pool, ids[0], {}, now + 60s), UpstreamChange::Returned);
}

TEST(UpstreamChoice, PrefixGoesToItsHolderUntilThatIsOverloaded)
{
    const auto ids = makeIds(8);
    auto pool = makePool(ids);
    kernel::Random random(1);
    const std::vector<PrefixHash> prefixes{ 11, 12 };
    const UpstreamQuery query{ .prefixes = prefixes, .now = kernel::Instant(1h) };
    const auto owner = chooseUpstream(pool, ids, query, random);
    EXPECT_EQ(owner.reason, UpstreamReason::PrefixOwner);
    recordStart(pool, owner.upstream, prefixes, {});
    EXPECT_EQ(chooseUpstream(pool, ids, query, random).upstream, owner.upstream);
    EXPECT_EQ(chooseUpstream(pool, ids, query, random).reason, UpstreamReason::PrefixHeld);
    for (int i = 0; i < 30; ++i)
        recordStart(pool, owner.upstream, {}, {});
    EXPECT_NE(chooseUpstream(pool, ids, query, random).upstream, owner.upstream);
}

TEST(UpstreamChoice, SubsetsCoverEveryUpstreamAndAreStable)
{
    const auto upstreams = makeIds(600);
    std::vector<kernel::VmId> routers;
    routers.reserve(40);
    for (int i = 0; i < 40; ++i)
        routers.emplace_back("vm-" + std::to_string(i));
    std::map<kernel::UpstreamId, int> covered;
    std::size_t moved = 0;
    const std::vector<kernel::VmId> fewer(routers.begin(), routers.end() - 1);
    for (const auto &router : fewer) {
        const auto subset = subsetOf(upstreams, router, 64, routers);
        EXPECT_GT(subset.size(), 32U);
        EXPECT_LT(subset.size(), 128U);
        const auto after = subsetOf(upstreams, router, 64, fewer);
        for (const auto &id : subset)
            moved += std::ranges::find(after, id) == after.end() ? 1 : 0;
    }
    for (const auto &router : routers) {
        for (const auto &id : subsetOf(upstreams, router, 64, routers))
            covered[id] += 1;
    }
    EXPECT_EQ(covered.size(), upstreams.size());
    EXPECT_EQ(moved, 0U) << "the loss of a router removes no upstream from the others";
}
