#include "forwarding/internal/retrybudget.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// Part of the ratio that is used, so that windows which begin elsewhere keep the bound too.
constexpr double usedPartOfRatio = 0.9;
// Daemons that may share the slack without knowing of each other, and what one of them takes of a
// larger one.
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
