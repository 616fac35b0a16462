#pragma once

#include "kernel/kernel.h"

namespace acaciasail::daemon {

/// The event loop and the HTTP client.
kernel::Module loopModule();
/// The platform's services.
kernel::Module platformModule();
/// The table and its watcher, which runs where this daemon watches the store.
kernel::Module tableModule();
/// The transport to the other daemons, membership, and the table's way between them.
kernel::Module peersModule();
/// Bills and claims.
kernel::Module ledgerModule();
/// Requests of callers.
kernel::Module gatewayModule();
/// Shares what this daemon found out of versions and requests with the others, then joins them.
kernel::Module findingsModule();
/// The listeners of callers and operators, and the graceful end.
kernel::Module listenersModule();

} // namespace acaciasail::daemon
