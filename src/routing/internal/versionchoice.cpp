#include "routing/internal/versionchoice.h"

#include <algorithm>

#include "routing/internal/eligibleversions.h"
#include "routing/internal/scoredoptions.h"

namespace acaciasail::routing {

namespace {

using kernel::ResultCode;

VersionDecision refusal(ResultCode code)
{
    return { .code = code, .reason = VersionReason::Refused };
}

ResultCode refusalCode(const EligibleVersions &eligible)
{
    if (eligible.sawUnavailable)
        return ResultCode::NoUpstream;
    if (eligible.sawContextTooSmall)
        return ResultCode::ContextTooLong;
    return eligible.sawWithdrawn ? ResultCode::VersionWithdrawn : ResultCode::NoVersionAllowed;
}

VersionDecision chooseAmong(const QualityEstimates &quality, const table::WorkspaceRow &workspace,
                            const RequestFacts &facts, const EligibleVersions &eligible,
                            kernel::Instant now)
{
    const ScoredOptions scored = scoreOptions(quality, workspace, facts, eligible.versions);
    if (scored.options.size() == 1)
        return decisionFor(scored, scored.options.front(), VersionReason::OnlyVersion);
    if (ratingsMissing(quality, now)
        && workspace.ratingsFallback == table::RatingsFallback::UseDearest) {
        const auto best = std::ranges::max_element(
            scored.options, {}, [](const Option &option) { return option.version->priorQuality; });
        return decisionFor(scored, *best, VersionReason::RatingsMissing);
    }
    VersionDecision decision = chooseByPrice(scored, facts);
    if (const Option *explored = optionToExplore(scored, facts, decision); explored != nullptr)
        return decisionFor(scored, *explored, VersionReason::Exploration);
    return decision;
}

// Returns whether the session's pin can be used, and if not, why.
VersionReason judgePin(const table::Snapshot &snapshot, const RolloutEvidenceStore &rollouts,
                       const RequestFacts &facts, const TableFreshness &freshness)
{
    const auto version = snapshot.versions.find(*facts.sessionVersion);
    if (version == snapshot.versions.end())
        return VersionReason::PinNotAllowed;
    if (version->second.state == table::VersionState::Withdrawn)
        return VersionReason::PinWithdrawn;
    const RolloutBlock block = rolloutBlock(snapshot, rollouts, version->first, freshness);
    if (block == RolloutBlock::RolledBack)
        return VersionReason::PinRolledBack;
    if (!table::versionAllowed(snapshot, facts.workspace, version->first))
        return VersionReason::PinNotAllowed;
    if (facts.model && version->second.model != *facts.model)
        return VersionReason::PinOtherModel;
    if (block == RolloutBlock::Stale)
        return VersionReason::PinStale;
    return canServe(snapshot, version->second, facts) ? VersionReason::SessionPin
                                                      : VersionReason::PinUnavailable;
}

bool keepsPin(VersionReason reason)
{
    return reason == VersionReason::PinStale || reason == VersionReason::PinUnavailable;
}

VersionDecision pinnedDecision(const table::Snapshot &snapshot, const QualityEstimates &quality,
                               const table::WorkspaceRow &workspace, const RequestFacts &facts)
{
    const ScoredOptions scored
        = scoreOptions(quality, workspace, facts, { &snapshot.versions.at(*facts.sessionVersion) });
    return decisionFor(scored, scored.options.front(), VersionReason::SessionPin);
}

ResultCode checkModel(const table::Snapshot &snapshot, const table::WorkspaceRow &workspace,
                      const RequestFacts &facts)
{
    if (!facts.model)
        return ResultCode::Ok;
    if (!snapshot.models.contains(*facts.model))
        return ResultCode::ModelNotFound;
    const bool allowed
        = std::ranges::find(workspace.models, *facts.model) != workspace.models.end();
    return allowed ? ResultCode::Ok : ResultCode::ModelNotAllowed;
}

} // namespace

VersionDecision chooseVersion(const table::Snapshot &snapshot, const QualityEstimates &quality,
                              const RolloutEvidenceStore &rollouts, const RequestFacts &facts,
                              const TableFreshness &freshness, kernel::Instant now)
{
    const auto workspace = snapshot.workspaces.find(facts.workspace);
    if (workspace == snapshot.workspaces.end())
        return refusal(ResultCode::NoVersionAllowed);
    if (const ResultCode code = checkModel(snapshot, workspace->second, facts);
        code != ResultCode::Ok) {
        return refusal(code);
    }
    VersionReason pinReason = VersionReason::SessionPin;
    if (facts.sessionVersion) {
        pinReason = judgePin(snapshot, rollouts, facts, freshness);
        if (pinReason == VersionReason::SessionPin)
            return pinnedDecision(snapshot, quality, workspace->second, facts);
    }
    const EligibleVersions eligible
        = collectEligibleVersions(snapshot, rollouts, workspace->second, facts, freshness);
    if (eligible.versions.empty())
        return refusal(pinReason == VersionReason::PinStale ? ResultCode::TableStale
                                                            : refusalCode(eligible));
    VersionDecision decision = chooseAmong(quality, workspace->second, facts, eligible, now);
    if (facts.sessionVersion) {
        decision.reason = pinReason;
        decision.rebindsSession = !keepsPin(pinReason);
    }
    return decision;
}

} // namespace acaciasail::routing
