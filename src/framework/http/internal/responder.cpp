#include "http/internal/responder.h"

#include <utility>

#include <poll.h>
#include <sys/socket.h>

#include "http/internal/callerconnections.h"
#include "http/internal/socketoptions.h"

namespace acaciasail::http {

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

namespace {

// Empties the text, and frees its memory where that is large.
void dropBytes(std::string &text)
{
    constexpr std::size_t keptBytes = 16U << 10U;
    if (text.capacity() > keptBytes)
        text = std::string();
    text.clear();
}

} // namespace

H2oResponder::H2oResponder(h2o_req_t *request)
    : m_request(request)
    , m_generator{ { &H2oResponder::onProceed, &H2oResponder::onStop }, this }
{}

H2oResponder::~H2oResponder()
{
    end();
    dropBytes(m_queue);
    dropBytes(m_inFlight);
    countQueue();
}

void H2oResponder::attach(std::shared_ptr<CallerConnections> connections)
{
    // The handler keeps a copy of the body, and the request to the upstream holds another.
    constexpr std::size_t bodyCopies = 2;
    m_connections = std::move(connections);
    m_connection = CallerConnections::find(m_request->conn->callbacks->get_socket(m_request->conn));
    const std::size_t bodyBytes = bodyCopies * m_request->entity.len;
    m_connections->requestBegan(*m_connection, bodyBytes);
    void *memory
        = h2o_mem_alloc_shared(&m_request->pool, sizeof(Attachment), &H2oResponder::onDispose);
    m_attachment
        = new (memory) Attachment{ weak_from_this(), m_connections, m_connection, bodyBytes, 0 };
}

void H2oResponder::onDispose(void *memory)
{
    auto *attachment = static_cast<Attachment *>(memory);
    const std::shared_ptr<H2oResponder> responder = attachment->responder.lock();
    if (responder)
        responder->callerGone();
    attachment->connections->addAnswerBytes(*attachment->connection,
                                            -static_cast<std::ptrdiff_t>(attachment->endBytes));
    attachment->connections->requestFreed(attachment->connection, attachment->bodyBytes);
    attachment->~Attachment();
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
    m_attachment->endBytes = body.size();
    m_connections->addAnswerBytes(*m_connection, static_cast<std::ptrdiff_t>(body.size()));
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
    countQueue();
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
    // What the library would send for an error is no part of any answer. Before HTTP/1.1 there are
    // no chunks, and an orderly end would complete the answer.
    constexpr int chunksVersion = 0x101;
    constexpr int http2Version = 0x200;
    if (m_started && m_request->version < chunksVersion)
        resetNow(descriptor());
    else if (m_request->version < http2Version)
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
    m_attachment->endBytes = m_queue.size();
    m_connections->addAnswerBytes(*m_connection, static_cast<std::ptrdiff_t>(m_queue.size()));
    dropBytes(m_queue);
    countQueue();
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
    dropBytes(self->m_inFlight);
    self->countQueue();
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
    dropBytes(m_queue);
    dropBytes(m_inFlight);
    countQueue();
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
    if (m_onEnd) {
        m_connections->requestAnswered(*m_connection);
        std::exchange(m_onEnd, nullptr)();
    }
}

void H2oResponder::countQueue()
{
    if (!m_connections)
        return;
    // While much is queued, reading from the upstream pauses and the next bytes wait in the buffer
    // of its connection.
    constexpr std::size_t sourceBytes = 128U << 10U;
    constexpr std::size_t muchQueued = 64U << 10U;
    std::size_t bytes = queuedBytes();
    if (bytes >= muchQueued)
        bytes = m_queue.capacity() + m_inFlight.capacity() + sourceBytes;
    m_connections->addAnswerBytes(*m_connection, static_cast<std::ptrdiff_t>(bytes)
                                                     - static_cast<std::ptrdiff_t>(m_countedBytes));
    m_countedBytes = bytes;
}

std::size_t H2oResponder::queuedBytes() const
{
    return m_queue.size() + m_inFlight.size();
}

std::size_t H2oResponder::queueLimit() const
{
    return m_connections ? m_connections->queueLimit() : Responder::queueLimit();
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
