#include "forwarding/internal/modelchoice.h"

namespace acaciasail::forwarding {

namespace {

// Tokens read in the time of one token generated, in a batch of usual size.
constexpr double readPerGenerated = 12;
// Callers ask for more output than they get.
constexpr double usedPartOfMaxOutput = 0.5;

} // namespace

std::string firstModel(const Route &route, const ModelWork &work)
{
    return route.models.empty() ? work.model : route.models.front();
}

std::string escalateTo(const Route &route, const ModelRules &rules, const std::string &asked,
                       std::optional<int> confidence, int sentLeft, kernel::Duration objectiveLeft)
{
    if (route.models.empty() || asked == route.models.back() || sentLeft <= 0 || !confidence)
        return {};
    if (*confidence >= rules.escalateBelow)
        return {};
    if (kernel::toSeconds(objectiveLeft)
        < rules.minObjectiveLeft * kernel::toSeconds(route.latencyObjective))
        return {};
    return route.models.back();
}

double expectedWork(const ModelWork &work)
{
    return static_cast<double>(work.promptTokens)
        + readPerGenerated * usedPartOfMaxOutput * static_cast<double>(work.maxOutputTokens);
}

} // namespace acaciasail::forwarding
