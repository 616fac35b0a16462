#pragma once

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "peers/peers.h"
#include "peers/tests/fakenetwork.h"

namespace acaciasail::peers {

/// A table for tests, which keeps the highest revision of each row.
struct TestTable
{
    std::map<std::string, RowUpdate> rows;
    bool complete = false;
    /// Two different values with the same revision were received.
    bool conflicting = false;

    static constexpr std::size_t bucketCount = 64;
    std::array<std::uint64_t, bucketCount> buckets{};
    std::array<std::vector<std::string>, bucketCount> keysOfBucket;

    bool apply(const RowUpdate &row);
    RowSource source();
    RowSink sink();
};

/// One daemon with a table, a set of strings that is shared as the topic "findings", and a watch of
/// the store.
struct TestDaemon
{
    wire::Peer peer;
    std::shared_ptr<kernel::Scheduler> scheduler;
    TestTable table;
    std::set<std::string> findings;
    /// Number of changes of the store that the daemon's watch has read.
    std::size_t changesRead = 0;
    std::unique_ptr<Peers> peers;
    kernel::Timer watchTimer;
    kernel::Subscription watcherChange;

    /// Returns a member's state as this daemon knows it; "unknown" if there is no record of it.
    std::string knownStateOf(const std::string &id) const;
};

/// Daemons on a fake network, and the store that they watch.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    FakeNetwork network;
    std::map<std::string, std::unique_ptr<TestDaemon>> daemons;
    std::map<std::string, RowUpdate> store;
    /// All changes of the store, oldest first.
    std::vector<RowUpdate> changes;
    bool storeDown = false;
    /// Offset of the wall clocks of daemons that are started afterwards.
    kernel::Duration clockOffset{};
    /// Settings of daemons that are started afterwards; start() sets `self`.
    PeersOptions options;
    /// Data centres that can't reach the platform.
    std::set<std::string> platformUnreachableFrom;
    /// Network partitions: two data centres reach each other only if every set contains both or
    /// neither. Empty if all data centres reach each other.
    std::vector<std::set<std::string>> partitions;
    /// Pairs of daemon ids (sender, receiver) between which messages are lost.
    std::set<std::pair<std::string, std::string>> blockedPairs;

    /// Starts a daemon. Its address depends only on the data centre and `host`.
    TestDaemon &start(const std::string &id, const std::string &dataCentre, int host);
    /// Starts `daemonCount` daemons, spread over `dataCentres` data centres, and waits `settleTime`
    /// for them to discover each other.
    void startMany(int daemonCount, int dataCentres,
                   kernel::Duration settleTime = std::chrono::seconds(20));
    void crash(const std::string &id);
    void pause(const std::string &id);
    void resume(const std::string &id);
    /// Writes a row to the store; the watchers read it 2 ms later.
    void edit(const std::string &key, const std::string &value);
    void run(kernel::Duration span) { network.clock.advance(span); }

    TestDaemon &at(const std::string &id) { return *daemons.at(id); }
    /// Returns whether all daemons have the same rows as the store, and the same findings.
    bool converged() const;
    /// Returns the number of daemons that have the store's current revision of a row.
    std::size_t inForce(const std::string &key) const;
    /// Returns whether any daemon received two different values with the same revision.
    bool conflicting() const;

private:
    void watch(TestDaemon &daemon);
    void readStore(TestDaemon &daemon);
    std::vector<externals::VmEntry> vmList() const;

    std::int64_t m_revision = 0;
    std::map<std::string, std::string> m_dataCentreOfIp;
    std::map<std::string, std::string> m_idOfIp;
};

} // namespace acaciasail::peers
