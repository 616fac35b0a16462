// Routers of one data centre that read what the store holds from each other.

#include <algorithm>
#include <functional>
#include <string>

#include <gtest/gtest.h>

#include "platform/names.h"
#include "platform/testing/wireforms.h"
#include "router/tests/loopbackrouters.h"

using namespace acaciasail;
using namespace acaciasail::router;
using namespace acaciasail::router::testing;
using acaciasail::platform::testing::makeConfigurationSpec;
using acaciasail::platform::testing::RunnerStandin;
using acaciasail::platform::testing::StoreBehaviour;
using acaciasail::platform::testing::StoreStandin;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t routerCount = 8;
// Time in which a change reaches all routers while nothing fails, and after a fault.
constexpr std::chrono::milliseconds usualDelay{ 2000 };
constexpr std::chrono::milliseconds delayAfterFault{ 3000 };
const std::string dataCentre = "dc-1";

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
                responder->send(outcome.value().head.status, {}, outcome.value().body);
            else
                responder->abort();
        });
    }

    http::Client &m_client;
    kernel::Endpoint m_store;
    std::shared_ptr<State> m_state = std::make_shared<State>();
    std::unique_ptr<http::Server> m_server;
};

class StoreRelaysTest : public ::testing::Test
{
protected:
    StoreRelaysTest()
        : m_store(m_loop, { "127.0.0.1", 0 })
        , m_client(m_loop)
    {
        m_store.put("config", "main", makeConfigurationSpec(1, { { "desk", "safe", "desk" } }));
        addRunner(m_loop, m_store, m_runners, "r0", "desk");
        m_routers.resize(routerCount);
    }

    RouterSettings settings(std::size_t number, bool relays = true) const
    {
        RouterSettings result = makeLoopbackSettings(m_store, name(number));
        result.forwarding.dataCentre = kernel::DataCentreId(dataCentre);
        result.forwarding.followsEvacuations = true;
        result.forwarding.leaveTime = 2s;
        result.storeRelays = relays;
        return result;
    }

    static std::string name(std::size_t number) { return "vm-" + std::to_string(number); }

    // Returns the routers that the others read from, the preferred ones first.
    static std::vector<std::size_t> ranking()
    {
        std::vector<std::size_t> result(routerCount);
        for (std::size_t i = 0; i < routerCount; ++i)
            result[i] = i;
        std::ranges::sort(result, std::greater<>(), [](std::size_t number) {
            return kernel::rendezvousScore(dataCentre, name(number));
        });
        return result;
    }

    void startRouters(bool relays = true)
    {
        for (std::size_t i = 0; i < routerCount; ++i)
            restartRouter(m_loop, settings(i, relays), m_routers[i]);
        run(3s);
    }

    void run(kernel::Duration time)
    {
        m_loop.runUntil([] { return false; }, time);
    }

    static double metric(const Router &router, const std::string &name)
    {
        const std::string text = router.forwarder().metrics().text();
        const auto at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1 : std::stod(text.substr(at + name.size() + 2));
    }

    // Returns whether a router has heard that a registration was removed.
    static bool isGone(const forwarding::Directory &directory, const std::string &id)
    {
        const auto upstream = directory.upstreams.find(kernel::UpstreamId(id));
        return upstream == directory.upstreams.end() || upstream->second.removalDueAt;
    }

    // Waits until a condition holds at all routers; returns the ones at which it doesn't.
    std::string missingAfter(kernel::Duration time,
                             const std::function<bool(const forwarding::Directory &)> &condition)
    {
        const auto holdsAt = [&](const auto &router) {
            return router == nullptr || condition(router->forwarder().state().directory);
        };
        m_loop.runUntil([&] { return std::ranges::all_of(m_routers, holdsAt); }, time);
        std::string missing;
        for (const auto &router : m_routers) {
            if (!holdsAt(router))
                missing += router->settings().forwarding.vm.str() + " ";
        }
        return missing;
    }

    // Makes a change of each kind, one after the other; returns what routers didn't hear in time.
    std::string missedChanges(kernel::Duration time)
    {
        std::string missed;
        const int number = ++m_round;
        const std::string id = "new-" + std::to_string(number);
        m_store.put("config", "main",
                    makeConfigurationSpec(1 + number, { { "desk", "safe", "desk" } }));
        missed += missingAfter(time, [&](const auto &directory) {
            return directory.configuration->number.count() == 1 + number;
        });
        m_store.put("servers", id, platform::testing::makeRunnerSpec("desk", { "127.0.0.1", 1 }));
        missed += missingAfter(time, [&](const auto &directory) {
            return directory.upstreams.contains(kernel::UpstreamId(id));
        });
        m_store.put("evacuations", "dc-9", nlohmann::json::object());
        missed += missingAfter(time, [&](const auto &directory) {
            return directory.evacuated.contains(kernel::DataCentreId("dc-9"));
        });
        m_store.remove("evacuations", "dc-9");
        missed += missingAfter(time, [&](const auto &directory) {
            return !directory.evacuated.contains(kernel::DataCentreId("dc-9"));
        });
        m_store.remove("servers", id);
        missed += missingAfter(time, [&](const auto &directory) { return isGone(directory, id); });
        return missed;
    }

    std::size_t callsIn(kernel::Duration time)
    {
        const std::size_t before = m_store.calls();
        run(time);
        return m_store.calls() - before;
    }

    http::EventLoop m_loop;
    StoreStandin m_store;
    http::Client m_client;
    std::vector<std::unique_ptr<RunnerStandin>> m_runners;
    std::vector<std::unique_ptr<Router>> m_routers;
    int m_round = 0;
};

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
