/// Response handling of JobRun: response head, events of a stream, complete bodies and the end.

#include <algorithm>
#include <utility>

#include "upstreams/internal/engineevent.h"
#include "upstreams/internal/jobrun.h"

namespace acaciasail::upstreams {

using kernel::Completion;
using kernel::ResultCode;
using kernel::RunState;

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;
constexpr int statusServerError = 500;
/// Maximum body size of a complete response or an error.
constexpr std::size_t maxResponseBytes = 8U << 20U;

const std::string *headerValue(const http::Headers &headers, std::string_view name)
{
    const auto found = std::ranges::find(headers, name, &http::Header::name);
    return found == headers.end() ? nullptr : &found->value;
}

bool headerDiffers(const http::Headers &headers, std::string_view name, const std::string &expected)
{
    const std::string *value = headerValue(headers, name);
    return value != nullptr && *value != expected;
}

} // namespace

void JobRun::handleHead(const http::ClientHead &head)
{
    m_attempt->head = head;
    if (headerDiffers(head.headers, "x-request-id", m_spec.request.str())
        || headerDiffers(head.headers, "x-attempt-id", m_attempt->id)) {
        attemptFailed(ResultCode::UpstreamProtocol, RunState::Unknown,
                      "the response belongs to another request or attempt");
        return;
    }
    if (m_spec.kind == JobKind::Service) {
        recordFirstToken();
        m_responseStarted = true;
        if (m_handlers.onHead)
            m_handlers.onHead(head);
    }
}

void JobRun::recordFirstToken()
{
    if (!m_attempt->firstTokenAt)
        m_attempt->firstTokenAt = m_context.scheduler->now();
    if (!m_result.firstTokenAt)
        m_result.firstTokenAt = m_attempt->firstTokenAt;
}

void JobRun::handleBody(std::string_view piece)
{
    if (!m_attempt->head)
        return;
    if (m_spec.kind == JobKind::Service) {
        if (m_handlers.onBodyPiece)
            m_handlers.onBodyPiece(piece);
        return;
    }
    if (m_spec.stream && m_attempt->head->status == statusOk) {
        handleStreamPiece(piece);
        return;
    }
    if (m_attempt->body.size() + piece.size() > maxResponseBytes) {
        attemptFailed(ResultCode::UpstreamProtocol, RunState::Ran, "the response body is too long");
        return;
    }
    m_attempt->body += piece;
}

void JobRun::handleStreamPiece(std::string_view piece)
{
    const auto self = shared_from_this();
    const std::string attemptId = m_attempt->id;
    // The parser is moved out of the attempt, because a handler may cancel the job and so destroy
    // the attempt.
    SseParser sse = std::move(m_attempt->sse);
    const bool withinLimit = sse.feed(piece, [&](std::string_view data) {
        if (!m_ended && m_attempt && m_attempt->id == attemptId
            && m_attempt->protocolViolation == nullptr)
            handleEvent(data);
    });
    if (m_ended || !m_attempt || m_attempt->id != attemptId)
        return;
    m_attempt->sse = std::move(sse);
    if (!withinLimit)
        m_attempt->protocolViolation = "an event of the stream is too long";
    if (m_attempt->protocolViolation != nullptr)
        attemptFailed(ResultCode::UpstreamProtocol, RunState::Ran, m_attempt->protocolViolation);
}

void JobRun::handleEvent(std::string_view data)
{
    if (data == streamEndMarker) {
        if (m_assembler.finished())
            succeed();
        return;
    }
    std::optional<EngineEvent> event = parseEngineEvent(data);
    if (!event) {
        m_attempt->protocolViolation = "an event of the stream is not valid JSON";
        return;
    }
    if (!event->errorCode.empty()) {
        m_attempt->protocolViolation = "the engine reported an error in the stream";
        return;
    }
    const bool hasToken = !event->content.empty();
    const EventOutcome outcome = m_assembler.take(std::move(*event));
    if (outcome == EventOutcome::Invalid && m_attempt)
        m_attempt->protocolViolation
            = "a token has no index or too many earlier tokens are missing";
    if (outcome == EventOutcome::Delivered && hasToken && m_attempt)
        recordFirstToken();
}

void JobRun::handleEnd(const Completion<kernel::Done> &end)
{
    if (!end.ok()) {
        const bool neverSent
            = end.error().code == ResultCode::UpstreamConnectFailed && !m_attempt->sent;
        if (streamed() && m_assembler.finished()) {
            succeed();
            return;
        }
        attemptFailed(neverSent ? ResultCode::UpstreamConnectFailed
                      : end.error().code == ResultCode::UpstreamConnectFailed
                          ? ResultCode::UpstreamBroken
                          : end.error().code,
                      attemptRunState(), end.error().message);
        return;
    }
    if (!m_attempt->head) {
        attemptFailed(ResultCode::UpstreamProtocol, RunState::Unknown, "the response has no head");
        return;
    }
    const bool isServiceCall = m_spec.kind == JobKind::Service;
    const int status = m_attempt->head->status;
    if (isServiceCall || (status == statusOk && m_assembler.finished()))
        succeed();
    else if (status != statusOk)
        handleErrorResponse();
    else if (!m_spec.stream)
        handleCompleteResponse();
    else
        attemptFailed(ResultCode::UpstreamBroken, RunState::Ran,
                      "the stream ended before its finish event");
}

void JobRun::handleCompleteResponse()
{
    std::optional<EngineEvent> response = parseEngineEvent(m_attempt->body);
    const bool matchesAttempt
        = response && (response->request.empty() || response->request == m_spec.request.str())
          && (response->attempt.empty() || response->attempt == m_attempt->id);
    if (!matchesAttempt || response->finishReason.empty()) {
        attemptFailed(ResultCode::UpstreamProtocol, RunState::Ran,
                      "the response is malformed or belongs to another request or attempt");
        return;
    }
    m_result.usage = response->usage.value_or(Usage{});
    m_result.finishReason = response->finishReason;
    recordFirstToken();
    const auto self = shared_from_this();
    if (m_handlers.onText)
        m_handlers.onText(response->content, 0);
    if (!m_ended)
        succeed();
}

void JobRun::handleErrorResponse()
{
    const int status = m_attempt->head->status;
    const std::optional<EngineEvent> response = parseEngineEvent(m_attempt->body);
    const std::string message = "the upstream responded with status " + std::to_string(status);
    if (status == statusUnavailable && response && response->errorCode == "overloaded")
        attemptFailed(ResultCode::UpstreamOverloaded, RunState::NotRun, message);
    else if (status == statusNotFound)
        attemptFailed(ResultCode::UpstreamRefused, RunState::NotRun, message);
    else if (status < statusServerError)
        endAsRefused(message);
    else
        attemptFailed(ResultCode::UpstreamProtocol, RunState::Unknown, message);
}

void JobRun::endAsRefused(const std::string &message)
{
    // There is no retry, because another engine would refuse the same request as well.
    m_result.code = ResultCode::UpstreamRefused;
    m_result.message = message;
    endAttempt(ResultCode::UpstreamRefused, false);
    end();
}

} // namespace acaciasail::upstreams
