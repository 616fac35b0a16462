#pragma once

#include <functional>
#include <unordered_map>

#include "admission/admission.h"
#include "gateway/internal/apierror.h"
#include "kernel/kernel.h"
#include "table/table.h"

namespace acaciasail::gateway {

/// Returns the error that a caller receives for a refusal by admission control.
ApiError refusalOf(const admission::AdmissionDecision &decision);

/// Runs admission control on the scheduler: starts waiting requests when capacity becomes free, and
/// refuses requests that can no longer meet their deadline.
class Admitter
{
public:
    /// Called exactly once when the request starts or is refused, possibly before admit() returns.
    using DecisionCallback = std::function<void(const admission::AdmissionDecision &)>;

    explicit Admitter(const kernel::Scheduler &scheduler);
    Admitter(const Admitter &) = delete;
    Admitter &operator=(const Admitter &) = delete;

    void admit(const table::SnapshotPtr &snapshot, const admission::AdmissionRequest &ask,
               DecisionCallback onDecision);
    /// Ends a request that ran, and records the tokens that the request used.
    void finish(const kernel::RequestId &request, kernel::Tokens actual);
    /// Ends a request that no upstream ran, whether it was waiting or already admitted.
    void cancel(const kernel::RequestId &request);
    /// Sets the function that returns whether this daemon still waits for its first grant of a
    /// limit that applies to the request. A grant allows the daemon to use a fraction of the limit.
    void setAwaitsGrant(std::function<bool(const admission::AdmissionRequest &)> awaitsGrant)
    {
        m_awaitsGrant = std::move(awaitsGrant);
    }
    void setCapacity(const admission::PoolId &pool, std::int64_t requests);

    const admission::AdmissionState &state() const { return m_state; }
    admission::AdmissionState &state() { return m_state; }

private:
    void tryAdmit(const admission::AdmissionRequest &ask, DecisionCallback onDecision,
                  int retriesLeft);
    bool shouldRetryAfterGrant(const admission::AdmissionRequest &ask,
                               const admission::AdmissionDecision &decision) const;
    void log(const admission::AdmissionRequest &ask,
             const admission::AdmissionDecision &decision) const;
    void scheduleRelease();
    void release();

    const kernel::Scheduler &m_scheduler;
    admission::AdmissionConfig m_config;
    admission::AdmissionState m_state;
    std::unordered_map<kernel::RequestId, DecisionCallback> m_waiting;
    std::function<bool(const admission::AdmissionRequest &)> m_awaitsGrant;
    // Retry timers of requests that a limit refuses while its first grant is outstanding.
    std::unordered_map<kernel::RequestId, kernel::Timer> m_grantTimers;
    table::SnapshotPtr m_snapshot;
    kernel::Timer m_releaseTimer;
    kernel::Timer m_reviewTimer;
    bool m_releasePending = false;
};

} // namespace acaciasail::gateway
