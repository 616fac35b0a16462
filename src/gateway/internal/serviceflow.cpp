#include "gateway/internal/serviceflow.h"

#include <algorithm>
#include <array>
#include <utility>

#include "gateway/internal/chatrequest.h"

namespace acaciasail::gateway {

namespace {

constexpr std::string_view servicePrefix = "/services/";

// Headers that are not forwarded, because they apply to a single connection only or are set by the
// router itself.
constexpr std::array<std::string_view, 15> nonForwardedHeaders{
    "authorization", "connection",          "content-length", "date", "expect",  "host",
    "keep-alive",    "proxy-authorization", "server",         "te",   "trailer", "upgrade",
    "x-attempt-id",  "transfer-encoding",   "x-request-id",
};

http::Headers forwardedHeaders(const http::Headers &headers)
{
    http::Headers forwarded;
    std::ranges::copy_if(headers, std::back_inserter(forwarded), [](const http::Header &header) {
        return std::ranges::find(nonForwardedHeaders, header.name) == nonForwardedHeaders.end();
    });
    return forwarded;
}

std::string pathWithQuery(const http::ServerRequest &request)
{
    return request.path + (request.query.empty() ? "" : "?" + request.query);
}

bool isSafeMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD";
}

kernel::Result<table::ServiceRow> findService(const std::string &path, const Identity &identity,
                                              const table::Snapshot &snapshot)
{
    const std::string_view rest = std::string_view(path).substr(servicePrefix.size());
    const kernel::ServiceName name{ std::string(rest.substr(0, rest.find('/'))) };
    const auto service = snapshot.services.find(name);
    if (service == snapshot.services.end()) {
        return kernel::fail(kernel::ResultCode::ServiceUnknown,
                            "unknown service \"" + name.str() + "\"");
    }
    if (std::ranges::find(identity.workspace.services, name) == identity.workspace.services.end()) {
        return kernel::fail(kernel::ResultCode::ServiceNotAllowed,
                            "workspace \"" + identity.workspace.id.str()
                                + "\" may not use service \"" + name.str() + "\"");
    }
    return service->second;
}

} // namespace

kernel::Result<ServiceCall> readServiceCall(const http::ServerRequest &request,
                                            const kernel::RequestId &id, const Identity &identity,
                                            const table::Snapshot &snapshot, kernel::Instant now)
{
    ServiceCall call;
    call.id = id;
    BOOST_LEAF_ASSIGN(call.service, findService(request.path, identity, snapshot));
    BOOST_LEAF_ASSIGN(call.idempotencyKey, readIdempotencyKey(request.headers));
    BOOST_LEAF_AUTO(timeout, readTimeout(request.headers));
    call.nonIdempotent = call.service.nonIdempotent && !isSafeMethod(request.method);
    call.deadline = now + timeout.value_or(call.service.timeout);
    call.target = request.target;
    call.request = request;
    return call;
}

ServiceFlow::ServiceFlow(GatewayContext &context, Identity identity, ServiceCall call,
                         table::Rank rank, std::shared_ptr<http::Responder> responder)
    : m_context(context)
    , m_identity(std::move(identity))
    , m_call(std::move(call))
    , m_rank(rank)
    , m_responder(std::move(responder))
    , m_arrived(context.now())
{}

void ServiceFlow::start()
{
    m_self = shared_from_this();
    m_responder->whenClosed([this] { onCallerDisconnected(); });
    const kernel::Completion<kernel::Done> ledgerReady = m_context.ports.checkLedgerCapacity();
    if (!ledgerReady.ok()) {
        fail(makeApiError(ledgerReady.error()));
        return;
    }
    m_fingerprint = poison::makeFingerprint(m_identity.workspace.id, pathWithQuery(m_call.request),
                                            m_call.request.body);
    if (m_call.nonIdempotent && !m_call.idempotencyKey.empty())
        acquireClaim();
    else
        requestAdmission();
}

void ServiceFlow::acquireClaim()
{
    ClaimCallbacks callbacks;
    const auto self = shared_from_this();
    callbacks.onGranted = [self] { self->requestAdmission(); };
    callbacks.onAnswered = [self](const ledger::HeldAnswer &answer) {
        if (self->m_finished)
            return;
        self->m_responder->send(answer.status,
                                { { "content-type", answer.contentType },
                                  { "x-request-id", self->m_call.id.str() },
                                  { "idempotent-replayed", "true" } },
                                answer.body);
        self->finish({ .code = kernel::ResultCode::Ok, .runState = kernel::RunState::Ran });
    };
    callbacks.onRefused = [self](const ApiError &error) { self->fail(error); };
    m_claim.acquire(m_context, m_identity, m_call.id, m_call.idempotencyKey, m_fingerprint.str(),
                    std::move(callbacks));
}

void ServiceFlow::requestAdmission()
{
    if (m_finished) {
        m_claim.resolve(m_context, { .code = kernel::ResultCode::Cancelled }, {});
        return;
    }
    admission::AdmissionRequest ask;
    ask.request = m_call.id;
    ask.workspace = m_identity.workspace.id;
    ask.caller = m_identity.caller.id;
    ask.pool = poolOf(m_call.service.id);
    ask.rank = m_rank;
    ask.arrived = m_arrived;
    ask.deadline = m_call.deadline;
    m_context.admitter->admit(
        m_context.ports.table(), ask,
        [this](const admission::AdmissionDecision &decision) { onAdmissionDecision(decision); });
}

void ServiceFlow::onAdmissionDecision(const admission::AdmissionDecision &decision)
{
    if (decision.outcome == admission::AdmissionOutcome::Refused) {
        fail(refusalOf(decision));
        return;
    }
    m_admitted = true;
    run();
}

void ServiceFlow::run()
{
    upstreams::JobSpec spec;
    spec.request = m_call.id;
    spec.kind = upstreams::JobKind::Service;
    spec.rank = m_rank;
    spec.idempotent = !m_call.nonIdempotent;
    spec.deadline = m_call.deadline;
    spec.method = m_call.request.method;
    spec.path = m_call.target;
    spec.headers = forwardedHeaders(m_call.request.headers);
    spec.body = m_call.request.body;
    spec.fingerprint = m_fingerprint;
    spec.chooseTarget = [this](const upstreams::AttemptContext &attempt) {
        auto target = m_context.router->chooseService(m_call.id, m_call.service.id, attempt);
        if (target.ok())
            m_upstream = target.value().upstream;
        return target;
    };
    upstreams::JobHandlers handlers;
    handlers.onHead = [this](const http::ClientHead &head) { m_head = head; };
    handlers.onBodyPiece = [this](std::string_view piece) { m_body += piece; };
    handlers.onEnd = [this](const upstreams::JobResult &result) { onEnd(result); };
    m_job = m_context.dispatcher->run(std::move(spec), std::move(handlers));
}

void ServiceFlow::onEnd(const upstreams::JobResult &result)
{
    if (m_finished)
        return;
    if (result.code == kernel::ResultCode::Ok) {
        settle();
        return;
    }
    fail({ result.code, result.message, result.runState, result.retryAfter });
}

ledger::BillRecord ServiceFlow::makeBill() const
{
    ledger::BillRecord bill;
    bill.id = kernel::BillId(kernel::randomId(m_context.random, "b-"));
    bill.request = m_call.id;
    bill.workspace = m_identity.workspace.id;
    bill.caller = m_identity.caller.id;
    bill.service = m_call.service.id;
    bill.rank = m_rank;
    bill.cost = m_call.service.pricePerCall;
    bill.at = m_context.scheduler->wallNow();
    return bill;
}

void ServiceFlow::settle()
{
    std::weak_ptr<ServiceFlow> weak = weak_from_this();
    m_context.ports.storeBill(makeBill(), [weak](const kernel::Completion<kernel::Done> &outcome) {
        const auto self = weak.lock();
        if (!self || self->m_finished)
            return;
        if (outcome.ok()) {
            self->sendAnswer();
            self->finish({ .code = kernel::ResultCode::Ok, .runState = kernel::RunState::Ran });
            return;
        }
        ApiError error = makeApiError(outcome.error());
        error.runState = kernel::RunState::Ran;
        self->fail(error);
    });
}

void ServiceFlow::sendAnswer()
{
    http::Headers headers = forwardedHeaders(m_head.headers);
    headers.push_back({ "x-request-id", m_call.id.str() });
    m_responder->send(m_head.status, headers, m_body);
}

void ServiceFlow::fail(const ApiError &error)
{
    if (m_finished)
        return;
    sendError(*m_responder, error, m_call.id);
    finish(error);
}

// A non-idempotent call continues after its caller has disconnected, so that a repeated request
// with the same idempotency key receives the answer.
void ServiceFlow::onCallerDisconnected()
{
    if (m_finished)
        return;
    kernel::logEvent(kernel::EventId::CallerGone, { { "request", m_call.id } });
    if (m_job && m_call.nonIdempotent)
        return;
    finish({ .code = kernel::ResultCode::Cancelled,
             .runState = m_job ? kernel::RunState::Unknown : kernel::RunState::NotRun });
}

// Ends the flow. The object is freed in the next event-loop iteration, because its own handlers are
// still on the call stack.
void ServiceFlow::finish(const ApiError &error)
{
    m_finished = true;
    m_claim.resolve(m_context, error,
                    { m_head.status,
                      std::string(http::findHeader(m_head.headers, "content-type").value_or("")),
                      m_body });
    if (m_admitted && error.runState != kernel::RunState::NotRun)
        m_context.admitter->finish(m_call.id, kernel::Tokens(1));
    else
        m_context.admitter->cancel(m_call.id);
    const metrics::Labels labels{ { "service", m_call.service.id.str() },
                                  { "code", std::string(kernel::describe(error.code).name) } };
    m_context.metrics
        .counter("acaciasail_service_calls_total", "Calls of plain services by result.", labels)
        .add();
    kernel::logEvent(error.code == kernel::ResultCode::Ok ? kernel::EventId::RequestFinished
                                                          : kernel::EventId::RequestRefused,
                     { { "request", m_call.id },
                       { "workspace", m_identity.workspace.id },
                       { "caller", m_identity.caller.id },
                       { "service", m_call.service.id },
                       { "upstream", m_upstream },
                       { "code", kernel::toNumber(error.code) },
                       { "run_state", kernel::toString(error.runState) },
                       { "message", error.message },
                       { "total_us", (m_context.now() - m_arrived).count() } });
    m_context.scheduler->startTimer(kernel::Duration::zero(), [self = std::move(m_self)] {});
}

} // namespace acaciasail::gateway
