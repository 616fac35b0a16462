#pragma once

#include <memory>
#include <optional>
#include <string>

#include <sys/types.h>

#include "platform/adapter.h"
#include "router/routersettings.h"

namespace acaciasail::router {

/// File metadata that changes whenever a file is replaced or written.
struct FileStamp
{
    ino_t inode = 0;
    off_t size = 0;
    std::int64_t modifiedNs = 0;

    friend bool operator==(const FileStamp &, const FileStamp &) = default;
};

/// The router process: its listeners, store adapter and forwarder, from start to graceful shutdown.
class Router
{
public:
    /// The loop must outlive the router. The router stops the loop once it has shut down.
    Router(http::EventLoop &loop, RouterSettings settings, std::string settingsFile);
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Opens the listeners and starts to watch the store. Errors: those of the listeners.
    kernel::Result<void> start();
    /// Returns whether the graceful shutdown is complete.
    bool stopped() const { return m_stopped; }
    /// Starts the graceful shutdown: reports to the load balancer that the router isn't ready,
    /// finishes the requests in progress, then stops the loop.
    void startDrain();
    /// Reads the settings file again; an invalid file changes nothing. `why` is logged.
    void reload(std::string_view why);
    /// Returns whether the router accepts requests.
    bool ready() const;

    kernel::Endpoint callersEndpoint() const { return m_callerServer->endpoint(); }
    /// Needs an address for metrics in the settings.
    kernel::Endpoint metricsEndpoint() const { return m_metricsServer->endpoint(); }
    kernel::Endpoint readinessEndpoint() const { return m_readinessServer->endpoint(); }
    const RouterSettings &settings() const { return m_settings; }
    const forwarding::Forwarder &forwarder() const { return m_forwarder; }

private:
    forwarding::HttpSender sender();
    forwarding::ForwarderCallbacks makeForwarderCallbacks();
    kernel::Result<void> listen();
    void answerInternal(const http::ServerRequest &request,
                        const std::shared_ptr<http::Responder> &responder);
    void answerReadiness(const std::shared_ptr<http::Responder> &responder);
    void checkSettings();
    void registerStoreMetrics();
    void registerCallerMetrics();
    // Logs what was closed and refused since the last call, if anything was.
    void logCallerCounts();
    void continueDrain();
    bool isReadyToExit() const;
    bool areCrashesShared() const;
    void finishDrain();

    http::EventLoop &m_loop;
    RouterSettings m_settings;
    std::string m_settingsFile;
    FileStamp m_settingsStamp;
    http::Client m_client;
    platform::Adapter m_adapter;
    forwarding::Forwarder m_forwarder;
    std::unique_ptr<http::Server> m_callerServer;
    std::unique_ptr<http::Server> m_readinessServer;
    std::unique_ptr<http::Server> m_metricsServer;
    std::optional<kernel::Instant> m_drainStartedAt;
    kernel::Instant m_lastBusyAt{};
    bool m_stopped = false;
    /// Number of caller connections accepted before the router began to close connections after
    /// their responses; empty until then.
    std::optional<std::uint64_t> m_acceptedBeforeClosing;
    std::optional<bool> m_reportedReady;
    http::CallerCounts m_loggedCounts;
    kernel::Timer m_settingsTimer;
    kernel::Timer m_drainTimer;
};

/// Runs the router until it is terminated. Errors: those of its listeners.
kernel::Result<void> runRouter(const RouterSettings &settings, const std::string &settingsFile);

} // namespace acaciasail::router
