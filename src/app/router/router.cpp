#include "router/router.h"

#include <algorithm>
#include <utility>

#include <sys/stat.h>

#include "platform/enginereport.h"
#include "platform/requestwire.h"

namespace acaciasail::router {

namespace {

constexpr int httpOk = 200;
constexpr int httpNoContent = 204;
constexpr int httpBadRequest = 400;
constexpr int httpUnavailable = 503;
constexpr kernel::Duration settingsCheckInterval = std::chrono::seconds(1);
constexpr kernel::Duration drainCheckInterval = std::chrono::milliseconds(50);
// The process may exit once no request has been in progress for this time.
constexpr kernel::Duration drainIdleTime = std::chrono::milliseconds(200);
// Connections of the internal listener, on which other routers of the data centre keep watches
// open: this fraction of the connections of callers, between the two bounds.
constexpr std::size_t callerConnectionsPerRelayConnection = 4;
constexpr std::size_t maxRelayConnections = 1000;
// Memory of the internal listener, for the responses that other routers read at the same time.
constexpr std::size_t relayMemoryBytes = 6U << 20U;
// Part of the stop timeout that is reserved for the exit of the process itself, and the part before
// it in which the requests that are still running get a final response.
constexpr kernel::Duration exitMargin = std::chrono::milliseconds(250);
constexpr kernel::Duration finalResponseTime = std::chrono::milliseconds(150);

// Limits of the readiness listener and the internal listener; the latter has more connections and
// memory where other routers read from it.
constexpr std::size_t internalConnections = 64;
constexpr std::size_t internalMemoryBytes = 2U << 20U;
constexpr std::size_t internalHeadBytes = 16U << 10U;
constexpr std::size_t internalBodyBytes = 512U << 10U;
constexpr kernel::Duration internalRequestTime = std::chrono::seconds(5);

void limitInternalServer(http::ServerOptions &options)
{
    options.maxConnections = internalConnections;
    options.memoryBytes = internalMemoryBytes;
    options.maxHeadBytes = internalHeadBytes;
    options.maxBodyBytes = internalBodyBytes;
    options.headTimeout = internalRequestTime;
}

FileStamp readFileStamp(const std::string &file)
{
    constexpr std::int64_t nsPerSecond = 1'000'000'000;
    struct stat info
    {};
    if (stat(file.c_str(), &info) != 0)
        return {};
    return { info.st_ino, info.st_size, info.st_mtim.tv_sec * nsPerSecond + info.st_mtim.tv_nsec };
}

// The upstreams that the store lists as leaving must be known within their leave time, and whatever
// the store holds within `maxStoreAge`, also if a call was lost.
platform::WatchOptions upstreamWatchOptions(const RouterSettings &settings)
{
    return { .minInterval = settings.forwarding.leaveTime / 2, .wait = settings.maxStoreAge / 3 };
}

} // namespace

Router::Router(http::EventLoop &loop, RouterSettings settings, std::string settingsFile)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_settingsFile(std::move(settingsFile))
    , m_settingsStamp(readFileStamp(m_settingsFile))
    , m_client(m_loop)
    , m_adapter(sender(), m_loop.scheduler(), m_settings.store, m_settings.forwarding.vm,
                upstreamWatchOptions(m_settings), kernel::systemRandom())
    , m_forwarder(m_loop.scheduler(), makeForwarderCallbacks(), m_settings.forwarding,
                  kernel::systemRandom())
{}

forwarding::HttpSender Router::sender()
{
    return [this](const http::ClientRequest &request, http::ClientHandlers handlers) {
        return m_client.send(request, std::move(handlers));
    };
}

forwarding::ForwarderCallbacks Router::makeForwarderCallbacks()
{
    forwarding::ForwarderCallbacks callbacks;
    callbacks.send = sender();
    callbacks.connect = [this](const kernel::Endpoint &endpoint, kernel::Duration timeout,
                               kernel::Callback<kernel::Done> callback) {
        return m_client.connect(endpoint, timeout, std::move(callback));
    };
    callbacks.readLoad = platform::engineLoadReader(sender());
    callbacks.wire = platform::upstreamWireFormat();
    callbacks.writeRollout
        = [this](const forwarding::Rollout &rollout, const forwarding::RolloutStep &step) {
              m_adapter.writeRollout(rollout, step);
          };
    callbacks.shareCrashEvidence
        = [this](const forwarding::CrashReport &own) { m_adapter.shareCrashEvidence(own); };
    callbacks.publishLimitReport
        = [this](const forwarding::LimitReport &report) { m_adapter.publishLimitReport(report); };
    callbacks.removeLimitReport
        = [this](const kernel::VmId &vm) { m_adapter.removeLimitReport(vm); };
    callbacks.onConfiguration = [this](const forwarding::Configuration &configuration) {
        if (m_callerServer)
            m_callerServer->setLimits({ .maxHeadBytes = configuration.limits.maxHeaderBytes,
                                        .maxBodyBytes = configuration.limits.maxBodyBytes,
                                        .headTimeout = configuration.limits.headerTimeout,
                                        .requestTimeout = configuration.limits.idleTimeout });
    };
    return callbacks;
}

kernel::Result<void> Router::listen()
{
    http::ServerOptions callers;
    callers.listen = m_settings.callersListen;
    callers.maxConnections = m_settings.maxConnections;
    callers.memoryBytes = m_settings.callerMemoryBytes;
    callers.acceptsBody = [this](const http::ServerRequest &head) {
        return m_forwarder.accepts(platform::decodeRequest(head, m_loop.scheduler().now()));
    };
    BOOST_LEAF_ASSIGN(
        m_callerServer,
        http::Server::listen(
            m_loop, callers,
            [this](const http::ServerRequest &request, std::shared_ptr<http::Responder> responder) {
                m_forwarder.handle(platform::decodeRequest(request, m_loop.scheduler().now()),
                                   std::move(responder));
            }));
    http::ServerOptions readiness;
    readiness.listen = m_settings.readinessListen;
    limitInternalServer(readiness);
    readiness.acceptsBody = [](const http::ServerRequest &) { return false; };
    BOOST_LEAF_ASSIGN(
        m_readinessServer,
        http::Server::listen(
            m_loop, readiness,
            [this](const http::ServerRequest &, const std::shared_ptr<http::Responder> &responder) {
                answerReadiness(responder);
            }));
    if (m_settings.metricsListen.ip.empty())
        return {};
    http::ServerOptions metrics;
    metrics.listen = m_settings.metricsListen;
    limitInternalServer(metrics);
    metrics.acceptsBody = [](const http::ServerRequest &head) { return head.method == "POST"; };
    metrics.maxConnections
        = std::clamp(m_settings.maxConnections / callerConnectionsPerRelayConnection,
                     internalConnections, maxRelayConnections);
    metrics.memoryBytes = relayMemoryBytes;
    BOOST_LEAF_ASSIGN(
        m_metricsServer,
        http::Server::listen(m_loop, metrics,
                             [this](const http::ServerRequest &request,
                                    const std::shared_ptr<http::Responder> &responder) {
                                 answerInternal(request, responder);
                             }));
    m_adapter.setReportAddress(m_metricsServer->endpoint());
    if (m_settings.storeRelays)
        m_adapter.useRelays(m_settings.forwarding.dataCentre);
    return {};
}

kernel::Result<void> Router::start()
{
    metrics::Registry &registry = m_forwarder.metrics();
    registry.gauge("acaciasail_requests_in_progress", "Requests received and not answered yet",
                   [this] { return static_cast<double>(m_forwarder.inProgress()); });
    registry.gauge("acaciasail_requests_refused_for_crashes",
                   "Distinct requests that the router refuses because they crashed upstreams",
                   [this] {
                       return static_cast<double>(
                           forwarding::countRefusedRequests(m_forwarder.state().crashes));
                   });
    registry.gauge("acaciasail_prompt_parts_refused_for_crashes",
                   "Parts of prompts whose requests the router refuses because they crashed "
                   "upstreams",
                   [this] {
                       return static_cast<double>(
                           m_forwarder.state().crashes.parts.blamed.parts.size());
                   });
    registry.gauge(
        "acaciasail_requests_queued",
        "Requests that wait in the router for room at their service's upstreams", [this] {
            return static_cast<double>(forwarding::countQueued(m_forwarder.state().queues));
        });
    registry.gauge("acaciasail_limited_upstreams",
                   "Upstreams to which the router sends at a limited rate", [this] {
                       return static_cast<double>(
                           forwarding::countLimitedUpstreams(m_forwarder.state()));
                   });
    registry.gauge("acaciasail_cold_upstreams",
                   "Upstreams that may be cold, to which the router sends few requests", [this] {
                       return static_cast<double>(
                           forwarding::countColdUpstreams(m_forwarder.state()));
                   });
    registry.gauge("acaciasail_evacuated_data_centres",
                   "Data centres whose upstreams get no requests by the operators' order", [this] {
                       return static_cast<double>(m_forwarder.state().directory.evacuated.size());
                   });
    registry.gauge("acaciasail_upstream_connections_opened",
                   "Connections that the router opened to upstreams and to the store",
                   [this] { return static_cast<double>(m_client.connectionsOpened()); });
    BOOST_LEAF_CHECK(listen());
    registerStoreMetrics();
    registerCallerMetrics();
    m_adapter.start(m_forwarder);
    m_loop.onTerminate([this] { startDrain(); });
    m_loop.onReload([this] { reload("signal"); });
    m_settingsTimer
        = kernel::Timer(m_loop.scheduler(), settingsCheckInterval, [this] { checkSettings(); });
    kernel::logEvent(kernel::EventId::DaemonStarted,
                     { { "callers", kernel::toString(m_callerServer->endpoint()) },
                       { "readiness", kernel::toString(m_readinessServer->endpoint()) },
                       { "store", kernel::toString(m_settings.store) },
                       { "data_centre", m_settings.forwarding.dataCentre } });
    return {};
}

// Serves the metrics, takes the crash reports of other routers, and answers them in place of the
// store.
void Router::answerInternal(const http::ServerRequest &request,
                            const std::shared_ptr<http::Responder> &responder)
{
    if (request.method == "POST") {
        const bool accepted = m_adapter.receiveCrashReport(request);
        responder->send(accepted ? httpNoContent : httpBadRequest, {}, "");
        return;
    }
    if (m_adapter.answerRelayCall(request, responder))
        return;
    responder->send(httpOk, { { "content-type", "text/plain; version=0.0.4" } },
                    m_forwarder.metrics().text());
}

bool Router::ready() const
{
    return !m_drainStartedAt && m_forwarder.canServe();
}

void Router::answerReadiness(const std::shared_ptr<http::Responder> &responder)
{
    const bool isReady = ready();
    if (m_reportedReady != isReady) {
        m_reportedReady = isReady;
        const char *why = isReady ? "serving" : m_drainStartedAt ? "stopping" : "no configuration";
        kernel::logEvent(kernel::EventId::ReadinessChanged,
                         { { "ready", isReady }, { "why", why } });
    }
    responder->send(isReady ? httpOk : httpUnavailable, {}, "");
}

void Router::registerStoreMetrics()
{
    metrics::Registry &registry = m_forwarder.metrics();
    registry.gauge("acaciasail_store_calls", "Calls to the platform's store",
                   [this] { return static_cast<double>(m_adapter.storeCalls()); });
    registry.gauge("acaciasail_relay_calls_sent",
                   "Calls to other routers that answer in place of the store",
                   [this] { return static_cast<double>(m_adapter.relayReader().calls()); });
    registry.gauge("acaciasail_relay_calls_answered",
                   "Calls of other routers that were answered in place of the store",
                   [this] { return static_cast<double>(m_adapter.relayServer().calls()); });
    registry.gauge("acaciasail_relay_bytes_received",
                   "Bytes in the answers of other routers in place of the store",
                   [this] { return static_cast<double>(m_adapter.relayReader().bytesReceived()); });
    registry.gauge("acaciasail_relay_bytes_sent",
                   "Bytes in the answers to other routers in place of the store",
                   [this] { return static_cast<double>(m_adapter.relayServer().bytesSent()); });
    registry.gauge("acaciasail_store_epoch",
                   "Number of the store's history; it rises when the store comes back from an "
                   "older copy",
                   [this] { return static_cast<double>(m_adapter.storeEpoch().count()); });
    registry.gauge("acaciasail_store_restorations",
                   "Times that the store came back from an older copy",
                   [this] { return static_cast<double>(m_adapter.storeRestorations()); });
    registry.gauge("acaciasail_held_objects",
                   "Objects that are in force in another state than the store's, because it came "
                   "back from an older copy",
                   [this] { return static_cast<double>(m_adapter.heldObjects()); });
    registry.gauge("acaciasail_store_age_seconds",
                   "Time since the store last showed that all changes are known, for the kind of "
                   "object where it is longest",
                   [this] { return kernel::toSeconds(m_adapter.ageOfKnowledge()); });
}

void Router::registerCallerMetrics()
{
    metrics::Registry &registry = m_forwarder.metrics();
    registry.gauge("acaciasail_caller_connections", "Connections of callers",
                   [this] { return static_cast<double>(m_callerServer->connections()); });
    registry.gauge("acaciasail_held_for_callers_bytes", "Bytes held for callers",
                   [this] { return static_cast<double>(m_callerServer->heldBytes()); });
    const auto count = [&](const std::string &name, const std::string &help,
                           std::uint64_t http::CallerCounts::*member) {
        registry.gauge(name, help, [this, member] {
            return static_cast<double>(m_callerServer->callerCounts().*member);
        });
    };
    count("acaciasail_callers_closed_for_memory",
          "Connections of callers closed because too much was held for callers",
          &http::CallerCounts::closedForMemory);
    count("acaciasail_callers_closed_for_room",
          "Connections of callers closed to make room for others",
          &http::CallerCounts::closedForRoom);
    count("acaciasail_callers_closed_for_time",
          "Connections of callers closed because a request didn't arrive in time",
          &http::CallerCounts::closedForTime);
    count("acaciasail_callers_closed_as_gone",
          "Connections of callers closed because the caller was gone",
          &http::CallerCounts::closedAsGone);
    count("acaciasail_heads_refused", "Requests refused for the size of their heads",
          &http::CallerCounts::refusedHeads);
    count("acaciasail_bodies_refused", "Requests refused before their bodies were read",
          &http::CallerCounts::refusedBodies);
}

void Router::logCallerCounts()
{
    const http::CallerCounts &now = m_callerServer->callerCounts();
    if (now == m_loggedCounts)
        return;
    const http::CallerCounts &last = m_loggedCounts;
    kernel::logEvent(kernel::EventId::CallersClosed,
                     { { "for_memory", now.closedForMemory - last.closedForMemory },
                       { "for_room", now.closedForRoom - last.closedForRoom },
                       { "for_time", now.closedForTime - last.closedForTime },
                       { "as_gone", now.closedAsGone - last.closedAsGone },
                       { "heads_refused", now.refusedHeads - last.refusedHeads },
                       { "bodies_refused", now.refusedBodies - last.refusedBodies },
                       { "held_bytes", m_callerServer->heldBytes() },
                       { "connections", m_callerServer->connections() } });
    m_loggedCounts = now;
}

void Router::checkSettings()
{
    logCallerCounts();
    const FileStamp stamp = readFileStamp(m_settingsFile);
    if (stamp != FileStamp{} && stamp != m_settingsStamp)
        reload("changed");
    m_settingsTimer
        = kernel::Timer(m_loop.scheduler(), settingsCheckInterval, [this] { checkSettings(); });
}

void Router::reload(std::string_view why)
{
    m_settingsStamp = readFileStamp(m_settingsFile);
    const auto checked = kernel::capture([&] { return readRouterSettings(m_settingsFile); });
    if (!checked.ok() || !checked.value().mistakes.empty()) {
        const std::string text = checked.ok() ? settings::toString(checked.value().mistakes.front())
                                              : checked.error().message;
        kernel::logEvent(kernel::EventId::SettingsRejected, { { "why", why }, { "error", text } });
        return;
    }
    const RouterSettings &reloaded = checked.value().settings;
    m_forwarder.setOptions(reloaded.forwarding);
    m_settings.forwarding = reloaded.forwarding;
    m_settings.stopTimeout = reloaded.stopTimeout;
    m_settings.balancerDelay = reloaded.balancerDelay;
    kernel::logEvent(kernel::EventId::SettingsReloaded, { { "why", why } });
}

void Router::startDrain()
{
    if (m_drainStartedAt)
        return;
    m_drainStartedAt = m_loop.scheduler().now();
    m_adapter.stopRelaying();
    kernel::logEvent(kernel::EventId::DrainStarted,
                     { { "in_progress", m_forwarder.inProgress() },
                       { "connections", m_callerServer->connections() } });
    continueDrain();
}

// Takes the next step of the drain.
//
// Until the load balancer has seen that the router isn't ready, new connections arrive and are
// served. After that, connections are closed after their responses, and requests that can't be
// finished in time are refused, so that callers send them to another router. Idle connections are
// closed only when the process exits, as closing one earlier could cut a request that is just
// arriving on it.
void Router::continueDrain()
{
    // A response counts until its last byte has left the process, as its caller may read slowly.
    if (m_forwarder.inProgress() > 0 || m_callerServer->unsentAnswers() > 0)
        m_lastBusyAt = m_loop.scheduler().now();
    const kernel::Duration elapsed = m_loop.scheduler().now() - *m_drainStartedAt;
    if (elapsed >= m_settings.balancerDelay) {
        if (!m_acceptedBeforeClosing) {
            m_callerServer->endConnectionsAfterAnswers();
            m_acceptedBeforeClosing = m_callerServer->connectionsAccepted();
        }
        // The load balancer sends new connections here only if no other router is ready.
        const bool onlyReadyRouter
            = m_callerServer->connectionsAccepted() > *m_acceptedBeforeClosing;
        const kernel::Duration timeToRun = m_settings.stopTimeout - exitMargin - finalResponseTime;
        m_forwarder.setExitDeadline(*m_drainStartedAt + timeToRun, onlyReadyRouter);
        if (elapsed >= timeToRun)
            m_forwarder.endRequestsWithoutResponse();
        if (isReadyToExit() || elapsed >= m_settings.stopTimeout - exitMargin) {
            finishDrain();
            return;
        }
    }
    m_drainTimer
        = kernel::Timer(m_loop.scheduler(), drainCheckInterval, [this] { continueDrain(); });
}

bool Router::isReadyToExit() const
{
    return m_loop.scheduler().now() - m_lastBusyAt >= drainIdleTime && areCrashesShared();
}

bool Router::areCrashesShared() const
{
    return !m_forwarder.hasCrashesToShare() && m_adapter.isCrashEvidenceStored();
}

void Router::finishDrain()
{
    kernel::logEvent(
        kernel::EventId::DrainFinished,
        { { "in_progress", m_forwarder.inProgress() },
          { "unsent_responses", m_callerServer->unsentAnswers() },
          { "connections", m_callerServer->connections() },
          { "crashes_shared", areCrashesShared() },
          { "took_ms", kernel::toMilliseconds(m_loop.scheduler().now() - *m_drainStartedAt) } });
    m_stopped = true;
    m_loop.stop();
}

kernel::Result<void> runRouter(const RouterSettings &settings, const std::string &settingsFile)
{
    kernel::openEventLog(settings.log);
    const kernel::ScopeGuard closeLog([] { kernel::closeEventLog(); });
    http::EventLoop loop;
    Router router(loop, settings, settingsFile);
    BOOST_LEAF_CHECK(router.start());
    loop.run();
    kernel::logEvent(kernel::EventId::DaemonStopped, {});
    return {};
}

} // namespace acaciasail::router
