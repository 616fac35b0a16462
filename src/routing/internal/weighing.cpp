#include "routing/internal/weighing.h"

#include <algorithm>
#include <cmath>

#include "routing/internal/cascade.h"
#include "routing/internal/offers.h"
#include "routing/internal/versionchoice.h"

namespace acaciasail::routing {

namespace {

/// Maximum fraction of requests that may explore an option. The fraction for an option is its
/// deviation, if that is smaller.
constexpr double mostTrials = 0.1;
/// An option whose quality estimate has a smaller deviation than this is not explored.
constexpr double sureDeviation = 0.015;
/// Lower and upper bound of the price of quality.
constexpr double lowestPrice = 1.0 / 64;
constexpr double highestPrice = 64;
constexpr int planSteps = 10;
/// Maximum correction of the planned quality by the difference between ratings and expected
/// quality.
constexpr double mostSurprise = 0.03;
/// Number of choices over which a deficit to the quality target is recovered.
constexpr double repayChoices = 2000;
/// Maximum amount by which the planned quality exceeds the target in order to recover a deficit.
constexpr double mostRepaid = 0.01;

double meanLatency(const std::vector<Option> &options)
{
    double sum = 0;
    double count = 0;
    for (const Option &option : options) {
        if (option.known != nullptr && option.known->latencySeconds > 0) {
            sum += option.known->latencySeconds;
            count += 1;
        }
    }
    return count > 0 ? sum / count : 0;
}

// Cost is measured in units of the workspace's mean cost of the most expensive option, latency in
// units of the options' mean latency. A version of unknown latency gets the mean latency.
void setPenalties(Weighing &weighing, const QualityBalance *balance)
{
    const bool known = balance != nullptr && balance->costScale > 0;
    const double scale = known ? balance->costScale : weighing.dearestCost;
    const double latencyScale = meanLatency(weighing.options);
    for (Option &option : weighing.options) {
        const bool timed = option.known != nullptr && option.known->latencySeconds > 0;
        const double latency = timed ? option.known->latencySeconds / latencyScale : 1;
        option.penalty = weighing.workspace->latencyWeight * latency;
        if (scale > 0)
            option.penalty += weighing.workspace->costWeight * option.cost / scale;
    }
}

// Returns the lowest price of quality at which the best option of this single request reaches the
// target.
double priceForTarget(const Weighing &weighing)
{
    const double target = weighing.workspace->qualityTarget;
    const Option *reaching = nullptr;
    for (const Option &option : weighing.options) {
        if (lowerBound(option.quality) >= target
            && (reaching == nullptr || option.penalty < reaching->penalty)) {
            reaching = &option;
        }
    }
    if (reaching == nullptr)
        return highestPrice;
    double price = lowestPrice;
    for (const Option &option : weighing.options) {
        const double gain = lowerBound(reaching->quality) - lowerBound(option.quality);
        if (gain > 0 && option.penalty < reaching->penalty)
            price = std::max(price, (reaching->penalty - option.penalty) / gain);
    }
    return std::min(price, highestPrice);
}

Option makeOption(const QualityBook &quality, const table::WorkspaceRow &workspace,
                  const RequestFacts &facts, const table::VersionRow &version,
                  const KindQuality *kind)
{
    Option option{ .version = &version,
                   .cost = costOf(version, facts.inputTokens, facts.expectedOutput) };
    if (kind != nullptr) {
        const auto known = kind->versions.find(version.id);
        option.known = known == kind->versions.end() ? nullptr : &known->second;
    }
    option.quality = option.known != nullptr
                         ? option.known->estimate
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

double leastQuality(const Weighing &weighing)
{
    return weighing.workspace->qualityTarget - maxKindShortfall;
}

// Returns the option with the best score among those whose quality reaches the minimum, or null if
// none does.
const Option *bestGoodEnough(const Weighing &weighing, const Option *except)
{
    const double least = leastQuality(weighing);
    const Option *best = nullptr;
    for (const Option &option : weighing.options) {
        if (&option != except && lowerBound(option.quality) >= least
            && (best == nullptr || weighing.score(option) < weighing.score(*best))) {
            best = &option;
        }
    }
    return best;
}

Choice directChoice(const Weighing &weighing)
{
    Choice choice{ .first = bestGoodEnough(weighing, nullptr) };
    if (choice.first == nullptr) {
        choice.reached = false;
        choice.first = &*std::ranges::max_element(
            weighing.options, {}, [](const Option &option) { return option.quality.mean; });
    }
    choice.plan = { .score = weighing.score(*choice.first),
                    .cost = choice.first->cost,
                    .quality = choice.first->quality };
    return choice;
}

void tryCascade(const Weighing &weighing, const Option &cheap, const Option &dear, Choice &best)
{
    if (cheap.known == nullptr || cheap.cost >= dear.cost)
        return;
    const CascadeSteps steps{ .cheap = cheap.known,
                              .cheapCost = cheap.cost,
                              .cheapPenalty = cheap.penalty,
                              .dear = dear.known == nullptr ? dear.quality : dear.known->escalated,
                              .dearCost = dear.cost,
                              .dearPenalty = dear.penalty,
                              .qualityPrice = weighing.price,
                              .leastQuality = leastQuality(weighing) };
    const auto plan = planCascade(steps);
    if (plan && plan->score < best.plan.score)
        best = { .first = &cheap, .second = &dear, .plan = *plan };
}

bool cascadeWanted(const table::WorkspaceRow &workspace, const RequestFacts &facts)
{
    return !facts.inSession && !facts.model
           && !(facts.rank == table::Rank::Urgent && workspace.urgentSkipsCascade);
}

// For a given price of quality, the best second step is the best direct option, or the next best
// option if the best one is the first step.
Choice bestChoice(const Weighing &weighing, const RequestFacts &facts)
{
    const Choice direct = directChoice(weighing);
    if (!direct.reached || !cascadeWanted(*weighing.workspace, facts))
        return direct;
    Choice best = direct;
    const Option *next = bestGoodEnough(weighing, direct.first);
    for (const Option &cheap : weighing.options) {
        const Option *dear = &cheap == direct.first ? next : direct.first;
        if (dear != nullptr)
            tryCascade(weighing, cheap, *dear, best);
    }
    return best;
}

double trialDraw(const RequestFacts &facts)
{
    return static_cast<double>(kernel::rendezvousScore(facts.request.str(), "trial")) * 0x1.0p-64;
}

/// A recent request with its scored options.
struct PlannedRequest
{
    const RequestFacts *facts = nullptr;
    Weighing weighing;
};

std::vector<PlannedRequest> weighRecent(const table::Snapshot &snapshot, const QualityBook &quality,
                                        const table::WorkspaceRow &workspace,
                                        const QualityBalance &balance)
{
    std::vector<PlannedRequest> planned;
    planned.reserve(balance.recent.size());
    for (const RequestFacts &facts : balance.recent) {
        const Offers offers = collectOffers(snapshot, {}, workspace, facts, {});
        if (!offers.versions.empty())
            planned.push_back({ &facts, weigh(quality, workspace, facts, offers.versions) });
    }
    return planned;
}

double meanQualityAt(std::vector<PlannedRequest> &planned, double price)
{
    double sum = 0;
    for (PlannedRequest &request : planned) {
        request.weighing.price = price;
        sum += lowerBound(bestChoice(request.weighing, *request.facts).plan.quality);
    }
    return sum / static_cast<double>(planned.size());
}

} // namespace

double Weighing::score(const Option &option) const
{
    return option.penalty - price * lowerBound(option.quality);
}

Weighing weigh(const QualityBook &quality, const table::WorkspaceRow &workspace,
               const RequestFacts &facts, const std::vector<const table::VersionRow *> &versions)
{
    Weighing weighing{ .workspace = &workspace };
    const KindQuality *kind = nullptr;
    const QualityBalance *balance = nullptr;
    if (const auto found = quality.workspaces.find(workspace.id);
        found != quality.workspaces.end()) {
        balance = found->second.balance.choices > 0 ? &found->second.balance : nullptr;
        const auto ofKind = found->second.kinds.find(facts.kind);
        kind = ofKind == found->second.kinds.end() ? nullptr : &ofKind->second;
    }
    weighing.options.reserve(versions.size());
    for (const table::VersionRow *version : versions) {
        weighing.options.push_back(makeOption(quality, workspace, facts, *version, kind));
        weighing.dearestCost = std::max(weighing.dearestCost, weighing.options.back().cost);
    }
    setPenalties(weighing, balance);
    weighing.price = balance == nullptr ? priceForTarget(weighing) : balance->price;
    return weighing;
}

VersionDecision decisionFor(const Weighing &weighing, const Option &option, VersionReason reason)
{
    return { .reason = reason,
             .version = option.version->id,
             .expectedCost = option.cost,
             .expectedQuality = option.quality.mean,
             .qualityBound = lowerBound(option.quality),
             .dearestCost = weighing.dearestCost,
             .score = weighing.score(option) };
}

VersionDecision chooseByPrice(const Weighing &weighing, const RequestFacts &facts)
{
    const Choice choice = bestChoice(weighing, facts);
    VersionDecision decision
        = decisionFor(weighing, *choice.first,
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

const Option *optionToExplore(const Weighing &weighing, const RequestFacts &facts,
                              const VersionDecision &chosen)
{
    const double chosenScore = chosen.score;
    const double draw = trialDraw(facts);
    if (facts.rank == table::Rank::Urgent || draw >= mostTrials)
        return nullptr;
    const Option *best = nullptr;
    double bestScore = chosenScore;
    for (const Option &option : weighing.options) {
        if (option.version->id == chosen.version || option.quality.deviation < sureDeviation
            || option.quality.deviation < draw
            || upperBound(option.quality) < leastQuality(weighing)) {
            continue;
        }
        const double score = option.penalty - weighing.price * upperBound(option.quality);
        if (score < bestScore) {
            best = &option;
            bestScore = score;
        }
    }
    return best;
}

double planPrice(const table::Snapshot &snapshot, const QualityBook &quality,
                 const kernel::WorkspaceId &workspace)
{
    const auto row = snapshot.workspaces.find(workspace);
    const auto known = quality.workspaces.find(workspace);
    if (row == snapshot.workspaces.end() || known == quality.workspaces.end())
        return highestPrice;
    const QualityBalance &balance = known->second.balance;
    auto planned = weighRecent(snapshot, quality, row->second, balance);
    if (planned.empty())
        return balance.price;
    const double repaid = std::min(balance.owed / repayChoices, mostRepaid);
    const double surprise
        = std::clamp(expectedSurprise(known->second), -mostSurprise, mostSurprise);
    const double wanted = row->second.qualityTarget + repaid - surprise;
    // Bisection on a logarithmic scale, which works because the mean quality grows with the price.
    double low = lowestPrice;
    double high = highestPrice;
    for (int i = 0; i < planSteps; ++i) {
        const double middle = std::sqrt(low * high);
        (meanQualityAt(planned, middle) >= wanted ? high : low) = middle;
    }
    return high;
}

} // namespace acaciasail::routing
