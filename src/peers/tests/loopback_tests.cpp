#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "http/http.h"
#include "peers/tests/fleet.h"

using namespace acaciasail;
using namespace acaciasail::peers;

namespace {

constexpr kernel::Duration waitTimeout = std::chrono::seconds(20);

/// A daemon that uses real sockets on the loopback interface.
struct LoopbackDaemon
{
    LoopbackDaemon(http::EventLoop &loop, const std::string &id,
                   const std::vector<kernel::Endpoint> &seeds)
    {
        wire::TransportOptions wireOptions;
        wireOptions.listen = { "127.0.0.1", 0 };
        wire = std::move(kernel::capture([&] {
                             return wire::Http2Transport::listen(loop, wireOptions);
                         }).value());
        PeersOptions options;
        options.self = { kernel::VmId(id), kernel::DataCentreId("dc"), wire->endpoint() };
        options.seeds = seeds;
        peers = std::make_unique<Peers>(
            options, loop.scheduler(),
            PeersDependencies{ wire->transport(), {}, table.source(), table.sink() },
            kernel::Random(kernel::hash64(id)));
        peers->start();
    }

    TestTable table;
    std::unique_ptr<wire::Http2Transport> wire;
    std::unique_ptr<Peers> peers;
};

} // namespace

TEST(Loopback, DaemonsDiscoverEachOtherForwardRowsAndDetectAFailure)
{
    http::EventLoop loop;
    std::vector<std::unique_ptr<LoopbackDaemon>> daemons;
    std::vector<kernel::Endpoint> seeds;
    for (const char *id : { "vm0", "vm1", "vm2", "vm3" }) {
        daemons.push_back(std::make_unique<LoopbackDaemon>(loop, id, seeds));
        seeds = { daemons.front()->wire->endpoint() };
    }
    const auto allHaveLivePeers = [&](std::size_t count) {
        return std::ranges::all_of(daemons, [count](const auto &daemon) {
            return daemon->peers->view().live().size() == count;
        });
    };
    EXPECT_TRUE(loop.runUntil([&] { return allHaveLivePeers(3); }, waitTimeout));

    RowUpdate row;
    row.key = "row";
    row.value = "{}";
    row.revision = kernel::Revision(7);
    LoopbackDaemon &watcher = *daemons[2];
    watcher.table.complete = true;
    watcher.table.apply(row);
    watcher.peers->watchHeard();
    watcher.peers->onLocalRows({ row });
    const auto allHaveRow = [&] {
        return std::ranges::all_of(daemons, [](const auto &daemon) {
            return daemon->table.rows.contains("row") && daemon->table.complete
                   && daemon->peers->sinceHeard().has_value();
        });
    };
    EXPECT_TRUE(loop.runUntil(allHaveRow, waitTimeout));

    daemons.erase(daemons.begin() + 1);
    EXPECT_TRUE(loop.runUntil([&] { return allHaveLivePeers(2); }, waitTimeout));
}
