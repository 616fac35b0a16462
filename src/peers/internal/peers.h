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

/// The status of one daemon, as `acaciasailctl status` shows it.
struct MemberStatus
{
    Member member;
    /// The member's data centre can be reached from this one.
    bool reachable = true;
};

/// This daemon's view of the other daemons, and the network traffic of this library.
struct PeersStatus
{
    std::vector<MemberStatus> members;
    /// Daemons of this data centre that watch the store.
    std::vector<kernel::VmId> watchers;
    bool watching = false;
    /// Time since the table was last known to be current; nullopt if never.
    std::optional<kernel::Duration> sinceHeard;
    Traffic traffic;
    /// Average rate of bytes sent and received since the start, in bytes per second, without HTTP/2
    /// framing.
    double bytesPerSecond = 0;
};

/// Interfaces that the rest of the daemon provides to this library.
struct PeersDependencies
{
    wire::Transport transport;
    /// May be empty if there is no platform.
    externals::VmList vms;
    RowSource rowSource;
    RowSink rowSink;
};

/// This daemon's part in the cluster: membership, dissemination of the table, and shared topics.
///
/// All calls and notifications are made on the event loop's thread.
class Peers
{
public:
    /// The scheduler must outlive this object.
    Peers(PeersOptions options, const kernel::Scheduler &scheduler, PeersDependencies dependencies,
          kernel::Random random);
    ~Peers();
    Peers(const Peers &) = delete;
    Peers &operator=(const Peers &) = delete;

    /// Starts discovery, the failure detector and the comparison of digests.
    void start();
    /// Announces to the other daemons that this daemon is leaving. All other work continues until
    /// this object is destroyed.
    void leave();

    /// Returns the live peers, for other libraries; valid as long as this object.
    wire::PeersView view() const;
    /// Returns the channel of changes of members' states.
    kernel::Channel<MemberChange> &memberChanged();

    /// Returns whether this daemon should watch the store.
    bool shouldWatch() const;
    kernel::Channel<bool> &watcherChanged();
    /// Disseminates rows that changed in this daemon's watch of the store and have already been
    /// applied. Don't pass the rows of the initial load: peers that lack them get them by the
    /// comparison of digests.
    void onLocalRows(const std::vector<RowUpdate> &rows);
    /// Records that the watch is open and that all changes of the store until now have been
    /// applied. Call this method when a watch starts, at each of its heartbeats and at each change.
    void watchHeard();
    /// Returns the time since the table was last known to be current; nullopt if never.
    std::optional<kernel::Duration> sinceHeard() const;
    /// Returns the channel that gets the number of new rows of each batch from a peer, after they
    /// have been applied.
    kernel::Channel<std::size_t> &rowsFromPeers();

    /// Adds a shared topic. Call this method before start().
    void addTopic(Topic topic);
    /// Disseminates a topic's state. The topic's owner calls this method after each change.
    void topicChanged(const std::string &name);

    PeersStatus status() const;
    /// Queries all daemons for the revision that they have in force.
    void survey(std::function<void(std::vector<SurveyEntry>)> callback);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciasail::peers
