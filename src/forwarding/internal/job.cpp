#include "forwarding/internal/job.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "forwarding/internal/requestreport.h"

namespace acaciasail::forwarding {

namespace {

constexpr int firstErrorStatus = 400;
constexpr int unavailable = 503;
constexpr int firstServerError = 500;

// The response must leave this long before the caller's timeout.
constexpr kernel::Duration answerMargin = std::chrono::milliseconds(10);
// Responses that are not streams are buffered until they are complete, up to this size.
constexpr std::size_t maxHeldBody = 256U << 10U;
// Maximum number of unread bytes of a slow caller before reading from the upstream pauses.
constexpr std::size_t maxQueuedBytes = 256U << 10U;
// Kept-alive connections that were idle for longer may have been closed by the peer, so they are
// not used for requests that can't be retried.
constexpr kernel::Duration maxIdleUnsafe = std::chrono::milliseconds(300);
constexpr kernel::Duration maxIdleSafe = std::chrono::seconds(5);
// Divisor of the time left that limits the connect timeout.
constexpr int connectPart = 3;
// Number of failed connects after which a request is refused.
constexpr int maxUnreached = 4;
constexpr double failureShareDecay = 0.02;
// Retry-after time if nothing better is known, with jitter so that callers do not return at the
// same time.
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
    m_end = m_request.arrived
            + std::min(m_request.patience.value_or(m_plan.route.timeout), m_plan.route.timeout)
            - answerMargin;
    m_deadline
        = kernel::Timer(m_state.scheduler, m_end - m_request.arrived, [this] { onDeadline(); });
    noteRequest(m_state.budgets[m_plan.service], m_state.options.retries, now());
    tryNext();
}

kernel::Duration Job::timeLeft() const
{
    return m_end - now();
}

VersionChoice Job::versionForSession() const
{
    const auto rollout = m_state.directory.rollouts.find(m_plan.service);
    if (rollout == m_state.directory.rollouts.end())
        return VersionChoice::Any;
    const auto evidence = m_state.evidence.find(m_plan.service);
    if (rollout->second.state != RolloutState::Completed && evidence != m_state.evidence.end()
        && evidence->second.condemned && evidence->second.target == rollout->second.target)
        return VersionChoice::Old;
    // Requests without a session are divided by their id.
    const std::string &session = m_plan.session.empty() ? m_request.id.str() : m_plan.session;
    return chooseVersion(rollout->second, session);
}

void Job::tryNext()
{
    if (timeLeft() < minAttemptTime) {
        onDeadline();
        return;
    }
    if (m_unreached >= maxUnreached) {
        endWithout(EndReason::NoCapacity, "upstreams_unreachable");
        return;
    }
    if (m_attempts.sent > 0 && !m_repeatTaken
        && !takeRepeat(m_state.budgets[m_plan.service], m_state.options.retries, now())) {
        endWithout(EndReason::Failed, "retry_budget_spent");
        return;
    }
    m_repeatTaken = m_attempts.sent > 0;
    const VersionChoice version = versionForSession();
    UpstreamQuery query;
    query.affinity = m_plan.session;
    query.work = m_request.work ? expectedWork(*m_request.work) : 1;
    query.ownDataCentre = m_state.options.dataCentre;
    query.lane = m_plan.lane;
    query.patientPart = patientPart(m_state.laneWork[m_plan.service]);
    query.now = now();
    const auto choices = chooseAmong(reachableCandidates(m_state, m_plan.service, version), query);
    if (choices.empty())
        endWithout(EndReason::NoCapacity, "no_upstream");
    else if (choices.size() == 1)
        begin(choices.front());
    else
        askLoads(choices);
}

// A request at which an upstream crashed goes to an upstream that runs no other such request, so
// that the next crash shows which of the requests causes it.
std::vector<UpstreamChoice> Job::chooseAmong(const std::vector<const Upstream *> &candidates,
                                             UpstreamQuery query)
{
    if (countCrashes(m_state.crashes, m_plan.fingerprint) > 0) {
        std::set<kernel::UpstreamId> apart = m_tried;
        apart.insert(m_state.suspectsAt.begin(), m_state.suspectsAt.end());
        query.exclude = &apart;
        auto choices = chooseUpstreams(candidates, m_state.records, query, 1, m_state.random);
        if (!choices.empty())
            return choices;
    }
    query.exclude = &m_tried;
    auto choices = chooseUpstreams(candidates, m_state.records, query,
                                   enginesToAsk(candidates.size()), m_state.random);
    if (choices.empty() && !m_tried.empty()) {
        // All candidates were tried; an upstream that refused or broke before may accept the
        // request now.
        query.exclude = nullptr;
        choices = chooseUpstreams(candidates, m_state.records, query, 1, m_state.random);
    }
    return choices;
}

void Job::begin(const UpstreamChoice &choice)
{
    if (crashesUpstreams(m_state.crashes, m_plan.fingerprint)) {
        logPoisonRefused(m_state, m_request, m_plan);
        endWithout(EndReason::Failed, "crashes_upstreams");
        return;
    }
    const Upstream &upstream = *choice.upstream;
    // The upstream may have become unavailable while other engines were queried for their load.
    if (opennessOf(m_state.records[upstream.id].notices, now()) == Openness::Closed) {
        tryNext();
        return;
    }
    const auto rollout = m_state.directory.rollouts.find(m_plan.service);
    Attempt attempt;
    attempt.upstream = upstream.id;
    attempt.process = processOf(upstream);
    attempt.endpoint = upstream.endpoint;
    attempt.version = upstream.version;
    attempt.review.kind = { m_plan.route.name, m_model };
    attempt.review.upstream = upstream.id;
    attempt.review.onTarget
        = rollout != m_state.directory.rollouts.end() && rollout->second.target == upstream.version;
    attempt.review.begun = now();
    attempt.model = m_model;
    attempt.work = m_request.work ? expectedWork(*m_request.work) : 1;
    attempt.begun = now();
    attempt.lastActivity = now();
    attempt.ranBefore = m_attempts.mayHaveRun;
    attempt.suspect = countCrashes(m_state.crashes, m_plan.fingerprint) > 0;
    if (attempt.suspect)
        m_state.suspectsAt.insert(upstream.id);

    AttemptFacts facts;
    facts.endpoint = upstream.endpoint;
    facts.upstream = upstream.id;
    facts.workspace = m_plan.workspace;
    facts.timeLeft = timeLeft();
    facts.model = m_model;
    facts.urgency = engineUrgency(m_plan.route.rank, m_plan.rank);
    facts.resumeAfter = m_lastEventId;
    const bool mayBeLost = m_plan.route.kind == RequestKind::Safe || m_plan.route.resumable;
    facts.maxIdle = mayBeLost ? maxIdleSafe : maxIdleUnsafe;
    facts.connectTimeout = std::min(connectTimeout(m_state), timeLeft() / connectPart);

    kernel::logEvent(kernel::EventId::UpstreamChosen,
                     { { "request", m_request.id },
                       { "route", m_plan.route.name },
                       { "upstream", upstream.id },
                       { "version", upstream.version },
                       { "model", m_model },
                       { "reason", toString(choice.reason) },
                       { "lane", toString(m_plan.lane) },
                       { "in_flight", m_state.records[upstream.id].inFlight },
                       { "send", m_attempts.sent + 1 },
                       { "session", m_plan.session },
                       { "left_ms", kernel::toMilliseconds(timeLeft()) } });
    m_attempt = std::move(attempt);
    m_tried.insert(upstream.id);
    m_lastUpstream = upstream.id.str();
    noteBegin(m_state.records[upstream.id], m_attempt->work);
    m_splitter.reset();
    http::ClientHandlers handlers;
    handlers.onSent = [this] { onSent(); };
    handlers.onHead = [this](const http::ClientHead &head) { onHead(head); };
    handlers.onBody = [this](std::string_view piece) { onBody(piece); };
    handlers.onEnd
        = [this](const kernel::Completion<kernel::Done> &outcome) { onExchangeEnd(outcome); };
    m_exchange = m_state.send(m_state.wire.encode(m_request, facts), std::move(handlers));
    armReview();
}

void Job::onSent()
{
    noteSent(m_attempts);
    noteConnectTime(m_state, now() - m_attempt->begun);
    m_repeatTaken = false;
    m_attempt->sent = true;
    m_attempt->lastActivity = now();
    watchSilence();
}

void Job::onHead(const http::ClientHead &clientHead)
{
    const auto self = shared_from_this();
    m_attempt->lastActivity = now();
    AnswerHead head = m_state.wire.decodeHead(clientHead);
    noteNotices(head);
    if (head.wrongUpstream || head.notRun) {
        noteRefused(m_attempts, m_attempt->ranBefore);
        failAttempt(head.wrongUpstream ? AttemptFailure::WrongUpstream : AttemptFailure::Refused,
                    std::to_string(head.status));
        return;
    }
    if (head.encoded || (head.status < firstErrorStatus && !head.proven)) {
        failAttempt(AttemptFailure::Garbled, head.encoded ? "content encoding" : "no proof");
        return;
    }
    if (m_attempts.answerBegun && (head.status >= firstErrorStatus || !head.events)) {
        // The caller has received the start of a stream, which can only be continued by more
        // events.
        review(reviewFailure);
        failAttempt(AttemptFailure::ServerError, std::to_string(head.status));
        return;
    }
    noteTime(m_state.usual.firstByte[{ m_plan.route.name, m_attempt->model }],
             m_attempt->lastActivity - m_attempt->begun);
    m_attempt->head = std::move(head);
    if (m_attempt->head->status < firstErrorStatus && !m_attempts.answerBegun && escalate())
        return;
}

void Job::noteNotices(const AnswerHead &head)
{
    const auto known = m_state.directory.upstreams.find(m_attempt->upstream);
    // A response of another process under the same upstream id carries no notices for this record.
    const bool replaced = head.wrongUpstream
                          || (known != m_state.directory.upstreams.end()
                              && processOf(known->second.entry) != m_attempt->process);
    if (replaced || !(head.leaving || head.rest || head.restUnreadable))
        return;
    UpstreamNotices &notices = m_state.records[m_attempt->upstream].notices;
    if (head.leaving && noteLeaving(notices, now(), m_state.options.leaveTime))
        logUpstreamLeaving(m_state, m_request, m_attempt->upstream);
    if (head.rest)
        noteRest(notices, now(), *head.rest, m_state.random);
    if (head.rest || head.restUnreadable)
        logUpstreamRests(m_state, m_request, m_attempt->upstream);
}

// Drops the response of a small model with low confidence, before any of it was sent to the caller.
bool Job::escalate()
{
    if (!m_request.work || m_escalated || !mayRepeat(m_attempts))
        return false;
    const kernel::Instant objectiveEnd = m_request.arrived + m_plan.route.latencyObjective;
    const std::string larger
        = escalateTo(m_plan.route, m_state.options.models, *m_request.work, m_model,
                     m_attempt->head->confidence, m_attempts.maxAttempts - m_attempts.sent,
                     objectiveEnd - now(), busyness(m_state.punctuality[m_plan.service]));
    if (larger.empty()
        || !takeRepeat(m_state.budgets[m_plan.service], m_state.options.retries, now()))
        return false;
    kernel::logEvent(kernel::EventId::CascadeEscalated,
                     { { "request", m_request.id },
                       { "from", m_model },
                       { "to", larger },
                       { "confidence", m_attempt->head->confidence.value_or(0) } });
    m_escalated = true;
    m_model = larger;
    // The upstream that read the prompt for the small model is as suitable as any other.
    m_tried.erase(m_attempt->upstream);
    review(reviewFirstByte);
    closeAttempt(RunOutcome::Good);
    m_repeatTaken = true;
    tryNext();
    return true;
}

void Job::onBody(std::string_view piece)
{
    const auto self = shared_from_this();
    const AnswerHead &head = *m_attempt->head;
    if (!head.events || head.status >= firstErrorStatus) {
        m_attempt->lastActivity = now();
        m_attempt->body.append(piece);
        if (m_attempt->body.size() > maxHeldBody) {
            startAnswer();
            m_responder->write(std::exchange(m_attempt->body, {}));
            holdBack();
        }
        return;
    }
    const bool usable
        = m_splitter.feed(piece, [this](const StreamEvent &event) { onEvent(event); });
    if (!usable && m_attempt)
        failAttempt(AttemptFailure::Garbled, "event too long");
}

// Bytes that do not complete an event do not count as activity: only events reset the inactivity
// timeout of a stream.
void Job::noteEvent()
{
    const kernel::Instant at = now();
    if (m_attempt->firstByteSeen) {
        noteTime(m_state.usual.betweenEvents[{ m_plan.route.name, m_attempt->model }],
                 at - m_attempt->lastActivity);
        reviewEvent(m_attempt->review);
    } else {
        m_attempt->firstByteSeen = true;
        review(reviewFirstByte);
    }
    m_attempt->lastActivity = at;
    noteProgress(m_state.crashes, m_plan.fingerprint);
}

// Applies backpressure: reading from the upstream pauses while the caller leaves too many bytes
// unread.
void Job::holdBack()
{
    if (m_responder->queuedBytes() <= maxQueuedBytes || !m_exchange)
        return;
    m_exchange->pauseReading(true);
    m_responder->whenDrained([weak = weak_from_this()] {
        const auto job = weak.lock();
        if (job && job->m_exchange)
            job->m_exchange->pauseReading(false);
    });
}

void Job::onEvent(const StreamEvent &event)
{
    if (m_done)
        return;
    noteEvent();
    startAnswer();
    m_responder->write(event.bytes);
    if (event.id)
        m_lastEventId = event.id;
    holdBack();
}

void Job::noteFirstByte()
{
    m_firstByteAt = now();
    const bool late = m_firstByteAt - m_request.arrived > m_plan.route.latencyObjective / 2;
    notePunctuality(m_state.punctuality[m_plan.service], late);
}

// Sends the head of the response, once.
void Job::startAnswer()
{
    if (m_attempts.answerBegun)
        return;
    m_attempts.answerBegun = true;
    noteFirstByte();
    m_responder->start(m_attempt->head->status, m_attempt->head->headers);
}

void Job::onExchangeEnd(const kernel::Completion<kernel::Done> &outcome)
{
    const auto self = shared_from_this();
    if (outcome.ok()) {
        onAnswerComplete();
        return;
    }
    const kernel::Error &error = outcome.error();
    if (!m_attempt->sent)
        failAttempt(AttemptFailure::NotSent, error.message);
    else if (error.code == kernel::ResultCode::UpstreamProtocol)
        failAttempt(AttemptFailure::Garbled, error.message);
    else
        failAttempt(AttemptFailure::Lost, error.message);
}

void Job::onAnswerComplete()
{
    if (!m_attempt->head) {
        failAttempt(AttemptFailure::Garbled, "no head");
        return;
    }
    const AnswerHead &head = *m_attempt->head;
    if (head.status >= firstServerError) {
        review(reviewFailure);
        if (mayRepeat(m_attempts) || !head.proven) {
            failAttempt(AttemptFailure::ServerError, std::to_string(head.status));
            return;
        }
        closeAttempt(RunOutcome::Failed);
        deliverWhole();
        return;
    }
    if (head.events && m_splitter.partial()) {
        failAttempt(AttemptFailure::Lost, "the stream ends within an event");
        return;
    }
    review(reviewEnd);
    noteRan(m_state.crashes, m_plan.fingerprint, m_state.scheduler.wallNow());
    closeAttempt(RunOutcome::Good);
    deliverWhole();
}

// Sends the rest of a complete response.
void Job::deliverWhole()
{
    const AnswerHead &head = *m_attempt->head;
    const int status = head.status;
    if (m_attempts.answerBegun) {
        if (!m_attempt->body.empty())
            m_responder->write(m_attempt->body);
        m_responder->finish();
    } else {
        noteFirstByte();
        m_responder->send(status, head.headers, m_attempt->body);
    }
    finish(status, "answered");
}

// Finishes the attempt, records its outcome and closes its exchange.
void Job::closeAttempt(RunOutcome outcome)
{
    m_silence.cancel();
    m_reachCheck.cancel();
    m_review.cancel();
    m_exchange = nullptr;
    noteCrashOf(outcome);
    const bool judged = outcome == RunOutcome::Good || outcome == RunOutcome::Failed;
    double &share = m_state.failureShares[m_plan.service];
    if (judged)
        share += failureShareDecay * ((outcome == RunOutcome::Failed ? 1 : 0) - share);
    const auto record = m_state.records.find(m_attempt->upstream);
    if (record == m_state.records.end())
        return;
    if (noteEnd(record->second, outcome, m_attempt->work, share, now())) {
        kernel::logEvent(kernel::EventId::UpstreamEjected,
                         { { "upstream", m_attempt->upstream },
                           { "service", m_plan.service },
                           { "request", m_request.id },
                           { "ejections", record->second.ejections } });
    }
}

void Job::noteCrashOf(RunOutcome outcome)
{
    if (m_attempt->suspect)
        m_state.suspectsAt.extract(m_attempt->upstream);
    const bool broken = outcome == RunOutcome::Broken;
    const bool unanswered = outcome == RunOutcome::Silent || outcome == RunOutcome::Cancelled;
    const auto record = m_state.records.find(m_attempt->upstream);
    const bool unreachable = record != m_state.records.end() && record->second.unreachable;
    if (!m_attempt->sent || !(broken || (unanswered && unreachable)))
        return;
    noteLost(m_state.crashes, { .request = m_request.id,
                                .fingerprint = m_plan.fingerprint,
                                .upstream = m_attempt->upstream,
                                .process = m_attempt->process,
                                .begun = m_attempt->begun,
                                .at = now() });
    m_state.toProbe.insert(m_attempt->upstream);
}

void Job::onCrashEvidence()
{
    const auto self = shared_from_this();
    if (m_done || !m_attempt || !m_exchange || m_attempt->head
        || !crashesUpstreams(m_state.crashes, m_plan.fingerprint))
        return;
    logPoisonRefused(m_state, m_request, m_plan);
    closeAttempt(RunOutcome::Cancelled);
    endWithout(EndReason::Failed, "crashes_upstreams");
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
                       { "took_ms", kernel::toMilliseconds(now() - m_attempt->begun) } });
    switch (failure) {
    case AttemptFailure::Refused:
        closeAttempt(RunOutcome::Full);
        break;
    case AttemptFailure::NotSent:
        ++m_unreached;
        closeAttempt(RunOutcome::Broken);
        break;
    case AttemptFailure::WrongUpstream:
        closeAttempt(RunOutcome::Replaced);
        break;
    case AttemptFailure::Silent:
        closeAttempt(RunOutcome::Silent);
        break;
    case AttemptFailure::Lost:
        closeAttempt(RunOutcome::Broken);
        break;
    case AttemptFailure::Garbled:
    case AttemptFailure::ServerError:
        closeAttempt(RunOutcome::Failed);
        break;
    }
    if (crashesUpstreams(m_state.crashes, m_plan.fingerprint)) {
        logPoisonRefused(m_state, m_request, m_plan);
        endWithout(EndReason::Failed, "crashes_upstreams");
        return;
    }
    if (!mayRepeat(m_attempts)) {
        endWithout(EndReason::Failed, toString(failure));
        return;
    }
    tryNext();
}

void Job::onDeadline()
{
    const auto self = shared_from_this();
    if (m_done)
        return;
    if (m_attempt && m_exchange)
        closeAttempt(RunOutcome::Cancelled);
    endWithout(EndReason::TimedOut, "time_over");
}

void Job::onCallerGone()
{
    const auto self = shared_from_this();
    if (m_done)
        return;
    if (m_attempt && m_exchange)
        closeAttempt(RunOutcome::Cancelled);
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

// Finishes a request for which no upstream gave a response.
void Job::endWithout(EndReason reason, std::string_view why)
{
    if (m_attempts.answerBegun) {
        m_responder->abort();
        finish(0, why);
        return;
    }
    notePunctuality(m_state.punctuality[m_plan.service], true);
    const int status = finalStatus(m_attempts, reason);
    kernel::Duration retryAfter{};
    if (status == unavailable) {
        const double seconds
            = retryAfterMinSeconds + retryAfterSpreadSeconds * kernel::uniform01(m_state.random);
        retryAfter = restOf(m_state, m_plan.service).value_or(kernel::Duration{})
                     + kernel::fromSeconds(seconds);
    }
    refuse(status, why, retryAfter);
}

void Job::finish(int status, std::string_view outcome)
{
    if (m_done)
        return;
    m_done = true;
    // This has no effect if the request ran to completion.
    noteUnanswered(m_state.crashes, m_plan.fingerprint);
    m_deadline.cancel();
    m_question = nullptr;
    m_silence.cancel();
    m_reachCheck.cancel();
    m_review.cancel();
    m_exchange = nullptr;
    reportFinish(m_state, m_request, m_plan,
                 { .status = status,
                   .outcome = outcome,
                   .upstream = m_lastUpstream,
                   .model = m_model,
                   .sends = m_attempts.sent,
                   .mayHaveRun = m_attempts.mayHaveRun,
                   .firstByteAt = m_firstByteAt });
    const auto onDone = std::move(m_onDone);
    onDone(this);
}

} // namespace acaciasail::forwarding
