#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

#include "peers/internal/node.h"

namespace acaciasail::peers {

/// The next step of a probe.
enum class ProbeStep {
    /// Send a ping to the target.
    PingDirect,
    /// Send a ping to the target, and ask other daemons for indirect probes of it.
    PingDirectAndIndirect,
    /// Mark the target as suspected, and send pings as with PingDirectAndIndirect.
    Suspect,
    /// Mark the target as failed, and finish the probe.
    Fail,
    /// Start again with the first ping: this process was paused, so the missing acks are no
    /// evidence against the target.
    Restart,
};

/// Selects the next step of a probe. `unansweredPings` is the number of unanswered pings;
/// `lateness` is how much later than scheduled this step runs.
ProbeStep nextProbeStep(const ProbeOptions &options, int unansweredPings,
                        kernel::Duration lateness);

/// The failure detector. In each period it probes the next daemon in the rank order of its data
/// centre, which wraps around (ring), one more daemon selected at random in every second period
/// and, on the root, one daemon of another data centre in each period.
///
/// Members are marked as suspected and failed only by daemons of their own data centre. Another
/// data centre is only rated as a whole: it counts as unreachable when its watchers don't answer.
class FailureDetector
{
public:
    explicit FailureDetector(Node &node);

    void start();

    /// Pings an address of which it isn't known which daemon runs there, and reports the daemon by
    /// onContact.
    void pingAddress(const kernel::Endpoint &endpoint);

    /// Called when the daemon at an address doesn't have this daemon's current record.
    std::function<void(const kernel::Endpoint &)> onRecordUnknown;
    /// Called when a daemon, known or not, answered a ping of pingAddress(), when another daemon
    /// than expected answered a probe, and when a data centre became reachable again.
    std::function<void(const kernel::Endpoint &)> onContact;

private:
    struct Probe
    {
        Member target;
        std::uint64_t serial = 0;
        int unansweredPings = 0;
        kernel::Instant nextStepAt{};
        kernel::Timer timer;
    };

    void tick();
    void probeRing();
    void probeRandomMember();
    void probeRemote();
    void startProbe(const Member &target);
    void runStep(const kernel::VmId &id);
    void sendPing(const Probe &probe);
    std::vector<Member> indirectProbersFor(const Member &target);
    void requestIndirectProbes(const Probe &probe);
    void handleFailure(const Member &target);
    void recordRemoteProbe(const Member &target, bool answered);
    bool isRemote(const Member &member) const;

    void handleAck(const Member &target, std::uint64_t serial, const proto::Ack &ack);
    void applyAck(const Member &target, const proto::Ack &ack);
    void handlePing(const proto::Ping &ping, const std::function<void(const proto::Ack &)> &reply);
    void handlePingRequest(const proto::PingRequest &request,
                           const std::function<void(const proto::PingAnswer &)> &reply);
    proto::Ping makePing(const Member *target) const;

    Node &m_node;
    std::map<kernel::VmId, Probe> m_probes;
    std::uint64_t m_lastSerial = 0;
    std::uint64_t m_ticks = 0;
    std::vector<kernel::VmId> m_randomOrder;
    /// Watchers of other data centres that didn't answer their last probe.
    std::set<kernel::VmId> m_unresponsiveWatchers;
    kernel::Timer m_timer;
};

} // namespace acaciasail::peers
