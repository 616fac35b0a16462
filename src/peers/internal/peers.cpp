#include "peers/internal/peers.h"

#include <algorithm>

#include "peers/internal/antientropy.h"
#include "peers/internal/discovery.h"
#include "peers/internal/disseminator.h"
#include "peers/internal/failuredetector.h"

namespace acaciasail::peers {

namespace {

// Time between two checks of whether this daemon should watch the store.
constexpr kernel::Duration watcherCheckInterval = std::chrono::seconds(1);

void logChange(const MemberChange &change)
{
    using kernel::EventId;
    EventId event = EventId::PeerRefuted;
    switch (change.member.state) {
    case MemberState::Alive:
        if (!change.joined && change.before == MemberState::Alive)
            return;
        event = change.joined ? EventId::PeerJoined : EventId::PeerRefuted;
        break;
    case MemberState::Suspect:
        event = EventId::PeerSuspected;
        break;
    case MemberState::Leaving:
        event = EventId::PeerLeft;
        break;
    case MemberState::Failed:
        // The shutdown of a daemon that announced that it is leaving isn't a failure.
        if (change.before == MemberState::Leaving)
            return;
        event = EventId::PeerFailed;
        break;
    }
    kernel::logEvent(event, { { "peer", change.member.peer.id },
                              { "data_centre", change.member.peer.dataCentre },
                              { "address", toString(change.member.peer.endpoint) },
                              { "incarnation", change.member.incarnation } });
}

} // namespace

struct Peers::Impl
{
    Impl(PeersOptions options, const kernel::Scheduler &scheduler, PeersDependencies dependencies,
         kernel::Random random)
        : node(std::move(options), scheduler, std::move(dependencies.transport), random)
        , failureDetector(node)
        , disseminator(node, std::move(dependencies.rowSource), std::move(dependencies.rowSink))
        , antiEntropy(node, disseminator)
        , survey(node, antiEntropy, disseminator.source)
        , discovery(node, failureDetector, std::move(dependencies.vms))
        , startedAt(node.now())
    {
        connectCallbacks();
    }

    void connectCallbacks();
    void checkWatcher();
    void setWatching(bool watch);
    void logReachability(const kernel::DataCentreId &dataCentre, bool reachable) const;

    Node node;
    FailureDetector failureDetector;
    Disseminator disseminator;
    AntiEntropy antiEntropy;
    Survey survey;
    Discovery discovery;
    kernel::Instant startedAt;
    bool watching = false;
    /// When this daemon was last among the selected watchers.
    kernel::Instant lastSelectedAt{};
    kernel::Timer watcherTimer;
    kernel::Channel<MemberChange> memberChanged;
    kernel::Channel<bool> watcherChanged;
    kernel::Channel<std::size_t> rowsFromPeers;
};

void Peers::Impl::connectCallbacks()
{
    node.members.onChange = [this](const MemberChange &change) {
        disseminator.memberChanged(change.member);
        if (change.member.peer.id == node.members.self().peer.id)
            return;
        logChange(change);
        memberChanged.send(change);
    };
    node.onReachability = [this](const kernel::DataCentreId &dataCentre, bool reachable) {
        logReachability(dataCentre, reachable);
    };
    failureDetector.onRecordUnknown
        = [this](const kernel::Endpoint &at) { disseminator.sendOwnRecord(at); };
    failureDetector.onContact = [this](const kernel::Endpoint &at) { antiEntropy.compare(at); };
    discovery.onJoinComplete = [this] { checkWatcher(); };
    disseminator.onRowsFromPeers = [this](std::size_t rows) { rowsFromPeers.send(rows); };
}

void Peers::Impl::logReachability(const kernel::DataCentreId &dataCentre, bool reachable) const
{
    kernel::logEvent(reachable ? kernel::EventId::DataCentreReachable
                               : kernel::EventId::DataCentreUnreachable,
                     { { "data_centre", dataCentre } });
}

void Peers::Impl::checkWatcher()
{
    watcherTimer = kernel::Timer(node.scheduler, watcherCheckInterval, [this] { checkWatcher(); });
    if (!discovery.joinComplete())
        return;
    const wire::Peer &self = node.members.self().peer;
    const auto watchers
        = watchersOf(node.overlay(), self.dataCentre, node.options.watchersPerDataCentre);
    const bool selected = std::ranges::any_of(
        watchers, [&](const Member &member) { return member.peer.id == self.id; });
    if (selected) {
        lastSelectedAt = node.now();
        setWatching(true);
    } else if (node.now() - lastSelectedAt >= node.options.watchStopDelay) {
        setWatching(false);
    }
}

void Peers::Impl::setWatching(bool watch)
{
    if (watching == watch)
        return;
    watching = watch;
    watcherChanged.send(watch);
}

Peers::Peers(PeersOptions options, const kernel::Scheduler &scheduler,
             PeersDependencies dependencies, kernel::Random random)
    : m_impl(std::make_unique<Impl>(std::move(options), scheduler, std::move(dependencies), random))
{}

Peers::~Peers() = default;

void Peers::start()
{
    m_impl->failureDetector.start();
    m_impl->antiEntropy.start();
    m_impl->discovery.start();
    m_impl->checkWatcher();
}

void Peers::leave()
{
    m_impl->node.members.leave(m_impl->node.now());
}

wire::PeersView Peers::view() const
{
    wire::PeersView view;
    view.self = m_impl->node.members.self().peer;
    view.live = [impl = m_impl.get()] {
        std::vector<wire::Peer> peers;
        for (const Member &member : impl->node.members.present()) {
            if (member.peer.id != impl->node.members.self().peer.id && impl->node.isLive(member))
                peers.push_back(member.peer);
        }
        return peers;
    };
    return view;
}

kernel::Channel<MemberChange> &Peers::memberChanged()
{
    return m_impl->memberChanged;
}

bool Peers::shouldWatch() const
{
    return m_impl->watching;
}

kernel::Channel<bool> &Peers::watcherChanged()
{
    return m_impl->watcherChanged;
}

void Peers::onLocalRows(const std::vector<RowUpdate> &rows)
{
    m_impl->disseminator.disseminateRows(rows);
}

void Peers::watchHeard()
{
    m_impl->antiEntropy.watchHeard();
}

std::optional<kernel::Duration> Peers::sinceHeard() const
{
    return m_impl->antiEntropy.sinceHeard();
}

kernel::Channel<std::size_t> &Peers::rowsFromPeers()
{
    return m_impl->rowsFromPeers;
}

void Peers::addTopic(Topic topic)
{
    m_impl->disseminator.addTopic(std::move(topic));
}

void Peers::topicChanged(const std::string &name)
{
    m_impl->disseminator.topicChanged(name);
}

PeersStatus Peers::status() const
{
    Impl &impl = *m_impl;
    PeersStatus status;
    for (Member &member : impl.node.members.all()) {
        const bool reachable = !impl.node.unreachable.contains(member.peer.dataCentre);
        status.members.push_back(MemberStatus{ std::move(member), reachable });
    }
    const kernel::DataCentreId &dataCentre = impl.node.members.self().peer.dataCentre;
    for (const Member &member :
         watchersOf(impl.node.overlay(), dataCentre, impl.node.options.watchersPerDataCentre))
        status.watchers.push_back(member.peer.id);
    status.watching = impl.watching;
    status.sinceHeard = sinceHeard();
    status.traffic = impl.node.traffic;
    const double seconds = kernel::toSeconds(impl.node.now() - impl.startedAt);
    if (seconds > 0) {
        const std::uint64_t bytes = status.traffic.bytesSent + status.traffic.bytesReceived;
        status.bytesPerSecond = static_cast<double>(bytes) / seconds;
    }
    return status;
}

void Peers::survey(std::function<void(std::vector<SurveyEntry>)> callback)
{
    m_impl->survey.run(std::move(callback));
}

} // namespace acaciasail::peers
