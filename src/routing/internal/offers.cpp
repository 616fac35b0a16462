#include "routing/internal/offers.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace acaciasail::routing {

namespace {

/// The version of a model with the highest score so far.
struct Pick
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

bool excluded(const RequestFacts &facts, const kernel::VersionId &version)
{
    return std::ranges::find(facts.exclude, version) != facts.exclude.end();
}

bool contextFits(const table::VersionRow &version, const RequestFacts &facts)
{
    return facts.inputTokens + facts.expectedOutput <= version.context;
}

// Returns whether a version can serve the request. Records the reason if not, for the result code
// of a refusal.
bool servesOrNotes(const table::VersionRow &version, bool isServed, const RequestFacts &facts,
                   Offers &offers)
{
    if (!contextFits(version, facts)) {
        offers.sawTooSmall = true;
        return false;
    }
    if (!isServed || excluded(facts, version.id)) {
        offers.sawUnavailable = true;
        return false;
    }
    return true;
}

// Returns the candidate instead of the baseline if the roll-out's exposure covers the request.
const table::VersionRow *applyRollout(const table::Snapshot &snapshot, const RolloutBook &rollouts,
                                      const table::VersionRow &baseline, const RequestFacts &facts,
                                      std::uint64_t key, const TableFreshness &freshness,
                                      Offers &offers)
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
        || rolloutBar(snapshot, rollouts, rollout.candidate, freshness) != RolloutBar::None
        || !servesOrNotes(candidate->second,
                          snapshot.upstreamsOfVersion.contains(rollout.candidate), facts, offers)) {
        return &baseline;
    }
    return &candidate->second;
}

// Returns whether a version takes part in the split of its model's traffic for this request.
bool takesPart(const table::AllowedVersion &allowed, const RequestFacts &facts, Offers &offers)
{
    if (allowed.weight <= 0 || (facts.model && allowed.row.model != *facts.model))
        return false;
    if (allowed.row.state == table::VersionState::Withdrawn) {
        offers.sawWithdrawn = true;
        return false;
    }
    return allowed.splitsByWeight && servesOrNotes(allowed.row, allowed.isServed, facts, offers);
}

// Weighted rendezvous hashing: a change of one weight moves keys only to or from the version with
// that weight.
void offerByWeight(const table::AllowedVersion &allowed, std::uint64_t key, Pick &pick)
{
    const double score = std::log(hashFraction(key, allowed.hash)) / allowed.weight;
    if (score > pick.score)
        pick = { &allowed.row, score };
}

} // namespace

bool canServe(const table::Snapshot &snapshot, const table::VersionRow &version,
              const RequestFacts &facts)
{
    return contextFits(version, facts) && !excluded(facts, version.id)
           && snapshot.upstreamsOfVersion.contains(version.id);
}

Offers collectOffers(const table::Snapshot &snapshot, const RolloutBook &rollouts,
                     const table::WorkspaceRow &workspace, const RequestFacts &facts,
                     const TableFreshness &freshness)
{
    Offers offers;
    const auto allowed = snapshot.allowedVersions.find(workspace.id);
    if (allowed == snapshot.allowedVersions.end())
        return offers;
    const std::uint64_t key = kernel::hash64(facts.stickyKey);
    std::vector<Pick> picks(workspace.models.size());
    for (const table::AllowedVersion &version : allowed->second) {
        if (takesPart(version, facts, offers))
            offerByWeight(version, key, picks[version.model]);
    }
    offers.versions.reserve(picks.size());
    for (const Pick &pick : picks) {
        if (pick.version != nullptr)
            offers.versions.push_back(
                applyRollout(snapshot, rollouts, *pick.version, facts, key, freshness, offers));
    }
    return offers;
}

} // namespace acaciasail::routing
