// Routers of one data centre that read what the store holds from each other.

#include <algorithm>
#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "platform/names.h"
#include "platform/testing/oddnames.h"
#include "router/tests/storerouters.h"

using namespace acaciasail;
using namespace acaciasail::router;
using namespace acaciasail::router::testing;
using acaciasail::platform::testing::OddName;
using acaciasail::platform::testing::oddNames;

namespace {

http::Headers epochOf(const http::ClientResponse &response)
{
    const std::string name(platform::names::epochHeader);
    return { { name, std::string(http::findHeader(response.head.headers, name).value_or("")) } };
}

// Passes calls on to the store, until the path is cut.
class StorePath
{
public:
    StorePath(http::EventLoop &loop, http::Client &client, kernel::Endpoint store)
        : m_client(client)
        , m_store(std::move(store))
    {
        http::ServerOptions options;
        options.listen = { "127.0.0.1", 0 };
        auto server = kernel::capture([&] {
            return http::Server::listen(loop, options,
                                        [this](const http::ServerRequest &request,
                                               const std::shared_ptr<http::Responder> &responder) {
                                            pass(request, responder);
                                        });
        });
        m_server = std::move(server.value());
    }

    kernel::Endpoint endpoint() const { return m_server->endpoint(); }
    /// Leaves all calls without an answer from now on, also those that are open.
    void cut() { m_state->isCut = true; }

private:
    // Shared with the calls that are open, which may end after the path has gone.
    struct State
    {
        bool isCut = false;
        std::vector<std::shared_ptr<http::Responder>> unanswered;
    };

    void pass(const http::ServerRequest &request, const std::shared_ptr<http::Responder> &responder)
    {
        if (m_state->isCut) {
            m_state->unanswered.push_back(responder);
            return;
        }
        http::ClientRequest passed;
        passed.endpoint = m_store;
        passed.method = request.method;
        passed.path = request.target;
        passed.body = request.body;
        m_client.fetch(passed, [state = m_state, responder](
                                   const kernel::Completion<http::ClientResponse> &outcome) {
            if (state->isCut)
                state->unanswered.push_back(responder);
            else if (outcome.ok())
                responder->send(outcome.value().head.status, epochOf(outcome.value()),
                                outcome.value().body);
            else
                responder->abort();
        });
    }

    http::Client &m_client;
    kernel::Endpoint m_store;
    std::shared_ptr<State> m_state = std::make_shared<State>();
    std::unique_ptr<http::Server> m_server;
};

class StoreRelaysTest : public StoreRoutersTest
{};

} // namespace

TEST_F(StoreRelaysTest, TwoRoutersCallTheStoreForAll)
{
    startRouters(false);
    const std::size_t before = callsIn(5s);
    for (auto &router : m_routers)
        router = nullptr;
    startRouters();
    const std::size_t after = callsIn(5s);
    EXPECT_LT(static_cast<double>(after), 0.45 * static_cast<double>(before))
        << after << " calls instead of " << before;
    const auto readsFromRelay
        = [](const auto &router) { return metric(*router, "acaciasail_relay_calls_sent") > 0; };
    EXPECT_EQ(std::ranges::count_if(m_routers, readsFromRelay),
              static_cast<std::ptrdiff_t>(routerCount - storewatch::relaysPerDataCentre));
}

TEST_F(StoreRelaysTest, SmallDataCentreReadsFromTheStore)
{
    m_routers.resize(storewatch::minRoutersForRelays - 1);
    for (std::size_t i = 0; i < m_routers.size(); ++i)
        restartRouter(m_loop, settings(i), m_routers[i]);
    run(3s);
    for (const auto &router : m_routers)
        EXPECT_EQ(metric(*router, "acaciasail_relay_calls_sent"), 0);
}

TEST_F(StoreRelaysTest, EachChangeReachesAllRouters)
{
    startRouters();
    EXPECT_EQ(missedChanges(usualDelay), "");
}

// Names go on from relays to the routers that read from them.
TEST_F(StoreRelaysTest, ObjectsUnderOddNamesReachAllRouters)
{
    m_store.setPageObjects(2);
    for (const OddName &odd : oddNames()) {
        m_store.put("servers", "a" + odd.name, 7);
        m_store.put("evacuations", odd.name, nlohmann::json::object());
    }
    startRouters();
    const auto readsFromRelay
        = [](const auto &router) { return metric(*router, "acaciasail_relay_calls_sent") > 0; };
    EXPECT_GT(std::ranges::count_if(m_routers, readsFromRelay), 0);
    std::string missed;
    for (const OddName &odd : oddNames()) {
        const std::string id = "z" + odd.name;
        m_store.put("servers", id, platform::testing::makeRunnerSpec("desk", { "127.0.0.1", 1 }));
    }
    for (const std::string name : { "z&", "za+b", "za#b", "z%", "za b", "z\xc3\xbc", "za\"'`\\b" })
        missed += missingAfter(usualDelay, [&](const auto &directory) {
            return directory.upstreams.contains(kernel::UpstreamId(name));
        });
    EXPECT_EQ(missed, "");
    EXPECT_EQ(missedChanges(usualDelay), "");
    for (const OddName &odd : oddNames())
        m_store.remove("servers", "z" + odd.name);
    EXPECT_EQ(
        missingAfter(usualDelay, [](const auto &directory) { return isGone(directory, "z&"); }),
        "");
    EXPECT_EQ(m_store.malformedCalls(), 0U);
}

TEST_F(StoreRelaysTest, ChangesReachAllRoutersAfterRelaysWereKilled)
{
    startRouters();
    m_routers[ranking()[0]] = nullptr;
    EXPECT_EQ(missedChanges(delayAfterFault), "");
    m_routers[ranking()[1]] = nullptr;
    EXPECT_EQ(missedChanges(delayAfterFault), "");
    const std::size_t calls = callsIn(5s);
    EXPECT_LT(calls, 60U) << "other routers took their place";
    restartRouter(m_loop, settings(ranking()[0]), m_routers[ranking()[0]]);
    EXPECT_EQ(missedChanges(delayAfterFault), "");
}

TEST_F(StoreRelaysTest, ChangesReachAllRoutersAlthoughRelayIsSilent)
{
    // A router that takes connections and never answers is ranked before all others.
    std::vector<std::shared_ptr<http::Responder>> unanswered;
    http::ServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    auto silent = kernel::capture([&] {
        return http::Server::listen(
            m_loop, options,
            [&](const http::ServerRequest &, const std::shared_ptr<http::Responder> &responder) {
                unanswered.push_back(responder);
            });
    });
    const auto score
        = [](const std::string &vm) { return kernel::rendezvousScore(dataCentre, vm); };
    std::string vm = "silent";
    while (score(vm) < score(name(ranking()[0])))
        vm += "x";
    m_store.put("limitreports", vm,
                { { "Number", 1 },
                  { "Address", kernel::toString(silent.value()->endpoint()) },
                  { "DataCentre", dataCentre } });
    startRouters();
    EXPECT_GT(unanswered.size(), 0U);
    EXPECT_EQ(missedChanges(delayAfterFault), "");
}

TEST_F(StoreRelaysTest, ChangesReachTheOthersIfRelaysAreCutOffFromTheStore)
{
    StorePath path(m_loop, m_client, m_store.endpoint());
    for (std::size_t i = 0; i < routerCount; ++i) {
        RouterSettings cutSettings = settings(i);
        if (i == ranking()[0] || i == ranking()[1])
            cutSettings.store = path.endpoint();
        restartRouter(m_loop, cutSettings, m_routers[i]);
    }
    run(3s);
    EXPECT_EQ(missedChanges(usualDelay), "");
    path.cut();
    m_store.remove("servers", "r0");
    const auto cutOff = [&](const auto &router) {
        return router == m_routers[ranking()[0]] || router == m_routers[ranking()[1]];
    };
    const auto hears = [&](const auto &router) {
        return cutOff(router) || isGone(router->forwarder().state().directory, "r0");
    };
    EXPECT_TRUE(
        m_loop.runUntil([&] { return std::ranges::all_of(m_routers, hears); }, delayAfterFault));
}

TEST_F(StoreRelaysTest, ChangesReachAllRoutersAfterTheStoreWasAway)
{
    startRouters();
    for (const StoreBehaviour behaviour :
         { StoreBehaviour::Unavailable, StoreBehaviour::Unresponsive }) {
        m_store.setBehaviour(behaviour);
        run(3s);
        m_store.silenceOpenCalls();
        m_store.setBehaviour(StoreBehaviour::Normal);
        EXPECT_EQ(missedChanges(delayAfterFault), "");
    }
    run(8s);
    EXPECT_LT(callsIn(5s), 60U) << "the routers read from each other again";
}

TEST_F(StoreRelaysTest, StoppingRelaySendsItsReadersToAnother)
{
    startRouters();
    m_routers[ranking()[0]]->startDrain();
    EXPECT_EQ(missedChanges(usualDelay), "");
}

TEST_F(StoreRelaysTest, RefusesStrangersAndUnknownKinds)
{
    startRouters();
    const auto statusOf = [this](const std::string &path, const std::string &vm) {
        http::ClientRequest request;
        request.endpoint = m_routers[ranking()[0]]->metricsEndpoint();
        request.path = path;
        if (!vm.empty())
            request.headers.push_back({ std::string(platform::names::senderHeader), vm });
        std::optional<int> status;
        m_client.fetch(request, [&](const kernel::Completion<http::ClientResponse> &outcome) {
            status = outcome.ok() ? outcome.value().head.status : 0;
        });
        m_loop.runUntil([&] { return status.has_value(); }, waitTimeout);
        return status.value_or(0);
    };
    const std::string objects(platform::names::objectsPath);
    EXPECT_EQ(statusOf(objects + "config", ""), 403);
    EXPECT_EQ(statusOf(objects + "config", "vm-9"), 200);
    EXPECT_EQ(statusOf(objects + "config?Watch=1&WaitMs=x", "vm-9"), 410);
    EXPECT_EQ(statusOf(objects + "secrets", "vm-9"), 404);
    EXPECT_EQ(statusOf(objects + "config?Watch=99999999&WaitMs=200", "vm-9"), 200);
}
