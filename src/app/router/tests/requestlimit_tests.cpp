#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "platform/testing/wireforms.h"
#include "router/tests/loopbackrouters.h"

using namespace acaciasail;
using namespace acaciasail::router;
using namespace acaciasail::router::testing;
using acaciasail::platform::testing::makeCallerRequest;
using acaciasail::platform::testing::makeConfigurationSpec;
using acaciasail::platform::testing::RunnerStandin;
using acaciasail::platform::testing::StoreBehaviour;
using acaciasail::platform::testing::StoreStandin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t routerCount = 6;
constexpr std::chrono::milliseconds requestInterval{ 40 };
// Time after the first naming of a limit from which the routers must keep it.
constexpr std::chrono::seconds limitEffectTime{ 3 };
// Requests that an upstream may get within the window: this factor times what the limit allows,
// plus the slack.
constexpr std::chrono::seconds limitWindow{ 4 };
constexpr double limitFactor = 1.5;
constexpr int limitSlack = 5;

// Several routers that share the runners of one service, with a steady load of requests to all of
// the routers.
class RequestLimitTest : public ::testing::Test
{
protected:
    RequestLimitTest()
        : m_store(m_loop, { "127.0.0.1", 0 })
        , m_client(m_loop)
    {
        m_store.put("config", "main",
                    makeConfigurationSpec(
                        1, { { "desk", "unsafe", "desk" }, { "chat", "streaming", "desk" } }));
        m_routers.resize(routerCount);
    }

    void TearDown() override
    {
        EXPECT_TRUE(m_loop.runUntil([this] { return m_openRequests == 0; }, waitTimeout))
            << "each request ends";
    }

    void addRunner(const std::string &id)
    {
        router::testing::addRunner(m_loop, m_store, m_runners, id, "desk");
    }

    void startRouters()
    {
        for (std::size_t i = 0; i < routerCount; ++i)
            startRouter(i);
    }

    void startRouter(std::size_t number)
    {
        restartRouter(m_loop, makeLoopbackSettings(m_store, "vm-" + std::to_string(number)),
                      m_routers[number]);
    }

    // Sends requests to the routers in turn for this time.
    void applyLoad(kernel::Duration time, const std::string &path = "/desk/x")
    {
        m_loadPath = path;
        sendNext();
        m_loop.runUntil([] { return false; }, time);
        m_loadTimer.cancel();
    }

    void sendNext()
    {
        const auto &router = m_routers[m_requestCount % routerCount];
        http::ClientRequest request = makeCallerRequest(router->callersEndpoint(), m_loadPath,
                                                        "q" + std::to_string(++m_requestCount), 4s);
        request.body = "body";
        ++m_openRequests;
        m_client.fetch(request, [this, sentAt = now()](
                                    const kernel::Completion<http::ClientResponse> &outcome) {
            recordResponse(outcome, sentAt);
        });
        m_loadTimer = kernel::Timer(m_loop.scheduler(), requestInterval, [this] { sendNext(); });
    }

    void recordResponse(const kernel::Completion<http::ClientResponse> &outcome,
                        kernel::Instant sentAt)
    {
        const int status = outcome.ok() ? outcome.value().head.status : 0;
        --m_openRequests;
        ++m_responses[status];
        if (status != 503)
            return;
        m_longestRefusal = std::max(m_longestRefusal, now() - sentAt);
        const auto retryAfter = http::findHeader(outcome.value().head.headers, "retry-after");
        if (!retryAfter || std::stod(std::string(*retryAfter)) <= 0)
            ++m_refusalsWithoutRetryAfter;
    }

    kernel::Instant now() const { return m_loop.scheduler().now(); }

    static int arrivalsBetween(const RunnerStandin &runner, kernel::Instant from,
                               kernel::Instant to)
    {
        return static_cast<int>(std::ranges::count_if(runner.arrivals(), [&](const auto &arrival) {
            return arrival.time >= from && arrival.time < to;
        }));
    }

    // Returns the largest number of requests that arrived within a window that lies after `from`.
    static int mostArrivals(const RunnerStandin &runner, kernel::Instant from)
    {
        int most = 0;
        for (const auto &first : runner.arrivals()) {
            if (first.time >= from)
                most
                    = std::max(most, arrivalsBetween(runner, first.time, first.time + limitWindow));
        }
        return most;
    }

    static int maxArrivals(double perSecond)
    {
        return static_cast<int>(limitFactor * perSecond
                                * std::chrono::duration<double>(limitWindow).count())
               + limitSlack;
    }

    // Outlive the routers, whose end completes open requests.
    int m_openRequests = 0;
    std::map<int, int> m_responses;
    kernel::Duration m_longestRefusal{};
    int m_refusalsWithoutRetryAfter = 0;

    http::EventLoop m_loop;
    StoreStandin m_store;
    http::Client m_client;
    std::vector<std::unique_ptr<RunnerStandin>> m_runners;
    std::vector<std::unique_ptr<Router>> m_routers;
    kernel::Timer m_loadTimer;
    std::string m_loadPath;
    std::size_t m_requestCount = 0;
};

} // namespace

TEST_F(RequestLimitTest, RoutersTogetherSendNoMoreThanTheUpstreamsNamedLimit)
{
    addRunner("d1");
    addRunner("d2");
    startRouters();
    m_runners[0]->behaviour().limitPerSecond = "1.4";
    const kernel::Instant namedAt = now();
    applyLoad(9s);
    EXPECT_LE(mostArrivals(*m_runners[0], namedAt + limitEffectTime), maxArrivals(1.4));
    EXPECT_GE(arrivalsBetween(*m_runners[0], namedAt + limitEffectTime, now()), 3)
        << "the limited upstream is still used";
    EXPECT_EQ(m_responses[503], 0) << "the other upstream takes the rest";
}

TEST_F(RequestLimitTest, LimitHoldsThroughRetriesStreamsRestartsAndStoreOutage)
{
    addRunner("d1");
    addRunner("d2");
    addRunner("d3");
    startRouters();
    m_runners[0]->behaviour().limitPerSecond = "1.4";
    // Requests at the other runners break, so that retries and resumed streams look for another.
    m_runners[1]->behaviour().resetEvery = 3;
    m_runners[2]->behaviour().refuseEvery = 3;
    const kernel::Instant namedAt = now();
    applyLoad(4s, "/chat/x");
    for (std::size_t i = 0; i < routerCount; i += 2) {
        startRouter(i);
        applyLoad(500ms, "/desk/x");
    }
    m_store.setBehaviour(StoreBehaviour::ResetsConnections);
    applyLoad(4s, "/chat/x");
    m_store.setBehaviour(StoreBehaviour::Normal);
    applyLoad(3s, "/desk/x");
    EXPECT_LE(mostArrivals(*m_runners[0], namedAt + limitEffectTime), maxArrivals(1.4));
}

TEST_F(RequestLimitTest, WholeLimitedServiceIsRefusedAtOnceWithRetryAfter)
{
    addRunner("d1");
    addRunner("d2");
    startRouters();
    for (const auto &runner : m_runners)
        runner->behaviour().limitPerSecond = "2";
    const kernel::Instant namedAt = now();
    applyLoad(9s);
    for (const auto &runner : m_runners)
        EXPECT_LE(mostArrivals(*runner, namedAt + limitEffectTime), maxArrivals(2));
    EXPECT_GT(m_responses[503], 50);
    EXPECT_GT(m_responses[200], 10);
    EXPECT_EQ(m_refusalsWithoutRetryAfter, 0);
    EXPECT_LT(m_longestRefusal, 1s);
}

TEST_F(RequestLimitTest, RoutersReturnToUpstreamWhoseLimitEnded)
{
    addRunner("d1");
    addRunner("d2");
    startRouters();
    m_runners[0]->behaviour().limitPerSecond = "1.4";
    applyLoad(5s);
    m_runners[0]->behaviour().limitPerSecond.clear();
    applyLoad(5s);
    const kernel::Instant from = now();
    applyLoad(2s);
    EXPECT_GE(arrivalsBetween(*m_runners[0], from, now()), 10);
}
