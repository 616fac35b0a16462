#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "upstreams/internal/dispatcher.h"

namespace acaciasail::upstreams {

/// Load as reported by an engine.
struct EngineLoad
{
    int running = 0;
    int queued = 0;
    int slots = 0;
    /// Age of the measurements when the engine sent them.
    kernel::Duration age{};
};

enum class CacheEventKind {
    Added,
    Evicted,
};

/// A prompt prefix was added to or evicted from an engine's prompt cache. Events arrive late, and
/// some may be missing.
struct CacheEvent
{
    std::int64_t sequence = 0;
    std::string prefix;
    CacheEventKind kind = CacheEventKind::Added;
};

enum class OrderKind {
    Load,
    Unload,
    ChangeRole,
};

/// Order to an engine to change its loaded versions or its role.
struct EngineOrder
{
    /// Idempotency id: the same for every transmission of this order.
    std::string id;
    OrderKind kind = OrderKind::Load;
    /// The version to load or unload.
    kernel::VersionId version;
    /// Name of the new role. This library passes it on without interpreting it.
    std::string role;
    /// VM that holds the lease whose fencing number the order carries.
    kernel::VmId leaseHolder;
    kernel::Fencing fencing;
};

/// Versions, role and fencing number as reported by an engine.
struct EngineState
{
    std::vector<kernel::VersionId> versions;
    std::vector<kernel::VersionId> loading;
    std::string role;
    kernel::Fencing fencing;
};

/// Sends one HTTP request to an engine and passes its response to the callback. The functions below
/// make one such request each. Errors: UpstreamConnectFailed, UpstreamTimeout, UpstreamBroken,
/// UpstreamProtocol, and FencingRefused for an order with an old fencing number.
using HttpFetcher
    = std::function<void(const http::ClientRequest &, kernel::Callback<http::ClientResponse>)>;

void pollLoad(const HttpFetcher &fetch, const kernel::Endpoint &engine,
              kernel::Callback<EngineLoad> callback);
void pollCacheEvents(const HttpFetcher &fetch, const kernel::Endpoint &engine,
                     std::int64_t afterSequence,
                     kernel::Callback<std::vector<CacheEvent>> callback);
void pollState(const HttpFetcher &fetch, const kernel::Endpoint &engine,
               kernel::Callback<EngineState> callback);
/// Sends an order. The callback receives true if the order changed the engine's state.
void sendOrder(const HttpFetcher &fetch, const kernel::Endpoint &engine, const EngineOrder &order,
               kernel::Callback<bool> callback);

} // namespace acaciasail::upstreams
