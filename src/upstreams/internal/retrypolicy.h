#pragma once

#include "kernel/kernel.h"

namespace acaciasail::upstreams {

/// Limits retries to a fraction of the traffic, so that retries can't amplify a fault.
struct RetryBudget
{
    /// Retries added to the budget by each first attempt.
    double retriesPerFirstAttempt = 0.1;
    /// Maximum number of retries in the budget.
    double capacity = 20;
    double balance = 20;
};

/// Records a first attempt, which adds to the budget.
void depositRetry(RetryBudget &budget);

/// Takes one retry from the budget. Returns false if the budget holds less than one.
bool withdrawRetry(RetryBudget &budget);

/// Facts about a failed attempt that the decision on a retry needs.
struct FailedAttempt
{
    kernel::ResultCode code = kernel::ResultCode::UpstreamBroken;
    kernel::RunState runState = kernel::RunState::Unknown;
    /// The upstream crashed during the attempt.
    bool crashed = false;
    /// Part of the response has gone to the caller and can't be continued at another upstream.
    bool responseStarted = false;
    /// Counts from 1.
    int attempt = 1;
    int maxAttempts = 3;
    bool idempotent = true;
    kernel::Duration timeLeft{};
    /// Number of crashes of upstreams while they ran the request, including the current one.
    int unclearedCrashes = 0;
};

enum class FollowUp {
    Retry,
    /// Retry at an upstream that has no other attempt of this router in flight.
    RetryIsolated,
    GiveUp,
    RefuseAsPoison,
};

/// What follows a failed attempt, with the reason for the log.
struct RetryDecision
{
    FollowUp followUp = FollowUp::GiveUp;
    const char *reason = "";
};

/// Decides what follows a failed attempt. A decision to retry takes one retry from the budget.
RetryDecision decideRetry(const FailedAttempt &failed, RetryBudget &budget);

/// Combines the run states of two attempts of one request.
kernel::RunState combineRunStates(kernel::RunState a, kernel::RunState b);

} // namespace acaciasail::upstreams
