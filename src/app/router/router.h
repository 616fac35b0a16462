#pragma once

#include <string>

#include "router/routersettings.h"

namespace acaciasail::router {

/// Runs the router until it is told to stop. Errors: those of its listeners.
kernel::Result<void> runRouter(const RouterSettings &settings, const std::string &settingsFile);

} // namespace acaciasail::router
