#pragma once

#include "externals/internal/interfaces.h"
#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::externals {

/// How the platform is reached over HTTP.
struct PlatformOptions
{
    kernel::Endpoint endpoint;
    kernel::Duration connectTimeout = std::chrono::seconds(1);
    /// Longest silence while a call waits for its answer.
    kernel::Duration callTimeout = std::chrono::seconds(5);
    /// Time between a watch's heartbeats; a watch that is silent for three of them ends.
    kernel::Duration watchHeartbeat = std::chrono::seconds(1);
};

/// Fills the platform's services with calls over HTTP (docs/PLATFORM-PROTOCOL.md). The client and
/// the scheduler must outlive the result and its watches.
Platform makePlatform(http::Client &client, const kernel::Scheduler &scheduler,
                      const PlatformOptions &options);

} // namespace acaciasail::externals
