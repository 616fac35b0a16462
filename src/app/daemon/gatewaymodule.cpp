#include "daemon/daemon.h"
#include "daemon/findings.h"
#include "daemon/modules.h"
#include "externals/externals.h"
#include "gateway/gateway.h"
#include "http/http.h"
#include "ledger/ledger.h"
#include "peers/peers.h"
#include "table/table.h"
#include "wire/wire.h"

namespace acaciasail::daemon {

namespace {

gateway::GatewayOptions makeOptions(const DaemonSettings &settings)
{
    gateway::GatewayOptions options;
    options.vm = settings.vm;
    options.dataCentre = settings.dataCentre;
    options.sessionSecret = settings.sessionSecret;
    options.upstreamSubsetSize = settings.upstreamSubsetSize;
    return options;
}

// How old the table may be; one that was never in step counts as old.
routing::TableFreshness freshnessOf(const table::TableStore &table)
{
    return { table.age().value_or(kernel::Duration::max()) };
}

gateway::ClaimFunctions makeClaimFunctions(const std::shared_ptr<ledger::Claims> &claims)
{
    gateway::ClaimFunctions ports;
    ports.acquire = [claims](const ledger::ClaimRequest &request,
                             kernel::Callback<ledger::ClaimResult> callback) {
        claims->claim(request, std::move(callback));
    };
    ports.complete = [claims](const ledger::ClaimHandle &handle, const ledger::HeldAnswer &answer) {
        claims->complete(handle, answer);
    };
    ports.release = [claims](const ledger::ClaimHandle &handle) { claims->release(handle); };
    ports.abandon = [claims](const ledger::ClaimHandle &handle) { claims->abandon(handle); };
    return ports;
}

// Writes the halt of a roll-out to its row; a row that an operator changed meanwhile is left.
void haltRollout(const externals::ObjectStore &store, const kernel::Scheduler &scheduler,
                 const kernel::VmId &vm, const kernel::RolloutId &rollout)
{
    kernel::Random random = kernel::systemRandom();
    table::EditRequest edit;
    edit.key = { table::TableId::Rollouts, rollout.str() };
    edit.cells = { { "state", "halted" } };
    edit.edit = kernel::EditId(kernel::randomId(random, "halt-"));
    edit.by = vm.str();
    table::applyEdit(store, scheduler, {}, edit,
                     [rollout](const kernel::Completion<table::EditOutcome> &outcome) {
                         const int code = outcome.ok() ? 0 : kernel::toNumber(outcome.error().code);
                         kernel::logEvent(
                             outcome.ok() ? kernel::EventId::EditAccepted
                                          : kernel::EventId::EditConflict,
                             { { "key", "rollouts/" + rollout.str() }, { "code", code } });
                     });
}

gateway::GatewayCallbacks makePorts(const std::shared_ptr<table::TableStore> &table,
                                    const std::shared_ptr<ledger::Bills> &bills)
{
    gateway::GatewayCallbacks ports;
    ports.table = [table] { return table->loaded() ? table->snapshot() : nullptr; };
    ports.freshness = [table] { return freshnessOf(*table); };
    ports.checkLedgerCapacity = [bills] { return bills->admit(); };
    ports.storeBill
        = [bills](const ledger::BillRecord &record, kernel::Callback<kernel::Done> callback) {
              bills->settle(record, std::move(callback));
          };
    return ports;
}

// The gateway and what it needs to live.
struct GatewayHolder
{
    std::shared_ptr<http::EventLoop> loop;
    std::shared_ptr<http::Client> client;
    std::unique_ptr<gateway::Gateway> gateway;
};

} // namespace

kernel::Module gatewayModule()
{
    kernel::Module module;
    module.name = names::gateway;
    module.init = [](kernel::ServiceRegistry &services) -> kernel::Result<void> {
        BOOST_LEAF_AUTO(settings, services.find<DaemonSettings>(names::settings));
        BOOST_LEAF_AUTO(table, services.find<table::TableStore>(names::table));
        BOOST_LEAF_AUTO(bills, services.find<ledger::Bills>(names::bills));
        const auto holder = std::make_shared<GatewayHolder>();
        BOOST_LEAF_ASSIGN(holder->loop, services.find<http::EventLoop>(names::loop));
        BOOST_LEAF_ASSIGN(holder->client, services.find<http::Client>(names::client));
        BOOST_LEAF_AUTO(claims, services.find<ledger::Claims>(names::claims));
        BOOST_LEAF_AUTO(platform, services.find<externals::Platform>(names::platform));
        BOOST_LEAF_AUTO(peers, services.find<peers::Peers>(names::peers));
        gateway::GatewayCallbacks ports = makePorts(table, bills);
        ports.claims = makeClaimFunctions(claims);
        ports.haltRollout
            = [platform, loop = holder->loop, vm = settings->vm](const kernel::RolloutId &rollout) {
                  haltRollout(platform->objects, loop->scheduler(), vm, rollout);
              };
        ports.evidenceChanged = [peers] { peers->topicChanged(rolloutTopicName); };
        ports.poisonChanged = [peers] { peers->topicChanged(poisonTopicName); };
        holder->gateway = std::make_unique<gateway::Gateway>(
            holder->loop->scheduler(),
            [client = holder->client](const http::ClientRequest &request,
                                      http::ClientHandlers handlers) {
                return client->send(request, std::move(handlers));
            },
            makeOptions(*settings), std::move(ports), kernel::systemRandom());
        BOOST_LEAF_AUTO(transport, services.find<wire::Http2Transport>(names::transport));
        holder->gateway->shareLimits(transport->transport(), peers->view());
        const std::shared_ptr<gateway::Gateway> gateway(holder, holder->gateway.get());
        return services.add(names::gateway, gateway);
    };
    module.shutdown = [](kernel::ServiceRegistry &services) { services.remove(names::gateway); };
    return module;
}

} // namespace acaciasail::daemon
