#include "wire/internal/peerlink.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

#include <netinet/tcp.h>

#include "wire/internal/h2oheaders.h"
#include "wire/internal/protocol.h"

namespace acaciasail::wire {

namespace {

// Time for a sign of life after a call timed out.
constexpr std::chrono::milliseconds pingTimeout{ 1000 };

kernel::Error unreachable(const std::string &where, const std::string &reason)
{
    return { kernel::ResultCode::PeerUnreachable, "peer " + where + ": " + reason };
}

} // namespace

kernel::Duration backoffAfter(const TransportOptions &options, int failures)
{
    kernel::Duration backoff = options.firstBackoff;
    for (int i = 1; i < failures && backoff < options.longestBackoff; ++i)
        backoff *= 2;
    return std::min(backoff, options.longestBackoff);
}

PeerLink::PeerLink(TransportContext &context, kernel::Endpoint endpoint)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
{}

PeerLink::~PeerLink()
{
    dropSocket();
    if (m_session != nullptr) {
        m_calls.clear();
        m_session->close();
    }
}

void PeerLink::call(Message message, kernel::Duration timeout,
                    kernel::Callback<std::string> callback)
{
    const std::size_t bytes = message.payload.size();
    m_lastCallAt = m_context.loop.scheduler().now();
    if (bytes > m_context.options.maxMessageBytes) {
        failSoon(std::move(callback), kernel::ResultCode::BodyTooLarge,
                 "message \"" + message.method + "\" has " + std::to_string(bytes) + " bytes");
        return;
    }
    if (m_pendingBytes + bytes > m_context.options.maxQueuedBytes) {
        failSoon(std::move(callback), kernel::ResultCode::PeerUnreachable,
                 "peer " + where() + ": too many bytes wait");
        return;
    }
    if (m_session == nullptr && m_connecting == nullptr && m_lastCallAt < m_retryAt) {
        failSoon(std::move(callback), kernel::ResultCode::PeerUnreachable,
                 "peer " + where() + ": last attempt to connect failed");
        return;
    }
    auto call = std::make_shared<Call>();
    call->id = ++m_lastId;
    call->message = std::move(message);
    call->payloadBytes = bytes;
    call->callback = std::move(callback);
    call->timeout = kernel::Timer(m_context.loop.scheduler(), timeout,
                                  [this, id = call->id] { onTimeout(id); });
    m_calls.emplace(call->id, call);
    m_pendingBytes += bytes;
    if (m_session != nullptr) {
        submit(call);
        return;
    }
    m_waiting.push_back(call->id);
    if (m_connecting == nullptr)
        connect();
}

bool PeerLink::unused() const
{
    return m_session == nullptr && m_connecting == nullptr && m_calls.empty()
           && m_context.loop.scheduler().now() - m_lastCallAt >= m_context.options.idleTimeout;
}

void PeerLink::failSoon(kernel::Callback<std::string> callback, kernel::ResultCode code,
                        const std::string &reason)
{
    // The callback never runs within call().
    m_context.loop.scheduler().startTimer(
        kernel::Duration::zero(),
        [callback = std::move(callback), code, reason, token = std::weak_ptr<bool>(m_token)] {
            if (!token.expired())
                callback(kernel::Error{ code, reason });
        });
}

void PeerLink::connect()
{
    auto address = kernel::capture([this] { return http::toSocketAddress(m_endpoint); });
    if (address.ok()) {
        http::SocketAddress &target = address.value();
        m_connecting
            = h2o_socket_connect(m_context.loop.native(), target.get(), target.length,
                                 [](h2o_socket_t *socket, const char *error) {
                                     static_cast<PeerLink *>(socket->data)->onConnected(error);
                                 });
    }
    if (m_connecting != nullptr)
        m_connecting->data = this;
    const kernel::Duration timeout
        = m_connecting != nullptr ? m_context.options.connectTimeout : kernel::Duration::zero();
    m_connectTimer = kernel::Timer(m_context.loop.scheduler(), timeout,
                                   [this] { connectFailed("no connection in time"); });
}

void PeerLink::onConnected(const char *error)
{
    if (error != nullptr) {
        connectFailed(error);
        return;
    }
    const int on = 1;
    setsockopt(h2o_socket_get_fd(m_connecting), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (!m_context.clientTls) {
        open();
        return;
    }
    h2o_socket_ssl_handshake(m_connecting, m_context.clientTls.get(), peerCertificateName,
                             [](h2o_socket_t *socket, const char *failure) {
                                 static_cast<PeerLink *>(socket->data)->onHandshake(failure);
                             });
}

void PeerLink::onHandshake(const char *error)
{
    if (error != nullptr)
        connectFailed(error);
    else
        open();
}

void PeerLink::dropSocket()
{
    if (m_connecting != nullptr)
        h2o_socket_close(std::exchange(m_connecting, nullptr));
}

void PeerLink::connectFailed(const std::string &reason)
{
    dropSocket();
    m_connectTimer = kernel::Timer();
    ++m_failures;
    m_retryAt = m_context.loop.scheduler().now() + backoffAfter(m_context.options, m_failures);
    const std::deque<std::uint64_t> waiting = std::exchange(m_waiting, {});
    for (const std::uint64_t id : waiting) {
        const auto found = m_calls.find(id);
        if (found != m_calls.end())
            finish(CallPtr(found->second), unreachable(where(), reason));
    }
}

void PeerLink::open()
{
    m_connectTimer = kernel::Timer();
    ++m_context.traffic.connectionsOpened;
    m_session = std::make_shared<Http2Session>(
        Http2Session::Role::Client, std::exchange(m_connecting, nullptr),
        m_context.options.maxMessageBytes, m_context.traffic);
    m_receivedAtTest = 0;
    m_pinged = false;
    const std::shared_ptr<Http2Session> session = m_session;
    session->start(makeEvents());
    watchConnection(m_context.options.keepAliveInterval);
    const std::deque<std::uint64_t> waiting = std::exchange(m_waiting, {});
    for (const std::uint64_t id : waiting) {
        const auto found = m_calls.find(id);
        if (found != m_calls.end() && m_session != nullptr)
            submit(CallPtr(found->second));
    }
}

SessionEvents PeerLink::makeEvents()
{
    SessionEvents events;
    events.onHeader = [this](std::int32_t stream, std::string_view name, std::string_view value) {
        const CallPtr call = callOnStream(stream);
        if (call == nullptr)
            return;
        int *number = name == ":status" ? &call->status : nullptr;
        if (name == codeHeader)
            number = &call->code;
        if (number != nullptr)
            std::from_chars(value.data(), value.data() + value.size(), *number);
    };
    events.onData = [this](std::int32_t stream, std::string_view piece) {
        const CallPtr call = callOnStream(stream);
        if (call == nullptr)
            return;
        call->answer += piece;
        if (call->answer.size() <= m_context.options.maxMessageBytes)
            return;
        m_session->cancel(stream);
        finish(call, kernel::Error{ kernel::ResultCode::PeerProtocol,
                                    "peer " + where() + ": the answer is too large" });
    };
    events.onEnd = [this](std::int32_t stream) {
        if (const CallPtr call = callOnStream(stream))
            call->ended = true;
    };
    events.onStreamClosed
        = [this](std::int32_t stream, bool refused) { onStreamClosed(stream, refused); };
    events.onClosed = [this] { onSessionClosed(); };
    return events;
}

PeerLink::CallPtr PeerLink::callOnStream(std::int32_t stream) const
{
    const auto id = m_streams.find(stream);
    if (id == m_streams.end())
        return nullptr;
    const auto call = m_calls.find(id->second);
    return call == m_calls.end() ? nullptr : call->second;
}

void PeerLink::submit(const CallPtr &call)
{
    const std::vector<SessionHeader> headers{
        { ":method", "POST" },
        { ":scheme", "http" },
        { ":authority", peerCertificateName },
        { ":path", pathOf(call->message.method) },
    };
    MethodTraffic &traffic = m_context.traffic.methods[call->message.method];
    ++traffic.messagesOut;
    traffic.bytesOut += call->payloadBytes;
    const std::shared_ptr<Http2Session> session = m_session;
    // The stream's number is known only afterwards, so the call is entered by its id before.
    const std::int32_t stream = session->request(headers, std::move(call->message.payload));
    if (m_calls.contains(call->id) && stream > 0) {
        call->stream = stream;
        m_streams[stream] = call->id;
        return;
    }
    finish(call, unreachable(where(), "the connection takes no more calls"));
}

void PeerLink::finish(const CallPtr &call, kernel::Completion<std::string> completion)
{
    if (m_calls.erase(call->id) == 0)
        return;
    if (call->stream != 0)
        m_streams.erase(call->stream);
    m_pendingBytes -= call->payloadBytes;
    call->timeout.cancel();
    if (completion.ok()) {
        MethodTraffic &traffic = m_context.traffic.methods[call->message.method];
        ++traffic.messagesIn;
        traffic.bytesIn += completion.value().size();
    }
    call->callback(std::move(completion));
}

kernel::Completion<std::string> PeerLink::readAnswer(Call &call) const
{
    if (call.status == statusOk)
        return std::move(call.answer);
    const auto code = kernel::resultCodeFromNumber(call.code);
    if (!code)
        return kernel::Error{ kernel::ResultCode::PeerProtocol,
                              "peer " + where() + ": answer without a result code" };
    return kernel::Error{ *code, std::move(call.answer) };
}

void PeerLink::onStreamClosed(std::int32_t stream, bool refused)
{
    const CallPtr call = callOnStream(stream);
    if (call == nullptr)
        return;
    m_failures = 0;
    if (call->ended)
        finish(call, readAnswer(*call));
    else if (refused)
        finish(call, unreachable(where(), "the call was refused"));
    else
        finish(call, kernel::Error{ kernel::ResultCode::PeerBroken,
                                    "peer " + where() + ": the stream broke" });
}

void PeerLink::onSessionClosed()
{
    // A connection that never carried an answer counts as a failed attempt.
    if (m_session->received() == 0) {
        ++m_failures;
        m_retryAt = m_context.loop.scheduler().now() + backoffAfter(m_context.options, m_failures);
    }
    m_session.reset();
    m_watchTimer = kernel::Timer();
    const auto calls = std::exchange(m_calls, {});
    m_streams.clear();
    m_waiting.clear();
    m_pendingBytes = 0;
    for (const auto &[id, call] : calls) {
        call->timeout.cancel();
        call->callback(kernel::Error{ kernel::ResultCode::PeerBroken,
                                      "peer " + where() + ": the connection broke" });
    }
}

void PeerLink::onTimeout(std::uint64_t id)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const CallPtr call = found->second;
    if (call->stream == 0) {
        finish(call, unreachable(where(), "no connection in time"));
        return;
    }
    const std::int32_t stream = call->stream;
    // First the outcome: cancelling ends the stream, which would count as broken.
    finish(call, kernel::Error{ kernel::ResultCode::PeerTimeout,
                                "peer " + where() + ": no answer in time" });
    if (m_session == nullptr)
        return;
    m_session->cancel(stream);
    if (m_session == nullptr || m_pinged)
        return;
    m_receivedAtTest = m_session->received();
    m_pinged = true;
    m_session->ping();
    watchConnection(pingTimeout);
}

void PeerLink::watchConnection(kernel::Duration delay)
{
    m_watchTimer = kernel::Timer(m_context.loop.scheduler(), delay, [this] { testConnection(); });
}

void PeerLink::testConnection()
{
    if (m_session == nullptr)
        return;
    const std::shared_ptr<Http2Session> session = m_session;
    const bool silent = session->received() == m_receivedAtTest;
    const bool idle
        = m_calls.empty()
          && m_context.loop.scheduler().now() - m_lastCallAt >= m_context.options.idleTimeout;
    if ((m_pinged && silent) || idle) {
        session->close();
        return;
    }
    m_receivedAtTest = session->received();
    m_pinged = silent;
    if (silent)
        session->ping();
    watchConnection(m_context.options.keepAliveInterval);
}

} // namespace acaciasail::wire
