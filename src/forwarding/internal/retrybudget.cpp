#include "forwarding/internal/retrybudget.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// Fraction of the ratio that is used, so that the limit also holds in windows that start at other
// times.
constexpr double usedPartOfRatio = 0.9;
// Number of routers that may share the slack without coordination, and the upper bound of the slack
// that one router uses.
constexpr double daemonsSharingSlack = 10;
constexpr double mostSlack = 5;

void forgetBefore(std::deque<kernel::Instant> &times, kernel::Instant oldest)
{
    while (!times.empty() && times.front() <= oldest)
        times.pop_front();
}

} // namespace

void noteRequest(RetryBudget &budget, const RetryBounds &bounds, kernel::Instant now)
{
    forgetBefore(budget.requests, now - bounds.window);
    budget.requests.push_back(now);
}

bool takeRepeat(RetryBudget &budget, const RetryBounds &bounds, kernel::Instant now)
{
    forgetBefore(budget.requests, now - bounds.window);
    forgetBefore(budget.repeats, now - bounds.window);
    const double earned
        = bounds.ratio * usedPartOfRatio * static_cast<double>(budget.requests.size());
    const double allowed = earned + std::min(bounds.slack / daemonsSharingSlack, mostSlack);
    if (static_cast<double>(budget.repeats.size()) + 1 > allowed)
        return false;
    budget.repeats.push_back(now);
    return true;
}

} // namespace acaciasail::forwarding
