#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <string_view>

#include "kernel/kernel.h"
#include "table/table.h"

namespace acaciasail::admission {

/// Identifies a pool: a group of upstreams that share their capacity, such as all upstreams of a
/// model or of an application service (an HTTP service that is not a model).
using PoolId = kernel::Id<struct PoolTag>;

/// A request that is submitted to admission control.
struct AdmissionRequest
{
    kernel::RequestId request;
    kernel::WorkspaceId workspace;
    kernel::CallerId caller;
    PoolId pool;
    table::Rank rank = table::Rank::Normal;
    /// Estimated number of input and output tokens; values below 1 count as 1.
    kernel::Tokens estimate{ 1 };
    kernel::Instant arrived;
    /// Time by which the answer must be complete; Instant::max() means that there is no deadline.
    kernel::Instant deadline = kernel::Instant::max();
    /// Estimated run time after the start; zero if the run time is unknown.
    kernel::Duration expectedRunTime{};
};

enum class AdmissionOutcome {
    /// The request may start now.
    Admitted,
    /// The request waits in a queue until releaseNext starts or refuses it.
    Queued,
    /// The request will not run.
    Refused,
};

/// Why a request was admitted, queued or refused.
enum class AdmissionReason {
    CapacityFree,
    /// The pool is full, but the urgent request fits into the headroom reserved for urgent work.
    UrgentHeadroom,
    /// The request was next by rank and by fair queueing within the rank.
    FairTurn,
    /// The rank had received less than its floor, so it was served before more urgent ranks.
    FloorTurn,
    WaitsForCapacity,
    CallerRequestRate,
    CallerTokenRate,
    CallerConcurrency,
    WorkspaceRequestRate,
    WorkspaceTokenRate,
    WorkspaceConcurrency,
    RankQueueFull,
    /// The caller already occupies its maximum share of the rank's queue.
    CallerQueueFull,
    /// The expected wait is too long for the request to meet its deadline.
    DeadlineUnreachable,
    DeadlinePassed,
    UnknownCaller,
    DuplicateRequest,
};

/// Returns the name of a reason as it appears in logs.
std::string_view toString(AdmissionReason reason);
/// Returns the name of an outcome as it appears in logs.
std::string_view toString(AdmissionOutcome outcome);

/// The decision on a request and the reason for it. A refused request was not run.
struct AdmissionDecision
{
    AdmissionOutcome outcome = AdmissionOutcome::Refused;
    kernel::ResultCode code = kernel::ResultCode::Ok;
    AdmissionReason reason = AdmissionReason::WaitsForCapacity;
    /// For a refusal, the time after which the caller should retry; otherwise zero.
    kernel::Duration retryAfter{};
    /// For a queued request, the estimated wait until the request starts.
    kernel::Duration expectedWait{};
};

/// Settings of one rank.
struct RankConfig
{
    /// Minimum fraction of the pool's capacity, between 0 and 1, that the rank receives while it
    /// has waiting requests.
    double floor = 0;
    /// Maximum number of requests, and of their estimated tokens, that may wait in one pool.
    std::int64_t maxQueuedRequests = 4096;
    kernel::Tokens maxQueuedTokens{ 8'000'000 };
    /// Maximum time a request may wait to start, also if the request has no deadline.
    kernel::Duration maxWait = std::chrono::seconds(30);
};

/// Settings of admission control.
struct AdmissionConfig
{
    /// Settings by rank, most urgent first. The sum of the floors is at most 1.
    std::array<RankConfig, table::rankCount> ranks{
        RankConfig{ .floor = 0.5, .maxWait = std::chrono::seconds(10) },
        RankConfig{ .floor = 0.3, .maxWait = std::chrono::seconds(30) },
        RankConfig{ .floor = 0.1, .maxWait = std::chrono::seconds(120) },
    };
    /// Maximum number of concurrent requests in a pool whose capacity has not been set.
    std::int64_t defaultCapacity = 8;
    /// Fraction of the capacity by which urgent requests may exceed the capacity while no other
    /// rank is below its floor.
    double urgentHeadroom = 0.1;
    /// Time for which more urgent requests may keep a rank below its floor before the floor is
    /// enforced. A short burst of urgent requests is thus served first, and the floor holds over
    /// longer periods.
    kernel::Duration floorDelay = std::chrono::seconds(4);
    /// Burst size of the rate limits, as the time in which the limit's rate refills the burst.
    kernel::Duration limitBurst = std::chrono::seconds(5);
    /// Interval between checks for waiting requests that can no longer meet their deadlines.
    kernel::Duration reviewInterval = std::chrono::milliseconds(250);
    /// Maximum expected wait of a request that is queued, as a fraction of the time left until its
    /// latest start. The fraction is below 1 because waits grow when more callers join the queue,
    /// and an early refusal is better than a late one.
    double maxAdmitWaitFraction = 0.5;
    /// A waiting request is refused when its expected wait exceeds the time left until its latest
    /// start by more than this factor.
    double maxReviewWaitFactor = 1.5;
    /// Lower and upper bound of Retry-After.
    kernel::Duration minRetryAfter = std::chrono::seconds(1);
    kernel::Duration maxRetryAfter = std::chrono::seconds(60);
    /// Maximum number of idle workspaces, and of idle callers in each workspace, whose recent
    /// service a queue still tracks.
    std::size_t maxIdleFlows = 256;
};

} // namespace acaciasail::admission
