#include <gtest/gtest.h>

#include "platform/testing/wireforms.h"
#include "router/tests/loopbackrouters.h"

using namespace acaciasail;
using namespace acaciasail::router;
using namespace acaciasail::router::testing;
using acaciasail::platform::testing::makeCallerRequest;
using acaciasail::platform::testing::makeConfigurationSpec;
using acaciasail::platform::testing::makeRunnerSpec;
using acaciasail::platform::testing::RunnerStandin;
using acaciasail::platform::testing::StoreBehaviour;
using acaciasail::platform::testing::StoreStandin;
using namespace std::chrono_literals;

namespace {

const std::string evacuations = "evacuations";
constexpr double coldPerSecond = 2;

// Two routers in front of two data centres, z1 and z2, with one runner each.
class EvacuationTest : public ::testing::Test
{
protected:
    EvacuationTest()
        : m_store(m_loop, { "127.0.0.1", 0 })
        , m_client(m_loop)
        , m_routers(2)
    {
        auto configuration = makeConfigurationSpec(
            1, { { "desk", "safe", "desk" }, { "chat", "streaming", "desk" } });
        platform::testing::addColdLimit(configuration, "desk", coldPerSecond, 10s);
        m_store.put("config", "main", configuration);
        for (const char *dataCentre : { "z1", "z2" }) {
            m_runners.push_back(std::make_unique<RunnerStandin>(
                m_loop, kernel::Endpoint{ "127.0.0.1", 0 }, std::string("d-") + dataCentre));
            auto spec = makeRunnerSpec("desk", m_runners.back()->endpoint());
            platform::testing::setDataCentre(spec, dataCentre);
            m_store.put("servers", m_runners.back()->id(), spec);
        }
    }

    RouterSettings settings(std::size_t number) const
    {
        RouterSettings result = makeLoopbackSettings(m_store, "vm-" + std::to_string(number));
        result.forwarding.followsEvacuations = true;
        return result;
    }

    void startRouters()
    {
        for (std::size_t i = 0; i < m_routers.size(); ++i)
            restartRouter(m_loop, settings(i), m_routers[i]);
    }

    static const forwarding::Directory &directoryOf(const Router &router)
    {
        return router.forwarder().state().directory;
    }

    // Waits until all routers know that these many data centres are evacuated.
    bool waitForEvacuated(std::size_t count)
    {
        return m_loop.runUntil(
            [&] {
                return std::ranges::all_of(m_routers, [&](const auto &router) {
                    return directoryOf(*router).evacuated.size() == count;
                });
            },
            waitTimeout);
    }

    // Sends requests to the routers in turn, one after the other, and counts the statuses.
    std::map<int, int> send(int count)
    {
        std::map<int, int> statuses;
        for (int i = 0; i < count; ++i) {
            const auto &router = m_routers[static_cast<std::size_t>(i) % m_routers.size()];
            ++statuses[fetch(*router, "/desk/x").head.status];
        }
        return statuses;
    }

    http::ClientResponse fetch(const Router &router, const std::string &path)
    {
        http::ClientResponse response;
        bool ended = false;
        startFetch(router, path, [&](const kernel::Completion<http::ClientResponse> &outcome) {
            ended = true;
            if (outcome.ok())
                response = outcome.value();
        });
        EXPECT_TRUE(m_loop.runUntil([&] { return ended; }, waitTimeout));
        return response;
    }

    void startFetch(const Router &router, const std::string &path,
                    std::function<void(const kernel::Completion<http::ClientResponse> &)> onEnd)
    {
        http::ClientRequest request = makeCallerRequest(router.callersEndpoint(), path,
                                                        "q" + std::to_string(++m_requestCount), 4s);
        request.body = "body";
        m_client.fetch(request, std::move(onEnd));
    }

    int requestsAt(std::size_t runner) const { return m_runners[runner]->requestCount(); }

    http::EventLoop m_loop;
    StoreStandin m_store;
    http::Client m_client;
    std::vector<std::unique_ptr<RunnerStandin>> m_runners;
    std::vector<std::unique_ptr<Router>> m_routers;
    int m_requestCount = 0;
};

} // namespace

TEST_F(EvacuationTest, EvacuatedDataCentreGetsNothingUntilItIsTakenBackCold)
{
    startRouters();
    EXPECT_EQ(send(20)[200], 20);
    EXPECT_GT(requestsAt(0), 0);
    m_store.put(evacuations, "z1", nlohmann::json::object());
    ASSERT_TRUE(waitForEvacuated(1));
    const int before = requestsAt(0);
    EXPECT_EQ(send(20)[200], 20);
    EXPECT_EQ(requestsAt(0), before);
    m_store.remove(evacuations, "z1");
    ASSERT_TRUE(waitForEvacuated(0));
    EXPECT_EQ(send(20)[200], 20);
    EXPECT_LE(requestsAt(0) - before, 3) << "it may have turned cold";
}

TEST_F(EvacuationTest, StreamRunsToItsEndWhereItStarted)
{
    startRouters();
    m_store.put(evacuations, "z2", nlohmann::json::object());
    ASSERT_TRUE(waitForEvacuated(1));
    m_runners[0]->behaviour().work = 100ms;
    std::optional<kernel::Completion<http::ClientResponse>> result;
    startFetch(*m_routers[0], "/chat/x",
               [&](const kernel::Completion<http::ClientResponse> &outcome) { result = outcome; });
    ASSERT_TRUE(m_loop.runUntil([&] { return requestsAt(0) == 1; }, waitTimeout));
    m_store.remove(evacuations, "z2");
    m_store.put(evacuations, "z1", nlohmann::json::object());
    ASSERT_TRUE(waitForEvacuated(1));
    ASSERT_TRUE(m_loop.runUntil([&] { return result.has_value(); }, waitTimeout));
    ASSERT_TRUE(result->ok());
    EXPECT_EQ(result->value().head.status, 200);
    EXPECT_EQ(requestsAt(0) + requestsAt(1), 1);
}

TEST_F(EvacuationTest, WhatIsKnownHoldsWhileTheStoreIsAway)
{
    startRouters();
    m_store.put(evacuations, "z1", nlohmann::json::object());
    ASSERT_TRUE(waitForEvacuated(1));
    m_store.setBehaviour(StoreBehaviour::ResetsConnections);
    m_store.remove(evacuations, "z1");
    m_store.put(evacuations, "z2", nlohmann::json::object());
    m_loop.runUntil([] { return false; }, 1s);
    EXPECT_EQ(send(20)[200], 20);
    EXPECT_EQ(requestsAt(0), 0);
    m_store.dropHistory();
    m_store.setBehaviour(StoreBehaviour::Normal);
    ASSERT_TRUE(m_loop.runUntil(
        [&] {
            return std::ranges::all_of(m_routers, [](const auto &router) {
                return directoryOf(*router).evacuated == std::set{ kernel::DataCentreId("z2") };
            });
        },
        waitTimeout));
    const int before = requestsAt(1);
    send(20);
    EXPECT_EQ(requestsAt(1), before);
}

TEST_F(EvacuationTest, StartingRouterServesNothingBeforeItKnowsTheEvacuations)
{
    m_store.put(evacuations, "z1", nlohmann::json::object());
    m_store.setUnansweredKind(evacuations);
    Router router(m_loop, settings(0), "");
    ASSERT_TRUE(kernel::capture([&] { return router.start(); }).ok());
    ASSERT_TRUE(
        m_loop.runUntil([&] { return directoryOf(router).upstreams.size() == 2; }, waitTimeout));
    m_loop.runUntil([] { return false; }, 300ms);
    EXPECT_FALSE(router.ready());
    EXPECT_EQ(fetch(router, "/desk/x").head.status, 503);
    m_store.setUnansweredKind("");
    ASSERT_TRUE(m_loop.runUntil([&] { return router.ready(); }, waitTimeout));
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(fetch(router, "/desk/x").head.status, 200);
    EXPECT_EQ(requestsAt(0), 0);
}

TEST_F(EvacuationTest, AllDataCentresEvacuatedIsRefusedAsNotRun)
{
    startRouters();
    m_store.put(evacuations, "z1", nlohmann::json::object());
    m_store.put(evacuations, "z2", nlohmann::json::object());
    ASSERT_TRUE(waitForEvacuated(2));
    const http::ClientResponse response = fetch(*m_routers[0], "/desk/x");
    EXPECT_EQ(response.head.status, 503);
    EXPECT_TRUE(http::findHeader(response.head.headers, "retry-after"));
    EXPECT_EQ(requestsAt(0) + requestsAt(1), 0);
}
