#include "wire/internal/serverconnection.h"

#include <string>
#include <utility>
#include <vector>

#include <netinet/tcp.h>

#include "wire/internal/h2oheaders.h"
#include "wire/internal/protocol.h"

namespace acaciasail::wire {

ServerConnection::ServerConnection(TransportContext &context, st_h2o_socket_t *socket,
                                   std::function<void()> onGone)
    : m_context(context)
    , m_socket(socket)
    , m_onGone(std::move(onGone))
{
    const int on = 1;
    setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    http::SocketAddress address;
    address.length = h2o_socket_getpeername(socket, address.get());
    m_from = http::toEndpoint(address);
    if (!m_context.serverTls) {
        begin();
        return;
    }
    m_socket->data = this;
    m_handshakeTimer = kernel::Timer(m_context.loop.scheduler(), m_context.options.connectTimeout,
                                     [this] { onHandshake("no handshake in time"); });
    h2o_socket_ssl_handshake(
        m_socket, m_context.serverTls.get(), nullptr,
        [](h2o_socket_t *accepted, const char *error) {
            static_cast<ServerConnection *>(accepted->data)->onHandshake(error);
        });
}

ServerConnection::~ServerConnection()
{
    if (m_socket != nullptr)
        h2o_socket_close(m_socket);
    m_onGone = nullptr;
    if (m_session != nullptr)
        m_session->close();
}

void ServerConnection::onHandshake(const char *error)
{
    m_handshakeTimer = kernel::Timer();
    if (error == nullptr) {
        begin();
        return;
    }
    h2o_socket_close(std::exchange(m_socket, nullptr));
    if (m_onGone)
        std::exchange(m_onGone, nullptr)();
}

void ServerConnection::begin()
{
    m_session = std::make_shared<Http2Session>(
        Http2Session::Role::Server, std::exchange(m_socket, nullptr),
        m_context.options.maxMessageBytes, m_context.traffic);
    const std::shared_ptr<Http2Session> session = m_session;
    session->start(makeEvents());
}

SessionEvents ServerConnection::makeEvents()
{
    SessionEvents events;
    events.onHeader = [this](std::int32_t stream, std::string_view name, std::string_view value) {
        if (name == ":path")
            m_requests[stream].path = value;
    };
    events.onData = [this](std::int32_t stream, std::string_view piece) {
        Request &request = m_requests[stream];
        request.tooLarge
            = request.tooLarge
              || request.body.size() + piece.size() > m_context.options.maxMessageBytes;
        if (!request.tooLarge)
            request.body += piece;
    };
    events.onEnd = [this](std::int32_t stream) { dispatch(stream); };
    events.onStreamClosed = [this](std::int32_t stream, bool) { m_requests.erase(stream); };
    events.onClosed = [this] {
        if (m_onGone)
            std::exchange(m_onGone, nullptr)();
    };
    return events;
}

void ServerConnection::dispatch(std::int32_t stream)
{
    const Request request = std::exchange(m_requests[stream], {});
    if (request.tooLarge) {
        answerError(stream, { kernel::ResultCode::BodyTooLarge, "the message is too large" });
        return;
    }
    const std::optional<std::string> method = methodOf(request.path);
    const auto handler = method ? m_context.handlers.find(*method) : m_context.handlers.end();
    if (handler == m_context.handlers.end()) {
        answerError(stream, { kernel::ResultCode::PeerProtocol,
                              "no handler for \"" + request.path + "\"" });
        return;
    }
    MethodTraffic &traffic = m_context.traffic.methods[*method];
    ++traffic.messagesIn;
    traffic.bytesIn += request.body.size();
    const Reply reply = [this, stream, method = *method, token = std::weak_ptr<bool>(m_token)](
                            const kernel::Completion<std::string> &completion) {
        if (!token.expired())
            answer(stream, method, completion);
    };
    // A copy, as a handler may be replaced while it runs.
    const MessageHandler handle = handler->second;
    handle(m_from, Message{ *method, request.body }, reply);
}

void ServerConnection::answer(std::int32_t stream, const std::string &method,
                              const kernel::Completion<std::string> &completion)
{
    // The caller may have given up meanwhile.
    if (m_session == nullptr || !m_requests.contains(stream))
        return;
    if (!completion.ok()) {
        answerError(stream, completion.error());
        return;
    }
    const std::size_t bytes = completion.value().size();
    if (bytes > m_context.options.maxMessageBytes
        || m_session->queuedBytes() + bytes > m_context.options.maxQueuedBytes) {
        answerError(stream, { kernel::ResultCode::PeerProtocol, "the answer is too large" });
        return;
    }
    MethodTraffic &traffic = m_context.traffic.methods[method];
    ++traffic.messagesOut;
    traffic.bytesOut += bytes;
    m_session->respond(stream, { { ":status", std::to_string(statusOk) } }, completion.value());
}

void ServerConnection::answerError(std::int32_t stream, const kernel::Error &error)
{
    if (m_session == nullptr)
        return;
    const kernel::ResultCodeInfo &info = kernel::describe(error.code);
    const int status = info.httpStatus == statusOk ? 500 : info.httpStatus;
    m_session->respond(
        stream,
        { { ":status", std::to_string(status) },
          { std::string(codeHeader), std::to_string(kernel::toNumber(error.code)) } },
        error.message);
}

} // namespace acaciasail::wire
