#include "http/tests/testclient.h"

#include <array>
#include <cerrno>

#include <sys/socket.h>
#include <unistd.h>

#include "http/internal/address.h"

namespace acaciasail::http::tests {

namespace {

constexpr std::chrono::seconds patience{ 5 };

} // namespace

RawConnection::RawConnection(EventLoop &loop, const kernel::Endpoint &endpoint)
    : m_loop(loop)
    , m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    auto address = kernel::capture([&] { return toSocketAddress(endpoint); });
    (void) connect(m_fd, address.value().get(), address.value().length);
}

RawConnection::~RawConnection()
{
    close();
}

void RawConnection::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

void RawConnection::finishSending()
{
    shutdown(m_fd, SHUT_WR);
}

void RawConnection::send(std::string_view bytes)
{
    (void) ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

bool RawConnection::receive()
{
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(m_fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0)
        m_received.append(buffer.data(), static_cast<std::size_t>(count));
    m_reset = m_reset || (count < 0 && errno == ECONNRESET);
    return count > 0 || (count < 0 && errno == EAGAIN);
}

std::string RawConnection::readUntil(std::string_view text)
{
    m_loop.runUntil([&] { return !receive() || m_received.find(text) != std::string::npos; },
                    patience);
    return m_received;
}

bool RawConnection::waitForClose()
{
    return m_loop.runUntil([&] { return !receive(); }, patience);
}

} // namespace acaciasail::http::tests
