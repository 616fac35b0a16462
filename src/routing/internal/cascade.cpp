#include "routing/internal/cascade.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::routing {

namespace {

/// Fraction of the answers due for escalation that are kept instead, so that they are rated.
constexpr double keptAnswerFraction = 0.03;
constexpr double emptyOrFilteredConfidence = 0;
/// Maximum confidence in a truncated answer.
constexpr double maxTruncatedConfidence = 0.3;

} // namespace

std::optional<double> answerConfidence(const AnswerQualitySignals &signal)
{
    if (signal.finish == FinishReason::ContentFilter || signal.outputTokens == 0)
        return emptyOrFilteredConfidence;
    if (signal.finish == FinishReason::Length)
        return std::min(signal.selfRating.value_or(maxTruncatedConfidence), maxTruncatedConfidence);
    if (!signal.selfRating || !std::isfinite(*signal.selfRating))
        return std::nullopt;
    return std::clamp(*signal.selfRating, 0.0, 1.0);
}

std::optional<CascadePlan> planCascade(const CascadeSteps &steps)
{
    const ConfidenceCurve &curve = steps.cheap->confidenceCurve;
    const QualityEstimate &cheap = steps.cheap->estimate;
    const double margin = cheap.mean - lowerBound(cheap);
    const double escalatedScore
        = steps.expensivePenalty - steps.qualityPrice * lowerBound(steps.expensive);
    // Starts with all answers kept, then raises the threshold bin by bin.
    CascadePlan plan{ .score = steps.cheapPenalty - steps.qualityPrice * lowerBound(cheap),
                      .cost = steps.cheapCost,
                      .quality = cheap };
    std::optional<CascadePlan> best;
    for (std::size_t bin = 0; bin < confidenceBins; ++bin) {
        const double share = curve.share.at(bin);
        const double quality = cheap.mean + curve.offset.at(bin);
        plan.escalateBelow = static_cast<double>(bin + 1) / confidenceBins;
        plan.escalationShare += share;
        plan.score += share * (escalatedScore + steps.qualityPrice * (quality - margin));
        plan.cost += share * steps.expensiveCost;
        plan.quality.mean += share * (steps.expensive.mean - quality);
        plan.quality.deviation += share * (steps.expensive.deviation - cheap.deviation);
        if (share > 0 && lowerBound(plan.quality) >= steps.minQuality
            && (!best || plan.score < best->score)) {
            best = plan;
        }
    }
    return best;
}

std::string_view toString(EscalationReason reason)
{
    switch (reason) {
    case EscalationReason::GoodEnough:
        return "good_enough";
    case EscalationReason::NotGoodEnough:
        return "not_good_enough";
    case EscalationReason::KeptToLearn:
        return "kept_to_learn";
    case EscalationReason::NotAllowed:
        return "not_allowed";
    case EscalationReason::NoSignal:
        return "no_signal";
    case EscalationReason::NoCascade:
        break;
    }
    return "no_cascade";
}

EscalationDecision decideEscalation(const table::Snapshot &snapshot,
                                    const RolloutEvidenceStore &rollouts, const RequestFacts &facts,
                                    const VersionDecision &decision,
                                    std::optional<double> confidence,
                                    const TableFreshness &freshness)
{
    if (!decision.escalateTo)
        return { .reason = EscalationReason::NoCascade };
    if (!confidence)
        return { .reason = EscalationReason::NoSignal };
    if (*confidence >= decision.escalateBelow)
        return { .reason = EscalationReason::GoodEnough };
    if (!dispatchAllowed(snapshot, rollouts, facts.workspace, *decision.escalateTo, freshness))
        return { .reason = EscalationReason::NotAllowed };
    const double draw
        = static_cast<double>(kernel::rendezvousScore(facts.request.str(), "keep")) * 0x1.0p-64;
    if (draw < keptAnswerFraction)
        return { .reason = EscalationReason::KeptToLearn };
    return { .escalates = true, .reason = EscalationReason::NotGoodEnough };
}

} // namespace acaciasail::routing
