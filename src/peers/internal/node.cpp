#include "peers/internal/node.h"

namespace acaciasail::peers {

namespace {

/// Returns the incarnation of a daemon that starts now. The wall clock is used because a restart on
/// the same VM must have a higher incarnation than all earlier starts.
std::uint64_t firstIncarnation(const kernel::Scheduler &scheduler)
{
    return static_cast<std::uint64_t>(scheduler.wallNow().time_since_epoch().count());
}

} // namespace

Node::Node(PeersOptions nodeOptions, const kernel::Scheduler &nodeScheduler,
           wire::Transport nodeTransport, kernel::Random nodeRandom)
    : options(std::move(nodeOptions))
    , scheduler(nodeScheduler)
    , transport(std::move(nodeTransport))
    , random(nodeRandom)
    , members(options.self, firstIncarnation(nodeScheduler))
{}

const Overlay &Node::overlay()
{
    if (!m_overlayValid || m_overlayVersion != members.version()) {
        m_overlay = buildOverlay(members.present(), unreachable);
        m_overlayVersion = members.version();
        m_overlayValid = true;
    }
    return m_overlay;
}

bool Node::isLive(const Member &member) const
{
    return (member.state == MemberState::Alive || member.state == MemberState::Suspect)
           && !unreachable.contains(member.peer.dataCentre);
}

bool Node::setReachable(const kernel::DataCentreId &dataCentre, bool reachable)
{
    if (dataCentre == members.self().peer.dataCentre)
        return false;
    const bool changed
        = reachable ? unreachable.erase(dataCentre) > 0 : unreachable.insert(dataCentre).second;
    if (!changed)
        return false;
    m_overlayValid = false;
    if (onReachability)
        onReachability(dataCentre, reachable);
    return true;
}

} // namespace acaciasail::peers
