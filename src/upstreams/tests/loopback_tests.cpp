#include <gtest/gtest.h>

#include "upstreams/upstreams.h"

using namespace acaciasail;
using namespace acaciasail::upstreams;
using namespace std::chrono_literals;
using kernel::ResultCode;

namespace {

/// Engine on the loopback interface that aborts its first response after some tokens.
class InterruptedEngine
{
public:
    InterruptedEngine(http::EventLoop &loop, std::int64_t tokens, std::int64_t abortAfter)
        : m_tokens(tokens)
        , m_abortAfter(abortAfter)
    {
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        auto server = kernel::capture([&] {
            return http::Server::listen(loop, options,
                                        [this](const http::ServerRequest &request,
                                               const std::shared_ptr<http::Responder> &responder) {
                                            answer(request, *responder);
                                        });
        });
        m_server = std::move(server.value());
    }

    kernel::Endpoint endpoint() const { return m_server->endpoint(); }
    int completions() const { return m_completions; }

private:
    static std::string header(const http::ServerRequest &request, std::string_view name)
    {
        return std::string(http::findHeader(request.headers, name).value_or(""));
    }

    void answer(const http::ServerRequest &request, http::Responder &responder)
    {
        if (request.method == "GET") {
            responder.send(200, {}, "{}");
            return;
        }
        const std::string ids = R"({"request":")" + header(request, "x-request-id")
                                + R"(","attempt":")" + header(request, "x-attempt-id") + "\"";
        const bool aborts = m_completions++ == 0;
        responder.start(200, { { "content-type", "text/event-stream" } });
        for (std::int64_t i = aborts ? 0 : m_abortAfter; i < (aborts ? m_abortAfter : m_tokens);
             ++i) {
            responder.write("data: " + ids + R"(,"token_index":)" + std::to_string(i)
                            + R"(,"choices":[{"index":0,"delta":{"content":"t"}}]})" + "\n\n");
        }
        if (aborts) {
            responder.whenDrained([&responder] { responder.abort(); });
            return;
        }
        responder.write("data: " + ids + R"(,"token_index":)" + std::to_string(m_tokens)
                        + R"(,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]})"
                        + "\n\ndata: [DONE]\n\n");
        responder.finish();
    }

    std::int64_t m_tokens;
    std::int64_t m_abortAfter;
    int m_completions = 0;
    std::unique_ptr<http::Server> m_server;
};

} // namespace

TEST(Loopback, AnInterruptedStreamIsResumedOverRealSockets)
{
    constexpr std::int64_t tokens = 500;
    http::EventLoop loop;
    InterruptedEngine engine(loop, tokens, tokens / 2);
    http::Client client(loop);
    Dispatcher dispatcher(
        loop.scheduler(),
        [&client](const http::ClientRequest &request, http::ClientHandlers handlers) {
            return client.send(request, std::move(handlers));
        },
        kernel::Random(1));
    JobSpec spec;
    spec.request = kernel::RequestId("r");
    spec.deadline = loop.scheduler().now() + 30s;
    spec.body = "{}";
    spec.stream = true;
    spec.fingerprint = poison::Fingerprint("f");
    spec.chooseTarget = [&engine](const AttemptContext &context) -> kernel::Completion<Target> {
        return Target{ kernel::UpstreamId("u" + std::to_string(context.attempt)),
                       engine.endpoint() };
    };
    std::int64_t next = 0;
    bool ended = false;
    JobResult result;
    JobHandlers handlers;
    handlers.onText = [&next](std::string_view, std::int64_t index) { EXPECT_EQ(index, next++); };
    handlers.onEnd = [&](const JobResult &end) {
        result = end;
        ended = true;
    };
    const auto job = dispatcher.run(std::move(spec), std::move(handlers));
    ASSERT_TRUE(loop.runUntil([&ended] { return ended; }, 20s));
    EXPECT_EQ(result.code, ResultCode::Ok);
    EXPECT_EQ(next, tokens);
    EXPECT_EQ(engine.completions(), 2);
    EXPECT_EQ(unclearedCrashes(dispatcher.poisonEvidence(), poison::Fingerprint("f")), 0)
        << "the upstream did not crash";
}

TEST(Loopback, AnUnreachableUpstreamDidNotRunTheRequest)
{
    http::EventLoop loop;
    http::Client client(loop);
    kernel::Endpoint unreachable;
    {
        const InterruptedEngine engine(loop, 1, 1);
        unreachable = engine.endpoint();
    }
    Dispatcher dispatcher(
        loop.scheduler(),
        [&client](const http::ClientRequest &request, http::ClientHandlers handlers) {
            return client.send(request, std::move(handlers));
        },
        kernel::Random(1));
    JobSpec spec;
    spec.request = kernel::RequestId("r");
    spec.idempotent = false;
    spec.deadline = loop.scheduler().now() + 30s;
    spec.body = "{}";
    spec.chooseTarget = [&unreachable](const AttemptContext &) -> kernel::Completion<Target> {
        return Target{ kernel::UpstreamId("u"), unreachable };
    };
    bool ended = false;
    JobResult result;
    JobHandlers handlers;
    handlers.onEnd = [&](const JobResult &end) {
        result = end;
        ended = true;
    };
    const auto job = dispatcher.run(std::move(spec), std::move(handlers));
    ASSERT_TRUE(loop.runUntil([&ended] { return ended; }, 20s));
    EXPECT_EQ(result.code, ResultCode::UpstreamConnectFailed);
    EXPECT_EQ(result.runState, kernel::RunState::NotRun);
    EXPECT_EQ(result.attempts, 3);
}
