#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wire/internal/http2transport.h"

struct st_h2o_socket_t;
struct nghttp2_session;
struct nghttp2_session_callbacks;

namespace acaciasail::wire {

/// One header field of a request or an answer.
struct SessionHeader
{
    std::string name;
    std::string value;
};

/// What happens on a session's streams.
struct SessionEvents
{
    std::function<void(std::int32_t stream, std::string_view name, std::string_view value)>
        onHeader;
    std::function<void(std::int32_t stream, std::string_view piece)> onData;
    /// The other side has sent all of its part.
    std::function<void(std::int32_t stream)> onEnd;
    /// The stream is over. `refused` tells that the other side surely didn't handle it.
    std::function<void(std::int32_t stream, bool refused)> onStreamClosed;
    /// The connection is gone, and all streams with it; called once, last.
    std::function<void()> onClosed;
};

/// An nghttp2 session on a connected socket of the loop.
///
/// It is held by a shared pointer, and may be closed from within its own events.
class Http2Session : public std::enable_shared_from_this<Http2Session>
{
public:
    enum class Role { Client, Server };

    /// Takes over the socket.
    Http2Session(Role role, st_h2o_socket_t *socket, std::size_t maxMessageBytes,
                 TransportTraffic &traffic);
    ~Http2Session();
    Http2Session(const Http2Session &) = delete;
    Http2Session &operator=(const Http2Session &) = delete;

    void start(SessionEvents events);
    /// Sends a request and gives its stream; 0 if the session takes no more.
    std::int32_t request(const std::vector<SessionHeader> &headers, std::string body);
    /// Sends an answer.
    void respond(std::int32_t stream, const std::vector<SessionHeader> &headers, std::string body);
    /// Gives a stream up.
    void cancel(std::int32_t stream);
    /// Asks the other side for a sign of life; it shows in received().
    void ping();
    void close();

    bool closed() const { return m_session == nullptr; }
    /// Bytes received so far.
    std::uint64_t received() const { return m_received; }
    /// Bytes of answers and requests that aren't sent yet.
    std::size_t queuedBytes() const { return m_queuedBytes; }

private:
    struct Body
    {
        std::string bytes;
        std::size_t sent = 0;
    };
    friend struct SessionCallbacks;

    void receive();
    void flush();
    void writeNext();
    void finishClose();
    void dropBody(std::int32_t stream);

    st_h2o_socket_t *m_socket;
    nghttp2_session *m_session = nullptr;
    TransportTraffic &m_traffic;
    SessionEvents m_events;
    std::unordered_map<std::int32_t, Body> m_bodies;
    std::string m_writing;
    std::size_t m_queuedBytes = 0;
    std::uint64_t m_received = 0;
    bool m_writeInProgress = false;
    /// Within a call of nghttp2: it must not be entered again, and the session must stay.
    bool m_busy = false;
    bool m_closeWanted = false;
};

} // namespace acaciasail::wire
