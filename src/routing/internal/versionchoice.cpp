#include "routing/internal/versionchoice.h"

#include <algorithm>

#include "routing/internal/offers.h"
#include "routing/internal/weighing.h"

namespace acaciasail::routing {

namespace {

using kernel::ResultCode;

VersionDecision refusal(ResultCode code)
{
    return { .code = code, .reason = VersionReason::Refused };
}

ResultCode codeOf(const Offers &offers)
{
    if (offers.sawUnavailable)
        return ResultCode::NoUpstream;
    if (offers.sawTooSmall)
        return ResultCode::ContextTooLong;
    return offers.sawWithdrawn ? ResultCode::VersionWithdrawn : ResultCode::NoVersionAllowed;
}

VersionDecision chooseAmong(const QualityBook &quality, const table::WorkspaceRow &workspace,
                            const RequestFacts &facts, const Offers &offers, kernel::Instant now)
{
    const Weighing weighing = weigh(quality, workspace, facts, offers.versions);
    if (weighing.options.size() == 1)
        return decisionFor(weighing, weighing.options.front(), VersionReason::OnlyVersion);
    if (ratingsMissing(quality, now)
        && workspace.ratingsFallback == table::RatingsFallback::UseDearest) {
        const auto best = std::ranges::max_element(weighing.options, {}, [](const Option &option) {
            return option.version->priorQuality;
        });
        return decisionFor(weighing, *best, VersionReason::RatingsMissing);
    }
    VersionDecision decision = chooseByPrice(weighing, facts);
    if (const Option *trial = optionToExplore(weighing, facts, decision); trial != nullptr)
        return decisionFor(weighing, *trial, VersionReason::Exploration);
    return decision;
}

// Returns whether the session's pin can be used, and if not, why.
VersionReason judgePin(const table::Snapshot &snapshot, const RolloutBook &rollouts,
                       const RequestFacts &facts, const TableFreshness &freshness)
{
    const auto version = snapshot.versions.find(*facts.sessionVersion);
    if (version == snapshot.versions.end())
        return VersionReason::PinNotAllowed;
    if (version->second.state == table::VersionState::Withdrawn)
        return VersionReason::PinWithdrawn;
    const RolloutBar bar = rolloutBar(snapshot, rollouts, version->first, freshness);
    if (bar == RolloutBar::RolledBack)
        return VersionReason::PinRolledBack;
    if (!table::versionAllowed(snapshot, facts.workspace, version->first))
        return VersionReason::PinNotAllowed;
    if (facts.model && version->second.model != *facts.model)
        return VersionReason::PinOtherModel;
    if (bar == RolloutBar::Stale)
        return VersionReason::PinStale;
    return canServe(snapshot, version->second, facts) ? VersionReason::SessionPin
                                                      : VersionReason::PinUnavailable;
}

bool pinStays(VersionReason reason)
{
    return reason == VersionReason::PinStale || reason == VersionReason::PinUnavailable;
}

VersionDecision pinnedDecision(const table::Snapshot &snapshot, const QualityBook &quality,
                               const table::WorkspaceRow &workspace, const RequestFacts &facts)
{
    const Weighing weighing
        = weigh(quality, workspace, facts, { &snapshot.versions.at(*facts.sessionVersion) });
    return decisionFor(weighing, weighing.options.front(), VersionReason::SessionPin);
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

VersionDecision chooseVersion(const table::Snapshot &snapshot, const QualityBook &quality,
                              const RolloutBook &rollouts, const RequestFacts &facts,
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
    const Offers offers = collectOffers(snapshot, rollouts, workspace->second, facts, freshness);
    if (offers.versions.empty())
        return refusal(pinReason == VersionReason::PinStale ? ResultCode::TableStale
                                                            : codeOf(offers));
    VersionDecision decision = chooseAmong(quality, workspace->second, facts, offers, now);
    if (facts.sessionVersion) {
        decision.reason = pinReason;
        decision.rebindsSession = !pinStays(pinReason);
    }
    return decision;
}

} // namespace acaciasail::routing
