#pragma once

#include <memory>
#include <string>
#include <vector>

#include "platform/testing/runnerstandin.h"
#include "platform/testing/storestandin.h"
#include "router/router.h"

namespace acaciasail::router::testing {

/// Time after which a test stops waiting for something that happens within milliseconds.
inline constexpr std::chrono::seconds waitTimeout{ 10 };

/// Returns the settings of a router that listens on free loopback ports and uses this store.
RouterSettings makeLoopbackSettings(const platform::testing::StoreStandin &store,
                                    const std::string &vm);

/// Ends the router in `router`, if there is one, starts another with these settings in its place
/// and waits until that is ready. Failures are those of the current test.
void restartRouter(http::EventLoop &loop, const RouterSettings &settings,
                   std::unique_ptr<Router> &router);

/// Adds a runner stand-in, which the store lists as an upstream of this service.
void addRunner(http::EventLoop &loop, platform::testing::StoreStandin &store,
               std::vector<std::unique_ptr<platform::testing::RunnerStandin>> &runners,
               const std::string &id, const std::string &service);

} // namespace acaciasail::router::testing
