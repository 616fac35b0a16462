#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "admission/admission.h"
#include "kernel/kernel.h"
#include "table/table.h"

namespace acaciasail::forwarding {

/// A request that asks to start at a service.
struct QueueEntry
{
    kernel::ServiceName service;
    /// May be empty for requests without a key; these count as one workspace.
    kernel::WorkspaceId workspace;
    /// 0 is the most urgent; ranks beyond the last one of admission count as that one.
    int rank = 0;
    kernel::Instant arrived{};
    /// Time by which the response must have been sent.
    kernel::Instant deadline{};
};

/// Requests that run at, or wait in this router for, services whose upstreams run a fixed number of
/// requests at once.
///
/// The order is that of the admission library: by rank with a floor for each, then fair between
/// workspaces, then by arrival.
struct ServiceQueues
{
    admission::AdmissionState admission;
    /// The workspaces whose requests were queued, as the admission library looks them up.
    table::Snapshot workspaces;
    std::int64_t lastTicket = 0;
    /// Functions that are called when a waiting request starts or is refused.
    std::map<kernel::RequestId, std::function<void(const admission::ReleasedRequest &)>> waiting;
};

/// Returns how many requests this router may have in flight at an upstream with this many slots:
/// its slots and a few more, which start while a response is on its way.
int maxInFlight(int slots);

/// Sets how many of this router's requests the service's upstreams take. At 0, when none is
/// available, no request waits in the queue.
void setQueueCapacity(ServiceQueues &queues, const kernel::ServiceName &service,
                      std::int64_t requests);

/// Returns whether requests for the service wait for room in this router.
bool hasQueue(const ServiceQueues &queues, const kernel::ServiceName &service);

/// Returns an id for the next request.
kernel::RequestId nextTicket(ServiceQueues &queues);

/// Decides whether a request starts now, waits or is refused. The ticket of a request that is not
/// refused must be ended by leaveQueue(), unless releaseQueued() refuses it.
admission::AdmissionDecision enterQueue(ServiceQueues &queues, const kernel::RequestId &ticket,
                                        const QueueEntry &entry, kernel::Instant now);

/// Ends a request that runs or waits. `ran` tells whether it was sent to an upstream.
void leaveQueue(ServiceQueues &queues, const kernel::RequestId &ticket, bool ran,
                kernel::Instant now);

/// Returns the waiting requests that start now, in order, and those that can't start in time.
std::vector<admission::ReleasedRequest> releaseQueued(ServiceQueues &queues, kernel::Instant now);

/// Returns the number of requests that wait.
std::int64_t countQueued(const ServiceQueues &queues);

/// Returns the time after which a request that found no room at upstreams, for the `tries`th time,
/// is tried again; nothing if too little of its time would be left.
std::optional<kernel::Duration> roomRetryDelay(int tries, kernel::Duration timeLeft);

/// Returns the time after which the caller of a refused request should return: at least `wait`,
/// with a random part, so that callers who are refused together don't return together.
kernel::Duration spreadRetryAfter(kernel::Duration wait, kernel::Random &random);

} // namespace acaciasail::forwarding
