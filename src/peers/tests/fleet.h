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

/// A table for tests: the join of rows by highest revision.
struct TestTable
{
    std::map<std::string, RowUpdate> rows;
    bool complete = false;
    /// Two different values came with the same revision.
    bool conflicting = false;

    static constexpr std::size_t bucketCount = 64;
    std::array<std::uint64_t, bucketCount> buckets{};
    std::array<std::vector<std::string>, bucketCount> keysOfBucket;

    bool apply(const RowUpdate &row);
    RowSource source();
    RowSink sink();
};

/// One daemon with a table, a set of shared findings and a watch of the store.
struct TestDaemon
{
    wire::Peer peer;
    std::shared_ptr<kernel::Scheduler> scheduler;
    TestTable table;
    std::set<std::string> findings;
    /// Changes of the store that its watch has read.
    std::size_t changesRead = 0;
    std::unique_ptr<Peers> peers;
    kernel::Timer watchTimer;
    kernel::Subscription watcherChange;

    /// State of a member as this daemon sees it; "unknown" if it has no record.
    std::string sees(const std::string &id) const;
};

/// Daemons on a fake network, and a store that they watch.
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
    /// Error of the time of day of daemons that start later.
    kernel::Duration clockOffset{};
    /// Settings of daemons that start later; `self` is filled in.
    PeersOptions options;
    /// Data centres that can't reach the platform.
    std::set<std::string> cutFromPlatform;
    /// Groups of data centres that can reach each other; empty for all.
    std::vector<std::set<std::string>> islands;
    /// Addresses that can't send to others.
    std::set<std::pair<std::string, std::string>> blocked;

    /// Starts a daemon; its address depends on the data centre and `host` alone.
    TestDaemon &start(const std::string &id, const std::string &dataCentre, int host);
    /// Starts that many daemons, spread over that many data centres, and lets them meet.
    void startMany(int daemonCount, int dataCentres,
                   kernel::Duration settleTime = std::chrono::seconds(20));
    void crash(const std::string &id);
    void pause(const std::string &id);
    void resume(const std::string &id);
    /// Writes a row into the store; watchers hear of it at once.
    void edit(const std::string &key, const std::string &value);
    void run(kernel::Duration span) { network.clock.advance(span); }

    TestDaemon &at(const std::string &id) { return *daemons.at(id); }
    /// All daemons have the same rows as the store, and the same findings.
    bool converged() const;
    /// Number of daemons that have the store's row of that key.
    std::size_t inForce(const std::string &key) const;
    /// Some daemon got two different values with the same revision.
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
