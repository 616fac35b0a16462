#include "gateway/internal/admitter.h"

#include <algorithm>
#include <utility>

namespace acaciasail::gateway {

namespace {

// The delay covers one tick of the limit sharing and one call to a peer, within which a grant
// arrives.
constexpr std::chrono::milliseconds grantRetryDelay{ 120 };
constexpr int maxGrantRetries = 3;

} // namespace

ApiError refusalOf(const admission::AdmissionDecision &decision)
{
    ApiError error
        = makeApiError(decision.code, "the request was not admitted: "
                                          + std::string(admission::toString(decision.reason)));
    error.retryAfter = decision.retryAfter;
    return error;
}

Admitter::Admitter(const kernel::Scheduler &scheduler)
    : m_scheduler(scheduler)
{}

void Admitter::admit(const table::SnapshotPtr &snapshot, const admission::AdmissionRequest &ask,
                     DecisionCallback onDecision)
{
    m_snapshot = snapshot;
    tryAdmit(ask, std::move(onDecision), maxGrantRetries);
}

void Admitter::tryAdmit(const admission::AdmissionRequest &ask, DecisionCallback onDecision,
                        int retriesLeft)
{
    const admission::AdmissionDecision decision
        = admission::admit(m_state, m_config, *m_snapshot, ask, m_scheduler.now());
    if (retriesLeft > 0 && shouldRetryAfterGrant(ask, decision)) {
        m_grantTimers[ask.request]
            = kernel::Timer(m_scheduler, grantRetryDelay,
                            [this, ask, onDecision = std::move(onDecision), retriesLeft] {
                                // Keeps the timer alive during the call, because it owns this
                                // lambda.
                                const auto self = m_grantTimers.extract(ask.request);
                                tryAdmit(ask, onDecision, retriesLeft - 1);
                            });
        return;
    }
    log(ask, decision);
    if (decision.outcome != admission::AdmissionOutcome::Queued) {
        onDecision(decision);
        return;
    }
    m_waiting.emplace(ask.request, std::move(onDecision));
    scheduleRelease();
}

// A caller that becomes busy at this daemon may use only a small fraction of its limit until its
// first grant arrives. Until then a request is retried after a short delay, because a refusal would
// reject requests that are within the limit.
bool Admitter::shouldRetryAfterGrant(const admission::AdmissionRequest &ask,
                                     const admission::AdmissionDecision &decision) const
{
    const bool limited = decision.code == kernel::ResultCode::RateLimited
                         || decision.code == kernel::ResultCode::TokenLimited
                         || decision.code == kernel::ResultCode::ConcurrencyLimited;
    return limited && m_awaitsGrant && m_awaitsGrant(ask);
}

void Admitter::finish(const kernel::RequestId &request, kernel::Tokens actual)
{
    admission::finish(m_state, m_config, request, actual, m_scheduler.now());
    if (!m_waiting.empty())
        scheduleRelease();
}

void Admitter::cancel(const kernel::RequestId &request)
{
    m_waiting.erase(request);
    m_grantTimers.erase(request);
    admission::cancel(m_state, m_config, request, m_scheduler.now());
    if (!m_waiting.empty())
        scheduleRelease();
}

void Admitter::setCapacity(const admission::PoolId &pool, std::int64_t requests)
{
    admission::setCapacity(m_state, pool, requests);
    if (!m_waiting.empty())
        scheduleRelease();
}

// Schedules a release for the next event-loop iteration, so that all requests that end in the same
// iteration are handled together.
void Admitter::scheduleRelease()
{
    if (std::exchange(m_releasePending, true))
        return;
    m_releaseTimer = kernel::Timer(m_scheduler, kernel::Duration::zero(), [this] { release(); });
}

void Admitter::release()
{
    m_releasePending = false;
    const kernel::Instant now = m_scheduler.now();
    for (const admission::ReleasedRequest &released :
         admission::releaseNext(m_state, m_config, now)) {
        log(released.ask, released.decision);
        auto waiting = m_waiting.extract(released.ask.request);
        if (!waiting.empty())
            waiting.mapped()(released.decision);
    }
    const auto next = admission::nextReleaseTime(m_state, m_config);
    if (!next)
        return;
    // The delay is at least 1000 us.
    const kernel::Duration wait = std::max<kernel::Duration>(*next - now, kernel::Duration(1000));
    m_reviewTimer = kernel::Timer(m_scheduler, wait, [this] { release(); });
}

void Admitter::log(const admission::AdmissionRequest &ask,
                   const admission::AdmissionDecision &decision) const
{
    kernel::logEvent(kernel::EventId::AdmissionDecided,
                     { { "request", ask.request },
                       { "workspace", ask.workspace },
                       { "caller", ask.caller },
                       { "pool", ask.pool },
                       { "rank", static_cast<int>(ask.rank) },
                       { "outcome", admission::toString(decision.outcome) },
                       { "reason", admission::toString(decision.reason) },
                       { "code", kernel::toNumber(decision.code) },
                       { "estimate", ask.estimate } });
}

} // namespace acaciasail::gateway
