#include "gateway/internal/limitsharer.h"

#include <algorithm>
#include <utility>

namespace acaciasail::gateway {

namespace {

constexpr const char *grantMethod = "limits.grant";
constexpr std::chrono::milliseconds tickInterval{ 100 };
constexpr std::chrono::milliseconds grantTimeout{ 500 };

std::uint64_t firstNumber(const kernel::Scheduler &scheduler)
{
    return static_cast<std::uint64_t>(scheduler.wallNow().time_since_epoch().count());
}

} // namespace

LimitSharer::LimitSharer(const kernel::Scheduler &scheduler, wire::Transport transport,
                         wire::PeersView peers, Admitter &admitter)
    : m_scheduler(scheduler)
    , m_transport(std::move(transport))
    , m_peers(std::move(peers))
    , m_admitter(admitter)
    , m_state(admission::makeSharedLimitState(firstNumber(scheduler)))
{
    std::weak_ptr<bool> weak = m_alive;
    m_transport.handle(grantMethod,
                       [this, weak](const kernel::Endpoint &, const wire::Message &message,
                                    const wire::Reply &reply) {
                           if (weak.expired())
                               reply(kernel::Error{ kernel::ResultCode::PeerUnreachable,
                                                    "the daemon is shutting down" });
                           else
                               handle(message, reply);
                       });
    m_admitter.setAwaitsGrant(
        [this](const admission::AdmissionRequest &ask) { return awaitsGrant(ask); });
    tick();
}

LimitSharer::~LimitSharer()
{
    m_admitter.setAwaitsGrant(nullptr);
}

// Returns whether the limit of the caller or of the workspace has received no grant since it became
// busy at this daemon.
bool LimitSharer::awaitsGrant(const admission::AdmissionRequest &ask) const
{
    const auto ungranted = [this](const admission::LimitSubject &subject) {
        if (!m_admitter.state().limits.usages.contains(subject))
            return false;
        const auto borrowed = m_state.borrowed.find(subject);
        return borrowed == m_state.borrowed.end() || borrowed->second.sequence == 0;
    };
    return ungranted({ table::LimitScope::Caller, ask.caller.str() })
           || ungranted({ table::LimitScope::Workspace, ask.workspace.str() });
}

void LimitSharer::tick()
{
    const admission::FleetView fleet = fleetView();
    const kernel::Instant now = m_scheduler.now();
    admission::recordFleetView(m_state, m_config, fleet, now);
    recordDemands(fleet);
    sendRequests(fleet);
    admission::sweepSharedLimits(m_state, m_config, fleet, now);
    m_admitter.state().limits.shares = admission::sharesAt(m_state, m_config, fleet, now);
    m_timer = kernel::Timer(m_scheduler, tickInterval, [this] { tick(); });
}

admission::FleetView LimitSharer::fleetView()
{
    admission::FleetView fleet;
    fleet.self = m_peers.self.id;
    fleet.live.push_back(fleet.self);
    for (const wire::Peer &peer : m_peers.live())
        fleet.live.push_back(peer.id);
    std::ranges::sort(fleet.live);
    m_fleetSize = std::max(m_fleetSize, fleet.live.size());
    fleet.fleetSize = m_fleetSize;
    return fleet;
}

void LimitSharer::recordDemands(const admission::FleetView &fleet)
{
    const admission::LimitState &limits = m_admitter.state().limits;
    const kernel::Instant now = m_scheduler.now();
    for (const auto &[subject, usage] : limits.usages) {
        admission::recordDemand(m_state, m_config, fleet, subject,
                                admission::demandOf(limits, subject, now), now);
    }
}

void LimitSharer::sendRequests(const admission::FleetView &fleet)
{
    const kernel::Instant now = m_scheduler.now();
    for (const admission::OutgoingRequest &outgoing :
         admission::dueRequests(m_state, m_config, fleet, now)) {
        if (outgoing.to != m_peers.self.id) {
            send(outgoing);
            continue;
        }
        const auto grant
            = admission::answerRequest(m_state, m_config, fleet, outgoing.request, now);
        if (grant)
            admission::applyGrant(m_state, m_config, m_peers.self.id, *grant, now);
    }
}

void LimitSharer::send(const admission::OutgoingRequest &outgoing)
{
    const std::vector<wire::Peer> live = m_peers.live();
    const auto peer = std::ranges::find(live, outgoing.to, &wire::Peer::id);
    if (peer == live.end())
        return;
    std::weak_ptr<bool> weak = m_alive;
    m_transport.call(
        peer->endpoint, { grantMethod, admission::encode(outgoing.request) }, grantTimeout,
        [this, weak, to = outgoing.to](const kernel::Completion<std::string> &reply) {
            if (weak.expired() || !reply.ok())
                return;
            const auto grant
                = kernel::capture([&] { return admission::decodeGrant(reply.value()); });
            if (grant.ok()) {
                admission::applyGrant(m_state, m_config, to, grant.value(), m_scheduler.now());
            }
        });
}

void LimitSharer::handle(const wire::Message &message, const wire::Reply &reply)
{
    const auto request
        = kernel::capture([&] { return admission::decodeGrantRequest(message.payload); });
    if (!request.ok()) {
        reply(request.error());
        return;
    }
    const auto grant = admission::answerRequest(m_state, m_config, fleetView(), request.value(),
                                                m_scheduler.now());
    if (!grant) {
        reply(kernel::Error{ kernel::ResultCode::PeerProtocol,
                             "the grant request is a duplicate or was sent to the wrong owner" });
        return;
    }
    kernel::logEvent(kernel::EventId::LimitGranted, { { "subject", grant->subject.id },
                                                      { "to", request.value().from },
                                                      { "fraction", grant->fraction } });
    reply(admission::encode(*grant));
}

} // namespace acaciasail::gateway
