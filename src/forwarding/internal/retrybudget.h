#pragma once

#include <deque>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Bounds of repeated sends to one service, over all daemons together.
struct RetryBounds
{
    /// Repeats allowed for each request of the window.
    double ratio = 0.5;
    /// Repeats allowed in a window besides.
    double slack = 10;
    kernel::Duration window = std::chrono::seconds(10);
};

/// One daemon's part of a service's retry budget.
///
/// No daemon asks another: each keeps its repeats below a part of the bound that its own requests
/// earn, so the sum over all daemons stays below the bound of the sum.
struct RetryBudget
{
    std::deque<kernel::Instant> requests;
    std::deque<kernel::Instant> repeats;
};

/// A caller's request arrived for the service.
void noteRequest(RetryBudget &budget, const RetryBounds &bounds, kernel::Instant now);

/// Takes one repeat from the budget; false, and nothing taken, if none is left.
bool takeRepeat(RetryBudget &budget, const RetryBounds &bounds, kernel::Instant now);

} // namespace acaciasail::forwarding
