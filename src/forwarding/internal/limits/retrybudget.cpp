#include "forwarding/internal/limits/retrybudget.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// Fraction of the ratio that is used, so that the limit holds in every window of this length, also
// in one that does not end at the time of a check.
constexpr double usedFractionOfRatio = 0.9;
// Number of routers that may share the slack without coordination, and the upper bound of the slack
// that one router uses.
constexpr double routersSharingSlack = 10;
constexpr double maxSlack = 5;

void dropBefore(std::deque<kernel::Instant> &times, kernel::Instant oldest)
{
    while (!times.empty() && times.front() <= oldest)
        times.pop_front();
}

} // namespace

void recordRequest(RetryBudget &budget, const RetryLimits &bounds, kernel::Instant now)
{
    dropBefore(budget.requests, now - bounds.window);
    budget.requests.push_back(now);
}

bool takeRetry(RetryBudget &budget, const RetryLimits &bounds, kernel::Instant now)
{
    dropBefore(budget.requests, now - bounds.window);
    dropBefore(budget.retries, now - bounds.window);
    const double earned
        = bounds.ratio * usedFractionOfRatio * static_cast<double>(budget.requests.size());
    const double allowed = earned + std::min(bounds.slack / routersSharingSlack, maxSlack);
    if (static_cast<double>(budget.retries.size()) + 1 > allowed)
        return false;
    budget.retries.push_back(now);
    return true;
}

} // namespace acaciasail::forwarding
