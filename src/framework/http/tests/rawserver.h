#pragma once

#include <string>
#include <vector>

#include "http/http.h"

namespace acaciasail::http::tests {

/// A bare TCP server on the test's thread: it takes connections, and the test writes their bytes.
/// The newest connection is that of the newest request.
class RawServer
{
public:
    /// The system holds about that many received bytes for a connection; its own limit for 0.
    explicit RawServer(EventLoop &loop, int receiveBufferBytes = 0);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    kernel::Endpoint endpoint() const { return m_endpoint; }
    /// Runs the loop until the head of a request has arrived, or five seconds passed; returns what
    /// arrived. A request on another connection than the one before ends that one.
    std::string awaitRequest();
    /// Writes to the newest connection; returns how many of the bytes the system took.
    std::size_t send(std::string_view bytes);
    /// Takes in what has arrived on the newest connection, at most 64 KiB of it.
    void readSome();
    /// Ends the newest connection; in good order unless the system holds bytes of the request.
    void close();
    /// Ends the own direction of the newest connection in good order; the other stays open.
    void finishSending();
    /// Resets the newest connection.
    void reset();
    /// Runs the loop until the newest connection has ended, or five seconds passed; returns whether
    /// the client reset it.
    bool awaitReset();
    std::size_t connections() const { return m_accepted; }

private:
    // A connection on which no whole head has arrived.
    struct Waiting
    {
        int fd;
        std::string received;
    };

    // Takes in what has arrived; tells whether a request's head is whole.
    static bool receive(Waiting &connection);

    EventLoop &m_loop;
    int m_listener = -1;
    // The connection of the newest request.
    int m_connection = -1;
    std::vector<Waiting> m_waiting;
    std::size_t m_accepted = 0;
    kernel::Endpoint m_endpoint;
};

} // namespace acaciasail::http::tests
