#include "routing/internal/eligibleversions.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace acaciasail::routing {

namespace {

/// The version of a model with the highest score so far.
struct WeightedPick
{
    const table::VersionRow *version = nullptr;
    double score = -std::numeric_limits<double>::infinity();
};

// Returns a number in (0, 1) that depends only on the two hashes.
double hashFraction(std::uint64_t key, std::uint64_t member)
{
    constexpr int mantissaBits = 53;
    // The finalizer of MurmurHash3.
    std::uint64_t value = key ^ (member * 0x9e3779b97f4a7c15ULL);
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33U;
    return (static_cast<double>(value >> (64 - mantissaBits)) + 0.5) * 0x1.0p-53;
}

bool isExcluded(const RequestFacts &facts, const kernel::VersionId &version)
{
    return std::ranges::find(facts.exclude, version) != facts.exclude.end();
}

bool contextFits(const table::VersionRow &version, const RequestFacts &facts)
{
    return facts.inputTokens + facts.expectedOutput <= version.context;
}

// Returns whether a version can serve the request. Records the reason if not, for the result code
// of a refusal.
bool checkServable(const table::VersionRow &version, bool isServed, const RequestFacts &facts,
                   EligibleVersions &eligible)
{
    if (!contextFits(version, facts)) {
        eligible.sawContextTooSmall = true;
        return false;
    }
    if (!isServed || isExcluded(facts, version.id)) {
        eligible.sawUnavailable = true;
        return false;
    }
    return true;
}

// Returns the candidate instead of the baseline if the roll-out's exposure covers the request.
const table::VersionRow *applyRollout(const table::Snapshot &snapshot,
                                      const RolloutEvidenceStore &rollouts,
                                      const table::VersionRow &baseline, const RequestFacts &facts,
                                      std::uint64_t key, const TableFreshness &freshness,
                                      EligibleVersions &eligible)
{
    const auto running = snapshot.rolloutOfBaseline.find(baseline.id);
    if (running == snapshot.rolloutOfBaseline.end())
        return &baseline;
    const table::RolloutRow &rollout = snapshot.rollouts.at(running->second);
    if (hashFraction(key, kernel::hash64(rollout.id.str())) >= rollout.exposure)
        return &baseline;
    const auto candidate = snapshot.versions.find(rollout.candidate);
    if (candidate == snapshot.versions.end() || candidate->second.model != baseline.model
        || candidate->second.state == table::VersionState::Withdrawn
        || rolloutBlock(snapshot, rollouts, rollout.candidate, freshness) != RolloutBlock::None
        || !checkServable(candidate->second,
                          snapshot.upstreamsOfVersion.contains(rollout.candidate), facts,
                          eligible)) {
        return &baseline;
    }
    return &candidate->second;
}

// Returns whether a version takes part in the split of its model's traffic for this request.
bool takesPartInSplit(const table::AllowedVersion &allowed, const RequestFacts &facts,
                      EligibleVersions &eligible)
{
    if (allowed.weight <= 0 || (facts.model && allowed.row.model != *facts.model))
        return false;
    if (allowed.row.state == table::VersionState::Withdrawn) {
        eligible.sawWithdrawn = true;
        return false;
    }
    return allowed.splitsByWeight && checkServable(allowed.row, allowed.isServed, facts, eligible);
}

// Weighted rendezvous hashing: a change of one weight moves keys only to or from the version with
// that weight.
void pickByWeight(const table::AllowedVersion &allowed, std::uint64_t key, WeightedPick &pick)
{
    const double score = std::log(hashFraction(key, allowed.hash)) / allowed.weight;
    if (score > pick.score)
        pick = { &allowed.row, score };
}

} // namespace

bool canServe(const table::Snapshot &snapshot, const table::VersionRow &version,
              const RequestFacts &facts)
{
    return contextFits(version, facts) && !isExcluded(facts, version.id)
           && snapshot.upstreamsOfVersion.contains(version.id);
}

EligibleVersions collectEligibleVersions(const table::Snapshot &snapshot,
                                         const RolloutEvidenceStore &rollouts,
                                         const table::WorkspaceRow &workspace,
                                         const RequestFacts &facts, const TableFreshness &freshness)
{
    EligibleVersions eligible;
    const auto allowed = snapshot.allowedVersions.find(workspace.id);
    if (allowed == snapshot.allowedVersions.end())
        return eligible;
    const std::uint64_t key = kernel::hash64(facts.stickyKey);
    std::vector<WeightedPick> picks(workspace.models.size());
    for (const table::AllowedVersion &version : allowed->second) {
        if (takesPartInSplit(version, facts, eligible))
            pickByWeight(version, key, picks[version.model]);
    }
    eligible.versions.reserve(picks.size());
    for (const WeightedPick &pick : picks) {
        if (pick.version != nullptr)
            eligible.versions.push_back(
                applyRollout(snapshot, rollouts, *pick.version, facts, key, freshness, eligible));
    }
    return eligible;
}

} // namespace acaciasail::routing
