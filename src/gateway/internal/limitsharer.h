#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "admission/admission.h"
#include "gateway/internal/admitter.h"
#include "kernel/kernel.h"
#include "wire/wire.h"

namespace acaciasail::gateway {

/// Shares the limits of callers and workspaces with the other daemons. The owner of a limit grants
/// fractions of it to the daemons where the caller is busy; callers far below their limits cause no
/// messages.
class LimitSharer
{
public:
    LimitSharer(const kernel::Scheduler &scheduler, wire::Transport transport,
                wire::PeersView peers, Admitter &admitter);
    LimitSharer(const LimitSharer &) = delete;
    LimitSharer &operator=(const LimitSharer &) = delete;
    ~LimitSharer();

private:
    void tick();
    bool awaitsGrant(const admission::AdmissionRequest &ask) const;
    admission::FleetView fleetView();
    void recordDemands(const admission::FleetView &fleet);
    void sendRequests(const admission::FleetView &fleet);
    void send(const admission::OutgoingRequest &outgoing);
    void handle(const wire::Message &message, const wire::Reply &reply);

    const kernel::Scheduler &m_scheduler;
    wire::Transport m_transport;
    wire::PeersView m_peers;
    Admitter &m_admitter;
    admission::SharedLimitConfig m_config;
    admission::SharedLimitState m_state;
    // Largest number of daemons ever seen alive at once. The size never shrinks, because
    // unreachable daemons may still use their fractions.
    std::size_t m_fleetSize = 1;
    kernel::Timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace acaciasail::gateway
