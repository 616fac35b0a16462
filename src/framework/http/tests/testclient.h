#pragma once

#include <string>
#include <string_view>

#include "http/http.h"

namespace acaciasail::http::tests {

/// A bare TCP connection for sending malformed or partial requests to a server on the same loop.
class RawConnection
{
public:
    RawConnection(EventLoop &loop, const kernel::Endpoint &endpoint);
    ~RawConnection();
    RawConnection(const RawConnection &) = delete;
    RawConnection &operator=(const RawConnection &) = delete;

    void send(std::string_view bytes);
    /// Runs the loop until the text has arrived, the peer closed, or five seconds passed.
    std::string readUntil(std::string_view text);
    /// Runs the loop until the peer closes, or five seconds passed; tells which.
    bool waitForClose();
    /// Whether the peer has reset the connection, as far as it was read.
    bool wasReset() const { return m_reset; }
    /// Ends the own direction in good order.
    void finishSending();
    void close();

private:
    // Takes what has arrived; false once the peer has closed.
    bool receive();

    EventLoop &m_loop;
    int m_fd;
    std::string m_received;
    bool m_reset = false;
};

} // namespace acaciasail::http::tests
