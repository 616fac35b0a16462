#include "routing/internal/scoredoptions.h"

#include <algorithm>
#include <cmath>

#include "routing/internal/cascade.h"
#include "routing/internal/eligibleversions.h"
#include "routing/internal/versionchoice.h"

namespace acaciasail::routing {

namespace {

/// Maximum fraction of requests that may explore an option. The fraction for an option is the
/// standard deviation of its quality estimate, if that is smaller.
constexpr double maxExplorationFraction = 0.1;
/// An option whose quality estimate has a smaller standard deviation than this is not explored.
constexpr double minExplorationDeviation = 0.015;
/// Lower and upper bound of the price of quality.
constexpr double minPrice = 1.0 / 64;
constexpr double maxPrice = 64;
constexpr int bisectionSteps = 10;
/// Maximum correction of the planned quality by the difference between ratings and expected
/// quality.
constexpr double maxResidualCorrection = 0.03;
/// Number of choices over which a deficit to the quality target is recovered.
constexpr double deficitRecoveryChoices = 2000;
/// Maximum amount by which the planned quality exceeds the target in order to recover a deficit.
constexpr double maxDeficitCorrection = 0.01;

double meanLatency(const std::vector<Option> &options)
{
    double sum = 0;
    double count = 0;
    for (const Option &option : options) {
        if (option.versionQuality != nullptr && option.versionQuality->latencySeconds > 0) {
            sum += option.versionQuality->latencySeconds;
            count += 1;
        }
    }
    return count > 0 ? sum / count : 0;
}

// Cost is measured in units of the workspace's mean cost of the most expensive option, latency in
// units of the options' mean latency. A version of unknown latency gets the mean latency.
void setPenalties(ScoredOptions &scored, const QualityPriceState *priceState)
{
    const bool hasMeanHighestCost = priceState != nullptr && priceState->meanHighestCost > 0;
    const double scale = hasMeanHighestCost ? priceState->meanHighestCost : scored.highestCost;
    const double latencyScale = meanLatency(scored.options);
    for (Option &option : scored.options) {
        const bool hasLatency
            = option.versionQuality != nullptr && option.versionQuality->latencySeconds > 0;
        const double latency
            = hasLatency ? option.versionQuality->latencySeconds / latencyScale : 1;
        option.penalty = scored.workspace->latencyWeight * latency;
        if (scale > 0)
            option.penalty += scored.workspace->costWeight * option.cost / scale;
    }
}

// Returns the lowest price of quality at which the best option of this single request reaches the
// target.
double priceForTarget(const ScoredOptions &scored)
{
    const double target = scored.workspace->qualityTarget;
    const Option *bestAtTarget = nullptr;
    for (const Option &option : scored.options) {
        if (lowerBound(option.quality) >= target
            && (bestAtTarget == nullptr || option.penalty < bestAtTarget->penalty)) {
            bestAtTarget = &option;
        }
    }
    if (bestAtTarget == nullptr)
        return maxPrice;
    double price = minPrice;
    for (const Option &option : scored.options) {
        const double gain = lowerBound(bestAtTarget->quality) - lowerBound(option.quality);
        if (gain > 0 && option.penalty < bestAtTarget->penalty)
            price = std::max(price, (bestAtTarget->penalty - option.penalty) / gain);
    }
    return std::min(price, maxPrice);
}

Option makeOption(const QualityEstimates &quality, const table::WorkspaceRow &workspace,
                  const RequestFacts &facts, const table::VersionRow &version,
                  const KindQuality *kind)
{
    Option option{ .version = &version,
                   .cost = costOf(version, facts.inputTokens, facts.expectedOutput) };
    if (kind != nullptr) {
        const auto found = kind->versions.find(version.id);
        option.versionQuality = found == kind->versions.end() ? nullptr : &found->second;
    }
    option.quality = option.versionQuality != nullptr
                         ? option.versionQuality->estimate
                         : estimateQuality(quality, version, workspace.id, facts.kind);
    return option;
}

/// A direct option or a cascade to answer a request.
struct Choice
{
    const Option *first = nullptr;
    /// Second version of a cascade; null for a direct answer.
    const Option *second = nullptr;
    CascadePlan plan;
    /// The minimum quality can be reached.
    bool reached = true;
};

double minQuality(const ScoredOptions &scored)
{
    return scored.workspace->qualityTarget - maxKindShortfall;
}

// Returns the option with the best score among those whose quality reaches the minimum, or null if
// none does.
const Option *bestReachingMinimum(const ScoredOptions &scored, const Option *except)
{
    const double minimum = minQuality(scored);
    const Option *best = nullptr;
    for (const Option &option : scored.options) {
        if (&option != except && lowerBound(option.quality) >= minimum
            && (best == nullptr || scored.score(option) < scored.score(*best))) {
            best = &option;
        }
    }
    return best;
}

Choice directChoice(const ScoredOptions &scored)
{
    Choice choice{ .first = bestReachingMinimum(scored, nullptr) };
    if (choice.first == nullptr) {
        choice.reached = false;
        choice.first = &*std::ranges::max_element(
            scored.options, {}, [](const Option &option) { return option.quality.mean; });
    }
    choice.plan = { .score = scored.score(*choice.first),
                    .cost = choice.first->cost,
                    .quality = choice.first->quality };
    return choice;
}

void considerCascade(const ScoredOptions &scored, const Option &cheap, const Option &expensive,
                     Choice &best)
{
    if (cheap.versionQuality == nullptr || cheap.cost >= expensive.cost)
        return;
    const CascadeSteps steps{ .cheap = cheap.versionQuality,
                              .cheapCost = cheap.cost,
                              .cheapPenalty = cheap.penalty,
                              .expensive = expensive.versionQuality == nullptr
                                               ? expensive.quality
                                               : expensive.versionQuality->escalated,
                              .expensiveCost = expensive.cost,
                              .expensivePenalty = expensive.penalty,
                              .qualityPrice = scored.price,
                              .minQuality = minQuality(scored) };
    const auto plan = planCascade(steps);
    if (plan && plan->score < best.plan.score)
        best = { .first = &cheap, .second = &expensive, .plan = *plan };
}

bool cascadeAllowed(const table::WorkspaceRow &workspace, const RequestFacts &facts)
{
    return !facts.inSession && !facts.model
           && !(facts.rank == table::Rank::Urgent && workspace.urgentSkipsCascade);
}

// For a given price of quality, the best second step is the best direct option, or the next best
// option if the best one is the first step.
Choice bestChoice(const ScoredOptions &scored, const RequestFacts &facts)
{
    const Choice direct = directChoice(scored);
    if (!direct.reached || !cascadeAllowed(*scored.workspace, facts))
        return direct;
    Choice best = direct;
    const Option *next = bestReachingMinimum(scored, direct.first);
    for (const Option &cheap : scored.options) {
        const Option *expensive = &cheap == direct.first ? next : direct.first;
        if (expensive != nullptr)
            considerCascade(scored, cheap, *expensive, best);
    }
    return best;
}

double explorationDraw(const RequestFacts &facts)
{
    return static_cast<double>(kernel::rendezvousScore(facts.request.str(), "trial")) * 0x1.0p-64;
}

/// A recent request with its scored options.
struct PlannedRequest
{
    const RequestFacts *facts = nullptr;
    ScoredOptions scored;
};

std::vector<PlannedRequest> scoreRecentRequests(const table::Snapshot &snapshot,
                                                const QualityEstimates &quality,
                                                const table::WorkspaceRow &workspace,
                                                const QualityPriceState &priceState)
{
    std::vector<PlannedRequest> planned;
    planned.reserve(priceState.recent.size());
    for (const RequestFacts &facts : priceState.recent) {
        const EligibleVersions eligible
            = collectEligibleVersions(snapshot, {}, workspace, facts, {});
        if (!eligible.versions.empty())
            planned.push_back(
                { &facts, scoreOptions(quality, workspace, facts, eligible.versions) });
    }
    return planned;
}

double meanQualityAt(std::vector<PlannedRequest> &planned, double price)
{
    double sum = 0;
    for (PlannedRequest &request : planned) {
        request.scored.price = price;
        sum += lowerBound(bestChoice(request.scored, *request.facts).plan.quality);
    }
    return sum / static_cast<double>(planned.size());
}

} // namespace

double ScoredOptions::score(const Option &option) const
{
    return option.penalty - price * lowerBound(option.quality);
}

ScoredOptions scoreOptions(const QualityEstimates &quality, const table::WorkspaceRow &workspace,
                           const RequestFacts &facts,
                           const std::vector<const table::VersionRow *> &versions)
{
    ScoredOptions scored{ .workspace = &workspace };
    const KindQuality *kind = nullptr;
    const QualityPriceState *priceState = nullptr;
    if (const auto found = quality.workspaces.find(workspace.id);
        found != quality.workspaces.end()) {
        priceState = found->second.priceState.choices > 0 ? &found->second.priceState : nullptr;
        const auto kindQuality = found->second.kinds.find(facts.kind);
        kind = kindQuality == found->second.kinds.end() ? nullptr : &kindQuality->second;
    }
    scored.options.reserve(versions.size());
    for (const table::VersionRow *version : versions) {
        scored.options.push_back(makeOption(quality, workspace, facts, *version, kind));
        scored.highestCost = std::max(scored.highestCost, scored.options.back().cost);
    }
    setPenalties(scored, priceState);
    scored.price = priceState == nullptr ? priceForTarget(scored) : priceState->price;
    return scored;
}

VersionDecision decisionFor(const ScoredOptions &scored, const Option &option, VersionReason reason)
{
    return { .reason = reason,
             .version = option.version->id,
             .expectedCost = option.cost,
             .expectedQuality = option.quality.mean,
             .qualityBound = lowerBound(option.quality),
             .highestCost = scored.highestCost,
             .score = scored.score(option) };
}

VersionDecision chooseByPrice(const ScoredOptions &scored, const RequestFacts &facts)
{
    const Choice choice = bestChoice(scored, facts);
    VersionDecision decision
        = decisionFor(scored, *choice.first,
                      choice.reached ? VersionReason::LowestCost : VersionReason::BestQuality);
    if (choice.second == nullptr)
        return decision;
    decision.reason = VersionReason::Cascade;
    decision.escalateTo = choice.second->version->id;
    decision.escalateBelow = choice.plan.escalateBelow;
    decision.expectedCost = choice.plan.cost;
    decision.expectedQuality = choice.plan.quality.mean;
    decision.qualityBound = lowerBound(choice.plan.quality);
    decision.score = choice.plan.score;
    return decision;
}

const Option *optionToExplore(const ScoredOptions &scored, const RequestFacts &facts,
                              const VersionDecision &chosen)
{
    const double chosenScore = chosen.score;
    const double draw = explorationDraw(facts);
    if (facts.rank == table::Rank::Urgent || draw >= maxExplorationFraction)
        return nullptr;
    const Option *best = nullptr;
    double bestScore = chosenScore;
    for (const Option &option : scored.options) {
        if (option.version->id == chosen.version
            || option.quality.deviation < minExplorationDeviation || option.quality.deviation < draw
            || upperBound(option.quality) < minQuality(scored)) {
            continue;
        }
        const double score = option.penalty - scored.price * upperBound(option.quality);
        if (score < bestScore) {
            best = &option;
            bestScore = score;
        }
    }
    return best;
}

double planPrice(const table::Snapshot &snapshot, const QualityEstimates &quality,
                 const kernel::WorkspaceId &workspace)
{
    const auto row = snapshot.workspaces.find(workspace);
    const auto workspaceQuality = quality.workspaces.find(workspace);
    if (row == snapshot.workspaces.end() || workspaceQuality == quality.workspaces.end())
        return maxPrice;
    const QualityPriceState &priceState = workspaceQuality->second.priceState;
    auto planned = scoreRecentRequests(snapshot, quality, row->second, priceState);
    if (planned.empty())
        return priceState.price;
    const double deficitCorrection
        = std::min(priceState.qualityDeficit / deficitRecoveryChoices, maxDeficitCorrection);
    const double ratingResidual = std::clamp(meanRatingResidual(workspaceQuality->second),
                                             -maxResidualCorrection, maxResidualCorrection);
    const double targetQuality = row->second.qualityTarget + deficitCorrection - ratingResidual;
    // Bisection on a logarithmic scale, which works because the mean quality grows with the price.
    double low = minPrice;
    double high = maxPrice;
    for (int i = 0; i < bisectionSteps; ++i) {
        const double middle = std::sqrt(low * high);
        (meanQualityAt(planned, middle) >= targetQuality ? high : low) = middle;
    }
    return high;
}

} // namespace acaciasail::routing
