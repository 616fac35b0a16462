#include "forwarding/internal/queueing/servicequeue.h"

#include <algorithm>
#include <string>

namespace acaciasail::forwarding {

namespace {

constexpr std::int64_t unlimitedCapacity = 1'000'000'000;
// An upstream gets one request in flight beyond its slots for each of this many slots.
constexpr int slotsPerExtraRequest = 4;
// First delay before upstreams that had no room are tried again; it doubles up to the maximum.
constexpr kernel::Duration minRoomDelay = std::chrono::milliseconds(20);
constexpr kernel::Duration maxRoomDelay = std::chrono::milliseconds(200);
// Delay as a fraction of the time left from which the request is refused instead, so that its
// caller still has time to return.
constexpr double maxDelayFraction = 0.25;
// Random part of a retry-after time: a fixed spread and a fraction of the time itself.
constexpr double retrySpreadSeconds = 0.1;
constexpr double retrySpreadFraction = 0.5;

// Plain requests run for milliseconds, so floors apply and requests are refused after shorter times
// than for requests to models.
admission::AdmissionConfig makeConfig()
{
    admission::AdmissionConfig config;
    constexpr std::int64_t maxQueued = 512;
    for (admission::RankConfig &rank : config.ranks)
        rank.maxQueuedRequests = maxQueued;
    config.urgentHeadroom = 0;
    config.floorDelay = std::chrono::milliseconds(50);
    config.reviewInterval = std::chrono::milliseconds(50);
    config.minRetryAfter = std::chrono::milliseconds(50);
    config.maxRetryAfter = std::chrono::seconds(5);
    return config;
}

const admission::AdmissionConfig &queueConfig()
{
    static const admission::AdmissionConfig config = makeConfig();
    return config;
}

admission::PoolId poolOf(const kernel::ServiceName &service)
{
    return admission::PoolId(service.str());
}

table::Rank toRank(int rank)
{
    return static_cast<table::Rank>(std::clamp(rank, 0, static_cast<int>(table::rankCount) - 1));
}

void addWorkspace(table::Snapshot &snapshot, const kernel::WorkspaceId &workspace,
                  const kernel::CallerId &caller)
{
    if (snapshot.workspaces.contains(workspace))
        return;
    snapshot.workspaces[workspace] = { .id = workspace };
    snapshot.callers[caller] = { .id = caller, .workspace = workspace };
}

} // namespace

int maxInFlight(int slots)
{
    return slots + std::max(1, slots / slotsPerExtraRequest);
}

void setQueueCapacity(ServiceQueues &queues, const kernel::ServiceName &service,
                      std::int64_t requests)
{
    // Without available upstreams no request waits for room; it is refused when none can be
    // selected.
    admission::setCapacity(queues.admission, poolOf(service),
                           requests > 0 ? requests : unlimitedCapacity);
}

bool hasQueue(const ServiceQueues &queues, const kernel::ServiceName &service)
{
    const auto pool = queues.admission.pools.find(poolOf(service));
    return pool != queues.admission.pools.end() && pool->second.capacity < unlimitedCapacity;
}

kernel::RequestId nextTicket(ServiceQueues &queues)
{
    return kernel::RequestId(std::to_string(++queues.lastTicket));
}

admission::AdmissionDecision enterQueue(ServiceQueues &queues, const kernel::RequestId &ticket,
                                        const QueueEntry &entry, kernel::Instant now)
{
    const kernel::WorkspaceId workspace
        = entry.workspace.empty() ? kernel::WorkspaceId("-") : entry.workspace;
    const kernel::CallerId caller(workspace.str());
    addWorkspace(queues.workspaces, workspace, caller);
    return admission::admit(queues.admission, queueConfig(), queues.workspaces,
                            { .request = ticket,
                              .workspace = workspace,
                              .caller = caller,
                              .pool = poolOf(entry.service),
                              .rank = toRank(entry.rank),
                              .arrived = entry.arrived,
                              .deadline = entry.deadline },
                            now);
}

void leaveQueue(ServiceQueues &queues, const kernel::RequestId &ticket, bool ran,
                kernel::Instant now)
{
    queues.waiting.erase(ticket);
    if (ran)
        admission::finish(queues.admission, queueConfig(), ticket, kernel::Tokens(1), now);
    else
        admission::cancel(queues.admission, queueConfig(), ticket, now);
}

std::vector<admission::ReleasedRequest> releaseQueued(ServiceQueues &queues, kernel::Instant now)
{
    return admission::releaseNext(queues.admission, queueConfig(), now);
}

std::int64_t countQueued(const ServiceQueues &queues)
{
    return static_cast<std::int64_t>(queues.waiting.size());
}

std::optional<kernel::Duration> roomRetryDelay(int tries, kernel::Duration timeLeft)
{
    constexpr int maxDoublings = 8;
    const kernel::Duration delay
        = std::min(maxRoomDelay, minRoomDelay * (1 << std::clamp(tries - 1, 0, maxDoublings)));
    if (delay > kernel::scaled(timeLeft, maxDelayFraction))
        return std::nullopt;
    return delay;
}

kernel::Duration spreadRetryAfter(kernel::Duration wait, kernel::Random &random)
{
    const double seconds = kernel::toSeconds(wait);
    const double spread = retrySpreadSeconds + retrySpreadFraction * seconds;
    return kernel::fromSeconds(seconds + spread * kernel::uniform01(random));
}

} // namespace acaciasail::forwarding
