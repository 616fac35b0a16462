#include "forwarding/internal/request/job.h"

#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

// This file holds the parts of Job that wait for room at upstreams.

void Job::startWhenAdmitted()
{
    if (!hasQueue(m_state.queues, m_plan.service)) {
        startNextAttempt();
        return;
    }
    const auto runTime = m_state.latencyEstimates.firstByte.find({ m_plan.route.name, "" });
    QueueEntry entry{ .service = m_plan.service,
                      .workspace = m_plan.workspace,
                      .rank = m_plan.effectiveRank,
                      .arrived = m_request.arrived,
                      .deadline = m_responseDeadline };
    if (runTime != m_state.latencyEstimates.firstByte.end())
        entry.expectedRunTime = kernel::fromSeconds(runTime->second.meanSeconds);
    const kernel::RequestId ticket = nextTicket(m_state.queues);
    const auto decision = enterQueue(m_state.queues, ticket, entry, now());
    switch (decision.outcome) {
    case admission::AdmissionOutcome::Admitted:
        m_ticket = ticket;
        startNextAttempt();
        break;
    case admission::AdmissionOutcome::Queued:
        m_ticket = ticket;
        m_state.queues.waiting[ticket]
            = [this](const admission::ReleasedRequest &released) { onReleased(released); };
        logAdmission(m_state, m_request, m_plan, decision, {});
        break;
    case admission::AdmissionOutcome::Refused:
        refuseAdmission(decision, {});
        break;
    }
}

void Job::onReleased(const admission::ReleasedRequest &released)
{
    const auto self = shared_from_this();
    if (released.decision.outcome == admission::AdmissionOutcome::Refused) {
        m_ticket = {};
        refuseAdmission(released.decision, released.waited);
        return;
    }
    logAdmission(m_state, m_request, m_plan, released.decision, released.waited);
    startNextAttempt();
}

void Job::refuseAdmission(const admission::AdmissionDecision &decision, kernel::Duration waited)
{
    admission::AdmissionDecision spread = decision;
    spread.retryAfter = spreadRetryAfter(decision.retryAfter, m_state.random);
    logAdmission(m_state, m_request, m_plan, spread, waited);
    recordLateness(m_state.lateRequestRates[m_plan.service], true);
    refuse(finalStatus(m_attempts, EndReason::NoCapacity), admission::toString(decision.reason),
           spread.retryAfter);
}

void Job::leaveServiceQueue()
{
    if (!m_ticket.empty())
        leaveQueue(m_state.queues, m_ticket, m_attempts.sent > 0, now());
    m_ticket = {};
}

// Waits for room at the upstreams that refused the request as full, once the route allows no
// further upstreams; returns false if the request does not wait.
bool Job::waitForRoom()
{
    const Configuration &configuration = *m_plan.configuration;
    if (m_attempts.mayHaveRun || m_attempts.responseStarted || m_sentUpstreams.empty()
        || !configuration.services.contains(m_plan.service))
        return false;
    const auto delay = roomRetryDelay(++m_fullRefusals, timeLeft(), m_state.random);
    if (!delay || !takeRetry(m_state.retryBudgets[m_plan.service], m_state.options.retries, now()))
        return false;
    m_retryReserved = true;
    logWaitForRoom(m_state, m_request, m_plan, *delay);
    m_roomTimer = kernel::Timer(m_state.scheduler, *delay, [this] {
        const auto self = shared_from_this();
        startNextAttempt();
    });
    return true;
}

// Once the route allows no further upstreams, the request may be sent only to those that it was
// sent to.
std::vector<const Upstream *> Job::allowedCandidates(VersionChoice version) const
{
    auto candidates = reachableCandidates(m_state, m_plan.service, version);
    if (m_attempts.sent >= m_attempts.maxAttempts) {
        std::erase_if(candidates, [this](const Upstream *upstream) {
            return !m_sentUpstreams.contains(upstream->id);
        });
    }
    return candidates;
}

std::int64_t Job::memoryNeed() const
{
    return m_request.work ? m_request.work->promptTokens + m_request.work->maxOutputTokens : 0;
}

// Returns whether the upstream has room for this request, as far as this router's own requests tell.
bool Job::hasRoom(const Upstream &upstream) const
{
    const auto held = m_state.tokensInFlight.find(upstream.id);
    if (held != m_state.tokensInFlight.end()) {
        const auto service = m_plan.configuration->services.find(m_plan.service);
        const bool knowsMemory = service != m_plan.configuration->services.end()
                                 && service->second.memoryTokens > 0;
        if (knowsMemory && held->second + memoryNeed() > service->second.memoryTokens)
            return false;
    }
    if (m_ticket.empty())
        return true;
    const auto record = m_state.records.find(upstream.id);
    return record == m_state.records.end()
           || record->second.inFlight < maxInFlight(upstream.slots);
}

} // namespace acaciasail::forwarding
