#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing/routing.h"
#include "routing/tests/snapshots.h"

using namespace acaciasail;
using namespace acaciasail::routing;
using namespace acaciasail::routing::tests;
using namespace std::chrono_literals;

namespace rc {

template<>
struct Arbitrary<ArmCounters>
{
    static Gen<ArmCounters> arbitrary()
    {
        const auto counter = gen::inRange<std::int64_t>(0, 1'000'000);
        return gen::build<ArmCounters>(gen::set(&ArmCounters::requests, counter),
                                       gen::set(&ArmCounters::errors, counter),
                                       gen::set(&ArmCounters::logLatencySum, counter),
                                       gen::set(&ArmCounters::ratingSquares, counter));
    }
};

template<>
struct Arbitrary<RouterEvidence>
{
    static Gen<RouterEvidence> arbitrary()
    {
        return gen::build<RouterEvidence>(gen::set(&RouterEvidence::baseline),
                                          gen::set(&RouterEvidence::candidate),
                                          gen::set(&RouterEvidence::halted));
    }
};

} // namespace rc

namespace {

RolloutEvidence arbitraryEvidence()
{
    RolloutEvidence evidence;
    for (const char *router : { "vm-1#1", "vm-1#2", "vm-2#1", "vm-3#1" }) {
        if (*rc::gen::arbitrary<bool>())
            evidence[router] = *rc::gen::arbitrary<RouterEvidence>();
    }
    return evidence;
}

RolloutEvidence merged(RolloutEvidence into, const RolloutEvidence &from)
{
    mergeEvidence(into, from);
    return into;
}

} // namespace

RC_GTEST_PROP(Evidence, MergeIsCommutativeAssociativeAndIdempotent, ())
{
    const auto a = arbitraryEvidence();
    const auto b = arbitraryEvidence();
    const auto c = arbitraryEvidence();
    RC_ASSERT(merged(a, b) == merged(b, a));
    RC_ASSERT(merged(merged(a, b), c) == merged(a, merged(b, c)));
    RC_ASSERT(merged(a, a) == a);
    RC_ASSERT(merged(merged(a, b), b) == merged(a, b));
}

RC_GTEST_PROP(Evidence, RoundTripKeepsTheEvidence, ())
{
    const auto evidence = arbitraryEvidence();
    const std::string text = encodeEvidence(kernel::RolloutId("r1"), evidence);
    const auto decoded = kernel::capture([&] { return decodeEvidence(text); });
    RC_ASSERT(decoded.ok());
    RC_ASSERT(decoded.value().evidence == evidence);
}

TEST(Evidence, MalformedTextIsRejected)
{
    const std::vector<std::pair<std::string, kernel::ResultCode>> cases{
        { "{", kernel::ResultCode::MalformedJson },
        { "[]", kernel::ResultCode::InvalidField },
        { R"({"rollout":1,"daemons":{}})", kernel::ResultCode::InvalidField },
        { R"({"rollout":"r","daemons":{"a":1}})", kernel::ResultCode::InvalidField },
        { R"({"rollout":"r","daemons":{"a":{"baseline":[-1]}}})",
          kernel::ResultCode::InvalidField },
        { R"({"rollout":"r","daemons":{"a":{"baseline":["x"]}}})",
          kernel::ResultCode::InvalidField },
    };
    for (const auto &[text, code] : cases) {
        const auto decoded = kernel::capture([&text = text] { return decodeEvidence(text); });
        ASSERT_FALSE(decoded.ok()) << text;
        EXPECT_EQ(decoded.error().code, code) << text;
    }
}

TEST(Rollouts, HaltOnEachKindOfBadOutcome)
{
    const auto rollout = makeRollout("v1", "v2", 0.1);
    const auto snapshot = makeSnapshot(
        { { .id = "v1", .model = "m" }, { .id = "v2", .model = "m", .weight = noWeight } },
        { rollout });
    const RolloutOutcome good{ .error = false, .latency = 300ms, .rating = 0.8 };
    const std::vector<std::pair<RolloutOutcome, HaltReason>> cases{
        { { .error = true }, HaltReason::Errors },
        { { .error = false, .latency = 1500ms, .rating = 0.8 }, HaltReason::Latency },
        { { .error = false, .latency = 300ms, .rating = 0.6 }, HaltReason::Ratings },
        { good, HaltReason::None },
    };
    for (const auto &[outcome, reason] : cases) {
        RolloutEvidenceStore book{ .self = "vm-1#1" };
        for (int i = 0; i < 200; ++i)
            recordOutcome(book, snapshot, kernel::VersionId("v1"), good);
        for (int i = 0; i < 50; ++i)
            recordOutcome(book, snapshot, kernel::VersionId("v2"), outcome);
        const auto judgement = judgeRollout(rollout, book.evidence.at(rollout.id));
        EXPECT_EQ(judgement.reason, reason) << toString(reason);
    }
}

TEST(Rollouts, AHaltIsDisseminatedWithTheEvidenceAndNeverRemoved)
{
    const kernel::RolloutId id("r1");
    RolloutEvidenceStore first{ .self = "vm-1#1" };
    RolloutEvidenceStore second{ .self = "vm-2#1" };
    recordHalt(first, id);
    recordEvidence(second, { id, ownEvidence(first, id) });
    recordEvidence(second, { id, {} });
    EXPECT_TRUE(haltedByEvidence(second, id));
    EXPECT_EQ(judgeRollout({ .id = id }, second.evidence.at(id)).reason, HaltReason::Peer);
}
