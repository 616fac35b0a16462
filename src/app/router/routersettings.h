#pragma once

#include <string>
#include <vector>

#include "forwarding/forwarding.h"
#include "settings/settings.h"

namespace acaciasail::router {

/// All settings of the router; docs/operators/SETTINGS.md explains each.
struct RouterSettings
{
    kernel::EventLogOptions log;
    kernel::Endpoint callersListen;
    kernel::Endpoint readinessListen;
    kernel::Endpoint metricsListen;
    kernel::Endpoint store;
    /// Upper bound of the age of what the router knows of the store while it can reach the store.
    kernel::Duration maxStoreAge = std::chrono::seconds(3);
    /// Whether the routers of a data centre may read what the store holds from each other.
    bool storeRelays = true;
    std::size_t maxConnections = 0;
    /// Bytes held for callers above which their connections are closed.
    std::size_t callerMemoryBytes = 64U << 20U;
    /// Maximum time from SIGTERM to the exit of the process.
    kernel::Duration stopTimeout{};
    /// Time after SIGTERM in which the load balancer may still send new connections.
    kernel::Duration balancerDelay{};
    forwarding::ForwardingOptions forwarding;
};

/// Settings together with the mistakes found in their file.
struct CheckedRouterSettings
{
    RouterSettings settings;
    std::vector<settings::Mistake> mistakes;
};

/// Reads a settings file. Errors: SettingsUnreadable.
kernel::Result<CheckedRouterSettings> readRouterSettings(const std::string &file);
/// Reads settings from an opened file.
CheckedRouterSettings readRouterSettings(settings::Reader &reader);

} // namespace acaciasail::router
