#include "router/tests/loopbackrouters.h"

#include <gtest/gtest.h>

#include "platform/testing/wireforms.h"

namespace acaciasail::router::testing {

using platform::testing::RunnerStandin;
using platform::testing::StoreStandin;

RouterSettings makeLoopbackSettings(const StoreStandin &store, const std::string &vm)
{
    RouterSettings settings;
    settings.callersListen = { "127.0.0.1", 0 };
    settings.readinessListen = { "127.0.0.1", 0 };
    settings.metricsListen = { "127.0.0.1", 0 };
    settings.store = store.endpoint();
    settings.maxConnections = 100;
    settings.forwarding.vm = kernel::VmId(vm);
    settings.forwarding.retries = { 0.9, 500, std::chrono::seconds(10) };
    return settings;
}

void restartRouter(http::EventLoop &loop, const RouterSettings &settings,
                   std::unique_ptr<Router> &router)
{
    router = nullptr;
    router = std::make_unique<Router>(loop, settings, "");
    ASSERT_TRUE(kernel::capture([&] { return router->start(); }).ok());
    ASSERT_TRUE(loop.runUntil([&] { return router->ready(); }, waitTimeout));
}

void addRunner(http::EventLoop &loop, StoreStandin &store,
               std::vector<std::unique_ptr<RunnerStandin>> &runners, const std::string &id,
               const std::string &service)
{
    runners.push_back(
        std::make_unique<RunnerStandin>(loop, kernel::Endpoint{ "127.0.0.1", 0 }, id));
    store.put("servers", id,
              platform::testing::makeRunnerSpec(service, runners.back()->endpoint()));
}

} // namespace acaciasail::router::testing
