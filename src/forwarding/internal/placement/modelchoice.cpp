#include "forwarding/internal/placement/modelchoice.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::forwarding {

namespace {

// Number of prompt tokens read in the time of one generated token, at a usual batch size.
constexpr double promptTokensPerOutputToken = 12;
// Expected output as a fraction of the output limit; callers request a higher limit than the output
// that they get.
constexpr double usedFractionOfMaxOutput = 0.5;

// Weight of the newest request in the share of late requests.
constexpr double lateFractionWeight = 0.02;
// Share of late requests from which a service counts as saturated.
constexpr double lateFractionWhenSaturated = 0.1;

// Saturation of the engines above which no model but the largest is asked for a better response.
constexpr double maxSaturationForMiddle = 0.2;

// Cost of a prompt token as a fraction of the cost of a generated token.
constexpr double promptTokenCost = 0.25;

double expectedOutput(const ModelWork &work)
{
    return usedFractionOfMaxOutput * static_cast<double>(work.maxOutputTokens);
}

// Returns the fraction of a request's cost that is in its output rather than in its prompt.
double outputCostFraction(const ModelWork &work)
{
    const double promptCost = promptTokenCost * static_cast<double>(work.promptTokens);
    const double total = promptCost + expectedOutput(work);
    return total > 0 ? expectedOutput(work) / total : 0;
}

// Returns the largest model above the current one that is expected to respond in time; empty if
// there is none. A middle model improves few responses, so it is asked only while the engines have
// time for it.
std::string largestInTime(const Route &route, const std::string &currentModel,
                          kernel::Duration objectiveLeft, double engineSaturation,
                          const ExpectedFirstEvents &expected)
{
    for (auto model = route.models.rbegin(); model != route.models.rend(); ++model) {
        const bool isLargest = model == route.models.rbegin();
        if (*model == currentModel || (!isLargest && engineSaturation > maxSaturationForMiddle))
            break;
        const auto known = expected.find(*model);
        if (known == expected.end() || known->second <= objectiveLeft)
            return *model;
    }
    return {};
}

} // namespace

void recordLateness(LateRequestRate &lateRequestRate, bool late)
{
    lateRequestRate.lateFraction
        += lateFractionWeight * ((late ? 1 : 0) - lateRequestRate.lateFraction);
}

double saturation(const LateRequestRate &lateRequestRate)
{
    return std::min(lateRequestRate.lateFraction / lateFractionWhenSaturated, 1.0);
}

std::string firstModel(const Route &route, const ModelWork &work)
{
    return route.models.empty() ? work.model : route.models.front();
}

std::string escalateTo(const Route &route, const ModelRules &rules, const ModelWork &work,
                       const std::string &currentModel, std::optional<int> confidence,
                       int sendsLeft, kernel::Duration objectiveLeft, double engineSaturation,
                       const ExpectedFirstEvents &expected)
{
    if (route.models.empty() || currentModel == route.models.back() || sendsLeft <= 0
        || !confidence)
        return {};
    const double base = std::lerp(rules.escalateBelow, rules.escalateBelowBusy, engineSaturation);
    const double threshold = base + rules.escalateBelowForAnswer * outputCostFraction(work);
    if (*confidence >= threshold)
        return {};
    if (kernel::toSeconds(objectiveLeft)
        < rules.minObjectiveFractionLeft * kernel::toSeconds(route.latencyObjective))
        return {};
    return largestInTime(route, currentModel, objectiveLeft, engineSaturation, expected);
}

int engineUrgency(int routeRank, int workspaceRank)
{
    constexpr int urgencyLevelsPerRouteRank = 3;
    constexpr int leastUrgent = 9;
    const int urgency = routeRank * urgencyLevelsPerRouteRank
                        + std::clamp(workspaceRank, 0, urgencyLevelsPerRouteRank - 1);
    return std::clamp(urgency, 0, leastUrgent);
}

double expectedWork(const ModelWork &work)
{
    return static_cast<double>(work.promptTokens)
           + promptTokensPerOutputToken * expectedOutput(work);
}

} // namespace acaciasail::forwarding
