#include "forwarding/internal/request/job.h"

#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

// This file holds the parts of Job that wait for room at upstreams.

void Job::startWhenAdmitted()
{
    if (!hasQueue(m_state.queues, m_plan.service) || timeLeft() < minAttemptTime) {
        startNextAttempt();
        return;
    }
    const QueueEntry entry{ .service = m_plan.service,
                            .workspace = m_plan.workspace,
                            .rank = m_plan.effectiveRank,
                            .arrived = m_request.arrived,
                            .deadline = m_responseDeadline };
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

// Waits before the request is sent again to upstreams that refused it as full, once the route
// allows no further ones; returns false if the request does not wait.
bool Job::waitForFullUpstreams()
{
    if (m_attempts.mayHaveRun || m_attempts.responseStarted || m_sentUpstreams.empty()
        || !m_plan.configuration->services.contains(m_plan.service))
        return false;
    if (!roomDelay()
        || !takeRetry(m_state.retryBudgets[m_plan.service], m_state.options.retries, now()))
        return false;
    m_retryReserved = true;
    return waitForRoom("upstreams_full");
}

// Returns the time until the next attempt of a request that waits for room; nothing if too little
// of its time is left.
std::optional<kernel::Duration> Job::roomDelay() const
{
    return roomRetryDelay(m_waitsForRoom + 1, timeLeft());
}

// Starts the next attempt after a delay; returns false if too little time is left.
bool Job::waitForRoom(std::string_view reason)
{
    const auto delay = roomDelay();
    if (!delay)
        return false;
    ++m_waitsForRoom;
    const kernel::Duration spread = kernel::scaled(*delay, 0.5 + kernel::uniform01(m_state.random));
    logWaitForRoom(m_state, m_request, m_plan, reason, spread);
    m_roomTimer = kernel::Timer(m_state.scheduler, spread, [this] {
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

// Returns upstreams that have no room for this request, judged by this router's own requests. The
// result may include engines that are not among the candidates.
std::set<kernel::UpstreamId>
Job::upstreamsWithoutRoom(const std::vector<const Upstream *> &candidates) const
{
    std::set<kernel::UpstreamId> full;
    const auto service = m_plan.configuration->services.find(m_plan.service);
    if (service == m_plan.configuration->services.end())
        return full;
    const std::int64_t memory = service->second.memoryTokens;
    if (memory > 0 && memoryNeed() <= memory) {
        for (const Upstream *upstream : candidates) {
            const auto held = m_state.tokensInFlight.find(upstream->id);
            if (held != m_state.tokensInFlight.end() && held->second + memoryNeed() > memory)
                full.insert(upstream->id);
        }
    }
    if (m_ticket.empty())
        return full;
    for (const Upstream *upstream : candidates) {
        const auto record = m_state.records.find(upstream->id);
        if (record != m_state.records.end()
            && record->second.inFlight >= maxInFlight(upstream->slots))
            full.insert(upstream->id);
    }
    return full;
}

} // namespace acaciasail::forwarding
