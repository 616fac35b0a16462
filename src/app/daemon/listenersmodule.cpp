#include "daemon/daemon.h"
#include "daemon/modules.h"
#include "gateway/gateway.h"
#include "http/http.h"
#include "ledger/ledger.h"
#include "peers/peers.h"
#include "table/table.h"

namespace acaciasail::daemon {

namespace {

// How often a shutdown looks whether the last request has ended.
constexpr std::chrono::milliseconds drainCheckInterval{ 20 };

/// The listeners, and the way from "told to end" to the end.
struct Listeners
{
    std::shared_ptr<DaemonSettings> settings;
    std::shared_ptr<http::EventLoop> loop;
    std::shared_ptr<table::TableStore> table;
    std::shared_ptr<table::TableWatcher> watcher;
    std::shared_ptr<peers::Peers> peers;
    std::shared_ptr<ledger::Bills> bills;
    std::shared_ptr<ledger::Claims> claims;
    std::shared_ptr<gateway::Gateway> gateway;
    std::unique_ptr<gateway::AdminApi> admin;
    std::unique_ptr<http::Server> callers;
    std::unique_ptr<http::Server> operators;
    kernel::Timer drainTimer;
    kernel::Instant drainEnd{};
    bool draining = false;

    kernel::Result<void> listen();
    gateway::DaemonStatus status() const;
    void drain();
    void checkDrained();
    void handOver();
    void endBy(kernel::Instant end);
};

kernel::Result<void> Listeners::listen()
{
    http::ServerOptions forCallers;
    forCallers.listen = settings->callersListen;
    forCallers.tls = settings->callersTls;
    forCallers.maxBodyBytes = settings->maxBodyBytes;
    forCallers.maxConnections = settings->maxConnections;
    forCallers.requestTimeout = settings->requestTimeout;
    forCallers.errorBody = gateway::serverErrorBody;
    BOOST_LEAF_ASSIGN(
        callers, http::Server::listen(*loop, forCallers,
                                      [this](const http::ServerRequest &request,
                                             const std::shared_ptr<http::Responder> &responder) {
                                          gateway->handle(request, responder);
                                      }));
    http::ServerOptions forOperators;
    forOperators.listen = settings->adminListen;
    BOOST_LEAF_ASSIGN(
        operators, http::Server::listen(*loop, forOperators,
                                        [this](const http::ServerRequest &request,
                                               const std::shared_ptr<http::Responder> &responder) {
                                            admin->handle(request, *responder);
                                        }));
    return {};
}

gateway::DaemonStatus Listeners::status() const
{
    gateway::DaemonStatus status;
    status.vm = settings->vm;
    status.dataCentre = settings->dataCentre;
    status.revision = table->revision();
    status.rows = table->rowCount();
    for (const table::RejectedRow &row : table->rejected())
        status.rejectedRows.push_back(row.key);
    status.requestsInProgress = callers->requestsInProgress();
    status.draining = draining;
    status.storeUp = watcher->storeUp();
    for (const wire::Peer &peer : peers->view().live())
        status.peers.push_back(peer.id.str());
    status.tableAge = table->age().value_or(kernel::Duration(-1));
    status.ready = table->loaded() && !draining;
    return status;
}

void Listeners::drain()
{
    if (std::exchange(draining, true))
        return;
    kernel::logEvent(kernel::EventId::DrainStarted,
                     { { "in_progress", callers->requestsInProgress() } });
    drainEnd = loop->scheduler().now() + settings->drainTimeout;
    peers->leave();
    gateway->startDrain();
    callers->beginShutdown();
    checkDrained();
}

void Listeners::checkDrained()
{
    const std::size_t left = callers->unsentAnswers();
    if (left > 0 && loop->scheduler().now() < drainEnd) {
        drainTimer
            = kernel::Timer(loop->scheduler(), drainCheckInterval, [this] { checkDrained(); });
        return;
    }
    kernel::logEvent(kernel::EventId::DrainFinished, { { "cut_off", left } });
    handOver();
}

// Ends the process, at the latest when the operator's time is over.
void Listeners::endBy(kernel::Instant end)
{
    drainTimer = kernel::Timer(loop->scheduler(), end - loop->scheduler().now(), [this] {
        kernel::logEvent(kernel::EventId::BillUnheld, { { "left", bills->ownBills() } });
        loop->stop();
    });
}

// Claims and bills are handed to other VMs or the store before the process ends.
void Listeners::handOver()
{
    endBy(drainEnd);
    claims->handOver([this](const kernel::Completion<kernel::Done> &) {
        bills->handOver([this](const kernel::Completion<kernel::Done> &) { loop->stop(); });
    });
}

kernel::Result<void> startListeners(kernel::ServiceRegistry &services)
{
    const auto listeners = std::make_shared<Listeners>();
    BOOST_LEAF_ASSIGN(listeners->settings, services.find<DaemonSettings>(names::settings));
    BOOST_LEAF_ASSIGN(listeners->loop, services.find<http::EventLoop>(names::loop));
    BOOST_LEAF_ASSIGN(listeners->table, services.find<table::TableStore>(names::table));
    BOOST_LEAF_ASSIGN(listeners->watcher, services.find<table::TableWatcher>(names::tableWatcher));
    BOOST_LEAF_ASSIGN(listeners->peers, services.find<peers::Peers>(names::peers));
    BOOST_LEAF_ASSIGN(listeners->bills, services.find<ledger::Bills>(names::bills));
    BOOST_LEAF_ASSIGN(listeners->claims, services.find<ledger::Claims>(names::claims));
    BOOST_LEAF_ASSIGN(listeners->gateway, services.find<gateway::Gateway>(names::gateway));
    gateway::AdminCallbacks ports;
    ports.status = [self = listeners.get()] { return self->status(); };
    ports.drain = [self = listeners.get()] { self->drain(); };
    listeners->admin = std::make_unique<gateway::AdminApi>(*listeners->gateway, ports);
    BOOST_LEAF_CHECK(listeners->listen());
    listeners->loop->onTerminate([self = listeners.get()] { self->drain(); });
    kernel::logEvent(kernel::EventId::DaemonStarted,
                     { { "data_centre", listeners->settings->dataCentre },
                       { "callers", kernel::toString(listeners->callers->endpoint()) },
                       { "admin", kernel::toString(listeners->operators->endpoint()) } });
    return services.add(names::listeners, listeners);
}

} // namespace

kernel::Module listenersModule()
{
    kernel::Module module;
    module.name = names::listeners;
    module.init = startListeners;
    module.shutdown = [](kernel::ServiceRegistry &services) { services.remove(names::listeners); };
    return module;
}

} // namespace acaciasail::daemon
