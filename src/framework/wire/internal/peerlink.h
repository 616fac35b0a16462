#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "http/http.h"
#include "wire/internal/http2session.h"
#include "wire/internal/http2transport.h"

namespace acaciasail::wire {

/// What the connections of a transport share.
struct TransportContext
{
    http::EventLoop &loop;
    TransportOptions options;
    TransportTraffic traffic;
    /// Set for mutual TLS.
    http::TlsContext clientTls;
    http::TlsContext serverTls;
    /// Handlers of received messages by method.
    std::unordered_map<std::string, MessageHandler> handlers;
};

/// The time without a connection after a number of failed attempts in a row.
kernel::Duration backoffAfter(const TransportOptions &options, int failures);

/// Calls to one peer, over one connection that is opened when it is needed.
///
/// While it is being opened calls wait; after a failed attempt they fail at once until the backoff
/// is over. A connection that gives no sign of life after a call timed out is closed.
class PeerLink
{
public:
    PeerLink(TransportContext &context, kernel::Endpoint endpoint);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    void call(Message message, kernel::Duration timeout, kernel::Callback<std::string> callback);
    bool connected() const { return m_session != nullptr; }
    /// There is no connection, and there were no calls for the idle timeout.
    bool unused() const;

private:
    struct Call
    {
        std::uint64_t id = 0;
        Message message;
        std::size_t payloadBytes = 0;
        kernel::Callback<std::string> callback;
        kernel::Timer timeout;
        /// Stream that carries it; 0 while it waits for the connection.
        std::int32_t stream = 0;
        int status = 0;
        int code = 0;
        std::string answer;
        bool ended = false;
    };
    using CallPtr = std::shared_ptr<Call>;

    void connect();
    void onConnected(const char *error);
    void onHandshake(const char *error);
    void connectFailed(const std::string &reason);
    void open();
    void dropSocket();
    void submit(const CallPtr &call);
    void finish(const CallPtr &call, kernel::Completion<std::string> completion);
    void failSoon(kernel::Callback<std::string> callback, kernel::ResultCode code,
                  const std::string &reason);
    void onTimeout(std::uint64_t id);
    void onStreamClosed(std::int32_t stream, bool refused);
    void onSessionClosed();
    kernel::Completion<std::string> readAnswer(Call &call) const;
    CallPtr callOnStream(std::int32_t stream) const;
    SessionEvents makeEvents();
    void testConnection();
    void watchConnection(kernel::Duration delay);
    std::string where() const { return kernel::toString(m_endpoint); }

    TransportContext &m_context;
    kernel::Endpoint m_endpoint;
    st_h2o_socket_t *m_connecting = nullptr;
    std::shared_ptr<Http2Session> m_session;
    std::unordered_map<std::uint64_t, CallPtr> m_calls;
    std::unordered_map<std::int32_t, std::uint64_t> m_streams;
    std::deque<std::uint64_t> m_waiting;
    std::uint64_t m_lastId = 0;
    std::size_t m_pendingBytes = 0;
    int m_failures = 0;
    kernel::Instant m_retryAt{};
    kernel::Instant m_lastCallAt{};
    /// Bytes received at the last test of the connection, and whether a PING was sent then.
    std::uint64_t m_receivedAtTest = 0;
    bool m_pinged = false;
    kernel::Timer m_connectTimer;
    kernel::Timer m_watchTimer;
    std::shared_ptr<bool> m_token = std::make_shared<bool>(true);
};

} // namespace acaciasail::wire
