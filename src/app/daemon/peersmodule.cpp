#include <algorithm>

#include "daemon/daemon.h"
#include "daemon/modules.h"
#include "externals/externals.h"
#include "http/http.h"
#include "peers/peers.h"
#include "table/table.h"
#include "wire/wire.h"

namespace acaciasail::daemon {

namespace {

// How often the table's freshness is passed between the store's watch and the peers.
constexpr std::chrono::milliseconds freshnessInterval{ 500 };
constexpr std::string_view peerSource = "peer";
constexpr std::string_view watchSource = "store watch";

peers::RowUpdate toUpdate(const table::StoredRow &row)
{
    return { row.key, row.value, row.revision, row.deleted, {} };
}

table::StoredRow toStored(const peers::RowUpdate &row)
{
    return { row.key, row.value, row.revision, row.deleted };
}

std::vector<peers::RowUpdate> toUpdates(const std::vector<table::StoredRow> &rows)
{
    std::vector<peers::RowUpdate> updates;
    std::ranges::transform(rows, std::back_inserter(updates), toUpdate);
    return updates;
}

peers::RowSource makeSource(const std::shared_ptr<table::TableStore> &table)
{
    peers::RowSource source;
    source.digest = [table] {
        return std::vector<std::uint64_t>(table->digest().begin(), table->digest().end());
    };
    source.rowsOfBucket
        = [table](std::size_t bucket) { return toUpdates(table->rowsOfBucket(bucket)); };
    source.complete = [table] { return table->loaded(); };
    source.revision = [table] { return table->revision(); };
    return source;
}

peers::RowSink makeSink(const std::shared_ptr<table::TableStore> &table)
{
    peers::RowSink sink;
    sink.apply
        = [table](const peers::RowUpdate &row) { return table->apply(toStored(row), peerSource); };
    sink.markComplete = [table] { table->markLoaded(peerSource); };
    return sink;
}

/// The peers, and what ties them to the table and its watcher.
struct PeersHolder
{
    std::shared_ptr<http::EventLoop> loop;
    std::shared_ptr<table::TableStore> table;
    std::shared_ptr<table::TableWatcher> watcher;
    std::shared_ptr<wire::Http2Transport> transport;
    std::unique_ptr<peers::Peers> peers;
    kernel::Subscription tableChanges;
    kernel::Subscription watcherChanges;
    kernel::Timer freshnessTimer;

    void passRows(const table::TableChanged &change);
    void setWatching(bool watching);
    void passFreshness();
};

// Tells the peers of the changes that the store's watch brought; a whole load spreads by digests.
void PeersHolder::passRows(const table::TableChanged &change)
{
    std::vector<peers::RowUpdate> updates;
    for (const table::ChangedRow &row : change.rows) {
        if (row.source != watchSource)
            continue;
        const std::vector<peers::RowUpdate> found = toUpdates(table->find(row.key));
        updates.insert(updates.end(), found.begin(), found.end());
    }
    if (!updates.empty())
        peers->onLocalRows(updates);
}

void PeersHolder::setWatching(bool watching)
{
    if (watching && !watcher->running())
        watcher->start();
    if (!watching && watcher->running())
        watcher->stop();
}

void PeersHolder::passFreshness()
{
    if (watcher->running() && watcher->storeUp() && table->loaded())
        peers->watchHeard();
    const std::optional<kernel::Duration> heard = peers->sinceHeard();
    if (heard)
        table->markFresh(*heard);
    freshnessTimer
        = kernel::Timer(loop->scheduler(), freshnessInterval, [this] { passFreshness(); });
}

kernel::Result<void> startPeers(kernel::ServiceRegistry &services)
{
    const auto holder = std::make_shared<PeersHolder>();
    BOOST_LEAF_AUTO(settings, services.find<DaemonSettings>(names::settings));
    BOOST_LEAF_AUTO(platform, services.find<externals::Platform>(names::platform));
    BOOST_LEAF_ASSIGN(holder->loop, services.find<http::EventLoop>(names::loop));
    BOOST_LEAF_ASSIGN(holder->table, services.find<table::TableStore>(names::table));
    BOOST_LEAF_ASSIGN(holder->watcher, services.find<table::TableWatcher>(names::tableWatcher));
    wire::TransportOptions transportOptions;
    transportOptions.listen = settings->peersListen;
    transportOptions.tls = settings->peersTls;
    BOOST_LEAF_AUTO(transport, wire::Http2Transport::listen(*holder->loop, transportOptions));
    holder->transport = std::move(transport);

    peers::PeersOptions options;
    options.self = { settings->vm, settings->dataCentre, holder->transport->endpoint() };
    options.seeds = settings->peerSeeds;
    peers::PeersDependencies dependencies;
    dependencies.transport = holder->transport->transport();
    dependencies.vms = platform->vms;
    dependencies.rowSource = makeSource(holder->table);
    dependencies.rowSink = makeSink(holder->table);
    holder->peers = std::make_unique<peers::Peers>(options, holder->loop->scheduler(), dependencies,
                                                   kernel::systemRandom());
    PeersHolder *self = holder.get();
    holder->tableChanges = holder->table->changes().subscribe(
        [self](const table::TableChanged &change) { self->passRows(change); });
    holder->watcherChanges = holder->peers->watcherChanged().subscribe(
        [self](bool watching) { self->setWatching(watching); });
    holder->passFreshness();
    BOOST_LEAF_CHECK(services.add(names::transport, holder->transport));
    return services.add(names::peers, std::shared_ptr<peers::Peers>(holder, holder->peers.get()));
}

} // namespace

kernel::Module peersModule()
{
    kernel::Module module;
    module.name = names::peers;
    module.init = startPeers;
    module.shutdown = [](kernel::ServiceRegistry &services) {
        services.remove(names::peers);
        services.remove(names::transport);
    };
    return module;
}

} // namespace acaciasail::daemon
