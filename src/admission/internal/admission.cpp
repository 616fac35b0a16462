#include "admission/internal/admission.h"

#include <algorithm>

#include "admission/internal/order.h"

namespace acaciasail::admission {

namespace {

const RankConfig &configOf(const AdmissionConfig &config, table::Rank rank)
{
    return config.ranks[static_cast<std::size_t>(rank)];
}

RankState &rankOf(PoolState &pool, table::Rank rank)
{
    return pool.ranks[static_cast<std::size_t>(rank)];
}

std::int64_t costOf(const AdmissionRequest &ask)
{
    return std::max<std::int64_t>(1, ask.estimate.count());
}

PoolState &poolOf(AdmissionState &state, const AdmissionConfig &config, const PoolId &pool)
{
    const auto [entry, added]
        = state.pools.try_emplace(pool, PoolState{ .capacity = config.defaultCapacity });
    return entry->second;
}

kernel::Duration boundRetryAfter(const AdmissionConfig &config, kernel::Duration wait)
{
    return std::clamp(wait, config.minRetryAfter, config.maxRetryAfter);
}

AdmissionDecision refuse(const AdmissionConfig &config, kernel::ResultCode code,
                         AdmissionReason reason, kernel::Duration wait)
{
    return AdmissionDecision{ .outcome = AdmissionOutcome::Refused,
                              .code = code,
                              .reason = reason,
                              .retryAfter = boundRetryAfter(config, wait) };
}

/// Returns the request's flow with the weights of its workspace and caller, or nullopt if the table
/// does not contain the caller in this workspace.
std::optional<FlowKey> flowOf(const table::Snapshot &snapshot, const AdmissionRequest &ask)
{
    const auto workspace = snapshot.workspaces.find(ask.workspace);
    const auto caller = snapshot.callers.find(ask.caller);
    if (workspace == snapshot.workspaces.end() || caller == snapshot.callers.end()
        || caller->second.workspace != ask.workspace) {
        return std::nullopt;
    }
    return FlowKey{ ask.workspace, ask.caller, workspace->second.share, caller->second.share };
}

kernel::Instant latestStartOf(const AdmissionConfig &config, const AdmissionRequest &ask)
{
    const kernel::Instant maxWaitEnd = ask.arrived + configOf(config, ask.rank).maxWait;
    if (ask.deadline == kernel::Instant::max())
        return maxWaitEnd;
    return std::min(maxWaitEnd, ask.deadline - ask.expectedRunTime);
}

/// Checks whether the queue of the rank has room for one more request of the caller. A caller may
/// occupy at most as much of the queue as is still free, so that other callers always find room.
std::optional<AdmissionReason> checkQueueRoom(const FairQueue &queue, const RankConfig &rank,
                                              const CallerQueueState &caller, std::int64_t cost)
{
    const std::int64_t freeRequests = rank.maxQueuedRequests - queue.requests();
    const std::int64_t freeCost = rank.maxQueuedTokens.count() - queue.cost();
    if (freeRequests < 1 || freeCost < cost)
        return AdmissionReason::RankQueueFull;
    if (caller.requests > 0 && (caller.requests >= freeRequests || caller.cost + cost > freeCost)) {
        return AdmissionReason::CallerQueueFull;
    }
    return std::nullopt;
}

/// Returns a refusal if the request may not be queued, or nullopt if the request may wait.
std::optional<AdmissionDecision> checkMayQueue(const PoolState &pool, const AdmissionConfig &config,
                                               const ActiveRequest &entry,
                                               const CallerQueueState &caller,
                                               kernel::Duration wait, kernel::Instant now)
{
    const AdmissionRequest &ask = entry.ask;
    const FairQueue &queue = pool.ranks[static_cast<std::size_t>(ask.rank)].queue;
    const auto full = checkQueueRoom(queue, configOf(config, ask.rank), caller, costOf(ask));
    if (full)
        return refuse(config, kernel::ResultCode::QueueFull, *full, wait);
    const double maxWaitSeconds
        = kernel::toSeconds(entry.latestStart - now) * config.maxAdmitWaitFraction;
    if (kernel::toSeconds(wait) > maxWaitSeconds) {
        return refuse(config, kernel::ResultCode::DeadlineUnreachable,
                      AdmissionReason::DeadlineUnreachable,
                      wait - kernel::fromSeconds(maxWaitSeconds));
    }
    return std::nullopt;
}

void markStarted(AdmissionState &state, PoolState &pool, const AdmissionConfig &config,
                 ActiveRequest &entry, kernel::Instant now)
{
    entry.running = true;
    entry.started = now;
    ++pool.running;
    state.latestStarts.erase({ entry.latestStart, entry.ask.request });
    chargeStart(pool, config, entry.ask.rank, static_cast<double>(costOf(entry.ask)), now);
}

/// Returns whether a request of the rank that arrives now would start without waiting.
bool mayStartAtOnce(const PoolState &pool, const AdmissionConfig &config, table::Rank rank)
{
    if (nextTurn(pool, config))
        return false;
    if (pool.running < pool.capacity)
        return true;
    return rank == table::Rank::Urgent && headroomFree(pool, config);
}

AdmissionDecision startAtOnce(AdmissionState &state, PoolState &pool, const AdmissionConfig &config,
                              ActiveRequest entry, kernel::Instant now)
{
    const bool withinCapacity = pool.running < pool.capacity;
    FairQueue &queue = rankOf(pool, entry.ask.rank).queue;
    queue.push(entry.flow, QueuedRequest{ entry.ask.request, costOf(entry.ask) },
               config.maxIdleFlows);
    queue.pop();
    const kernel::RequestId request = entry.ask.request;
    ActiveRequest &active = state.requests.emplace(request, std::move(entry)).first->second;
    markStarted(state, pool, config, active, now);
    return AdmissionDecision{ .outcome = AdmissionOutcome::Admitted,
                              .reason = withinCapacity ? AdmissionReason::CapacityFree
                                                       : AdmissionReason::UrgentHeadroom };
}

AdmissionDecision enqueue(AdmissionState &state, PoolState &pool, const AdmissionConfig &config,
                          ActiveRequest entry, kernel::Duration wait)
{
    const kernel::RequestId request = entry.ask.request;
    rankOf(pool, entry.ask.rank)
        .queue.push(entry.flow, QueuedRequest{ request, costOf(entry.ask) }, config.maxIdleFlows);
    state.latestStarts.insert({ entry.latestStart, request });
    state.requests.emplace(request, std::move(entry));
    return AdmissionDecision{ .outcome = AdmissionOutcome::Queued,
                              .reason = AdmissionReason::WaitsForCapacity,
                              .expectedWait = wait };
}

/// Starts, queues or refuses a request that has passed its rate and concurrency limits.
AdmissionDecision startQueueOrRefuse(AdmissionState &state, const AdmissionConfig &config,
                                     ActiveRequest entry, kernel::Instant now)
{
    PoolState &pool = poolOf(state, config, entry.ask.pool);
    if (now > entry.latestStart) {
        refundLimits(state.limits, entry.ask, entry.reservation, now);
        return refuse(config, kernel::ResultCode::DeadlineUnreachable,
                      AdmissionReason::DeadlineUnreachable, kernel::Duration::zero());
    }
    if (mayStartAtOnce(pool, config, entry.ask.rank))
        return startAtOnce(state, pool, config, std::move(entry), now);
    const CallerQueueState caller = rankOf(pool, entry.ask.rank).queue.callerStateOf(entry.flow);
    const auto ownCost = static_cast<double>(caller.cost + costOf(entry.ask));
    const kernel::Duration wait = expectedWait(pool, config, entry.ask.rank, caller, ownCost, now);
    if (const auto refusal = checkMayQueue(pool, config, entry, caller, wait, now)) {
        refundLimits(state.limits, entry.ask, entry.reservation, now);
        return *refusal;
    }
    return enqueue(state, pool, config, std::move(entry), wait);
}

/// Removes a waiting request from its queue, refunds its limits and refuses the request.
ReleasedRequest refuseQueued(AdmissionState &state, const AdmissionConfig &config,
                             const kernel::RequestId &request, AdmissionReason reason,
                             kernel::Duration wait, kernel::Instant now)
{
    const auto found = state.requests.find(request);
    ActiveRequest entry = std::move(found->second);
    state.requests.erase(found);
    state.latestStarts.erase({ entry.latestStart, request });
    rankOf(state.pools.at(entry.ask.pool), entry.ask.rank).queue.remove(entry.flow, request);
    refundLimits(state.limits, entry.ask, entry.reservation, now);
    const bool passed = reason == AdmissionReason::DeadlinePassed;
    const auto code
        = passed ? kernel::ResultCode::DeadlinePassed : kernel::ResultCode::DeadlineUnreachable;
    const kernel::Duration waited = now - entry.ask.arrived;
    return ReleasedRequest{ std::move(entry.ask), refuse(config, code, reason, wait), waited };
}

void refuseExpired(AdmissionState &state, const AdmissionConfig &config, kernel::Instant now,
                   std::vector<ReleasedRequest> &releases)
{
    while (!state.latestStarts.empty() && state.latestStarts.begin()->first <= now) {
        const kernel::RequestId request = state.latestStarts.begin()->second;
        releases.push_back(refuseQueued(state, config, request, AdmissionReason::DeadlinePassed,
                                        kernel::Duration::zero(), now));
    }
}

/// A waiting request that can no longer start in time.
struct UnmeetableRequest
{
    kernel::RequestId request;
    kernel::Duration wait{};
};

std::vector<UnmeetableRequest> findUnmeetable(const AdmissionState &state, const PoolState &pool,
                                              const AdmissionConfig &config, table::Rank rank,
                                              kernel::Instant now)
{
    std::vector<UnmeetableRequest> unmeetable;
    const FairQueue &queue = pool.ranks[static_cast<std::size_t>(rank)].queue;
    // The cost of a request that is refused in this review does not count as ahead of the caller's
    // later requests.
    queue.forEach([&](const QueuedRequest &waiting, const FlowKey &flow, std::int64_t costAhead) {
        const auto ownCost = static_cast<double>(costAhead + waiting.cost);
        const kernel::Duration wait
            = expectedWait(pool, config, rank, queue.callerStateOf(flow), ownCost, now);
        const kernel::Duration timeLeft = state.requests.at(waiting.request).latestStart - now;
        if (kernel::toSeconds(wait) > kernel::toSeconds(timeLeft) * config.maxReviewWaitFactor) {
            unmeetable.push_back({ waiting.request, wait - timeLeft });
            return false;
        }
        return true;
    });
    return unmeetable;
}

/// Refuses waiting requests that can no longer meet their deadline, for example because the
/// capacity has decreased since they were queued.
void reviewQueued(AdmissionState &state, const AdmissionConfig &config, kernel::Instant now,
                  std::vector<ReleasedRequest> &releases)
{
    if (now - state.lastReview < config.reviewInterval)
        return;
    state.lastReview = now;
    for (const auto &[id, pool] : state.pools) {
        for (int rank = 0; rank < table::rankCount; ++rank) {
            const auto unmeetable
                = findUnmeetable(state, pool, config, static_cast<table::Rank>(rank), now);
            for (const UnmeetableRequest &refused : unmeetable) {
                releases.push_back(refuseQueued(state, config, refused.request,
                                                AdmissionReason::DeadlineUnreachable, refused.wait,
                                                now));
            }
        }
    }
}

void startWaiting(AdmissionState &state, PoolState &pool, const AdmissionConfig &config,
                  kernel::Instant now, std::vector<ReleasedRequest> &releases)
{
    while (const auto turn = nextTurn(pool, config)) {
        const QueuedRequest waiting = rankOf(pool, turn->rank).queue.pop();
        ActiveRequest &entry = state.requests.at(waiting.request);
        markStarted(state, pool, config, entry, now);
        releases.push_back(ReleasedRequest{
            entry.ask,
            AdmissionDecision{ .outcome = AdmissionOutcome::Admitted, .reason = turn->reason },
            now - entry.ask.arrived });
    }
}

} // namespace

void setCapacity(AdmissionState &state, const PoolId &pool, std::int64_t requests)
{
    state.pools[pool].capacity = std::max<std::int64_t>(0, requests);
}

AdmissionDecision admit(AdmissionState &state, const AdmissionConfig &config,
                        const table::Snapshot &snapshot, const AdmissionRequest &ask,
                        kernel::Instant now)
{
    if (state.requests.contains(ask.request)) {
        return refuse(config, kernel::ResultCode::InvalidField, AdmissionReason::DuplicateRequest,
                      kernel::Duration::zero());
    }
    const std::optional<FlowKey> flow = flowOf(snapshot, ask);
    if (!flow) {
        return refuse(config, kernel::ResultCode::UnknownCaller, AdmissionReason::UnknownCaller,
                      kernel::Duration::zero());
    }
    sweepLimits(state.limits, now);
    const auto reserved = reserveLimits(state.limits, config, snapshot, ask, now);
    if (const auto *refusal = std::get_if<LimitRefusal>(&reserved))
        return refuse(config, refusal->code, refusal->reason, refusal->retryAfter);
    return startQueueOrRefuse(state, config,
                              ActiveRequest{ .ask = ask,
                                             .flow = *flow,
                                             .reservation = std::get<LimitReservation>(reserved),
                                             .latestStart = latestStartOf(config, ask) },
                              now);
}

std::vector<ReleasedRequest> releaseNext(AdmissionState &state, const AdmissionConfig &config,
                                         kernel::Instant now)
{
    std::vector<ReleasedRequest> releases;
    refuseExpired(state, config, now, releases);
    for (auto &[id, pool] : state.pools)
        startWaiting(state, pool, config, now, releases);
    reviewQueued(state, config, now, releases);
    return releases;
}

std::optional<kernel::Instant> nextReleaseTime(const AdmissionState &state,
                                               const AdmissionConfig &config)
{
    if (state.latestStarts.empty())
        return std::nullopt;
    return std::min(state.latestStarts.begin()->first, state.lastReview + config.reviewInterval);
}

bool finish(AdmissionState &state, const AdmissionConfig &config, const kernel::RequestId &request,
            kernel::Tokens actual, kernel::Instant now)
{
    const auto found = state.requests.find(request);
    if (found == state.requests.end() || !found->second.running)
        return false;
    const ActiveRequest entry = std::move(found->second);
    state.requests.erase(found);
    PoolState &pool = poolOf(state, config, entry.ask.pool);
    --pool.running;
    const std::int64_t cost = std::max<std::int64_t>(1, actual.count());
    const std::int64_t difference = cost - costOf(entry.ask);
    rankOf(pool, entry.ask.rank).queue.adjustCost(entry.flow, difference);
    correctCharge(pool, config, entry.ask.rank, static_cast<double>(difference));
    recordServiceRate(pool, static_cast<double>(cost), now - entry.started);
    settleLimits(state.limits, entry.ask, entry.reservation, actual, now);
    return true;
}

bool cancel(AdmissionState &state, const AdmissionConfig &config, const kernel::RequestId &request,
            kernel::Instant now)
{
    const auto found = state.requests.find(request);
    if (found == state.requests.end())
        return false;
    const ActiveRequest entry = std::move(found->second);
    state.requests.erase(found);
    PoolState &pool = poolOf(state, config, entry.ask.pool);
    FairQueue &queue = rankOf(pool, entry.ask.rank).queue;
    if (entry.running) {
        --pool.running;
        queue.adjustCost(entry.flow, -costOf(entry.ask));
        correctCharge(pool, config, entry.ask.rank, -static_cast<double>(costOf(entry.ask)));
    } else {
        state.latestStarts.erase({ entry.latestStart, request });
        queue.remove(entry.flow, request);
    }
    refundLimits(state.limits, entry.ask, entry.reservation, now);
    return true;
}

std::int64_t queuedRequests(const AdmissionState &state, const PoolId &pool, table::Rank rank)
{
    const auto entry = state.pools.find(pool);
    if (entry == state.pools.end())
        return 0;
    return entry->second.ranks[static_cast<std::size_t>(rank)].queue.requests();
}

std::int64_t runningRequests(const AdmissionState &state, const PoolId &pool)
{
    const auto entry = state.pools.find(pool);
    return entry != state.pools.end() ? entry->second.running : 0;
}

} // namespace acaciasail::admission
