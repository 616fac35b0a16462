#pragma once

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "gateway/internal/options.h"
#include "gateway/internal/upstreamlimits.h"
#include "kernel/kernel.h"
#include "routing/routing.h"
#include "table/table.h"
#include "upstreams/upstreams.h"

namespace acaciasail::gateway {

/// Makes the routing decisions of a daemon, and maintains the data that they are based on: quality
/// estimates, roll-outs and the state of the upstreams. Each decision is logged as one event.
class Router
{
public:
    Router(const GatewayOptions &options, const GatewayCallbacks &ports,
           const kernel::Scheduler &scheduler, kernel::Random random);
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// Updates the list of the fleet's daemons, which includes this one. The upstreams are divided
    /// among these daemons.
    void setDaemons(std::vector<kernel::VmId> daemons);

    routing::VersionDecision chooseVersion(const table::Snapshot &snapshot,
                                           const routing::RequestFacts &facts);

    /// Chooses the upstream of an attempt, after checking again that the version may be used.
    /// Errors: VersionWithdrawn, NoUpstream, NoTable.
    kernel::Completion<upstreams::Target>
    chooseTarget(const routing::RequestFacts &facts, const kernel::VersionId &version,
                 std::span<const routing::PrefixHash> prefixes,
                 const upstreams::AttemptContext &attempt);
    /// Chooses the upstream of a call of an application service. Errors: ServiceUnknown,
    /// NoUpstream.
    kernel::Completion<upstreams::Target> chooseService(const kernel::RequestId &request,
                                                        const kernel::ServiceName &service,
                                                        const upstreams::AttemptContext &attempt);

    void attemptEnded(const upstreams::AttemptReport &report);
    /// Records the outcome of a request to a version, and halts the version's roll-out if
    /// the collected errors, latencies or ratings show that the version is worse.
    void recordOutcome(const kernel::VersionId &version, const routing::RolloutOutcome &outcome);
    void recordAnswer(const routing::AnswerFacts &answer);
    void recordRatings(const std::vector<externals::Rating> &ratings);
    void recordLoad(const kernel::UpstreamId &upstream, const routing::LoadReport &report);
    void recordEvidence(const routing::DecodedEvidence &evidence);

    /// Updates the pool capacities of admission control from the upstreams' concurrency limits.
    void setCapacities(Admitter &admitter);

    const routing::UpstreamPool &upstreamPool() const { return m_upstreamPool; }
    const routing::QualityEstimates &quality() const { return m_quality; }
    routing::RolloutEvidenceStore &rollouts() { return m_rollouts; }

private:
    /// Returns the current configuration table after updating the upstreams from it, or null if
    /// there is no table.
    table::SnapshotPtr currentTable();
    void syncWithTable(const table::Snapshot &snapshot);
    kernel::Completion<upstreams::Target>
    selectUpstream(const kernel::RequestId &request,
                   const std::vector<kernel::UpstreamId> &candidates, routing::UpstreamQuery query,
                   const table::Snapshot &snapshot);
    void evaluateRollout(const table::Snapshot &snapshot, const kernel::RolloutId &rollout);

    const GatewayOptions &m_options;
    const GatewayCallbacks &m_ports;
    const kernel::Scheduler &m_scheduler;
    kernel::Random m_random;
    routing::QualityEstimates m_quality;
    routing::RolloutEvidenceStore m_rollouts;
    routing::UpstreamPool m_upstreamPool;
    UpstreamLimits m_limits;
    std::vector<kernel::VmId> m_daemons;
    table::SnapshotPtr m_syncedTable;
};

} // namespace acaciasail::gateway
