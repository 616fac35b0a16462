#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "admission/tests/fixture.h"

using namespace acaciasail;
using namespace acaciasail::admission;
using namespace acaciasail::admission::tests;
using kernel::ResultCode;
using kernel::Tokens;
using table::Rank;

namespace {

const kernel::CallerId limitedCaller("w0c0");
const LimitSubject limitedSubject{ table::LimitScope::Caller, "w0c0" };

/// The time of an admission and the number of admitted tokens.
struct AdmittedRequest
{
    kernel::Instant at;
    std::int64_t tokens = 0;
};

/// Checks that every time window between two admissions respects the limit.
void checkWindows(const std::vector<AdmittedRequest> &admitted, const table::LimitRow &row,
                  double burstSeconds, std::int64_t largest)
{
    const double perSecond = static_cast<double>(row.tokensPerMinute.count()) / 60;
    for (std::size_t first = 0; first < admitted.size(); ++first) {
        double requests = 0;
        double tokens = 0;
        for (std::size_t last = first; last < admitted.size(); ++last) {
            requests += 1;
            tokens += static_cast<double>(admitted[last].tokens);
            const double span = kernel::toSeconds(admitted[last].at - admitted[first].at);
            RC_ASSERT(requests <= row.requestsPerSecond * (span + burstSeconds) + 1.001);
            RC_ASSERT(tokens
                      <= perSecond * (span + burstSeconds) + 1.001 + static_cast<double>(largest));
        }
    }
}

} // namespace

RC_GTEST_PROP(Limits, NeverExceedsALimitInAnyWindow, ())
{
    AdmissionState state;
    const AdmissionConfig config;
    auto snapshot = makeSnapshot(1, 1);
    const table::LimitRow row{ .subject = "w0c0",
                               .requestsPerSecond = *rc::gen::element(0.5, 2.0, 7.0),
                               .tokensPerMinute = Tokens(*rc::gen::inRange(60, 20000)) };
    snapshot.callerLimits[limitedCaller] = row;
    setCapacity(state, pool, 1000);
    std::vector<AdmittedRequest> admitted;
    auto now = at(0);
    for (int i = 0; i < 120; ++i) {
        now += std::chrono::milliseconds(*rc::gen::element(0, 1, 90, 1500));
        const std::int64_t tokens = *rc::gen::inRange(1, 800);
        const auto decision = admit(state, config, snapshot,
                                    makeAdmissionRequest(i, 0, 0, Rank::Normal, tokens, now), now);
        if (decision.outcome == AdmissionOutcome::Refused)
            continue;
        admitted.push_back({ now, tokens });
        finish(state, config, kernel::RequestId("r" + std::to_string(i)), Tokens(tokens), now);
    }
    checkWindows(admitted, row, kernel::toSeconds(config.limitBurst), 800);
}

RC_GTEST_PROP(Limits, CancelledRequestsAreFullyRefunded, ())
{
    AdmissionState state;
    const AdmissionConfig config;
    auto snapshot = makeSnapshot(1, 1);
    snapshot.callerLimits[limitedCaller] = { .subject = "w0c0",
                                             .requestsPerSecond = 5,
                                             .tokensPerMinute = Tokens(60000),
                                             .concurrency = 4 };
    snapshot.workspaceLimits[kernel::WorkspaceId("w0")]
        = { .scope = table::LimitScope::Workspace, .subject = "w0", .requestsPerSecond = 9 };
    setCapacity(state, pool, *rc::gen::element(0, 1, 9));
    const int requests = *rc::gen::inRange(1, 9);
    for (int i = 0; i < requests; ++i)
        admit(state, config, snapshot,
              makeAdmissionRequest(i, 0, 0, Rank::Flex, *rc::gen::inRange(1, 5000), at(0)), at(0));
    for (int i = 0; i < requests; ++i)
        cancel(state, config, kernel::RequestId("r" + std::to_string(i)), at(0));
    for (const auto &[subject, usage] : state.limits.usages) {
        RC_ASSERT(usage.inProgress == 0);
        RC_ASSERT(isFull(usage.requests));
        RC_ASSERT(isFull(usage.tokens));
    }
}

TEST(Limits, EachKindOfLimitReturnsItsCodeAndRetryAfter)
{
    struct Case
    {
        table::LimitRow row;
        ResultCode code;
    };
    const std::vector<Case> cases{
        { { .subject = "w0c0", .requestsPerSecond = 0.1 }, ResultCode::RateLimited },
        { { .subject = "w0c0", .tokensPerMinute = Tokens(60) }, ResultCode::TokenLimited },
        { { .subject = "w0c0", .concurrency = 1 }, ResultCode::ConcurrencyLimited },
    };
    for (const Case &limitCase : cases) {
        AdmissionState state;
        const AdmissionConfig config;
        auto snapshot = makeSnapshot(1, 1);
        snapshot.callerLimits[limitedCaller] = limitCase.row;
        setCapacity(state, pool, 10);
        admit(state, config, snapshot, makeAdmissionRequest(0, 0, 0, Rank::Normal, 100, at(0)),
              at(0));
        const auto second = admit(state, config, snapshot,
                                  makeAdmissionRequest(1, 0, 0, Rank::Normal, 100, at(1)), at(1));
        EXPECT_EQ(second.code, limitCase.code);
        EXPECT_GE(second.retryAfter, std::chrono::seconds(1));
        EXPECT_EQ(state.requests.size(), 1U);
    }
}

TEST(Limits, WorkspaceRefusalsDoNotConsumeTheCallerLimit)
{
    AdmissionState state;
    const AdmissionConfig config;
    auto snapshot = makeSnapshot(1, 1);
    snapshot.callerLimits[limitedCaller] = { .subject = "w0c0", .requestsPerSecond = 1 };
    snapshot.workspaceLimits[kernel::WorkspaceId("w0")]
        = { .scope = table::LimitScope::Workspace, .subject = "w0", .concurrency = 1 };
    setCapacity(state, pool, 10);
    for (int i = 0; i < 5; ++i)
        admit(state, config, snapshot, makeAdmissionRequest(i, 0, 0, Rank::Normal, 1, at(0)),
              at(0));
    EXPECT_NEAR(state.limits.usages.at(limitedSubject).requests.level, 4, 1e-6);
}

TEST(Limits, GrowingShareCausesNoBurst)
{
    AdmissionState state;
    const AdmissionConfig config;
    auto snapshot = makeSnapshot(1, 1);
    snapshot.callerLimits[limitedCaller] = { .subject = "w0c0", .requestsPerSecond = 10 };
    setCapacity(state, pool, 1000);
    state.limits.shares.fractions[limitedSubject] = 0.1;
    int number = 0;
    const auto admittedAt = [&](kernel::Instant now) {
        int admitted = 0;
        for (int i = 0; i < 200; ++i) {
            const auto ask = makeAdmissionRequest(number++, 0, 0, Rank::Normal, 1, now);
            admitted
                += admit(state, config, snapshot, ask, now).outcome != AdmissionOutcome::Refused;
        }
        return admitted;
    };
    EXPECT_EQ(admittedAt(at(0)), 5);
    state.limits.shares.fractions[limitedSubject] = 1;
    EXPECT_EQ(admittedAt(at(0)), 0);
    EXPECT_EQ(admittedAt(at(1000)), 10);
}

TEST(Limits, EditedLimitAppliesToTheNextRequest)
{
    AdmissionState state;
    const AdmissionConfig config;
    auto snapshot = makeSnapshot(1, 1);
    snapshot.callerLimits[limitedCaller] = { .subject = "w0c0", .concurrency = 1 };
    setCapacity(state, pool, 10);
    admit(state, config, snapshot, makeAdmissionRequest(0, 0, 0, Rank::Normal, 1, at(0)), at(0));
    snapshot.callerLimits[limitedCaller].concurrency = 2;
    EXPECT_EQ(
        admit(state, config, snapshot, makeAdmissionRequest(1, 0, 0, Rank::Normal, 1, at(1)), at(1))
            .outcome,
        AdmissionOutcome::Admitted);
}
