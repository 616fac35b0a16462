#pragma once

#include "daemon/daemonsettings.h"
#include "kernel/kernel.h"

namespace acaciasail::daemon {

/// Names under which the modules register their services.
namespace names {
constexpr const char *settings = "settings";
constexpr const char *loop = "loop";
constexpr const char *client = "client";
constexpr const char *platform = "platform";
constexpr const char *table = "table";
constexpr const char *tableWatcher = "tablewatcher";
constexpr const char *transport = "transport";
constexpr const char *peers = "peers";
constexpr const char *bills = "bills";
constexpr const char *claims = "claims";
constexpr const char *gateway = "gateway";
constexpr const char *listeners = "listeners";
} // namespace names

/// Runs a daemon until it is told to end, and ends it gracefully.
/// Errors: ListenFailed, TlsFailed, and those of the modules.
kernel::Result<void> runDaemon(const DaemonSettings &settings);

} // namespace acaciasail::daemon
