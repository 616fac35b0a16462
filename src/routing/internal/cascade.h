#pragma once

#include <optional>
#include <string_view>

#include "routing/internal/facts.h"
#include "routing/internal/quality.h"
#include "routing/internal/rollouts.h"

namespace acaciasail::routing {

/// Why an engine finished a response.
enum class FinishReason {
    Stop,
    Length,
    ContentFilter,
    Unknown,
};

/// Signals about the quality of an answer that are known as soon as it has finished.
struct AnswerQualitySignals
{
    FinishReason finish = FinishReason::Unknown;
    /// The version's own rating of its answer, or its mean token probability; between 0 and 1.
    std::optional<double> selfRating;
    std::int64_t outputTokens = 0;
};

/// Returns the confidence in an answer, between 0 and 1, or nothing if nothing is known. An empty
/// or filtered answer has confidence 0 whatever the version's own rating is; the confidence of a
/// truncated answer is capped.
std::optional<double> answerConfidence(const AnswerQualitySignals &signal);

/// Expected cost, quality and score of a cascade with its escalation threshold.
struct CascadePlan
{
    /// Expected penalty for cost and latency, minus the price of quality times the lower bound of
    /// the expected quality; lower is better.
    double score = 0;
    double cost = 0;
    QualityEstimate quality;
    double escalateBelow = 0;
    /// Expected fraction of answers that escalate.
    double escalationShare = 0;
};

/// The two versions of a cascade for one request. Option::penalty explains the penalties.
struct CascadeSteps
{
    const VersionQuality *cheap = nullptr;
    double cheapCost = 0;
    double cheapPenalty = 0;
    QualityEstimate expensive;
    double expensiveCost = 0;
    double expensivePenalty = 0;
    /// Price of quality: the penalty that is accepted for an increase of the quality by 1.
    double qualityPrice = 0;
    /// Minimum of the lower bound of the cascade's quality.
    double minQuality = 0;
};

/// Returns the cascade with the best escalation threshold at this price of quality, among the
/// thresholds that reach the minimum quality. Returns nothing if no threshold does.
std::optional<CascadePlan> planCascade(const CascadeSteps &steps);

/// Why the first answer of a cascade is escalated or kept.
enum class EscalationReason {
    GoodEnough,
    /// The confidence is below the plan's threshold.
    NotGoodEnough,
    /// The answer is kept to learn how answers of low confidence are rated.
    KeptToLearn,
    /// The second version is no longer allowed.
    NotAllowed,
    /// Nothing is known about the quality of the answer.
    NoSignal,
    /// The decision has no second version.
    NoCascade,
};

std::string_view toString(EscalationReason reason);

struct EscalationDecision
{
    bool escalates = false;
    EscalationReason reason = EscalationReason::NoCascade;
};

/// Decides whether the first answer of a cascade is escalated, by the current state of the table.
EscalationDecision decideEscalation(const table::Snapshot &snapshot,
                                    const RolloutEvidenceStore &rollouts, const RequestFacts &facts,
                                    const VersionDecision &decision,
                                    std::optional<double> confidence,
                                    const TableFreshness &freshness);

} // namespace acaciasail::routing
