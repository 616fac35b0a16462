#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "wire/internal/http2session.h"
#include "wire/internal/peerlink.h"

namespace acaciasail::wire {

/// One connection from a peer: reads requests, and sends what the handlers answer.
class ServerConnection
{
public:
    /// Takes over an accepted socket. `onGone` is called when the connection is over; it may
    /// destroy this object.
    ServerConnection(TransportContext &context, st_h2o_socket_t *socket,
                     std::function<void()> onGone);
    ~ServerConnection();
    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

private:
    struct Request
    {
        std::string path;
        std::string body;
        bool tooLarge = false;
    };

    void begin();
    void onHandshake(const char *error);
    SessionEvents makeEvents();
    void dispatch(std::int32_t stream);
    void answer(std::int32_t stream, const std::string &method,
                const kernel::Completion<std::string> &completion);
    void answerError(std::int32_t stream, const kernel::Error &error);

    TransportContext &m_context;
    /// Set until the TLS handshake is over.
    st_h2o_socket_t *m_socket;
    kernel::Endpoint m_from;
    std::function<void()> m_onGone;
    std::shared_ptr<Http2Session> m_session;
    std::unordered_map<std::int32_t, Request> m_requests;
    kernel::Timer m_handshakeTimer;
    std::shared_ptr<bool> m_token = std::make_shared<bool>(true);
};

} // namespace acaciasail::wire
