#include "peers/tests/fleet.h"

#include <utility>

namespace acaciasail::peers {

namespace {

kernel::Endpoint endpointOf(const std::string &dataCentre, int host)
{
    const std::uint64_t net = kernel::hash64(dataCentre) % 250;
    return { "10." + std::to_string(net) + "." + std::to_string(host / 250) + "."
                 + std::to_string(host % 250 + 1),
             7000 };
}

std::string joinFindings(const std::set<std::string> &findings)
{
    std::string state;
    for (const std::string &finding : findings)
        state += finding + "\n";
    return state;
}

bool mergeFindings(std::set<std::string> &findings, const std::string &state)
{
    const std::size_t before = findings.size();
    std::size_t begin = 0;
    for (std::size_t end = state.find('\n'); end != std::string::npos;
         end = state.find('\n', begin)) {
        findings.insert(state.substr(begin, end - begin));
        begin = end + 1;
    }
    return findings.size() != before;
}

} // namespace

bool TestTable::apply(const RowUpdate &row)
{
    RowUpdate &known = rows[row.key];
    if (row.revision <= known.revision) {
        conflicting = conflicting || (row.revision == known.revision && row.value != known.value);
        return false;
    }
    const std::size_t bucket = kernel::hash64(row.key) % bucketCount;
    const auto hashOf = [](const RowUpdate &update) {
        return kernel::hash64(update.key, static_cast<std::uint64_t>(update.revision.count()));
    };
    if (known.key.empty())
        keysOfBucket.at(bucket).push_back(row.key);
    else
        buckets.at(bucket) ^= hashOf(known);
    buckets.at(bucket) ^= hashOf(row);
    known = row;
    return true;
}

RowSource TestTable::source()
{
    RowSource source;
    source.digest = [this] { return std::vector<std::uint64_t>(buckets.begin(), buckets.end()); };
    source.rowsOfBucket = [this](std::size_t bucket) {
        std::vector<RowUpdate> found;
        for (const std::string &key : keysOfBucket.at(bucket))
            found.push_back(rows.at(key));
        return found;
    };
    source.complete = [this] { return complete; };
    source.revision = [this] {
        kernel::Revision highest;
        for (const auto &[key, row] : rows)
            highest = std::max(highest, row.revision);
        return highest;
    };
    return source;
}

RowSink TestTable::sink()
{
    return RowSink{ [this](const RowUpdate &row) { return apply(row); },
                    [this] { complete = true; } };
}

std::string TestDaemon::knownStateOf(const std::string &id) const
{
    for (const MemberStatus &status : peers->status().members) {
        if (status.member.peer.id.str() == id)
            return std::string(toString(status.member.state));
    }
    return "unknown";
}

Fleet::Fleet(std::uint64_t seed)
    : network(seed)
{
    network.isBlocked = [this](const kernel::Endpoint &from, const kernel::Endpoint &to) {
        if (blockedPairs.contains({ m_idOfIp[from.ip], m_idOfIp[to.ip] }))
            return true;
        for (const std::set<std::string> &partition : partitions) {
            if (partition.contains(m_dataCentreOfIp[from.ip])
                != partition.contains(m_dataCentreOfIp[to.ip]))
                return true;
        }
        return false;
    };
}

Fleet::~Fleet() = default;

TestDaemon &Fleet::start(const std::string &id, const std::string &dataCentre, int host)
{
    auto daemon = std::make_unique<TestDaemon>();
    daemon->peer = wire::Peer{ kernel::VmId(id), kernel::DataCentreId(dataCentre),
                               endpointOf(dataCentre, host) };
    const kernel::Endpoint &endpoint = daemon->peer.endpoint;
    m_dataCentreOfIp[endpoint.ip] = dataCentre;
    m_idOfIp[endpoint.ip] = id;
    daemon->scheduler = network.schedulerOf(endpoint);
    daemon->scheduler->wallNow
        = [this, offset = clockOffset] { return network.clock.scheduler().wallNow() + offset; };
    options.self = daemon->peer;
    PeersDependencies dependencies;
    dependencies.transport = network.transportOf(endpoint);
    dependencies.vms.list
        = [this](const kernel::Callback<std::vector<externals::VmEntry>> &callback) {
              callback(vmList());
          };
    dependencies.rowSource = daemon->table.source();
    dependencies.rowSink = daemon->table.sink();
    daemon->peers = std::make_unique<Peers>(options, *daemon->scheduler, std::move(dependencies),
                                            kernel::Random(network.random()));
    TestDaemon &started = *daemon;
    started.peers->addTopic(Topic{
        "findings", [&started] { return joinFindings(started.findings); },
        [&started](const std::string &state) { return mergeFindings(started.findings, state); } });
    started.watcherChange
        = started.peers->watcherChanged().subscribe([this, &started](bool) { readStore(started); });
    daemons[id] = std::move(daemon);
    started.peers->start();
    watch(started);
    return started;
}

void Fleet::startMany(int daemonCount, int dataCentres, kernel::Duration settleTime)
{
    for (int i = 0; i < daemonCount; ++i) {
        const std::string dataCentre = "dc" + std::to_string(i % dataCentres);
        start("vm" + std::to_string(i), dataCentre, i);
        run(std::chrono::milliseconds(37));
    }
    run(settleTime);
}

/// Returns the platform's list of VMs: the daemons that have been started and haven't crashed.
std::vector<externals::VmEntry> Fleet::vmList() const
{
    std::vector<externals::VmEntry> entries;
    for (const auto &[id, daemon] : daemons) {
        externals::VmEntry entry;
        entry.id = daemon->peer.id;
        entry.dataCentre = daemon->peer.dataCentre;
        entry.endpoint = daemon->peer.endpoint;
        entries.push_back(entry);
    }
    return entries;
}

void Fleet::crash(const std::string &id)
{
    network.crash(at(id).peer.endpoint);
    daemons.erase(id);
}

void Fleet::pause(const std::string &id)
{
    network.pause(at(id).peer.endpoint);
}

void Fleet::resume(const std::string &id)
{
    network.resume(at(id).peer.endpoint);
}

void Fleet::watch(TestDaemon &daemon)
{
    daemon.watchTimer = kernel::Timer(*daemon.scheduler, std::chrono::seconds(1),
                                      [this, &daemon] { watch(daemon); });
    readStore(daemon);
}

void Fleet::readStore(TestDaemon &daemon)
{
    if (!daemon.peers->shouldWatch() || storeDown
        || platformUnreachableFrom.contains(daemon.peer.dataCentre.str()))
        return;
    std::vector<RowUpdate> newRows;
    for (; daemon.changesRead < changes.size(); ++daemon.changesRead) {
        const RowUpdate &row = changes[daemon.changesRead];
        if (daemon.table.apply(row))
            newRows.push_back(row);
    }
    if (std::exchange(daemon.table.complete, true))
        daemon.peers->onLocalRows(newRows);
    daemon.peers->watchHeard();
}

void Fleet::edit(const std::string &key, const std::string &value)
{
    RowUpdate row;
    row.key = key;
    row.value = value;
    row.revision = kernel::Revision(++m_revision);
    store[key] = row;
    changes.push_back(row);
    for (const auto &[id, daemon] : daemons) {
        if (daemon->peers->shouldWatch())
            daemon->scheduler->startTimer(std::chrono::milliseconds(2), [this, id = id] {
                if (daemons.contains(id))
                    readStore(at(id));
            });
    }
}

bool Fleet::converged() const
{
    for (const auto &[id, daemon] : daemons) {
        if (daemon->table.rows.size() != store.size()
            || daemon->findings != daemons.begin()->second->findings)
            return false;
        for (const auto &[key, row] : store) {
            const auto found = daemon->table.rows.find(key);
            if (found == daemon->table.rows.end() || found->second.value != row.value)
                return false;
        }
    }
    return true;
}

std::size_t Fleet::inForce(const std::string &key) const
{
    std::size_t count = 0;
    for (const auto &[id, daemon] : daemons) {
        const auto row = daemon->table.rows.find(key);
        if (row != daemon->table.rows.end() && row->second.revision == store.at(key).revision)
            ++count;
    }
    return count;
}

bool Fleet::conflicting() const
{
    for (const auto &[id, daemon] : daemons) {
        if (daemon->table.conflicting)
            return true;
    }
    return false;
}

} // namespace acaciasail::peers
