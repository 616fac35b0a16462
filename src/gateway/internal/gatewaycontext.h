#pragma once

#include <functional>
#include <memory>

#include "gateway/internal/admitter.h"
#include "gateway/internal/limitsharer.h"
#include "gateway/internal/options.h"
#include "gateway/internal/router.h"
#include "kernel/kernel.h"
#include "ledger/ledger.h"
#include "metrics/metrics.h"
#include "upstreams/upstreams.h"

namespace acaciasail::gateway {

/// The components that all requests in progress share.
struct GatewayContext
{
    GatewayOptions options;
    GatewayCallbacks ports;
    const kernel::Scheduler *scheduler = nullptr;
    kernel::Random random;
    std::unique_ptr<Router> router;
    std::unique_ptr<Admitter> admitter;
    /// Null if the daemon does not share limits with peers.
    std::unique_ptr<LimitSharer> limitSharer;
    kernel::Timer capacityTimer;
    std::unique_ptr<upstreams::Dispatcher> dispatcher;
    metrics::Registry metrics;
    bool draining = false;

    kernel::Instant now() const { return scheduler->now(); }
};

} // namespace acaciasail::gateway
