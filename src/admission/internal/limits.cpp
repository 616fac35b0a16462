#include "admission/internal/limits.h"

#include <algorithm>
#include <array>

namespace acaciasail::admission {

namespace {

constexpr double secondsPerMinute = 60;
constexpr auto sweepInterval = std::chrono::seconds(1);
/// Requests per second below which a subject counts as idle.
constexpr double idleRequestsPerSecond = 0.001;

double tokensPerSecond(const table::LimitRow &row)
{
    return static_cast<double>(row.tokensPerMinute.count()) / secondsPerMinute;
}

bool sameLimit(const table::LimitRow &a, const table::LimitRow &b)
{
    return a.requestsPerSecond == b.requestsPerSecond && a.tokensPerMinute == b.tokensPerMinute
           && a.concurrency == b.concurrency;
}

double requestBurst(const LimitUsage &usage, double burstSeconds)
{
    return std::max(1.0, usage.row.requestsPerSecond * usage.fraction * burstSeconds);
}

double tokenBurst(const LimitUsage &usage, double burstSeconds)
{
    return std::max(1.0, tokensPerSecond(usage.row) * usage.fraction * burstSeconds);
}

LimitUsage makeUsage(const table::LimitRow &row, double fraction, double burstSeconds,
                     kernel::Instant now)
{
    LimitUsage usage{ .row = row, .fraction = fraction };
    usage.requests
        = makeBucket(row.requestsPerSecond * fraction, requestBurst(usage, burstSeconds), now);
    usage.tokens
        = makeBucket(tokensPerSecond(row) * fraction, tokenBurst(usage, burstSeconds), now);
    return usage;
}

/// Adapts the buckets to an edited row or to a changed fraction of this daemon.
void updateUsage(LimitUsage &usage, const table::LimitRow &row, double fraction,
                 double burstSeconds, kernel::Instant now)
{
    if (usage.fraction != fraction || !sameLimit(usage.row, row)) {
        usage.row = row;
        usage.fraction = fraction;
        resizeBucket(usage.requests, row.requestsPerSecond * fraction,
                     requestBurst(usage, burstSeconds), now);
        resizeBucket(usage.tokens, tokensPerSecond(row) * fraction, tokenBurst(usage, burstSeconds),
                     now);
    }
    refill(usage.requests, now);
    refill(usage.tokens, now);
}

LimitUsage &trackUsage(LimitState &state, const AdmissionConfig &config, const table::LimitRow &row,
                       const LimitSubject &subject, kernel::Instant now)
{
    const double fraction = shareOf(state.shares, subject);
    const double burstSeconds = kernel::toSeconds(config.limitBurst);
    const auto [entry, added]
        = state.usages.try_emplace(subject, makeUsage(row, fraction, burstSeconds, now));
    if (!added)
        updateUsage(entry->second, row, fraction, burstSeconds, now);
    return entry->second;
}

/// Returns the number of requests that this daemon may have in progress; at least one.
std::int64_t concurrencyShare(const LimitUsage &usage)
{
    const double share = static_cast<double>(usage.row.concurrency) * usage.fraction;
    return std::max<std::int64_t>(1, static_cast<std::int64_t>(share + 1e-9));
}

std::optional<LimitRefusal> checkLimit(const LimitUsage &usage, const AdmissionRequest &ask,
                                       bool ofCaller)
{
    if (usage.row.concurrency > 0 && usage.inProgress >= concurrencyShare(usage)) {
        return LimitRefusal{ kernel::ResultCode::ConcurrencyLimited,
                             ofCaller ? AdmissionReason::CallerConcurrency
                                      : AdmissionReason::WorkspaceConcurrency };
    }
    if (usage.row.requestsPerSecond > 0 && !canTake(usage.requests, 1)) {
        return LimitRefusal{ kernel::ResultCode::RateLimited,
                             ofCaller ? AdmissionReason::CallerRequestRate
                                      : AdmissionReason::WorkspaceRequestRate,
                             timeUntil(usage.requests, 1) };
    }
    const auto cost = static_cast<double>(ask.estimate.count());
    if (usage.row.tokensPerMinute.count() > 0 && !canTake(usage.tokens, cost)) {
        return LimitRefusal{ kernel::ResultCode::TokenLimited,
                             ofCaller ? AdmissionReason::CallerTokenRate
                                      : AdmissionReason::WorkspaceTokenRate,
                             timeUntil(usage.tokens, cost) };
    }
    return std::nullopt;
}

void addToDemand(LimitUsage &usage, const AdmissionRequest &ask, kernel::Instant now)
{
    addToRate(usage.requestDemand, 1, now);
    addToRate(usage.tokenDemand, static_cast<double>(ask.estimate.count()), now);
}

void reserve(LimitUsage &usage, const AdmissionRequest &ask)
{
    if (usage.row.requestsPerSecond > 0)
        usage.requests.level -= 1;
    if (usage.row.tokensPerMinute.count() > 0)
        usage.tokens.level -= static_cast<double>(ask.estimate.count());
    ++usage.inProgress;
}

std::array<LimitSubject, 2> subjectsOf(const AdmissionRequest &ask)
{
    return { LimitSubject{ table::LimitScope::Caller, ask.caller.str() },
             LimitSubject{ table::LimitScope::Workspace, ask.workspace.str() } };
}

struct LimitAmounts
{
    double requests = 0;
    double tokens = 0;
};

void releaseUsage(LimitUsage &usage, LimitAmounts unused, kernel::Instant now)
{
    refill(usage.requests, now);
    refill(usage.tokens, now);
    usage.requests.level = std::min(usage.requests.level + unused.requests, usage.requests.burst);
    usage.tokens.level = std::min(usage.tokens.level + unused.tokens, usage.tokens.burst);
    --usage.inProgress;
}

void releaseReservation(LimitState &state, const AdmissionRequest &ask,
                        LimitReservation reservation, LimitAmounts unused, kernel::Instant now)
{
    if (!reservation.caller && !reservation.workspace)
        return;
    const auto subjects = subjectsOf(ask);
    if (reservation.caller)
        releaseUsage(state.usages.at(subjects[0]), unused, now);
    if (reservation.workspace)
        releaseUsage(state.usages.at(subjects[1]), unused, now);
}

bool isFullAt(TokenBucket bucket, kernel::Instant now)
{
    refill(bucket, now);
    return isFull(bucket);
}

/// Returns whether the subject uses nothing of its limits. If the request rate or the token rate is
/// not limited, the corresponding bucket counts as full.
bool isIdle(const LimitUsage &usage, kernel::Instant now)
{
    const bool requestsFull = usage.row.requestsPerSecond <= 0 || isFullAt(usage.requests, now);
    const bool tokensFull = usage.row.tokensPerMinute.count() <= 0 || isFullAt(usage.tokens, now);
    return usage.inProgress == 0 && requestsFull && tokensFull
           && rateAt(usage.requestDemand, now) < idleRequestsPerSecond;
}

} // namespace

double shareOf(const LimitShares &shares, const LimitSubject &subject)
{
    const auto entry = shares.fractions.find(subject);
    return entry != shares.fractions.end() ? entry->second : shares.defaultFraction;
}

std::variant<LimitReservation, LimitRefusal>
reserveLimits(LimitState &state, const AdmissionConfig &config, const table::Snapshot &snapshot,
              const AdmissionRequest &ask, kernel::Instant now)
{
    const auto callerRow = snapshot.callerLimits.find(ask.caller);
    const auto workspaceRow = snapshot.workspaceLimits.find(ask.workspace);
    if (callerRow == snapshot.callerLimits.end()
        && workspaceRow == snapshot.workspaceLimits.end()) {
        return LimitReservation{};
    }
    const auto subjects = subjectsOf(ask);
    LimitUsage *caller = nullptr;
    LimitUsage *workspace = nullptr;
    if (callerRow != snapshot.callerLimits.end())
        caller = &trackUsage(state, config, callerRow->second, subjects[0], now);
    if (workspaceRow != snapshot.workspaceLimits.end())
        workspace = &trackUsage(state, config, workspaceRow->second, subjects[1], now);
    for (LimitUsage *usage : { caller, workspace }) {
        if (usage == nullptr)
            continue;
        addToDemand(*usage, ask, now);
    }
    for (LimitUsage *usage : { caller, workspace }) {
        if (usage == nullptr)
            continue;
        if (const auto refusal = checkLimit(*usage, ask, usage == caller))
            return *refusal;
    }
    for (LimitUsage *usage : { caller, workspace }) {
        if (usage != nullptr)
            reserve(*usage, ask);
    }
    return LimitReservation{ .caller = caller != nullptr, .workspace = workspace != nullptr };
}

void refundLimits(LimitState &state, const AdmissionRequest &ask, LimitReservation reservation,
                  kernel::Instant now)
{
    releaseReservation(state, ask, reservation,
                       LimitAmounts{ 1, static_cast<double>(ask.estimate.count()) }, now);
}

void settleLimits(LimitState &state, const AdmissionRequest &ask, LimitReservation reservation,
                  kernel::Tokens actual, kernel::Instant now)
{
    const kernel::Tokens unused = ask.estimate - actual;
    releaseReservation(state, ask, reservation,
                       LimitAmounts{ 0, static_cast<double>(unused.count()) }, now);
}

double demandOf(const LimitState &state, const LimitSubject &subject, kernel::Instant now)
{
    const auto entry = state.usages.find(subject);
    if (entry == state.usages.end())
        return 0;
    const LimitUsage &usage = entry->second;
    double demand = 0;
    if (usage.row.requestsPerSecond > 0)
        demand = rateAt(usage.requestDemand, now) / usage.row.requestsPerSecond;
    if (usage.row.tokensPerMinute.count() > 0)
        demand = std::max(demand, rateAt(usage.tokenDemand, now) / tokensPerSecond(usage.row));
    if (usage.row.concurrency > 0) {
        demand = std::max(demand, static_cast<double>(usage.inProgress)
                                      / static_cast<double>(usage.row.concurrency));
    }
    return demand;
}

void sweepLimits(LimitState &state, kernel::Instant now)
{
    if (now - state.lastSweep < sweepInterval)
        return;
    state.lastSweep = now;
    std::erase_if(state.usages, [now](const auto &entry) { return isIdle(entry.second, now); });
}

} // namespace acaciasail::admission
