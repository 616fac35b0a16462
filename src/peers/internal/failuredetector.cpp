#include "peers/internal/failuredetector.h"

#include <algorithm>

namespace acaciasail::peers {

namespace {

constexpr const char *pingMethod = "peers.ping";
constexpr const char *pingRequestMethod = "peers.pingreq";

// Maximum number of daemons of the ring that are probed in one period: the suspected daemons that
// follow this one, up to and including the first that isn't suspected.
constexpr std::size_t maxRingProbes = 4;

} // namespace

ProbeStep nextProbeStep(const ProbeOptions &options, int unansweredPings, kernel::Duration lateness)
{
    if (lateness > options.pingInterval)
        return ProbeStep::Restart;
    if (unansweredPings == 0)
        return ProbeStep::PingDirect;
    if (unansweredPings < options.pingsBeforeSuspicion)
        return ProbeStep::PingDirectAndIndirect;
    if (unansweredPings == options.pingsBeforeSuspicion)
        return ProbeStep::Suspect;
    if (unansweredPings < options.pingsBeforeSuspicion + options.pingsFromSuspicionToFailure)
        return ProbeStep::PingDirectAndIndirect;
    return ProbeStep::Fail;
}

FailureDetector::FailureDetector(Node &node)
    : m_node(node)
{
    m_node.serve<proto::Ping>(pingMethod, [this](const proto::Ping &ping, const auto &reply) {
        handlePing(ping, reply);
    });
    m_node.serve<proto::PingRequest>(pingRequestMethod,
                                     [this](const proto::PingRequest &request, const auto &reply) {
                                         handlePingRequest(request, reply);
                                     });
}

void FailureDetector::start()
{
    // The first delay is random, so that daemons that start together don't probe at the same time.
    const auto period = static_cast<std::uint64_t>(m_node.options.probe.period.count());
    const kernel::Duration delay(kernel::uniformBelow(m_node.random, period));
    m_timer = kernel::Timer(m_node.scheduler, delay, [this] { tick(); });
}

void FailureDetector::tick()
{
    m_timer = kernel::Timer(m_node.scheduler, m_node.options.probe.period, [this] { tick(); });
    m_node.members.purge(m_node.now());
    ++m_ticks;
    probeRing();
    if (m_node.isRoot())
        probeRemote();
    if (m_ticks % 2 == 0)
        probeRandomMember();
}

void FailureDetector::probeRing()
{
    const Overlay &overlay = m_node.overlay();
    const wire::Peer &self = m_node.members.self().peer;
    const std::optional<std::size_t> rank = rankOf(overlay, self);
    if (!rank)
        return;
    const std::vector<Member> ring = overlay.ranked.at(self.dataCentre);
    for (std::size_t i = 1; i < std::min(ring.size(), maxRingProbes + 1); ++i) {
        const Member &next = ring[(*rank + i) % ring.size()];
        startProbe(next);
        if (next.state != MemberState::Suspect)
            break;
    }
}

void FailureDetector::probeRandomMember()
{
    const wire::Peer &self = m_node.members.self().peer;
    if (m_randomOrder.empty()) {
        for (const Member &member : m_node.overlay().ranked.at(self.dataCentre)) {
            if (member.peer.id != self.id)
                m_randomOrder.push_back(member.peer.id);
        }
        std::ranges::shuffle(m_randomOrder, m_node.random);
    }
    if (m_randomOrder.empty())
        return;
    const Member *member = m_node.members.find(m_randomOrder.back());
    m_randomOrder.pop_back();
    if (member != nullptr && member->state != MemberState::Failed)
        startProbe(*member);
}

void FailureDetector::probeRemote()
{
    const Overlay &overlay = m_node.overlay();
    std::vector<Member> targets;
    for (const auto &[dataCentre, members] : overlay.ranked) {
        if (dataCentre == m_node.members.self().peer.dataCentre)
            continue;
        // All daemons of an unreachable data centre are probed in turn, because other daemons may
        // have become its watchers in the meantime.
        const std::size_t candidates
            = m_node.unreachable.contains(dataCentre)
                  ? members.size()
                  : std::min(members.size(), m_node.options.watchersPerDataCentre);
        targets.push_back(members[(m_ticks / overlay.ranked.size()) % candidates]);
    }
    if (!targets.empty())
        startProbe(targets[m_ticks % targets.size()]);
}

bool FailureDetector::isRemote(const Member &member) const
{
    return member.peer.dataCentre != m_node.members.self().peer.dataCentre;
}

void FailureDetector::startProbe(const Member &target)
{
    const auto [found, added] = m_probes.try_emplace(target.peer.id);
    if (!added)
        return;
    found->second.target = target;
    found->second.serial = ++m_lastSerial;
    found->second.nextStepAt = m_node.now();
    runStep(target.peer.id);
}

void FailureDetector::runStep(const kernel::VmId &id)
{
    const auto found = m_probes.find(id);
    if (found == m_probes.end())
        return;
    Probe &probe = found->second;
    const kernel::Duration lateness = m_node.now() - probe.nextStepAt;
    const ProbeStep next = nextProbeStep(m_node.options.probe, probe.unansweredPings, lateness);
    if (next == ProbeStep::Fail) {
        const Member target = probe.target;
        m_probes.erase(found);
        handleFailure(target);
        return;
    }
    if (next == ProbeStep::Restart)
        probe.unansweredPings = 0;
    if (next == ProbeStep::Suspect && !isRemote(probe.target)) {
        Member suspect = probe.target;
        suspect.state = MemberState::Suspect;
        m_node.members.apply(suspect, m_node.now());
    }
    ++probe.unansweredPings;
    probe.nextStepAt = m_node.now() + m_node.options.probe.pingInterval;
    probe.timer = kernel::Timer(m_node.scheduler, m_node.options.probe.pingInterval,
                                [this, id] { runStep(kernel::VmId(id)); });
    if (next != ProbeStep::PingDirect && next != ProbeStep::Restart)
        requestIndirectProbes(probe);
    sendPing(probe);
}

void FailureDetector::handleFailure(const Member &target)
{
    if (isRemote(target)) {
        recordRemoteProbe(target, false);
        return;
    }
    Member failed = target;
    failed.state = MemberState::Failed;
    m_node.members.apply(failed, m_node.now());
}

/// Records the result of a probe of a daemon in another data centre. That data centre is
/// unreachable when none of its watchers answered its last probe.
void FailureDetector::recordRemoteProbe(const Member &target, bool answered)
{
    const kernel::DataCentreId &dataCentre = target.peer.dataCentre;
    if (answered) {
        m_unresponsiveWatchers.erase(target.peer.id);
        if (m_node.setReachable(dataCentre, true) && onContact)
            onContact(target.peer.endpoint);
        return;
    }
    m_unresponsiveWatchers.insert(target.peer.id);
    const auto watchers
        = watchersOf(m_node.overlay(), dataCentre, m_node.options.watchersPerDataCentre);
    const bool allUnresponsive = std::ranges::all_of(watchers, [this](const Member &member) {
        return m_unresponsiveWatchers.contains(member.peer.id);
    });
    if (allUnresponsive)
        m_node.setReachable(dataCentre, false);
}

proto::Ping FailureDetector::makePing(const Member *target) const
{
    const Member &self = m_node.members.self();
    proto::Ping ping;
    ping.set_from(self.peer.id.str());
    ping.set_from_incarnation(self.incarnation);
    if (target == nullptr)
        return ping;
    ping.set_target(target->peer.id.str());
    if (target->state == MemberState::Suspect || target->state == MemberState::Failed)
        encode(*target, *ping.mutable_claim());
    return ping;
}

void FailureDetector::sendPing(const Probe &probe)
{
    const Member *known = m_node.members.find(probe.target.peer.id);
    const Member target = known != nullptr ? *known : probe.target;
    m_node.call<proto::Ack>(
        target.peer.endpoint, pingMethod, makePing(&target),
        [this, target, serial = probe.serial](const std::optional<proto::Ack> &ack) {
            if (ack)
                handleAck(target, serial, *ack);
        });
}

std::vector<Member> FailureDetector::indirectProbersFor(const Member &target)
{
    const Overlay &overlay = m_node.overlay();
    const kernel::DataCentreId &own = m_node.members.self().peer.dataCentre;
    std::vector<Member> indirectProbers;
    const auto add = [&](const Member &member) {
        if (member.state == MemberState::Alive && member.peer.id != target.peer.id
            && member.peer.id != m_node.members.self().peer.id)
            indirectProbers.push_back(member);
    };
    if (!isRemote(target)) {
        for (const Member &member : overlay.ranked.at(own))
            add(member);
    }
    if (indirectProbers.size() >= m_node.options.probe.indirectProberCount)
        return indirectProbers;
    for (const kernel::DataCentreId &dataCentre : overlay.dataCentres) {
        if (dataCentre != own)
            add(overlay.ranked.at(dataCentre).front());
    }
    return indirectProbers;
}

void FailureDetector::requestIndirectProbes(const Probe &probe)
{
    std::vector<Member> indirectProbers = indirectProbersFor(probe.target);
    std::ranges::shuffle(indirectProbers, m_node.random);
    indirectProbers.resize(
        std::min(indirectProbers.size(), m_node.options.probe.indirectProberCount));
    const Member *known = m_node.members.find(probe.target.peer.id);
    const Member target = known != nullptr ? *known : probe.target;
    proto::PingRequest request;
    encode(target, *request.mutable_target());
    for (const Member &indirectProber : indirectProbers) {
        m_node.call<proto::PingAnswer>(
            indirectProber.peer.endpoint, pingRequestMethod, request,
            [this, target, serial = probe.serial](const std::optional<proto::PingAnswer> &answer) {
                if (answer && answer->reached())
                    handleAck(target, serial, answer->ack());
            });
    }
}

void FailureDetector::handleAck(const Member &target, std::uint64_t serial, const proto::Ack &ack)
{
    const auto probe = m_probes.find(target.peer.id);
    const bool current = probe != m_probes.end() && probe->second.serial == serial;
    if (ack.id() != target.peer.id.str()) {
        // Another daemon runs at the address, so the expected daemon no longer does.
        if (current)
            m_probes.erase(probe);
        if (!isRemote(target))
            handleFailure(target);
        if (onContact)
            onContact(target.peer.endpoint);
        return;
    }
    if (current)
        m_probes.erase(probe);
    if (isRemote(target))
        recordRemoteProbe(target, true);
    applyAck(target, ack);
}

void FailureDetector::applyAck(const Member &target, const proto::Ack &ack)
{
    const Member *known = m_node.members.find(target.peer.id);
    // An ack doesn't override the record of a leaving daemon: only that daemon knows whether it is
    // still leaving, and publishes a later record itself.
    if (known != nullptr && ack.incarnation() > known->incarnation
        && known->state != MemberState::Leaving) {
        Member alive = *known;
        alive.incarnation = ack.incarnation();
        alive.state = MemberState::Alive;
        m_node.members.apply(alive, m_node.now());
    }
    if (ack.has_claim())
        m_node.members.apply(decode(ack.claim()), m_node.now());
    if (ack.unknown_sender() && onRecordUnknown)
        onRecordUnknown(target.peer.endpoint);
}

void FailureDetector::handlePing(const proto::Ping &ping,
                                 const std::function<void(const proto::Ack &)> &reply)
{
    if (ping.has_claim() && ping.claim().id() == m_node.members.self().peer.id.str())
        m_node.members.apply(decode(ping.claim()), m_node.now());
    const Member &self = m_node.members.self();
    proto::Ack ack;
    ack.set_id(self.peer.id.str());
    ack.set_incarnation(self.incarnation);
    const Member *sender = m_node.members.find(kernel::VmId(ping.from()));
    if (sender == nullptr || sender->incarnation < ping.from_incarnation())
        ack.set_unknown_sender(true);
    else if (sender->state == MemberState::Suspect || sender->state == MemberState::Failed
             || sender->incarnation > ping.from_incarnation())
        // The sender refutes this record, or takes a higher incarnation if its clock went back.
        encode(*sender, *ack.mutable_claim());
    reply(ack);
}

void FailureDetector::handlePingRequest(const proto::PingRequest &request,
                                        const std::function<void(const proto::PingAnswer &)> &reply)
{
    const Member target = decode(request.target());
    m_node.call<proto::Ack>(target.peer.endpoint, pingMethod, makePing(&target),
                            [reply](const std::optional<proto::Ack> &ack) {
                                proto::PingAnswer answer;
                                answer.set_reached(ack.has_value());
                                if (ack) {
                                    *answer.mutable_ack() = *ack;
                                    // The flag states that the target lacks this daemon's record;
                                    // the requester would take it for its own.
                                    answer.mutable_ack()->clear_unknown_sender();
                                }
                                reply(answer);
                            });
}

void FailureDetector::pingAddress(const kernel::Endpoint &endpoint)
{
    m_node.call<proto::Ack>(endpoint, pingMethod, makePing(nullptr),
                            [this, endpoint](const std::optional<proto::Ack> &ack) {
                                if (!ack || ack->id() == m_node.members.self().peer.id.str())
                                    return;
                                if (ack->has_claim())
                                    m_node.members.apply(decode(ack->claim()), m_node.now());
                                if (ack->unknown_sender() && onRecordUnknown)
                                    onRecordUnknown(endpoint);
                                if (onContact)
                                    onContact(endpoint);
                            });
}

} // namespace acaciasail::peers
