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
    std::size_t maxConnections = 0;
    /// Time from SIGTERM to the end of the process at the latest.
    kernel::Duration stopTimeout{};
    /// Time for which new connections are still expected after SIGTERM.
    kernel::Duration balancerDelay{};
    forwarding::ForwardingOptions forwarding;
};

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
