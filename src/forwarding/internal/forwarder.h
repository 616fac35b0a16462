#pragma once

#include <functional>
#include <memory>
#include <unordered_map>

#include "forwarding/internal/job.h"
#include "forwarding/internal/state.h"

namespace acaciasail::forwarding {

/// Asks for a change of a roll-out's status; only the revision that it was decided on may be
/// changed. What became of it comes back with the roll-out's next change.
using RolloutWriter = std::function<void(const Rollout &rollout, const RolloutStep &step)>;

/// Passes what this daemon saw of requests that crash upstreams to the other daemons.
using CrashSharer = std::function<void(const poison::PoisonBook &own)>;

/// Upstreams of one data centre that could not be reached.
struct CutOffs
{
    kernel::Instant since{};
    int upstreams = 0;
};

struct ForwarderPorts
{
    HttpSender send;
    Connector connect;
    /// May be empty: engines are then chosen without their reports.
    LoadReader readLoad;
    UpstreamWire wire;
    RolloutWriter writeRollout;
    /// May be empty: each daemon then counts crashes by itself.
    CrashSharer shareCrashes;
    /// A configuration came into force.
    std::function<void(const Configuration &)> onConfiguration;
};

/// Takes requests and what is known of the deployment, and answers each request.
class Forwarder
{
public:
    Forwarder(const kernel::Scheduler &scheduler, ForwarderPorts ports, ForwardingOptions options,
              kernel::Random random);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    void handle(Request request, std::shared_ptr<http::Responder> responder);

    void setConfiguration(std::shared_ptr<const Configuration> configuration,
                          kernel::Revision revision);
    void setUpstreams(const std::vector<Upstream> &upstreams);
    void setUpstream(const Upstream &upstream);
    void dropUpstream(const kernel::UpstreamId &id);
    void setRollout(const Rollout &rollout);
    void dropRollout(const kernel::ServiceName &service);
    void setStoreReachable(bool reachable);
    /// What another daemon saw of requests that crash upstreams.
    void joinCrashes(const kernel::VmId &from, const poison::PoisonBook &seen);
    /// What this VM's daemon saw of them before it started again.
    void adoptCrashes(const poison::PoisonBook &seen);

    /// Refuses new requests that may not be finished by then; those in progress go on. `alone`
    /// tells that callers find no other daemon until this one is back.
    void endBy(kernel::Instant end, bool alone);
    /// Changes the settings that can change while it runs.
    void setOptions(const ForwardingOptions &options);

    bool canServe() const { return forwarding::canServe(m_state.directory); }
    std::size_t inProgress() const { return m_jobs.size(); }
    const ForwardingState &state() const { return m_state; }
    metrics::Registry &metrics() { return m_state.metrics.registry; }
    const metrics::Registry &metrics() const { return m_state.metrics.registry; }

private:
    void tick();
    void armTick();
    void reviewRollouts();
    void reviewRollout(Rollout &rollout);
    bool isCondemnedTogether(const Rollout &rollout) const;
    void reviewCrashes();
    void endCrashingRequests();
    std::vector<std::shared_ptr<Job>> jobsNow() const;
    void probeUnreachable();
    void probe(const kernel::UpstreamId &id, const kernel::Endpoint &endpoint);
    void onProbed(const kernel::UpstreamId &id, const kernel::Completion<kernel::Done> &outcome);
    void onUnreached(const kernel::UpstreamId &id, kernel::ResultCode code);
    void suspectDataCentre(const kernel::DataCentreId &dataCentre);
    void noteStart(const Upstream &upstream);
    void forgetRecords();

    ForwardingState m_state;
    Connector m_connect;
    std::map<kernel::UpstreamId, std::unique_ptr<http::Exchange>> m_probes;
    // Upstreams of each data centre that lately were found to be cut off.
    std::map<kernel::DataCentreId, CutOffs> m_cutOffs;
    RolloutWriter m_writeRollout;
    CrashSharer m_shareCrashes;
    std::function<void(const Configuration &)> m_onConfiguration;
    std::unordered_map<const Job *, std::shared_ptr<Job>> m_jobs;
    std::map<kernel::ServiceName, kernel::Instant> m_rolloutAskedAt;
    kernel::Timer m_tick;
};

} // namespace acaciasail::forwarding
