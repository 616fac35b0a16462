#pragma once

#include <deque>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Limits on the retries to one service, over all routers together.
struct RetryLimits
{
    /// Retries allowed for each request of the window.
    double ratio = 0.5;
    /// Retries allowed in a window in addition to the ratio.
    double slack = 10;
    kernel::Duration window = std::chrono::seconds(10);
};

/// One router's share of a service's retry budget.
///
/// Routers do not coordinate: each router limits its retries in proportion to its own
/// requests, so the sum over all routers stays below the limit for all requests.
struct RetryBudget
{
    std::deque<kernel::Instant> requests;
    std::deque<kernel::Instant> retries;
};

/// Records that a caller's request for the service arrived.
void recordRequest(RetryBudget &budget, const RetryLimits &bounds, kernel::Instant now);

/// Takes one retry from the budget. Returns false, and takes nothing, if the budget is spent.
bool takeRetry(RetryBudget &budget, const RetryLimits &bounds, kernel::Instant now);

} // namespace acaciasail::forwarding
