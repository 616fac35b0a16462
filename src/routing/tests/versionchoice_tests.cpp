#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing/routing.h"
#include "routing/tests/snapshots.h"

using namespace acaciasail;
using namespace acaciasail::routing;
using namespace acaciasail::routing::tests;
using namespace std::chrono_literals;

namespace {

const kernel::VersionId v1("v1");
const kernel::VersionId v2("v2");

RequestFacts factsFor(const std::string &key)
{
    return { .request = kernel::RequestId(key),
             .workspace = kernel::WorkspaceId("ws"),
             .kind = kernel::KindId("draft"),
             .inputTokens = kernel::Tokens(1000),
             .expectedOutput = kernel::Tokens(500),
             .stickyKey = key };
}

VersionDecision choose(const table::Snapshot &snapshot, const RequestFacts &facts,
                       const RolloutEvidenceStore &rollouts = {}, TableFreshness freshness = {})
{
    return chooseVersion(snapshot, {}, rollouts, facts, freshness, {});
}

// Returns the fraction of keys that are routed to a version.
double shareOf(const table::Snapshot &snapshot, const kernel::VersionId &version,
               const RolloutEvidenceStore &rollouts = {}, TableFreshness freshness = {})
{
    constexpr int keys = 4000;
    int hits = 0;
    for (int i = 0; i < keys; ++i) {
        const auto decision
            = choose(snapshot, factsFor("key-" + std::to_string(i)), rollouts, freshness);
        hits += decision.version == version ? 1 : 0;
    }
    return static_cast<double>(hits) / keys;
}

} // namespace

// For any table, pin and evidence, the chosen versions are allowed at dispatch.
RC_GTEST_PROP(VersionChoice, NeverChoosesAVersionThatIsNotAllowed, ())
{
    std::vector<VersionSpec> specs;
    const int count = *rc::gen::inRange(1, 9);
    specs.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        specs.push_back({ .id = "v" + std::to_string(i),
                          .model = "m" + std::to_string(*rc::gen::inRange(0, 3)),
                          .priorQuality = *rc::gen::inRange(0, 11) / 10.0,
                          .price = *rc::gen::inRange(0, 100) * 10'000L,
                          .weight = *rc::gen::inRange(-1, 3) * 1.0,
                          .withdrawn = *rc::gen::inRange(0, 4) == 0 });
    }
    table::RolloutRow rollout = makeRollout("v" + std::to_string(*rc::gen::inRange(0, count)),
                                            "v" + std::to_string(*rc::gen::inRange(0, count)),
                                            *rc::gen::inRange(0, 11) / 10.0);
    rollout.state = *rc::gen::element(table::RolloutState::Running, table::RolloutState::Halted,
                                      table::RolloutState::Finished);
    const auto snapshot = makeSnapshot(specs, { rollout });
    RolloutEvidenceStore rollouts{ .self = "vm" };
    if (*rc::gen::arbitrary<bool>())
        recordHalt(rollouts, rollout.id);
    const TableFreshness freshness{ *rc::gen::element(0s, 60s) };
    RequestFacts facts = factsFor(std::to_string(*rc::gen::arbitrary<int>()));
    if (*rc::gen::arbitrary<bool>())
        facts.sessionVersion = kernel::VersionId("v" + std::to_string(*rc::gen::inRange(0, 9)));
    if (*rc::gen::arbitrary<bool>())
        facts.model = kernel::ModelId("m0");

    const auto decision = choose(snapshot, facts, rollouts, freshness);
    if (!decision.ok())
        return;
    RC_ASSERT(dispatchAllowed(snapshot, rollouts, facts.workspace, decision.version, freshness));
    RC_ASSERT(!facts.model || snapshot.versions.at(decision.version).model == *facts.model);
    if (decision.escalateTo) {
        RC_ASSERT(
            dispatchAllowed(snapshot, rollouts, facts.workspace, *decision.escalateTo, freshness));
    }
}

RC_GTEST_PROP(VersionChoice, SplitsByWeightAndMovesFewKeys, ())
{
    const int first = *rc::gen::inRange(1, 10);
    const int second = *rc::gen::inRange(1, 10);
    const auto makeSnapshotWithWeight = [&](double weight) {
        return makeSnapshot({ { .id = "v1", .model = "m", .weight = first * 1.0 },
                              { .id = "v2", .model = "m", .weight = weight } });
    };
    const auto before = makeSnapshotWithWeight(second);
    const double expected = static_cast<double>(first) / (first + second);
    RC_ASSERT(std::abs(shareOf(before, v1) - expected) < 0.03);

    // A higher weight of v2 moves keys to v2 and none away from it.
    const auto after = makeSnapshotWithWeight(second + 1.0);
    for (int i = 0; i < 500; ++i) {
        const auto facts = factsFor("key-" + std::to_string(i));
        if (choose(before, facts).version == v2)
            RC_ASSERT(choose(after, facts).version == v2);
    }
}

TEST(VersionChoice, RolloutExposesItsConfiguredFraction)
{
    const auto rollout = makeRollout("v1", "v2", 0.1);
    for (const double candidateWeight : { noWeight, 5.0 }) {
        const auto snapshot
            = makeSnapshot({ { .id = "v1", .model = "m" },
                             { .id = "v2", .model = "m", .weight = candidateWeight } },
                           { rollout });
        EXPECT_NEAR(shareOf(snapshot, v2), 0.1, 0.02);
        EXPECT_EQ(shareOf(snapshot, v2, {}, { 31s }), 0)
            << "a router with a stale table uses no version in roll-out";
        RolloutEvidenceStore halted{ .self = "vm" };
        recordHalt(halted, rollout.id);
        EXPECT_EQ(shareOf(snapshot, v2, halted), 0);
    }
    auto stopped = rollout;
    stopped.state = table::RolloutState::Halted;
    const auto snapshot = makeSnapshot(
        { { .id = "v1", .model = "m" }, { .id = "v2", .model = "m", .weight = 5 } }, { stopped });
    EXPECT_EQ(shareOf(snapshot, v2), 0)
        << "a halted candidate gets no requests by its weight either";
}

TEST(VersionChoice, SessionKeepsItsVersionThroughWeightChanges)
{
    const auto snapshot = makeSnapshot({ { .id = "v1", .model = "m", .weight = 0 },
                                         { .id = "v2", .model = "m", .weight = 100 },
                                         { .id = "w1", .model = "n", .price = 1 } });
    for (int i = 0; i < 50; ++i) {
        auto facts = factsFor("session-" + std::to_string(i));
        facts.sessionVersion = v1;
        const auto decision = choose(snapshot, facts);
        EXPECT_EQ(decision.version, v1);
        EXPECT_EQ(decision.reason, VersionReason::SessionPin);
        EXPECT_FALSE(decision.rebindsSession);
    }
}

TEST(VersionChoice, ReportsWhyAPinWasReplaced)
{
    struct Case
    {
        bool withdrawn;
        double weight;
        table::RolloutState state;
        TableFreshness freshness;
        VersionReason reason;
        bool rebinds;
    };
    const auto running = table::RolloutState::Running;
    const auto halted = table::RolloutState::Halted;
    const std::vector<Case> cases{
        { true, 1, running, {}, VersionReason::PinWithdrawn, true },
        { false, noWeight, table::RolloutState::Finished, {}, VersionReason::PinNotAllowed, true },
        { false, 1, halted, {}, VersionReason::PinRolledBack, true },
        { false, noWeight, running, { 31s }, VersionReason::PinStale, false },
        { false, noWeight, running, { 29s }, VersionReason::SessionPin, false },
    };
    for (const Case &entry : cases) {
        auto rollout = makeRollout("v1", "v2", 0.1);
        rollout.state = entry.state;
        const auto snapshot = makeSnapshot(
            { { .id = "v1", .model = "m" },
              { .id = "v2", .model = "m", .weight = entry.weight, .withdrawn = entry.withdrawn } },
            { rollout });
        auto facts = factsFor("session");
        facts.sessionVersion = v2;
        const auto decision = choose(snapshot, facts, {}, entry.freshness);
        EXPECT_EQ(decision.reason, entry.reason) << toString(entry.reason);
        EXPECT_EQ(decision.rebindsSession, entry.rebinds) << toString(entry.reason);
        EXPECT_EQ(decision.version, entry.reason == VersionReason::SessionPin ? v2 : v1);
    }
}

TEST(VersionChoice, RefusalsHaveTheirResultCode)
{
    const auto snapshot = makeSnapshot(
        { { .id = "v1", .model = "m", .withdrawn = true }, { .id = "w1", .model = "n" } });
    const auto codeFor
        = [&](const char *model, std::int64_t tokens, std::vector<kernel::VersionId> exclude) {
              auto facts = factsFor("request");
              facts.model = kernel::ModelId(model);
              facts.inputTokens = kernel::Tokens(tokens);
              facts.exclude = std::move(exclude);
              return choose(snapshot, facts).code;
          };
    EXPECT_EQ(codeFor("m", 10, {}), kernel::ResultCode::VersionWithdrawn);
    EXPECT_EQ(codeFor("none", 10, {}), kernel::ResultCode::ModelNotFound);
    EXPECT_EQ(codeFor("n", 100'000, {}), kernel::ResultCode::ContextTooLong);
    EXPECT_EQ(codeFor("n", 10, { kernel::VersionId("w1") }), kernel::ResultCode::NoUpstream);
    EXPECT_EQ(codeFor("n", 10, {}), kernel::ResultCode::Ok);
}
