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

/// The routing decisions of a daemon together with what they learn from: quality, roll-outs and
/// the state of the upstreams. Each decision is one event of the log.
class Router
{
public:
    Router(const GatewayOptions &options, const GatewayPorts &ports,
           const kernel::Scheduler &scheduler, kernel::Random random);
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /// The daemons of the fleet, this one among them, by which upstreams are divided.
    void daemonsChanged(std::vector<kernel::VmId> daemons);

    routing::VersionDecision chooseVersion(const table::Snapshot &snapshot,
                                           const routing::RequestFacts &facts);

    /// Chooses the upstream of an attempt; checks anew that the version may be used.
    /// Errors: VersionWithdrawn, NoUpstream, NoTable.
    kernel::Completion<upstreams::Target>
    chooseTarget(const routing::RequestFacts &facts, const kernel::VersionId &version,
                 std::span<const routing::PrefixHash> prefixes,
                 const upstreams::AttemptContext &attempt);
    /// Chooses the upstream of a call of a plain service. Errors: ServiceUnknown, NoUpstream.
    kernel::Completion<upstreams::Target> chooseService(const kernel::RequestId &request,
                                                        const kernel::ServiceName &service,
                                                        const upstreams::AttemptContext &attempt);

    void attemptEnded(const upstreams::AttemptReport &report);
    /// Notes an outcome of a version, and halts its roll-out if the evidence asks for it.
    void noteOutcome(const kernel::VersionId &version, const routing::RolloutOutcome &outcome);
    void noteAnswer(const routing::AnswerFacts &answer);
    void noteRatings(const std::vector<externals::Rating> &ratings);
    void noteLoad(const kernel::UpstreamId &upstream, const routing::LoadReport &report);
    void noteEvidence(const routing::DecodedEvidence &evidence);

    /// Brings the capacities of admission in step with what the upstreams can use.
    void setCapacities(Admitter &admitter);

    const routing::UpstreamPool &pool() const { return m_pool; }
    const routing::QualityBook &quality() const { return m_quality; }
    routing::RolloutBook &rollouts() { return m_rollouts; }

private:
    /// The table in force, with the upstreams brought in step with it; null without a table.
    table::SnapshotPtr currentTable();
    void followTable(const table::Snapshot &snapshot);
    kernel::Completion<upstreams::Target> pick(const kernel::RequestId &request,
                                               const std::vector<kernel::UpstreamId> &candidates,
                                               routing::UpstreamQuery query,
                                               const table::Snapshot &snapshot);
    void judge(const table::Snapshot &snapshot, const kernel::RolloutId &rollout);

    const GatewayOptions &m_options;
    const GatewayPorts &m_ports;
    const kernel::Scheduler &m_scheduler;
    kernel::Random m_random;
    routing::QualityBook m_quality;
    routing::RolloutBook m_rollouts;
    routing::UpstreamPool m_pool;
    UpstreamLimits m_limits;
    std::vector<kernel::VmId> m_daemons;
    table::SnapshotPtr m_followed;
};

} // namespace acaciasail::gateway
