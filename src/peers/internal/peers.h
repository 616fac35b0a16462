#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "externals/externals.h"
#include "kernel/kernel.h"
#include "peers/internal/member.h"
#include "peers/internal/options.h"
#include "peers/internal/rows.h"
#include "peers/internal/survey.h"
#include "peers/internal/topic.h"
#include "wire/wire.h"

namespace acaciasail::peers {

/// One daemon as `acaciasailctl status` shows it.
struct MemberStatus
{
    Member member;
    /// Its data centre can be reached from this one.
    bool reachable = true;
};

/// What this daemon knows of the others, and what that costs.
struct PeersStatus
{
    std::vector<MemberStatus> members;
    /// Daemons of this data centre that watch the store.
    std::vector<kernel::VmId> watchers;
    bool watching = false;
    std::optional<kernel::Duration> sinceHeard;
    Traffic traffic;
    /// Bytes sent and received a second since the start, without HTTP/2 framing.
    double bytesPerSecond = 0;
};

/// What the library needs of the rest of the daemon.
struct PeersDependencies
{
    wire::Transport transport;
    /// May be empty where there is no platform.
    externals::VmList vms;
    RowSource rowSource;
    RowSink rowSink;
};

/// This daemon's part in the fleet: who is there, the table's way to everybody, shared findings.
///
/// All calls and notices are on the loop's thread.
class Peers
{
public:
    /// The scheduler must outlive this object.
    Peers(PeersOptions options, const kernel::Scheduler &scheduler, PeersDependencies dependencies,
          kernel::Random random);
    ~Peers();
    Peers(const Peers &) = delete;
    Peers &operator=(const Peers &) = delete;

    /// Begins to look for peers, to probe and to compare.
    void start();
    /// Tells the others that this daemon leaves; it goes on with all else until it is destroyed.
    void leave();

    /// The live peers, for other libraries; valid as long as this object.
    wire::PeersView view() const;
    /// Changes of members' states.
    kernel::Channel<MemberChange> &memberChanged();

    /// Whether this daemon should watch the store.
    bool amWatcher() const;
    kernel::Channel<bool> &watcherChanged();
    /// Changes that this daemon's watch brought and that were new; already applied. Rows of the
    /// first load are not to be passed here: peers that lack them get them by digests.
    void onLocalRows(const std::vector<RowUpdate> &rows);
    /// The watch is open, and all that the store had until now has been applied. Call it when a
    /// watch begins, at each of its heartbeats and at each change.
    void watchHeard();
    /// Time since the table was last known to be current; none if never.
    std::optional<kernel::Duration> sinceHeard() const;
    /// Rows that came from peers and were new, as their number; already applied.
    kernel::Channel<std::size_t> &rowsFromPeers();

    /// Adds findings to share; before start().
    void addTopic(Topic topic);
    /// The owner changed a topic's state.
    void topicChanged(const std::string &name);

    PeersStatus status() const;
    /// Asks all daemons which revision they have in force.
    void survey(std::function<void(std::vector<SurveyEntry>)> callback);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciasail::peers
