#include "gateway/internal/chatflow.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciasail::gateway {

namespace {

constexpr std::string_view newSessionValue = "new";

} // namespace

ChatFlow::ChatFlow(GatewayContext &context, Identity identity, ChatRequest request,
                   table::Rank rank, std::shared_ptr<http::Responder> responder)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_request(std::move(request))
    , m_rank(rank)
    , m_responder(std::move(responder))
    , m_arrived(context.now())
{
    const kernel::Duration timeout = m_request.timeout.value_or(
        context.options.defaultTimeouts.at(static_cast<std::size_t>(rank)));
    m_deadline = m_arrived + timeout;
}

void ChatFlow::start()
{
    m_self = shared_from_this();
    m_responder->whenClosed([this] { onCallerDisconnected(); });
    const kernel::Completion<kernel::Done> ledgerReady = m_context.ports.checkLedgerCapacity();
    if (!ledgerReady.ok()) {
        fail(makeApiError(ledgerReady.error()));
        return;
    }
    if (!readSession())
        return;
    if (m_request.idempotencyKey.empty())
        chooseVersion();
    else
        acquireClaim();
}

void ChatFlow::acquireClaim()
{
    ClaimCallbacks callbacks;
    const auto self = shared_from_this();
    callbacks.onGranted = [self] { self->chooseVersion(); };
    callbacks.onAnswered = [self](const ledger::HeldAnswer &answer) { self->replay(answer); };
    callbacks.onRefused = [self](const ApiError &error) { self->fail(error); };
    const poison::Fingerprint fingerprint
        = poison::makeFingerprint(m_identity.workspace.id, "/v1/chat/completions", m_request.body);
    m_claim.acquire(m_context, m_identity, m_request.id, m_request.idempotencyKey,
                    fingerprint.str(), std::move(callbacks));
}

// Sends the answer of an earlier request with the same idempotency key. That request was already
// billed, so this one is not.
void ChatFlow::replay(const ledger::HeldAnswer &answer)
{
    if (m_finished)
        return;
    http::Headers headers
        = responseHeaders(m_request.stream ? "text/event-stream" : answer.contentType.c_str());
    headers.push_back({ "idempotent-replayed", "true" });
    m_responder->send(answer.status, headers,
                      m_request.stream ? formatAnswerAsStream(answer.body) : answer.body);
    finish({ .code = kernel::ResultCode::Ok, .runState = kernel::RunState::Ran });
}

void ChatFlow::chooseVersion()
{
    if (m_finished) {
        m_claim.resolve(m_context, { .code = kernel::ResultCode::Cancelled }, {});
        return;
    }
    const table::SnapshotPtr snapshot = m_context.ports.table();
    m_facts = makeFacts();
    m_decision = m_context.router->chooseVersion(*snapshot, m_facts);
    if (!m_decision.ok()) {
        fail(
            makeApiError(m_decision.code, "no version of the model can take the request: "
                                              + std::string(routing::toString(m_decision.reason))));
        return;
    }
    requestAdmission(snapshot);
}

// Reads the session id that the caller sent. Refuses the request and returns false if the id is
// invalid or belongs to another workspace.
bool ChatFlow::readSession()
{
    if (m_request.session.empty())
        return true;
    if (m_request.session == newSessionValue) {
        m_newSession = true;
        return true;
    }
    const auto pin = kernel::capture([this] {
        return routing::readSession(m_context.options.sessionSecret, m_request.session);
    });
    if (!pin.ok() || pin.value().workspace != m_identity.workspace.id) {
        fail(makeApiError(kernel::ResultCode::SessionMalformed,
                          "X-Session-Id is not a session of this workspace"));
        return false;
    }
    m_callerSession = pin.value();
    m_responseSessionId = m_request.session;
    return true;
}

routing::RequestFacts ChatFlow::makeFacts() const
{
    routing::RequestFacts facts;
    facts.request = m_request.id;
    facts.workspace = m_identity.workspace.id;
    facts.kind = m_request.kind;
    facts.model = m_request.model;
    facts.rank = m_rank;
    facts.inputTokens = m_request.inputTokens;
    facts.expectedOutput = kernel::Tokens(
        m_request.maxTokens.value_or(m_context.options.defaultOutputTokens.count()));
    facts.inSession = m_callerSession.has_value() || m_newSession;
    facts.stickyKey = m_callerSession ? m_callerSession->session.str() : m_request.id.str();
    if (m_callerSession)
        facts.sessionVersion = m_callerSession->version;
    return facts;
}

void ChatFlow::requestAdmission(const table::SnapshotPtr &snapshot)
{
    admission::AdmissionRequest ask;
    ask.request = m_request.id;
    ask.workspace = m_identity.workspace.id;
    ask.caller = m_identity.caller.id;
    ask.pool = poolOf(snapshot->versions.at(m_decision.version).model);
    ask.rank = m_rank;
    ask.estimate = m_facts.inputTokens + m_facts.expectedOutput;
    ask.arrived = m_arrived;
    ask.deadline = m_deadline;
    m_context.admitter->admit(snapshot, ask, [this](const admission::AdmissionDecision &decision) {
        onAdmissionDecision(decision);
    });
}

void ChatFlow::onAdmissionDecision(const admission::AdmissionDecision &decision)
{
    if (decision.outcome == admission::AdmissionOutcome::Refused) {
        fail(refusalOf(decision));
        return;
    }
    m_admitted = true;
    run(m_decision.version);
}

void ChatFlow::run(const kernel::VersionId &version)
{
    m_answer = {};
    m_answer.version = version;
    m_answer.startedAt = m_context.now();
    upstreams::JobHandlers handlers;
    handlers.onText = [this](std::string_view text, std::int64_t) { onText(text); };
    handlers.onEnd = [this](const upstreams::JobResult &result) { onEnd(result); };
    m_job = m_context.dispatcher->run(makeJob(version), std::move(handlers));
}

upstreams::JobSpec ChatFlow::makeJob(const kernel::VersionId &version)
{
    upstreams::JobSpec spec;
    spec.request = m_request.id;
    spec.rank = m_rank;
    spec.idempotent = true;
    spec.deadline = m_deadline;
    // These headers tell the rating service which workspace and kind of request an answer belongs
    // to.
    spec.headers = { { "content-type", "application/json" },
                     { "x-workspace", m_identity.workspace.id.str() },
                     { "x-request-kind", m_request.kind.str() } };
    spec.body = upstreamBody(m_request, version, m_rank);
    spec.stream = m_request.stream;
    spec.fingerprint = poison::makeFingerprint(m_identity.workspace.id, spec.path, m_request.body);
    spec.chooseTarget = [this, version](const upstreams::AttemptContext &attempt) {
        return m_context.router->chooseTarget(m_facts, version, m_request.prefixes, attempt);
    };
    return spec;
}

// An answer that is not streamed is buffered and sent as a whole. If the request may be repeated
// with a stronger version, the first answer is buffered until this has been decided.
bool ChatFlow::buffersAnswer() const
{
    return !m_request.stream || (m_decision.escalateTo && !m_escalated);
}

void ChatFlow::onText(std::string_view text)
{
    if (!m_answer.firstTokenAt)
        m_answer.firstTokenAt = m_context.now();
    ++m_answer.tokens;
    if (buffersAnswer()) {
        m_answer.text += text;
        return;
    }
    startStream();
    if (!m_request.idempotencyKey.empty())
        m_streamedText += text;
    m_responder->write(m_chunkFormatter->text(text));
    if (m_responder->queuedBytes() <= m_context.options.maxCallerQueueBytes)
        return;
    m_responder->abort();
    onCallerDisconnected();
}

void ChatFlow::startStream()
{
    if (std::exchange(m_streaming, true))
        return;
    issueSession();
    m_chunkFormatter.emplace(
        AnswerMetadata{ m_request.id, m_answer.version, m_context.scheduler->wallNow() });
    m_responder->start(200, responseHeaders("text/event-stream"));
    m_responder->write(m_chunkFormatter->first());
}

http::Headers ChatFlow::responseHeaders(const char *contentType) const
{
    http::Headers headers{ { "content-type", contentType },
                           { "x-request-id", m_request.id.str() },
                           { "cache-control", "no-store" } };
    if (!m_responseSessionId.empty())
        headers.push_back({ "x-session-id", m_responseSessionId });
    return headers;
}

void ChatFlow::issueSession()
{
    const bool rebinds = m_callerSession && (m_decision.rebindsSession || m_escalated);
    if (!m_newSession && !rebinds)
        return;
    routing::SessionPin pin;
    pin.workspace = m_identity.workspace.id;
    pin.version = m_answer.version;
    pin.issuedAt = m_context.scheduler->wallNow();
    if (m_callerSession)
        pin.session = m_callerSession->session;
    m_responseSessionId
        = routing::issueSession(m_context.options.sessionSecret, pin, m_context.random);
    kernel::logEvent(rebinds ? kernel::EventId::SessionRebound : kernel::EventId::SessionPinned,
                     { { "request", m_request.id },
                       { "version", pin.version },
                       { "reason", routing::toString(m_decision.reason) } });
}

void ChatFlow::onEnd(const upstreams::JobResult &result)
{
    if (m_finished)
        return;
    m_answer.usage = result.usage;
    m_answer.finishReason = result.finishReason;
    if (m_answer.usage.output.count() == 0)
        m_answer.usage.output = kernel::Tokens(m_answer.tokens);
    routing::RolloutOutcome outcome;
    outcome.error = result.code != kernel::ResultCode::Ok;
    if (m_answer.firstTokenAt)
        outcome.latency = *m_answer.firstTokenAt - m_answer.startedAt;
    if (result.code == kernel::ResultCode::Ok || result.runState != kernel::RunState::NotRun)
        m_context.router->recordOutcome(m_answer.version, outcome);
    if (result.code == kernel::ResultCode::Ok)
        onAnswered(result);
    else
        onFailed(result);
}

void ChatFlow::onAnswered(const upstreams::JobResult &)
{
    addAnswerToTotals();
    if (shouldEscalate()) {
        recordAnswer(false);
        m_escalated = true;
        kernel::logEvent(kernel::EventId::CascadeEscalated, { { "request", m_request.id },
                                                              { "from", m_answer.version },
                                                              { "to", *m_decision.escalateTo } });
        run(*m_decision.escalateTo);
        return;
    }
    recordAnswer(true);
    settle();
}

bool ChatFlow::shouldEscalate()
{
    if (!m_decision.escalateTo || m_escalated)
        return false;
    const table::SnapshotPtr snapshot = m_context.ports.table();
    const routing::AnswerQualitySignals signal{ .finish = m_answer.finishReason == "length"
                                                              ? routing::FinishReason::Length
                                                              : routing::FinishReason::Stop,
                                                .outputTokens = m_answer.usage.output.count() };
    const routing::EscalationDecision decision
        = routing::decideEscalation(*snapshot, m_context.router->rollouts(), m_facts, m_decision,
                                    routing::answerConfidence(signal), m_context.ports.freshness());
    return decision.escalates;
}

void ChatFlow::recordAnswer(bool delivered)
{
    routing::AnswerFacts facts;
    facts.request = m_request.id;
    facts.workspace = m_identity.workspace.id;
    facts.kind = m_request.kind;
    facts.version = m_answer.version;
    facts.latency = m_context.now() - m_answer.startedAt;
    facts.escalated = m_escalated;
    facts.firstOfCascade = m_decision.escalateTo.has_value() && !m_escalated;
    facts.delivered = delivered;
    m_context.router->recordAnswer(facts);
}

// Adds the usage and the cost of the current answer to the totals of the request.
void ChatFlow::addAnswerToTotals()
{
    m_totalUsage.input += m_answer.usage.input;
    m_totalUsage.output += m_answer.usage.output;
    const table::SnapshotPtr snapshot = m_context.ports.table();
    const auto version = snapshot->versions.find(m_answer.version);
    if (version != snapshot->versions.end())
        m_totalCostMicro
            += routing::costOf(version->second, m_answer.usage.input, m_answer.usage.output);
}

void ChatFlow::onFailed(const upstreams::JobResult &result)
{
    // Text that reached the caller is billed even if the answer was interrupted.
    if (m_answer.tokens > 0 && m_streaming) {
        addAnswerToTotals();
        m_context.ports.storeBill(makeBill(), [](const kernel::Completion<kernel::Done> &) {});
    }
    ApiError error{ result.code, result.message, result.runState, result.retryAfter };
    fail(error);
}

ledger::BillRecord ChatFlow::makeBill() const
{
    ledger::BillRecord bill;
    bill.id = kernel::BillId(kernel::randomId(m_context.random, "b-"));
    bill.request = m_request.id;
    bill.workspace = m_identity.workspace.id;
    bill.caller = m_identity.caller.id;
    bill.version = m_answer.version;
    bill.rank = m_rank;
    bill.inputTokens = m_totalUsage.input;
    bill.outputTokens = m_totalUsage.output;
    bill.cost = kernel::MicroCurrency(static_cast<std::int64_t>(std::ceil(m_totalCostMicro)));
    bill.at = m_context.scheduler->wallNow();
    return bill;
}

void ChatFlow::settle()
{
    std::weak_ptr<ChatFlow> weak = weak_from_this();
    m_context.ports.storeBill(makeBill(), [weak](const kernel::Completion<kernel::Done> &outcome) {
        if (const auto self = weak.lock())
            self->onSettled(outcome);
    });
}

void ChatFlow::onSettled(const kernel::Completion<kernel::Done> &outcome)
{
    if (m_finished)
        return;
    if (!outcome.ok()) {
        ApiError error = makeApiError(outcome.error());
        error.runState = kernel::RunState::Ran;
        fail(error);
        return;
    }
    sendAnswer();
    finish({ .code = kernel::ResultCode::Ok, .runState = kernel::RunState::Ran });
}

void ChatFlow::sendAnswer()
{
    if (!m_request.stream) {
        issueSession();
        buildCompleteAnswer();
        m_responder->send(m_completeAnswer.status, responseHeaders("application/json"),
                          m_completeAnswer.body);
        return;
    }
    startStream();
    if (!m_answer.text.empty())
        m_responder->write(m_chunkFormatter->text(m_answer.text));
    m_responder->write(
        m_chunkFormatter->last(m_answer.finishReason, m_totalUsage, m_request.includeUsage));
    m_responder->write(streamEnd);
    m_responder->finish();
    if (!m_request.idempotencyKey.empty())
        buildCompleteAnswer();
}

// Builds the complete answer, which is sent to the caller and to repeated requests with the same
// idempotency key.
void ChatFlow::buildCompleteAnswer()
{
    const AnswerMetadata metadata{ m_request.id, m_answer.version, m_context.scheduler->wallNow() };
    m_completeAnswer = { 200, "application/json",
                         formatAnswer(metadata, m_streamedText + m_answer.text,
                                      m_answer.finishReason, m_totalUsage) };
}

void ChatFlow::fail(const ApiError &error)
{
    if (m_finished)
        return;
    if (m_streaming) {
        m_responder->write(errorEvent(errorBody(error, m_request.id)));
        m_responder->finish();
    } else {
        sendError(*m_responder, error, m_request.id);
    }
    finish(error);
}

void ChatFlow::onCallerDisconnected()
{
    if (m_finished)
        return;
    kernel::logEvent(kernel::EventId::CallerGone,
                     { { "request", m_request.id }, { "tokens", m_answer.tokens } });
    m_answer.usage.output = kernel::Tokens(m_answer.tokens);
    if (m_answer.tokens > 0) {
        m_answer.usage.input = m_request.inputTokens;
        addAnswerToTotals();
        m_context.ports.storeBill(makeBill(), [](const kernel::Completion<kernel::Done> &) {});
    }
    finish({ .code = kernel::ResultCode::Cancelled,
             .runState = m_job ? kernel::RunState::Unknown : kernel::RunState::NotRun });
}

// Ends the flow. The object is freed in the next event-loop iteration, because its own handlers are
// still on the call stack.
void ChatFlow::finish(const ApiError &error)
{
    m_finished = true;
    m_claim.resolve(m_context, error, m_completeAnswer);
    const kernel::Tokens used = m_totalUsage.input + m_totalUsage.output;
    const bool ran
        = error.code == kernel::ResultCode::Ok || error.runState != kernel::RunState::NotRun;
    if (m_admitted && ran)
        m_context.admitter->finish(m_request.id, used);
    else
        m_context.admitter->cancel(m_request.id);
    logFinished(error);
    m_context.scheduler->startTimer(kernel::Duration::zero(), [self = std::move(m_self)] {});
}

void ChatFlow::logFinished(const ApiError &error) const
{
    const metrics::Labels labels{ { "rank", std::string(tierOf(m_rank)) },
                                  { "code", std::string(kernel::describe(error.code).name) } };
    m_context.metrics.counter("acaciasail_requests_total", "Requests by rank and result.", labels)
        .add();
    const kernel::Duration total = m_context.now() - m_arrived;
    m_context.metrics.histogram("acaciasail_request_seconds", "Total time of requests.").add(total);
    const bool ok = error.code == kernel::ResultCode::Ok;
    if (ok && m_answer.firstTokenAt) {
        m_context.metrics
            .histogram("acaciasail_first_token_seconds", "Time to the first token.",
                       { { "rank", std::string(tierOf(m_rank)) } })
            .add(*m_answer.firstTokenAt - m_arrived);
    }
    kernel::logEvent(ok ? kernel::EventId::RequestFinished : kernel::EventId::RequestRefused,
                     { { "request", m_request.id },
                       { "workspace", m_identity.workspace.id },
                       { "caller", m_identity.caller.id },
                       { "version", m_answer.version },
                       { "code", kernel::toNumber(error.code) },
                       { "run_state", kernel::toString(error.runState) },
                       { "message", error.message },
                       { "input_tokens", m_totalUsage.input },
                       { "output_tokens", m_totalUsage.output },
                       { "cost", m_totalCostMicro },
                       { "total_us", total.count() } });
}

} // namespace acaciasail::gateway
