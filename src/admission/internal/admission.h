#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "admission/internal/decayingrate.h"
#include "admission/internal/fairqueue.h"
#include "admission/internal/limits.h"
#include "admission/internal/types.h"

namespace acaciasail::admission {

/// The queue and the service accounting of one rank in one pool.
struct RankState
{
    FairQueue queue;
    /// Cost, in estimated tokens, of the requests of this rank that still have to start before the
    /// rank reaches its floor; positive while the rank is below its floor.
    double floorCredit = 0;
    /// Cost of the started requests, in estimated tokens per second.
    DecayingRate startedCostRate;
};

/// The queues and the capacity of one pool.
struct PoolState
{
    /// Maximum number of requests that this daemon may run concurrently in the pool.
    std::int64_t capacity = 0;
    std::int64_t running = 0;
    std::array<RankState, table::rankCount> ranks;
    /// Exponentially decayed sums of the cost, in tokens, and of the run time of finished requests.
    double finishedCost = 0;
    double finishedSeconds = 0;
};

/// A request that was queued or admitted and has not ended yet.
struct ActiveRequest
{
    AdmissionRequest ask;
    FlowKey flow;
    LimitReservation reservation;
    /// Latest time at which the request may start.
    kernel::Instant latestStart;
    bool running = false;
    /// Start time, if the request is running.
    kernel::Instant started;
};

/// The complete state of admission control. Each daemon has one instance; the state contains no
/// socket and no clock.
struct AdmissionState
{
    LimitState limits;
    std::map<PoolId, PoolState> pools;
    std::unordered_map<kernel::RequestId, ActiveRequest> requests;
    /// Waiting requests ordered by their latest start.
    std::set<std::pair<kernel::Instant, kernel::RequestId>> latestStarts;
    kernel::Instant lastReview;
};

/// A request that has left its queue, and the decision to start or to refuse it.
struct ReleasedRequest
{
    AdmissionRequest ask;
    AdmissionDecision decision;
    /// Time that the request waited in the queue.
    kernel::Duration waited{};
};

/// Sets the maximum number of concurrent requests in a pool, for example the sum of its upstreams'
/// concurrency limits. Running requests continue even if their number exceeds the new capacity.
void setCapacity(AdmissionState &state, const PoolId &pool, std::int64_t requests);

/// Decides whether a request starts now, waits or is refused. The code that calls admit must end
/// each admitted or queued request with finish or cancel, unless releaseNext refused the request.
AdmissionDecision admit(AdmissionState &state, const AdmissionConfig &config,
                        const table::Snapshot &snapshot, const AdmissionRequest &ask,
                        kernel::Instant now);

/// Returns the waiting requests that start now, in order, and those that are refused because they
/// can no longer meet their deadline. Must be called after finish, cancel and setCapacity, and at
/// the time that nextReleaseTime returns.
std::vector<ReleasedRequest> releaseNext(AdmissionState &state, const AdmissionConfig &config,
                                         kernel::Instant now);

/// Returns the time at which releaseNext must be called even if no other event occurs, or nullopt
/// if no request is waiting.
std::optional<kernel::Instant> nextReleaseTime(const AdmissionState &state,
                                               const AdmissionConfig &config);

/// Ends a running request and records the tokens that the request used. Returns false if the
/// request is not running.
bool finish(AdmissionState &state, const AdmissionConfig &config, const kernel::RequestId &request,
            kernel::Tokens actual, kernel::Instant now);

/// Ends a waiting request, or a request that was started here but that no upstream ran, and refunds
/// its limits and its fair-queueing charge. Returns false if the request is unknown.
bool cancel(AdmissionState &state, const AdmissionConfig &config, const kernel::RequestId &request,
            kernel::Instant now);

/// Returns the number of requests of a rank that are waiting in a pool.
std::int64_t queuedRequests(const AdmissionState &state, const PoolId &pool, table::Rank rank);

/// Returns the number of requests that are running in a pool.
std::int64_t runningRequests(const AdmissionState &state, const PoolId &pool);

} // namespace acaciasail::admission
