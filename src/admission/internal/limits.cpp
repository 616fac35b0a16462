#include "admission/internal/limits.h"

#include <algorithm>
#include <array>

namespace acaciasail::admission {

namespace {

constexpr double secondsPerMinute = 60;
constexpr auto sweepInterval = std::chrono::seconds(1);
/// Requests per second below which a subject counts as idle.
constexpr double idleDemand = 0.001;

double tokensPerSecond(const table::LimitRow &row)
{
    return static_cast<double>(row.tokensPerMinute.count()) / secondsPerMinute;
}

bool sameLimit(const table::LimitRow &a, const table::LimitRow &b)
{
    return a.requestsPerSecond == b.requestsPerSecond && a.tokensPerMinute == b.tokensPerMinute
           && a.concurrency == b.concurrency;
}

double requestBurst(const LimitUse &use, double burstSeconds)
{
    return std::max(1.0, use.row.requestsPerSecond * use.fraction * burstSeconds);
}

double tokenBurst(const LimitUse &use, double burstSeconds)
{
    return std::max(1.0, tokensPerSecond(use.row) * use.fraction * burstSeconds);
}

LimitUse makeUse(const table::LimitRow &row, double fraction, double burstSeconds,
                 kernel::Instant now)
{
    LimitUse use{ .row = row, .fraction = fraction };
    use.requests
        = makeBucket(row.requestsPerSecond * fraction, requestBurst(use, burstSeconds), now);
    use.tokens = makeBucket(tokensPerSecond(row) * fraction, tokenBurst(use, burstSeconds), now);
    return use;
}

/// Adapts the buckets to an edited row or to a changed fraction of this daemon.
void updateUse(LimitUse &use, const table::LimitRow &row, double fraction, double burstSeconds,
               kernel::Instant now)
{
    if (use.fraction != fraction || !sameLimit(use.row, row)) {
        use.row = row;
        use.fraction = fraction;
        resizeBucket(use.requests, row.requestsPerSecond * fraction,
                     requestBurst(use, burstSeconds), now);
        resizeBucket(use.tokens, tokensPerSecond(row) * fraction, tokenBurst(use, burstSeconds),
                     now);
    }
    refill(use.requests, now);
    refill(use.tokens, now);
}

LimitUse &trackUse(LimitState &state, const AdmissionConfig &config, const table::LimitRow &row,
                   const LimitSubject &subject, kernel::Instant now)
{
    const double fraction = shareOf(state.shares, subject);
    const double burstSeconds = kernel::toSeconds(config.limitBurst);
    const auto [entry, added]
        = state.uses.try_emplace(subject, makeUse(row, fraction, burstSeconds, now));
    if (!added)
        updateUse(entry->second, row, fraction, burstSeconds, now);
    return entry->second;
}

/// Returns the number of requests that this daemon may have in progress; at least one.
std::int64_t concurrencyShare(const LimitUse &use)
{
    const double share = static_cast<double>(use.row.concurrency) * use.fraction;
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(share + 1e-9));
}

std::optional<LimitRefusal> check(const LimitUse &use, const Ask &ask, bool ofCaller)
{
    if (use.row.concurrency > 0 && use.inProgress >= concurrencyShare(use)) {
        return LimitRefusal{ kernel::ResultCode::ConcurrencyLimited,
                             ofCaller ? AdmissionReason::CallerConcurrency
                                      : AdmissionReason::WorkspaceConcurrency };
    }
    if (use.row.requestsPerSecond > 0 && !canTake(use.requests, 1)) {
        return LimitRefusal{ kernel::ResultCode::RateLimited,
                             ofCaller ? AdmissionReason::CallerRequestRate
                                      : AdmissionReason::WorkspaceRequestRate,
                             timeUntil(use.requests, 1) };
    }
    const auto cost = static_cast<double>(ask.estimate.count());
    if (use.row.tokensPerMinute.count() > 0 && !canTake(use.tokens, cost)) {
        return LimitRefusal{ kernel::ResultCode::TokenLimited,
                             ofCaller ? AdmissionReason::CallerTokenRate
                                      : AdmissionReason::WorkspaceTokenRate,
                             timeUntil(use.tokens, cost) };
    }
    return std::nullopt;
}

void countDemand(LimitUse &use, const Ask &ask, kernel::Instant now)
{
    addToRate(use.requestDemand, 1, now);
    addToRate(use.tokenDemand, static_cast<double>(ask.estimate.count()), now);
}

void take(LimitUse &use, const Ask &ask)
{
    if (use.row.requestsPerSecond > 0)
        use.requests.level -= 1;
    if (use.row.tokensPerMinute.count() > 0)
        use.tokens.level -= static_cast<double>(ask.estimate.count());
    ++use.inProgress;
}

std::array<LimitSubject, 2> subjectsOf(const Ask &ask)
{
    return { LimitSubject{ table::LimitScope::Caller, ask.caller.str() },
             LimitSubject{ table::LimitScope::Workspace, ask.workspace.str() } };
}

struct LimitCost
{
    double requests = 0;
    double tokens = 0;
};

void release(LimitUse &use, LimitCost unused, kernel::Instant now)
{
    refill(use.requests, now);
    refill(use.tokens, now);
    use.requests.level = std::min(use.requests.level + unused.requests, use.requests.burst);
    use.tokens.level = std::min(use.tokens.level + unused.tokens, use.tokens.burst);
    --use.inProgress;
}

void releaseAll(LimitState &state, const Ask &ask, LimitTicket ticket, LimitCost unused,
                kernel::Instant now)
{
    if (!ticket.caller && !ticket.workspace)
        return;
    const auto subjects = subjectsOf(ask);
    if (ticket.caller)
        release(state.uses.at(subjects[0]), unused, now);
    if (ticket.workspace)
        release(state.uses.at(subjects[1]), unused, now);
}

bool isFullAt(TokenBucket bucket, kernel::Instant now)
{
    refill(bucket, now);
    return isFull(bucket);
}

/// Returns whether the subject uses nothing of its limits. The bucket of a kind without a limit
/// counts as full.
bool isIdle(const LimitUse &use, kernel::Instant now)
{
    const bool requestsFull = use.row.requestsPerSecond <= 0 || isFullAt(use.requests, now);
    const bool tokensFull = use.row.tokensPerMinute.count() <= 0 || isFullAt(use.tokens, now);
    return use.inProgress == 0 && requestsFull && tokensFull
           && rateAt(use.requestDemand, now) < idleDemand;
}

} // namespace

double shareOf(const LimitShares &shares, const LimitSubject &subject)
{
    const auto entry = shares.fractions.find(subject);
    return entry != shares.fractions.end() ? entry->second : shares.defaultFraction;
}

std::variant<LimitTicket, LimitRefusal> takeFromLimits(LimitState &state,
                                                       const AdmissionConfig &config,
                                                       const table::Snapshot &snapshot,
                                                       const Ask &ask, kernel::Instant now)
{
    const auto callerRow = snapshot.callerLimits.find(ask.caller);
    const auto workspaceRow = snapshot.workspaceLimits.find(ask.workspace);
    if (callerRow == snapshot.callerLimits.end()
        && workspaceRow == snapshot.workspaceLimits.end()) {
        return LimitTicket{};
    }
    const auto subjects = subjectsOf(ask);
    LimitUse *caller = nullptr;
    LimitUse *workspace = nullptr;
    if (callerRow != snapshot.callerLimits.end())
        caller = &trackUse(state, config, callerRow->second, subjects[0], now);
    if (workspaceRow != snapshot.workspaceLimits.end())
        workspace = &trackUse(state, config, workspaceRow->second, subjects[1], now);
    for (LimitUse *use : { caller, workspace }) {
        if (use == nullptr)
            continue;
        countDemand(*use, ask, now);
    }
    for (LimitUse *use : { caller, workspace }) {
        if (use == nullptr)
            continue;
        if (const auto refusal = check(*use, ask, use == caller))
            return *refusal;
    }
    for (LimitUse *use : { caller, workspace }) {
        if (use != nullptr)
            take(*use, ask);
    }
    return LimitTicket{ .caller = caller != nullptr, .workspace = workspace != nullptr };
}

void refundLimits(LimitState &state, const Ask &ask, LimitTicket ticket, kernel::Instant now)
{
    releaseAll(state, ask, ticket, LimitCost{ 1, static_cast<double>(ask.estimate.count()) }, now);
}

void settleLimits(LimitState &state, const Ask &ask, LimitTicket ticket, kernel::Tokens actual,
                  kernel::Instant now)
{
    const kernel::Tokens unused = ask.estimate - actual;
    releaseAll(state, ask, ticket, LimitCost{ 0, static_cast<double>(unused.count()) }, now);
}

double demandOf(const LimitState &state, const LimitSubject &subject, kernel::Instant now)
{
    const auto entry = state.uses.find(subject);
    if (entry == state.uses.end())
        return 0;
    const LimitUse &use = entry->second;
    double demand = 0;
    if (use.row.requestsPerSecond > 0)
        demand = rateAt(use.requestDemand, now) / use.row.requestsPerSecond;
    if (use.row.tokensPerMinute.count() > 0)
        demand = std::max(demand, rateAt(use.tokenDemand, now) / tokensPerSecond(use.row));
    if (use.row.concurrency > 0) {
        demand = std::max(demand, static_cast<double>(use.inProgress)
                                      / static_cast<double>(use.row.concurrency));
    }
    return demand;
}

void sweepLimits(LimitState &state, kernel::Instant now)
{
    if (now - state.lastSweep < sweepInterval)
        return;
    state.lastSweep = now;
    std::erase_if(state.uses, [now](const auto &entry) { return isIdle(entry.second, now); });
}

} // namespace acaciasail::admission
