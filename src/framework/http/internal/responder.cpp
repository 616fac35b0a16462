#include "http/internal/responder.h"

#include <utility>

#include <poll.h>
#include <sys/socket.h>

namespace acaciasail::http {

namespace {

const char *reasonOf(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 403:
        return "Forbidden";
    case 404:
        return "Not Found";
    case 429:
        return "Too Many Requests";
    case 408:
        return "Request Timeout";
    case 413:
        return "Payload Too Large";
    case 421:
        return "Misdirected Request";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return status < 400 ? "OK" : "Error";
    }
}

} // namespace

H2oResponder::H2oResponder(h2o_req_t *request)
    : m_request(request)
    , m_generator{ { &H2oResponder::onProceed, &H2oResponder::onStop }, this }
{}

H2oResponder::~H2oResponder()
{
    end();
}

void H2oResponder::attach(std::shared_ptr<std::size_t> unsentAnswers)
{
    ++*unsentAnswers;
    void *memory
        = h2o_mem_alloc_shared(&m_request->pool, sizeof(Attachment), &H2oResponder::onDispose);
    new (memory) Attachment{ weak_from_this(), std::move(unsentAnswers) };
}

void H2oResponder::onDispose(void *memory)
{
    auto *attachment = static_cast<Attachment *>(memory);
    --*attachment->unsentAnswers;
    const std::shared_ptr<H2oResponder> responder = attachment->responder.lock();
    attachment->~Attachment();
    if (responder)
        responder->callerGone();
}

void H2oResponder::setHead(int status, const Headers &headers)
{
    m_request->res.status = status;
    m_request->res.reason = reasonOf(status);
    for (const Header &header : headers) {
        const h2o_iovec_t value
            = h2o_strdup(&m_request->pool, header.value.data(), header.value.size());
        const h2o_iovec_t name
            = h2o_strdup(&m_request->pool, header.name.data(), header.name.size());
        h2o_add_header_by_str(&m_request->pool, &m_request->res.headers, name.base, name.len, 1,
                              nullptr, value.base, value.len);
    }
}

void H2oResponder::send(int status, const Headers &headers, std::string_view body)
{
    if (m_request == nullptr || m_started)
        return;
    const auto keepAlive = shared_from_this();
    m_started = true;
    setHead(status, headers);
    m_request->res.content_length = body.size();
    // The request may be freed within the call, so it is let go first.
    h2o_req_t *request = std::exchange(m_request, nullptr);
    end();
    h2o_send_inline(request, body.data(), body.size());
}

void H2oResponder::start(int status, const Headers &headers)
{
    if (m_request == nullptr || m_started)
        return;
    m_started = true;
    m_self = shared_from_this();
    setHead(status, headers);
    h2o_start_response(m_request, &m_generator.super);
    pump();
}

void H2oResponder::write(std::string_view piece)
{
    if (m_request == nullptr || !m_started || m_finishing)
        return;
    m_queue.append(piece);
    pump();
}

void H2oResponder::finish()
{
    if (m_request == nullptr || !m_started)
        return;
    m_finishing = true;
    pump();
}

void H2oResponder::abort()
{
    if (m_request == nullptr)
        return;
    // Over HTTP/1 the caller sees the connection end: before an answer's head, or within its body.
    // What the library would send for an error is no part of any answer.
    constexpr int http2Version = 0x200;
    if (m_request->version < http2Version)
        shutdown(descriptor(), SHUT_RDWR);
    if (!m_started)
        start(500, {});
    m_aborting = true;
    pump();
}

void H2oResponder::pump()
{
    if (m_request == nullptr || m_sending)
        return;
    if (m_aborting) {
        sendFinal(H2O_SEND_STATE_ERROR);
        return;
    }
    if (m_finishing) {
        sendFinal(H2O_SEND_STATE_FINAL);
        return;
    }
    if (m_queue.empty())
        return;
    m_wrote = true;
    m_inFlight.swap(m_queue);
    m_queue.clear();
    m_sending = true;
    h2o_iovec_t buffer = h2o_iovec_init(m_inFlight.data(), m_inFlight.size());
    h2o_send(m_request, &buffer, 1, H2O_SEND_STATE_IN_PROGRESS);
}

void H2oResponder::sendFinal(h2o_send_state_t state)
{
    const auto keepAlive = shared_from_this();
    h2o_req_t *request = std::exchange(m_request, nullptr);
    // The last piece is copied into the request's memory, which lives until it is sent.
    h2o_iovec_t buffer = h2o_strdup(&request->pool, m_queue.data(), m_queue.size());
    const std::size_t count = m_queue.empty() || state == H2O_SEND_STATE_ERROR ? 0 : 1;
    end();
    h2o_send(request, &buffer, count, state);
}

void H2oResponder::onProceed(h2o_generator_t *generator, h2o_req_t *)
{
    H2oResponder *self = reinterpret_cast<Generator *>(generator)->owner;
    if (self == nullptr || self->m_request == nullptr)
        return;
    const auto keepAlive = self->shared_from_this();
    self->m_sending = false;
    self->m_inFlight.clear();
    self->pump();
    if (self->m_request != nullptr && !self->m_sending && self->m_onDrained)
        std::exchange(self->m_onDrained, nullptr)();
}

void H2oResponder::onStop(h2o_generator_t *generator, h2o_req_t *)
{
    H2oResponder *self = reinterpret_cast<Generator *>(generator)->owner;
    if (self == nullptr)
        return;
    const auto keepAlive = self->shared_from_this();
    self->callerGone();
}

void H2oResponder::callerGone()
{
    if (m_request == nullptr)
        return;
    const auto keepAlive = shared_from_this();
    m_request = nullptr;
    const std::function<void()> onClosed = std::move(m_onClosed);
    end();
    if (onClosed)
        onClosed();
}

void H2oResponder::hangUp()
{
    if (m_request == nullptr || m_sending)
        return;
    const auto keepAlive = shared_from_this();
    const std::function<void()> onClosed = std::move(m_onClosed);
    abort();
    if (onClosed)
        onClosed();
}

int H2oResponder::descriptor() const
{
    if (m_request == nullptr)
        return -1;
    return h2o_socket_get_fd(m_request->conn->callbacks->get_socket(m_request->conn));
}

bool H2oResponder::hasCallerLeft() const
{
    if (m_request == nullptr)
        return true;
    // Reads nothing, so pipelined requests stay where they are.
    pollfd connection{ descriptor(), POLLRDHUP, 0 };
    return poll(&connection, 1, 0) > 0
           && (connection.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void H2oResponder::end()
{
    m_onClosed = nullptr;
    m_onDrained = nullptr;
    m_self = nullptr;
    if (m_onEnd)
        std::exchange(m_onEnd, nullptr)();
}

std::size_t H2oResponder::queuedBytes() const
{
    return m_queue.size() + m_inFlight.size();
}

void H2oResponder::whenDrained(std::function<void()> function)
{
    m_onDrained = std::move(function);
}

void H2oResponder::whenClosed(std::function<void()> function)
{
    m_onClosed = std::move(function);
}

} // namespace acaciasail::http
