#include "forwarding/internal/request/job.h"

#include <utility>

#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

// This file holds the parts of Job that ask a larger model while the response of a smaller one is
// kept, so that a valid response is dropped only once the larger model's has begun.

namespace {

// The kept response must be passed on at least this long before the latency objective ends.
constexpr kernel::Duration keptResponseMargin = std::chrono::milliseconds(20);
// Maximum number of bytes that are held of a kept response before reading from its upstream pauses.
constexpr std::size_t maxKeptBytes = 64U << 10U;

} // namespace

// Keeps the response of a small model with low confidence, before any of it was sent to the caller,
// and asks a larger model.
bool Job::escalate()
{
    if (!m_request.work || m_escalated || !mayRetry(m_attempts))
        return false;
    const kernel::Instant objectiveEnd = m_request.arrived + m_plan.route.latencyObjective;
    const std::string larger = escalateTo(
        m_plan.route, m_state.options.models, *m_request.work, m_model, m_attempt->head->confidence,
        m_attempts.maxAttempts - m_attempts.sent, objectiveEnd - now(),
        saturation(m_state.lateRequestRates[m_plan.service]), expectedFirstEvents());
    if (larger.empty() || !isAnyUpstreamAvailable()
        || !takeRetry(m_state.retryBudgets[m_plan.service], m_state.options.retries, now()))
        return false;
    kernel::logEvent(kernel::EventId::CascadeEscalated,
                     { { "request", m_request.id },
                       { "from", m_model },
                       { "to", larger },
                       { "confidence", m_attempt->head->confidence.value_or(0) } });
    m_escalated = true;
    m_model = larger;
    // The upstream that read the prompt for the small model is as suitable as any other.
    m_triedUpstreams.erase(m_attempt->upstream);
    review(reviewFirstByte);
    recordFirstEventTime();
    keepResponse(objectiveEnd - keptResponseMargin);
    m_retryReserved = true;
    startNextAttempt();
    return true;
}

ExpectedFirstEvents Job::expectedFirstEvents() const
{
    ExpectedFirstEvents expected;
    for (const std::string &model : m_plan.route.models) {
        const auto known = m_state.firstEventEstimates.find({ m_plan.service, model });
        if (known == m_state.firstEventEstimates.end())
            continue;
        if (const auto time
            = expectedFirstEvent(known->second, m_request.work->promptTokens, now()))
            expected.emplace(model, *time);
    }
    return expected;
}

void Job::recordModelTime()
{
    if (!m_request.work)
        return;
    recordFirstEvent(m_state.firstEventEstimates[{ m_plan.service, m_attempt->model }],
                     m_request.work->promptTokens, now() - m_attempt->startedAt, now());
}

// Sets the response in progress aside until `latestStart`, when it is passed on unless the response
// of the larger model has begun.
void Job::keepResponse(kernel::Instant latestStart)
{
    stopAttemptTimers();
    m_kept = KeptResponse{ std::move(*m_attempt), std::move(m_exchange), {}, {} };
    m_attempt.reset();
    m_keptTimer
        = kernel::Timer(m_state.scheduler, latestStart - now(), [this] { onKeptResponseDue(); });
}

bool Job::isKept(int attempt) const
{
    return m_kept && m_kept->attempt.number == attempt;
}

void Job::onKeptBody(std::string_view piece)
{
    m_kept->bytes.append(piece);
    m_kept->attempt.lastActivity = now();
    if (m_kept->bytes.size() > maxKeptBytes && m_kept->exchange)
        m_kept->exchange->pauseReading(true);
}

void Job::onKeptEnd(const kernel::Completion<kernel::Done> &outcome)
{
    if (outcome.ok())
        m_kept->isComplete = true;
    else
        dropKeptResponse(AttemptOutcome::ConnectionBroken);
}

void Job::dropKeptResponse(AttemptOutcome outcome)
{
    if (!m_kept)
        return;
    m_keptTimer.cancel();
    const KeptResponse dropped = std::move(*m_kept);
    m_kept.reset();
    recordOutcome(dropped.attempt, outcome);
}

// A response that is not complete can't be passed on when its request must end.
void Job::dropIncompleteKeptResponse()
{
    if (m_kept && !m_kept->isComplete)
        dropKeptResponse(AttemptOutcome::Cancelled);
}

void Job::onKeptResponseDue()
{
    const auto self = shared_from_this();
    passOnKeptResponse("objective");
}

// Ends the attempt at the larger model, if it is still in progress, and goes on with the kept
// response.
void Job::passOnKeptResponse(std::string_view reason)
{
    const auto self = shared_from_this();
    if (m_attempt && m_exchange) {
        // The response would have taken at least this long.
        if (m_attempt->sent && !m_attempt->head)
            recordModelTime();
        finishAttempt(AttemptOutcome::Cancelled);
    }
    stopAttemptTimers();
    m_keptTimer.cancel();
    m_loadExchange = nullptr;
    m_loadQueries.clear();
    KeptResponse kept = std::move(*m_kept);
    m_kept.reset();
    kernel::logEvent(kernel::EventId::CascadeAbandoned, { { "request", m_request.id },
                                                          { "asked", m_model },
                                                          { "kept", kept.attempt.model },
                                                          { "reason", reason } });
    m_model = kept.attempt.model;
    estimateCost();
    m_lastUpstream = kept.attempt.upstream.str();
    m_attempt = std::move(kept.attempt);
    m_attempt->lastActivity = now();
    m_exchange = std::move(kept.exchange);
    m_splitter.reset();
    m_exchange->pauseReading(false);
    armInactivityTimers();
    armReview();
    const int number = m_attempt->number;
    if (!kept.bytes.empty())
        onBody(kept.bytes);
    if (kept.isComplete && !m_done && m_attempt->number == number)
        onExchangeEnd(kernel::Done{});
}

} // namespace acaciasail::forwarding
