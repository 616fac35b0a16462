#include <algorithm>

#include <gtest/gtest.h>

#include "fakeengine.h"

using namespace acaciasail;
using namespace acaciasail::upstreams;
using namespace std::chrono_literals;
using kernel::ResultCode;
using kernel::RunState;

namespace {

/// Fixture with a dispatcher and fake engines named u1, u2 and u3.
class DispatcherTest : public ::testing::Test
{
protected:
    JobSpec completion(const std::string &request, const std::string &prompt = "p")
    {
        JobSpec spec;
        spec.request = kernel::RequestId(request);
        spec.deadline = m_clock.now() + 60s;
        spec.body = R"({"model":"v","stream":true})";
        spec.stream = true;
        spec.fingerprint = poison::makeFingerprint(kernel::WorkspaceId("w"), "/v1", prompt);
        spec.chooseTarget = [this](const AttemptContext &context) { return choose(context); };
        return spec;
    }

    JobSpec booking(const std::string &request)
    {
        JobSpec spec = completion(request);
        spec.kind = JobKind::Service;
        spec.stream = false;
        spec.idempotent = false;
        spec.path = "/services/booking/slots";
        return spec;
    }

    kernel::Completion<Target> choose(const AttemptContext &context)
    {
        m_contexts.push_back(context);
        for (const std::string name : { "u1", "u2", "u3" }) {
            const kernel::UpstreamId id(name);
            if (std::ranges::find(context.exclude, id) == context.exclude.end()
                && std::ranges::find(context.avoid, id) == context.avoid.end())
                return Target{ id, { "127.0.0.1", 1 } };
        }
        return kernel::Error{ ResultCode::NoUpstream, "no upstream is left" };
    }

    std::unique_ptr<Job> run(JobSpec spec)
    {
        JobHandlers handlers;
        handlers.onText = [this](std::string_view text, std::int64_t) { m_text += text; };
        handlers.onBodyPiece = [this](std::string_view text) { m_raw += text; };
        handlers.onEnd = [this](const JobResult &result) {
            ++m_ends;
            m_result = result;
        };
        return m_dispatcher.run(std::move(spec), std::move(handlers));
    }

    /// Breaks the connection of the last call. The following probe finds the upstream crashed or
    /// alive.
    void breakLastConnection(bool crashed)
    {
        FakeHttp::fail(m_http.last(), ResultCode::UpstreamBroken);
        FakeHttp::Call &probe = *m_http.probes.back();
        if (crashed)
            FakeHttp::fail(probe, ResultCode::UpstreamConnectFailed);
        else
            FakeHttp::end(probe);
    }

    void completeLastCall(std::int64_t from, std::int64_t tokens)
    {
        FakeHttp::Call &call = m_http.last();
        FakeHttp::sendHead(call, 200);
        for (std::int64_t i = from; i < tokens; ++i)
            call.handlers.onBody(FakeHttp::tokenEvent(call, i, std::to_string(i)));
        call.handlers.onBody(FakeHttp::finishEvent(call, tokens));
        FakeHttp::end(call);
    }

    kernel::ManualScheduler m_clock;
    FakeHttp m_http;
    std::vector<AttemptContext> m_contexts;
    Dispatcher m_dispatcher{ m_clock.scheduler(), m_http.sender(), kernel::Random(1) };
    std::string m_text;
    std::string m_raw;
    JobResult m_result;
    int m_ends = 0;
};

} // namespace

TEST_F(DispatcherTest, ResumesAnInterruptedStreamAtAnotherUpstream)
{
    const auto job = run(completion("r"));
    FakeHttp::Call &first = m_http.last();
    FakeHttp::sendHead(first, 200);
    first.handlers.onBody(FakeHttp::tokenEvent(first, 0, "0")
                          + FakeHttp::tokenEvent(first, 1, "1"));
    breakLastConnection(false);
    ASSERT_EQ(m_http.calls.size(), 2U);
    EXPECT_NE(m_http.last().request.body.find(R"("resume":{"text":"01","tokens":2})"),
              std::string::npos);
    // A late token of the first attempt must be ignored.
    first.handlers.onBody(FakeHttp::tokenEvent(first, 2, "wrong"));
    completeLastCall(2, 4);
    EXPECT_EQ(m_text, "0123");
    EXPECT_EQ(m_result.code, ResultCode::Ok);
    EXPECT_EQ(m_result.usage.output, kernel::Tokens(4));
    EXPECT_EQ(m_result.attempts, 2);
    EXPECT_EQ(m_ends, 1);
    EXPECT_EQ(m_dispatcher.inFlight(), 0);
}

TEST_F(DispatcherTest, AStreamThatCannotBeResumedEndsWithStreamCut)
{
    const auto job = run(completion("r"));
    for (int attempt = 0; attempt < 3; ++attempt) {
        FakeHttp::Call &call = m_http.last();
        FakeHttp::sendHead(call, 200);
        call.handlers.onBody(FakeHttp::tokenEvent(call, attempt, "t"));
        FakeHttp::end(call);
        FakeHttp::end(*m_http.probes.back());
    }
    EXPECT_EQ(m_ends, 1);
    EXPECT_EQ(m_text, "ttt");
    EXPECT_EQ(m_result.code, ResultCode::StreamCut);
    EXPECT_EQ(m_result.runState, RunState::Ran);
}

TEST_F(DispatcherTest, AMisroutedResponseIsNotDelivered)
{
    const auto job = run(completion("r"));
    FakeHttp::Call &call = m_http.last();
    call.handlers.onSent();
    call.handlers.onHead({ 200, { { "x-request-id", "another" } } });
    ASSERT_EQ(m_http.calls.size(), 2U);
    completeLastCall(0, 2);
    EXPECT_EQ(m_text, "01");
    EXPECT_EQ(m_result.code, ResultCode::Ok);
}

TEST_F(DispatcherTest, ANonIdempotentRequestIsNotRetriedAfterItWasSent)
{
    const auto unsent = run(booking("b1"));
    FakeHttp::fail(m_http.last(), ResultCode::UpstreamConnectFailed);
    ASSERT_EQ(m_http.calls.size(), 2U) << "the request did not run, so another upstream may run it";
    m_http.last().handlers.onSent();
    breakLastConnection(false);
    EXPECT_EQ(m_http.calls.size(), 2U);
    EXPECT_EQ(m_result.code, ResultCode::UpstreamBroken);
    EXPECT_EQ(m_result.runState, RunState::Unknown);
}

TEST_F(DispatcherTest, PassesAServiceResponseThrough)
{
    const auto job = run(booking("b1"));
    FakeHttp::sendHead(m_http.last(), 201);
    m_http.last().handlers.onBody("sl");
    m_http.last().handlers.onBody("ot");
    FakeHttp::end(m_http.last());
    EXPECT_EQ(m_raw, "slot");
    EXPECT_EQ(m_result.code, ResultCode::Ok);
    EXPECT_EQ(m_result.runState, RunState::Ran);
}

TEST_F(DispatcherTest, AnOverloadedEngineCountsAsNotRun)
{
    JobSpec spec = completion("r");
    spec.idempotent = false;
    const auto job = run(std::move(spec));
    for (int attempt = 0; attempt < 3; ++attempt) {
        FakeHttp::sendHead(m_http.last(), 503);
        m_http.last().handlers.onBody(R"({"error":{"code":"overloaded"}})");
        FakeHttp::end(m_http.last());
    }
    EXPECT_EQ(m_result.code, ResultCode::UpstreamOverloaded);
    EXPECT_EQ(m_result.runState, RunState::NotRun);
}

TEST_F(DispatcherTest, DeadlineCancelsAndReportsTheRunState)
{
    const auto unsent = run(completion("r1"));
    m_clock.advance(61s);
    EXPECT_EQ(m_result.code, ResultCode::DeadlinePassed);
    EXPECT_EQ(m_result.runState, RunState::NotRun);
    const auto sent = run(completion("r2"));
    m_http.last().handlers.onSent();
    m_clock.advance(61s);
    EXPECT_EQ(m_result.code, ResultCode::UpstreamTimeout);
    EXPECT_EQ(m_result.runState, RunState::Unknown);
    m_clock.runDue();
    EXPECT_TRUE(m_http.last().cancelled);
}

TEST_F(DispatcherTest, DestroyingAJobCancelsItsAttempt)
{
    auto job = run(completion("r"));
    FakeHttp::sendHead(m_http.last(), 200);
    job.reset();
    m_clock.runDue();
    EXPECT_TRUE(m_http.last().cancelled);
    EXPECT_EQ(m_ends, 0);
    EXPECT_EQ(m_dispatcher.inFlight(), 0);
}

TEST_F(DispatcherTest, RetriesStayWithinTheirBudget)
{
    DispatcherOptions options;
    options.retryBudget = { 0.1, 2, 2 };
    Dispatcher dispatcher(m_clock.scheduler(), m_http.sender(), kernel::Random(1), options);
    constexpr int requests = 100;
    for (int i = 0; i < requests; ++i) {
        const auto job = dispatcher.run(completion("r"), {});
        std::size_t sent = 0;
        while (sent != m_http.calls.size()) {
            sent = m_http.calls.size();
            FakeHttp::fail(m_http.last(), ResultCode::UpstreamConnectFailed);
        }
    }
    EXPECT_LE(m_http.calls.size(), requests + 2U + requests / 10U);
    EXPECT_GE(m_http.calls.size(), requests + requests / 10U);
}

// A poison request that is sent repeatedly to several routers must crash at most two upstreams.
TEST_F(DispatcherTest, APoisonRequestCrashesAtMostTwoUpstreams)
{
    Dispatcher second(m_clock.scheduler(), m_http.sender(), kernel::Random(2));
    const auto first = run(completion("r1", "poison"));
    m_http.last().handlers.onSent();
    breakLastConnection(true);
    ASSERT_EQ(m_http.calls.size(), 2U);
    EXPECT_TRUE(m_contexts.back().suspect);
    m_http.last().handlers.onSent();
    breakLastConnection(true);
    EXPECT_EQ(m_result.code, ResultCode::PoisonRefused);
    EXPECT_EQ(m_result.runState, RunState::Unknown);

    ASSERT_TRUE(second.mergePoison(m_dispatcher.encodePoison()));
    JobResult refused;
    JobHandlers handlers;
    handlers.onEnd = [&](const JobResult &result) { refused = result; };
    const auto repeated = second.run(completion("r2", "poison"), std::move(handlers));
    m_clock.runDue();
    EXPECT_EQ(refused.code, ResultCode::PoisonRefused);
    EXPECT_EQ(refused.runState, RunState::NotRun);
    EXPECT_EQ(m_http.calls.size(), 2U);
}

TEST_F(DispatcherTest, ASuspectedHarmlessRequestIsRetriedInIsolationAndCleared)
{
    const auto concurrent = run(completion("r0", "other"));
    FakeHttp::sendHead(m_http.last(), 200);
    m_contexts.clear();
    const auto job = run(completion("r1", "innocent"));
    m_http.last().handlers.onSent();
    breakLastConnection(true);
    // u1 has crashed. The suspected request may only run at an upstream without other attempts of
    // this router.
    EXPECT_EQ(m_contexts.back().exclude.size(), 2U);
    EXPECT_EQ(m_dispatcher.inFlight(kernel::UpstreamId("u2")), 1);
    const auto fresh = run(completion("r2", "fresh"));
    EXPECT_EQ(m_dispatcher.inFlight(kernel::UpstreamId("u2")), 1)
        << "a request must not run beside a suspected one";
    m_http.calls.pop_back();
    completeLastCall(0, 3);
    EXPECT_EQ(m_result.code, ResultCode::Ok);
    EXPECT_EQ(
        unclearedCrashes(m_dispatcher.poisonEvidence(),
                         poison::makeFingerprint(kernel::WorkspaceId("w"), "/v1", "innocent")),
        0);
}

TEST_F(DispatcherTest, AHandlerMayDestroyTheJob)
{
    std::unique_ptr<Job> job;
    JobHandlers handlers;
    handlers.onText = [&](std::string_view, std::int64_t) { job.reset(); };
    job = m_dispatcher.run(completion("r"), std::move(handlers));
    FakeHttp::Call &call = m_http.last();
    FakeHttp::sendHead(call, 200);
    call.handlers.onBody(FakeHttp::tokenEvent(call, 0, "a") + FakeHttp::tokenEvent(call, 1, "b"));
    m_clock.runDue();
    EXPECT_TRUE(call.cancelled);
}
