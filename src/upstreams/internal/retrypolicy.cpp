#include "upstreams/internal/retrypolicy.h"

#include <algorithm>

#include "poison/poison.h"

namespace acaciasail::upstreams {

void depositRetry(RetryBudget &budget)
{
    budget.balance = std::min(budget.capacity, budget.balance + budget.retriesPerFirstAttempt);
}

bool withdrawRetry(RetryBudget &budget)
{
    if (budget.balance < 1)
        return false;
    budget.balance -= 1;
    return true;
}

RetryDecision decideRetry(const FailedAttempt &failed, RetryBudget &budget)
{
    if (failed.unclearedCrashes >= poison::poisonCrashThreshold)
        return { FollowUp::RefuseAsPoison, "crashed its upstreams" };
    if (failed.responseStarted)
        return { FollowUp::GiveUp, "answer begun" };
    if (failed.runState != kernel::RunState::NotRun && !failed.idempotent)
        return { FollowUp::GiveUp, "may have run and is not idempotent" };
    if (failed.attempt >= failed.maxAttempts)
        return { FollowUp::GiveUp, "attempts used up" };
    if (failed.timeLeft <= kernel::Duration::zero())
        return { FollowUp::GiveUp, "deadline passed" };
    if (!withdrawRetry(budget))
        return { FollowUp::GiveUp, "retry budget spent" };
    if (failed.crashed || failed.unclearedCrashes > 0)
        return { FollowUp::RetryIsolated, "suspect" };
    return { FollowUp::Retry, "another upstream may do" };
}

kernel::RunState combineRunStates(kernel::RunState a, kernel::RunState b)
{
    using kernel::RunState;
    if (a == RunState::Ran || b == RunState::Ran)
        return RunState::Ran;
    if (a == RunState::Unknown || b == RunState::Unknown)
        return RunState::Unknown;
    return RunState::NotRun;
}

} // namespace acaciasail::upstreams
