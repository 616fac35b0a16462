#include "gateway/internal/router.h"

#include <algorithm>
#include <utility>

namespace acaciasail::gateway {

namespace {

routing::AttemptEnd attemptEndOf(const upstreams::AttemptReport &report)
{
    switch (report.code) {
    case kernel::ResultCode::Ok:
        return routing::AttemptEnd::Ok;
    case kernel::ResultCode::Cancelled:
        return routing::AttemptEnd::Cancelled;
    case kernel::ResultCode::UpstreamOverloaded:
        return routing::AttemptEnd::Overloaded;
    default:
        return routing::AttemptEnd::Failed;
    }
}

} // namespace

Router::Router(const GatewayOptions &options, const GatewayCallbacks &ports,
               const kernel::Scheduler &scheduler, kernel::Random random)
    : m_options(options)
    , m_ports(ports)
    , m_scheduler(scheduler)
    , m_random(random)
    , m_daemons{ options.vm }
{
    m_quality.lastResponseAt = scheduler.now();
    m_rollouts.self = options.vm.str() + "/" + kernel::randomId(m_random, "");
    m_upstreamPool.ownDataCentre = options.dataCentre;
}

table::SnapshotPtr Router::currentTable()
{
    table::SnapshotPtr snapshot = m_ports.table();
    if (snapshot && snapshot != m_syncedTable) {
        syncWithTable(*snapshot);
        m_syncedTable = snapshot;
    }
    return snapshot;
}

void Router::syncWithTable(const table::Snapshot &snapshot)
{
    std::vector<kernel::UpstreamId> all;
    all.reserve(snapshot.upstreams.size());
    for (const auto &[id, row] : snapshot.upstreams)
        all.push_back(id);
    std::ranges::sort(all);
    const std::vector<kernel::UpstreamId> subset
        = routing::subsetOf(all, m_options.vm, m_options.upstreamSubsetSize, m_daemons);
    routing::syncUpstreams(m_upstreamPool, snapshot, subset, m_scheduler.now());
    routing::removeFinishedRollouts(m_rollouts, snapshot);
}

void Router::setDaemons(std::vector<kernel::VmId> daemons)
{
    m_daemons = std::move(daemons);
    m_syncedTable = nullptr;
}

routing::VersionDecision Router::chooseVersion(const table::Snapshot &snapshot,
                                               const routing::RequestFacts &facts)
{
    routing::VersionDecision decision = routing::chooseVersion(
        snapshot, m_quality, m_rollouts, facts, m_ports.freshness(), m_scheduler.now());
    if (decision.ok())
        routing::recordChoice(m_quality, snapshot, facts, decision, m_scheduler.now());
    kernel::logEvent(kernel::EventId::VersionChosen,
                     { { "request", facts.request },
                       { "workspace", facts.workspace },
                       { "kind", facts.kind },
                       { "code", kernel::toNumber(decision.code) },
                       { "reason", routing::toString(decision.reason) },
                       { "version", decision.version },
                       { "escalate_to", decision.escalateTo.value_or(kernel::VersionId()) },
                       { "expected_cost", decision.expectedCost },
                       { "expected_quality", decision.expectedQuality } });
    return decision;
}

kernel::Completion<upstreams::Target>
Router::chooseTarget(const routing::RequestFacts &facts, const kernel::VersionId &version,
                     std::span<const routing::PrefixHash> prefixes,
                     const upstreams::AttemptContext &attempt)
{
    const table::SnapshotPtr snapshot = currentTable();
    if (!snapshot)
        return kernel::Error{ kernel::ResultCode::NoTable, "the daemon has no configuration yet" };
    if (!routing::dispatchAllowed(*snapshot, m_rollouts, facts.workspace, version,
                                  m_ports.freshness())) {
        return kernel::Error{ kernel::ResultCode::VersionWithdrawn,
                              "version \"" + version.str() + "\" accepts no new requests" };
    }
    const auto candidates = m_upstreamPool.upstreamsByVersion.find(version);
    if (candidates == m_upstreamPool.upstreamsByVersion.end()) {
        return kernel::Error{ kernel::ResultCode::NoUpstream,
                              "no upstream serves version \"" + version.str() + "\"" };
    }
    const routing::UpstreamQuery query{ .version = version,
                                        .prefixes = prefixes,
                                        .exclude = attempt.exclude,
                                        .now = m_scheduler.now() };
    return selectUpstream(facts.request, candidates->second, query, *snapshot);
}

kernel::Completion<upstreams::Target>
Router::chooseService(const kernel::RequestId &request, const kernel::ServiceName &service,
                      const upstreams::AttemptContext &attempt)
{
    const table::SnapshotPtr snapshot = currentTable();
    if (!snapshot)
        return kernel::Error{ kernel::ResultCode::NoTable, "the daemon has no configuration yet" };
    const auto candidates = m_upstreamPool.upstreamsByService.find(service);
    if (candidates == m_upstreamPool.upstreamsByService.end()) {
        return kernel::Error{ kernel::ResultCode::NoUpstream,
                              "no upstream serves service \"" + service.str() + "\"" };
    }
    const routing::UpstreamQuery query{ .exclude = attempt.exclude, .now = m_scheduler.now() };
    return selectUpstream(request, candidates->second, query, *snapshot);
}

kernel::Completion<upstreams::Target>
Router::selectUpstream(const kernel::RequestId &request,
                       const std::vector<kernel::UpstreamId> &candidates,
                       routing::UpstreamQuery query, const table::Snapshot &snapshot)
{
    // Upstreams at their concurrency limit are excluded as long as another upstream can accept the
    // request.
    std::vector<kernel::UpstreamId> exclude = m_limits.fullUpstreams(candidates);
    exclude.insert(exclude.end(), query.exclude.begin(), query.exclude.end());
    const std::span<const kernel::UpstreamId> failed = query.exclude;
    query.exclude = exclude;
    routing::UpstreamDecision decision
        = routing::chooseUpstream(m_upstreamPool, candidates, query, m_random);
    query.exclude = failed;
    if (!decision.ok())
        decision = routing::chooseUpstream(m_upstreamPool, candidates, query, m_random);
    kernel::logEvent(kernel::EventId::UpstreamChosen,
                     { { "request", request },
                       { "version", query.version },
                       { "code", kernel::toNumber(decision.code) },
                       { "reason", routing::toString(decision.reason) },
                       { "upstream", decision.upstream },
                       { "candidates", candidates.size() },
                       { "excluded", query.exclude.size() } });
    if (!decision.ok())
        return kernel::Error{ decision.code, "no upstream can accept the request now" };
    routing::recordStart(m_upstreamPool, decision.upstream, query.prefixes, query.now);
    m_limits.recordStart(decision.upstream, query.now);
    return upstreams::Target{ decision.upstream,
                              snapshot.upstreams.at(decision.upstream).endpoint };
}

void Router::setCapacities(Admitter &admitter)
{
    const table::SnapshotPtr snapshot = currentTable();
    if (!snapshot)
        return;
    m_limits.removeMissing(*snapshot);
    m_limits.setCapacities(*snapshot, admitter);
}

void Router::attemptEnded(const upstreams::AttemptReport &report)
{
    m_limits.recordEnd(report, m_scheduler.now());
    if (report.timeToFirstToken)
        routing::recordFirstToken(m_upstreamPool, report.upstream);
    const routing::AttemptFacts facts{ .end = attemptEndOf(report) };
    const routing::UpstreamChange change
        = routing::recordEnd(m_upstreamPool, report.upstream, facts, m_scheduler.now());
    if (change == routing::UpstreamChange::Ejected)
        kernel::logEvent(kernel::EventId::UpstreamEjected, { { "upstream", report.upstream } });
    if (change == routing::UpstreamChange::Returned)
        kernel::logEvent(kernel::EventId::UpstreamReturned, { { "upstream", report.upstream } });
}

void Router::recordOutcome(const kernel::VersionId &version, const routing::RolloutOutcome &outcome)
{
    const table::SnapshotPtr snapshot = currentTable();
    if (!snapshot)
        return;
    routing::recordOutcome(m_rollouts, *snapshot, version, outcome);
    const auto candidate = snapshot->rolloutOfCandidate.find(version);
    const bool inRollout = candidate != snapshot->rolloutOfCandidate.end()
                           || snapshot->rolloutOfBaseline.contains(version);
    if (inRollout && m_ports.evidenceChanged)
        m_ports.evidenceChanged();
    if (candidate != snapshot->rolloutOfCandidate.end())
        evaluateRollout(*snapshot, candidate->second);
}

void Router::evaluateRollout(const table::Snapshot &snapshot, const kernel::RolloutId &rollout)
{
    if (routing::haltedByEvidence(m_rollouts, rollout))
        return;
    const routing::RolloutJudgement judgement
        = routing::judgeRollout(snapshot.rollouts.at(rollout), m_rollouts.evidence[rollout]);
    if (judgement.verdict != routing::RolloutVerdict::Halt)
        return;
    routing::recordHalt(m_rollouts, rollout);
    kernel::logEvent(kernel::EventId::RolloutHalted,
                     { { "rollout", rollout },
                       { "reason", routing::toString(judgement.reason) },
                       { "candidate_requests", judgement.candidateRequests },
                       { "error_evidence", judgement.errorEvidence },
                       { "latency_evidence", judgement.latencyEvidence },
                       { "rating_evidence", judgement.ratingEvidence } });
    if (m_ports.haltRollout)
        m_ports.haltRollout(rollout);
}

void Router::recordAnswer(const routing::AnswerFacts &answer)
{
    const table::SnapshotPtr snapshot = currentTable();
    if (snapshot)
        routing::recordAnswer(m_quality, *snapshot, answer);
}

void Router::recordRatings(const std::vector<externals::Rating> &ratings)
{
    const table::SnapshotPtr snapshot = currentTable();
    if (!snapshot)
        return;
    routing::recordRatings(m_quality, *snapshot, ratings, m_scheduler.now());
    for (const externals::Rating &rating : ratings)
        recordOutcome(rating.version, { .rating = rating.score });
}

void Router::recordLoad(const kernel::UpstreamId &upstream, const routing::LoadReport &report)
{
    routing::recordLoad(m_upstreamPool, upstream, report, m_scheduler.now());
}

void Router::recordEvidence(const routing::DecodedEvidence &evidence)
{
    routing::recordEvidence(m_rollouts, evidence);
    const table::SnapshotPtr snapshot = currentTable();
    if (snapshot && snapshot->rollouts.contains(evidence.rollout))
        evaluateRollout(*snapshot, evidence.rollout);
}

} // namespace acaciasail::gateway
