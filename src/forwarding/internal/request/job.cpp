#include "forwarding/internal/request/job.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "forwarding/internal/limits/requestlimits.h"
#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

namespace {

constexpr int firstRedirectStatus = 300;
constexpr int firstErrorStatus = 400;
constexpr int unavailable = 503;
constexpr int firstServerError = 500;

// The response must be sent at least this long before the caller's timeout.
constexpr kernel::Duration responseMargin = std::chrono::milliseconds(10);
// Responses that are not streams are buffered until they are complete, up to this size.
constexpr std::size_t maxBufferedBodyBytes = 256U << 10U;
// Maximum number of unread bytes of a slow caller before reading from the upstream pauses.
constexpr std::size_t maxQueuedBytes = 256U << 10U;
constexpr double failureRateWeight = 0.02;
// Random time that is added to the remaining cooldown (0 if there is none) to give the retry-after
// time, so that callers do not return at the same time.
constexpr double retryAfterMinSeconds = 0.2;
constexpr double retryAfterSpreadSeconds = 0.6;

} // namespace

Job::Job(ForwardingState &state, Request request, std::shared_ptr<http::Responder> responder,
         std::function<void(const Job *)> onDone)
    : m_state(state)
    , m_request(std::move(request))
    , m_responder(std::move(responder))
    , m_onDone(std::move(onDone))
{}

void Job::start()
{
    const auto self = shared_from_this();
    // The responder may outlive the job while its last bytes are being sent.
    m_responder->whenClosed([weak = weak_from_this()] {
        if (const auto job = weak.lock())
            job->onCallerGone();
    });
    std::optional<Refusal> refusal = planRequest(m_state, m_request, m_plan);
    if (refusal) {
        refuse(refusal->status, refusal->reason, refusal->retryAfter);
        return;
    }
    m_attempts = { m_plan.route.kind, m_plan.route.resumable, m_plan.route.maxAttempts };
    m_model = m_plan.firstModel;
    m_responseDeadline
        = m_request.arrived
          + std::min(m_request.callerTimeout.value_or(m_plan.route.timeout), m_plan.route.timeout)
          - responseMargin;
    m_deadlineTimer = kernel::Timer(m_state.scheduler, m_responseDeadline - m_request.arrived,
                                    [this] { onDeadline(); });
    recordRequest(m_state.retryBudgets[m_plan.service], m_state.options.retries, now());
    startWhenAdmitted();
}

kernel::Duration Job::timeLeft() const
{
    return m_responseDeadline - now();
}

void Job::onHead(const http::ClientHead &clientHead)
{
    const auto self = shared_from_this();
    m_attempt->lastActivity = now();
    m_attempt->endsWithConnection = clientHead.endsWithConnection;
    ResponseHead head = m_state.wire.decodeHead(clientHead);
    recordNotices(head);
    if (head.wrongUpstream || head.notRun) {
        recordRefused(m_attempts, m_attempt->mayHaveRunBefore);
        failAttempt(head.wrongUpstream ? AttemptFailure::WrongUpstream : AttemptFailure::Refused,
                    std::to_string(head.status));
        return;
    }
    if (head.isReencoded || (head.status < firstErrorStatus && !head.hasProof)) {
        failAttempt(AttemptFailure::InvalidResponse,
                    head.isReencoded ? "unexpected content encoding" : "no proof header");
        return;
    }
    if (m_kept && head.status >= firstErrorStatus) {
        review(reviewFailure);
        failAttempt(AttemptFailure::ServerError, std::to_string(head.status));
        return;
    }
    const bool isSuccess = head.status < firstRedirectStatus;
    if (isSuccess && !head.isEventStream && m_plan.route.kind == RequestKind::Streaming
        && !m_attempts.responseStarted) {
        failAttempt(AttemptFailure::InvalidResponse, "not an event stream");
        return;
    }
    if (m_attempts.responseStarted && (head.status >= firstErrorStatus || !head.isEventStream)) {
        // The caller has received the start of a stream, which can only be continued by more
        // events.
        review(reviewFailure);
        failAttempt(AttemptFailure::ServerError, std::to_string(head.status));
        return;
    }
    recordTime(m_state.latencyEstimates.firstByte[{ m_plan.route.name, m_attempt->model }],
               m_attempt->lastActivity - m_attempt->startedAt);
    if (head.status < firstErrorStatus)
        recordModelTime();
    m_attempt->head = std::move(head);
    if (m_attempt->head->status < firstErrorStatus && !m_attempts.responseStarted && escalate())
        return;
}

void Job::onBody(std::string_view piece)
{
    const auto self = shared_from_this();
    if (!isCheckedStream()) {
        const ResponseHead &head = *m_attempt->head;
        m_attempt->lastActivity = now();
        m_attempt->body.append(piece);
        // An event stream on another kind of route is passed on unchanged, as it comes.
        const bool isStream = head.isEventStream && head.status < firstErrorStatus;
        if (isStream || m_attempt->body.size() > maxBufferedBodyBytes)
            passOnBuffer();
        return;
    }
    const EventSplitter::Result result
        = m_splitter.feed(piece, [this](const StreamEvent &event) { return onEvent(event); });
    if (m_done || result == EventSplitter::Result::Ok)
        return;
    std::string detail(result == EventSplitter::Result::TooLong ? "event exceeds the size limit"
                                                                : toString(m_eventFault));
    detail.append(" at byte ").append(std::to_string(m_splitter.offset()));
    failAttempt(AttemptFailure::InvalidResponse, detail);
}

bool Job::isCheckedStream() const
{
    const ResponseHead &head = *m_attempt->head;
    return m_plan.route.kind == RequestKind::Streaming && head.isEventStream
           && head.status < firstErrorStatus;
}

// Passes on the part of a response that is buffered. A failure that may be retried is not read
// further instead.
void Job::passOnBuffer()
{
    if (m_attempt->head->status >= firstServerError && mayRetry(m_attempts)) {
        review(reviewFailure);
        failAttempt(AttemptFailure::ServerError, std::to_string(m_attempt->head->status));
        return;
    }
    startResponse();
    m_responder->write(std::exchange(m_attempt->body, {}));
    applyBackpressure();
}

// Returns the id of the last event that the caller has, from this request or an earlier one.
std::optional<StreamEventId> Job::lastReceivedEventId() const
{
    if (m_lastEventId || !m_plan.route.resumable)
        return m_lastEventId;
    return m_request.resumeAfter;
}

// Bytes that do not complete an event do not count as activity: only events reset the inactivity
// timeout of a stream.
void Job::recordEvent()
{
    const kernel::Instant at = now();
    if (m_attempt->firstByteSeen) {
        recordTime(m_state.latencyEstimates.betweenEvents[{ m_plan.route.name, m_attempt->model }],
                   at - m_attempt->lastActivity);
        reviewEvent(m_attempt->review);
    } else {
        m_attempt->firstByteSeen = true;
        m_attempt->firstEventAt = at;
        review(reviewFirstByte);
        recordFirstEventTime();
    }
    m_attempt->lastActivity = at;
    recordWriting();
    recordProgress(m_state.crashes, m_plan.fingerprint);
}

// Applies backpressure: reading from the upstream pauses while the caller leaves too many bytes
// unread.
void Job::applyBackpressure()
{
    if (m_responder->queuedBytes() <= std::min(maxQueuedBytes, m_responder->queueLimit())
        || !m_exchange)
        return;
    m_exchange->pauseReading(true);
    m_responder->whenDrained([weak = weak_from_this()] {
        const auto job = weak.lock();
        if (job && job->m_exchange)
            job->m_exchange->pauseReading(false);
    });
}

EventUse Job::onEvent(const StreamEvent &event)
{
    if (m_done)
        return EventUse::Rejected;
    const EventReading reading = readEvent(event.bytes, lastReceivedEventId());
    m_eventFault = reading.fault;
    if (m_eventFault != EventFault::None)
        return EventUse::Rejected;
    if (reading.isComment)
        return EventUse::Ignored;
    recordEvent();
    startResponse();
    m_responder->write(event.bytes);
    m_lastEventId = reading.id;
    applyBackpressure();
    return EventUse::Accepted;
}

void Job::recordFirstByte()
{
    dropKeptResponse(AttemptOutcome::Succeeded);
    m_firstByteAt = now();
    const bool late = m_firstByteAt - m_request.arrived > m_plan.route.latencyObjective / 2;
    recordLateness(m_state.lateRequestRates[m_plan.service], late);
}

// Sends the head of the response, once.
void Job::startResponse()
{
    if (m_attempts.responseStarted)
        return;
    m_attempts.responseStarted = true;
    recordFirstByte();
    m_responder->start(m_attempt->head->status, m_attempt->head->headers);
}

void Job::onExchangeEnd(const kernel::Completion<kernel::Done> &outcome)
{
    const auto self = shared_from_this();
    if (outcome.ok()) {
        onResponseComplete();
        return;
    }
    const kernel::Error &error = outcome.error();
    if (!m_attempt->sent)
        failAttempt(AttemptFailure::NotSent, error.message);
    else if (error.code == kernel::ResultCode::UpstreamProtocol)
        failAttempt(AttemptFailure::InvalidResponse, error.message);
    else
        failAttempt(AttemptFailure::Lost, error.message);
}

void Job::onResponseComplete()
{
    if (!m_attempt->head) {
        failAttempt(AttemptFailure::InvalidResponse, "no response head");
        return;
    }
    const ResponseHead &head = *m_attempt->head;
    if (head.status >= firstServerError) {
        review(reviewFailure);
        if (mayRetry(m_attempts) || !head.hasProof) {
            failAttempt(AttemptFailure::ServerError, std::to_string(head.status));
            return;
        }
        finishAttempt(AttemptOutcome::Failed);
        deliverResponse();
        return;
    }
    if (isCheckedStream() && m_splitter.partial()) {
        failAttempt(AttemptFailure::Lost, "stream ended within an event");
        return;
    }
    if (isCheckedStream() && m_attempt->endsWithConnection && !m_lastEventId) {
        failAttempt(AttemptFailure::Lost, "stream ended without an event");
        return;
    }
    review(reviewEnd);
    recordOutput();
    recordCompleteResponse();
    finishAttempt(AttemptOutcome::Succeeded);
    deliverResponse();
}

// Sends the rest of a complete response.
void Job::deliverResponse()
{
    const ResponseHead &head = *m_attempt->head;
    const int status = head.status;
    if (m_attempts.responseStarted) {
        if (!m_attempt->body.empty())
            m_responder->write(m_attempt->body);
        m_responder->finish();
    } else {
        recordFirstByte();
        m_responder->send(status, head.headers, m_attempt->body);
    }
    finish(status, "answered");
}

// Finishes the attempt, records its outcome and closes its exchange.
void Job::finishAttempt(AttemptOutcome outcome)
{
    stopAttemptTimers();
    m_exchange = nullptr;
    recordOutcome(*m_attempt, outcome);
}

void Job::stopAttemptTimers()
{
    m_inactivityTimer.cancel();
    m_reachabilityTimer.cancel();
    m_reviewTimer.cancel();
}

void Job::recordOutcome(const Attempt &attempt, AttemptOutcome outcome)
{
    recordPossibleCrash(attempt, outcome);
    const bool countsForFailureRate
        = outcome == AttemptOutcome::Succeeded || outcome == AttemptOutcome::Failed;
    double &serviceFailureRate = m_state.failureRates[m_plan.service];
    if (countsForFailureRate)
        serviceFailureRate += failureRateWeight
                              * ((outcome == AttemptOutcome::Failed ? 1 : 0) - serviceFailureRate);
    const auto held = m_state.tokensInFlight.find(attempt.upstream);
    if (held != m_state.tokensInFlight.end() && (held->second -= attempt.tokens) <= 0)
        m_state.tokensInFlight.erase(held);
    const auto record = m_state.records.find(attempt.upstream);
    if (record == m_state.records.end())
        return;
    finishWorkInFlight(attempt, record->second, outcome);
    if (recordFinish(record->second, outcome, attempt.work, serviceFailureRate, now())) {
        kernel::logEvent(kernel::EventId::UpstreamEjected,
                         { { "upstream", attempt.upstream },
                           { "service", m_plan.service },
                           { "request", m_request.id },
                           { "ejections", record->second.ejections } });
    }
}

void Job::onExit()
{
    const auto self = shared_from_this();
    if (m_done || m_attempts.responseStarted)
        return;
    if (m_attempt && m_exchange)
        finishAttempt(AttemptOutcome::Cancelled);
    dropIncompleteKeptResponse();
    finishWithoutResponse(EndReason::Failed, "stopping");
}

void Job::failAttempt(AttemptFailure failure, std::string_view detail)
{
    const auto self = shared_from_this();
    m_state.metrics.attempts(toString(failure)).add();
    kernel::logEvent(kernel::EventId::AttemptFailed,
                     { { "request", m_request.id },
                       { "route", m_plan.route.name },
                       { "upstream", m_attempt->upstream },
                       { "failure", toString(failure) },
                       { "detail", detail },
                       { "send", m_attempts.sent },
                       { "may_have_run", m_attempts.mayHaveRun },
                       { "prompt_parts", listPromptParts(m_plan.sharedParts) },
                       { "took_ms", kernel::toMilliseconds(now() - m_attempt->startedAt) } });
    switch (failure) {
    case AttemptFailure::Refused:
        finishAttempt(AttemptOutcome::Overloaded);
        break;
    case AttemptFailure::NotSent:
        ++m_failedConnects;
        finishAttempt(AttemptOutcome::ConnectionBroken);
        break;
    case AttemptFailure::WrongUpstream:
        finishAttempt(AttemptOutcome::AddressTaken);
        break;
    case AttemptFailure::Silent:
        finishAttempt(AttemptOutcome::Silent);
        break;
    case AttemptFailure::Lost:
        finishAttempt(AttemptOutcome::ConnectionBroken);
        break;
    case AttemptFailure::InvalidResponse:
    case AttemptFailure::ServerError:
        finishAttempt(AttemptOutcome::Failed);
        break;
    }
    if (m_kept) {
        passOnKeptResponse(toString(failure));
        return;
    }
    if (isRefused()) {
        logPoisonRefused(m_state, m_request, m_plan);
        finishWithoutResponse(EndReason::Failed, "crashes_upstreams");
        return;
    }
    if (!mayRetry(m_attempts)) {
        if (failure == AttemptFailure::Refused && waitForFullUpstreams())
            return;
        finishWithoutResponse(EndReason::Failed, toString(failure));
        return;
    }
    startNextAttempt();
}

void Job::onDeadline()
{
    const auto self = shared_from_this();
    if (m_done)
        return;
    if (m_attempt && m_exchange)
        finishAttempt(AttemptOutcome::Cancelled);
    dropIncompleteKeptResponse();
    finishWithoutResponse(EndReason::TimedOut, "time_over");
}

void Job::onCallerGone()
{
    const auto self = shared_from_this();
    if (m_done)
        return;
    if (m_attempt && m_exchange)
        finishAttempt(AttemptOutcome::Cancelled);
    finish(0, "caller_gone");
}

void Job::refuse(int status, std::string_view reason, kernel::Duration retryAfter)
{
    m_state.metrics.refusals(reason).add();
    http::Headers headers;
    if (retryAfter > kernel::Duration::zero()) {
        const double seconds = std::round(kernel::toSeconds(retryAfter) * 100) / 100;
        headers.push_back({ "retry-after", std::to_string(seconds) });
    }
    m_responder->send(status, headers, "");
    finish(status, reason);
}

// Finishes a request for which no upstream gave a response, unless a kept response can be passed
// on.
void Job::finishWithoutResponse(EndReason reason, std::string_view outcome)
{
    if (m_kept) {
        passOnKeptResponse(outcome);
        return;
    }
    if (m_attempts.responseStarted) {
        m_responder->abort();
        finish(0, outcome);
        return;
    }
    recordLateness(m_state.lateRequestRates[m_plan.service], true);
    const int status = finalStatus(m_attempts, reason);
    kernel::Duration retryAfter{};
    if (status == unavailable) {
        const double seconds
            = retryAfterMinSeconds + retryAfterSpreadSeconds * kernel::uniform01(m_state.random);
        retryAfter = reserveRetryTime(m_state, m_plan.service).value_or(kernel::Duration{})
                     + kernel::fromSeconds(seconds);
    }
    refuse(status, outcome, retryAfter);
}

void Job::finish(int status, std::string_view outcome)
{
    if (m_done)
        return;
    m_done = true;
    // recordUnanswered() has no effect if the request ran to completion.
    recordUnanswered(m_state.crashes, m_plan.fingerprint);
    m_deadlineTimer.cancel();
    m_loadExchange = nullptr;
    stopAttemptTimers();
    m_roomTimer.cancel();
    m_exchange = nullptr;
    m_trial.reset();
    dropKeptResponse(AttemptOutcome::Cancelled);
    leaveServiceQueue();
    reportFinish(m_state, m_request, m_plan,
                 { .status = status,
                   .outcome = outcome,
                   .upstream = m_lastUpstream,
                   .model = m_model,
                   .sends = m_attempts.sent,
                   .mayHaveRun = m_attempts.mayHaveRun,
                   .firstByteAt = m_firstByteAt,
                   .expectedFirstMs = m_expectedFirstMs,
                   .actualFirstMs = m_actualFirstMs });
    const auto onDone = std::move(m_onDone);
    onDone(this);
}

} // namespace acaciasail::forwarding
