#include "routing/internal/rollouts.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::routing {

namespace {

constexpr double millionths = 1e6;

std::int64_t toMillionths(double value)
{
    return std::llround(value * millionths);
}

void addOutcome(ArmCounters &arm, const RolloutOutcome &outcome)
{
    if (outcome.error) {
        arm.requests += 1;
        arm.errors += *outcome.error ? 1 : 0;
    }
    if (outcome.latency) {
        const auto microseconds = std::max<std::int64_t>(outcome.latency->count(), 1);
        const double logarithm = std::log(static_cast<double>(microseconds));
        arm.latencies += 1;
        arm.logLatencySum += toMillionths(logarithm);
        arm.logLatencySquares += toMillionths(logarithm * logarithm);
    }
    if (outcome.rating) {
        const double score = std::clamp(*outcome.rating, 0.0, 1.0);
        arm.ratings += 1;
        arm.ratingSum += toMillionths(score);
        arm.ratingSquares += toMillionths(score * score);
    }
}

void addArm(ArmCounters &into, const ArmCounters &from)
{
    into.requests += from.requests;
    into.errors += from.errors;
    into.latencies += from.latencies;
    into.logLatencySum += from.logLatencySum;
    into.logLatencySquares += from.logLatencySquares;
    into.ratings += from.ratings;
    into.ratingSum += from.ratingSum;
    into.ratingSquares += from.ratingSquares;
}

} // namespace

void recordOutcome(RolloutEvidenceStore &book, const table::Snapshot &snapshot,
                   const kernel::VersionId &version, const RolloutOutcome &outcome)
{
    const auto candidateRollout = snapshot.rolloutOfCandidate.find(version);
    if (candidateRollout != snapshot.rolloutOfCandidate.end())
        addOutcome(book.evidence[candidateRollout->second][book.self].candidate, outcome);
    const auto baselineRollout = snapshot.rolloutOfBaseline.find(version);
    if (baselineRollout != snapshot.rolloutOfBaseline.end())
        addOutcome(book.evidence[baselineRollout->second][book.self].baseline, outcome);
}

void recordEvidence(RolloutEvidenceStore &book, const DecodedEvidence &evidence)
{
    mergeEvidence(book.evidence[evidence.rollout], evidence.evidence);
}

RolloutEvidence ownEvidence(const RolloutEvidenceStore &book, const kernel::RolloutId &rollout)
{
    const auto evidence = book.evidence.find(rollout);
    if (evidence == book.evidence.end())
        return {};
    const auto own = evidence->second.find(book.self);
    if (own == evidence->second.end())
        return {};
    return { *own };
}

RouterEvidence totalEvidence(const RolloutEvidence &evidence)
{
    RouterEvidence total;
    for (const auto &[router, routerEvidence] : evidence) {
        addArm(total.baseline, routerEvidence.baseline);
        addArm(total.candidate, routerEvidence.candidate);
        total.halted = total.halted || routerEvidence.halted;
    }
    return total;
}

void removeFinishedRollouts(RolloutEvidenceStore &book, const table::Snapshot &snapshot)
{
    std::erase_if(book.evidence, [&](const auto &entry) {
        const auto row = snapshot.rollouts.find(entry.first);
        return row == snapshot.rollouts.end() || row->second.state == table::RolloutState::Finished;
    });
}

void recordHalt(RolloutEvidenceStore &book, const kernel::RolloutId &rollout)
{
    book.evidence[rollout][book.self].halted = true;
}

bool haltedByEvidence(const RolloutEvidenceStore &book, const kernel::RolloutId &rollout)
{
    const auto evidence = book.evidence.find(rollout);
    return evidence != book.evidence.end()
           && std::ranges::any_of(evidence->second,
                                  [](const auto &entry) { return entry.second.halted; });
}

RolloutBlock rolloutBlock(const table::Snapshot &snapshot, const RolloutEvidenceStore &book,
                          const kernel::VersionId &version, const TableFreshness &freshness)
{
    const auto running = snapshot.rolloutOfCandidate.find(version);
    if (running == snapshot.rolloutOfCandidate.end())
        return snapshot.haltedCandidates.contains(version) ? RolloutBlock::RolledBack
                                                           : RolloutBlock::None;
    if (haltedByEvidence(book, running->second))
        return RolloutBlock::RolledBack;
    return freshness.sinceConfirmed > maxTableAgeForRollouts ? RolloutBlock::Stale
                                                             : RolloutBlock::None;
}

bool dispatchAllowed(const table::Snapshot &snapshot, const RolloutEvidenceStore &book,
                     const kernel::WorkspaceId &workspace, const kernel::VersionId &version,
                     const TableFreshness &freshness)
{
    return table::versionAllowed(snapshot, workspace, version)
           && rolloutBlock(snapshot, book, version, freshness) == RolloutBlock::None;
}

} // namespace acaciasail::routing
