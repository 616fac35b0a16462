#pragma once

#include <memory>
#include <optional>
#include <string>

#include <sys/types.h>

#include "platform/adapter.h"
#include "router/routersettings.h"

namespace acaciasail::router {

/// What changes whenever a file is replaced or written.
struct FileStamp
{
    ino_t inode = 0;
    off_t size = 0;
    std::int64_t changedNs = 0;

    friend bool operator==(const FileStamp &, const FileStamp &) = default;
};

/// The router's parts and their way from start to stop.
class Router
{
public:
    /// The loop must outlive the router; its end is the router's way to say that it has stopped.
    Router(http::EventLoop &loop, RouterSettings settings, std::string settingsFile);
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Listens and begins to follow the store. Errors: those of the listeners.
    kernel::Result<void> start();
    /// Whether the stop has come to its end.
    bool stopped() const { return m_stopped; }
    /// Tells the balancer to go elsewhere, finishes what is in progress and ends the loop.
    void beginStop();
    /// Reads the settings file again; a wrong file changes nothing.
    void reload(std::string_view why);
    /// Whether it takes requests.
    bool ready() const;

    kernel::Endpoint callersEndpoint() const { return m_callers->endpoint(); }
    kernel::Endpoint readinessEndpoint() const { return m_readiness->endpoint(); }
    const RouterSettings &settings() const { return m_settings; }
    const forwarding::Forwarder &forwarder() const { return m_forwarder; }

private:
    forwarding::HttpSender sender();
    forwarding::ForwarderPorts makePorts();
    kernel::Result<void> listen();
    void answerReadiness(const std::shared_ptr<http::Responder> &responder);
    void checkSettings();
    void checkStop();

    http::EventLoop &m_loop;
    RouterSettings m_settings;
    std::string m_settingsFile;
    FileStamp m_settingsStamp;
    http::Client m_client;
    platform::Adapter m_adapter;
    forwarding::Forwarder m_forwarder;
    std::unique_ptr<http::Server> m_callers;
    std::unique_ptr<http::Server> m_readiness;
    std::unique_ptr<http::Server> m_metrics;
    std::optional<kernel::Instant> m_stoppingSince;
    kernel::Instant m_lastBusy{};
    bool m_stopped = false;
    /// Set once connections end with their answers.
    std::optional<std::uint64_t> m_acceptedAtDrain;
    std::optional<bool> m_toldReady;
    kernel::Timer m_settingsTimer;
    kernel::Timer m_stopTimer;
};

/// Runs the router until it is told to stop. Errors: those of its listeners.
kernel::Result<void> runRouter(const RouterSettings &settings, const std::string &settingsFile);

} // namespace acaciasail::router
