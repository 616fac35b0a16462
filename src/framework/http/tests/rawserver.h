#pragma once

#include <string>
#include <vector>

#include "http/http.h"

namespace acaciasail::http::tests {

/// A bare TCP server on the test's thread: it takes connections, and the test writes their bytes.
class RawServer
{
public:
    explicit RawServer(EventLoop &loop);
    ~RawServer();
    RawServer(const RawServer &) = delete;
    RawServer &operator=(const RawServer &) = delete;

    kernel::Endpoint endpoint() const { return m_endpoint; }
    /// Runs the loop until a connection has come and its request's head has arrived, or five
    /// seconds passed; returns what arrived.
    std::string awaitRequest();
    /// Writes to the newest connection; returns how many of the bytes the system took.
    std::size_t send(std::string_view bytes);
    /// Ends the newest connection in good order.
    void close();
    /// Resets the newest connection.
    void reset();
    /// Runs the loop until the newest connection has ended, or five seconds passed; returns whether
    /// the client reset it.
    bool awaitReset();
    std::size_t connections() const { return m_accepted; }

private:
    EventLoop &m_loop;
    int m_listener = -1;
    int m_connection = -1;
    std::size_t m_accepted = 0;
    kernel::Endpoint m_endpoint;
};

} // namespace acaciasail::http::tests
