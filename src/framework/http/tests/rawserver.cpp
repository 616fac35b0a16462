#include "http/tests/rawserver.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/internal/address.h"

namespace acaciasail::http::tests {

namespace {

constexpr std::chrono::seconds patience{ 5 };

} // namespace

RawServer::RawServer(EventLoop &loop, int receiveBufferBytes)
    : m_loop(loop)
{
    const auto fd = kernel::capture([] { return openListener({ "127.0.0.1", 0 }); });
    m_listener = fd.value();
    // Accepted connections inherit it.
    if (receiveBufferBytes > 0)
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes,
                   sizeof receiveBufferBytes);
    SocketAddress bound;
    bound.length = sizeof bound.storage;
    getsockname(m_listener, bound.get(), &bound.length);
    m_endpoint = toEndpoint(bound);
}

RawServer::~RawServer()
{
    close();
    for (const Waiting &connection : m_waiting)
        ::close(connection.fd);
    ::close(m_listener);
}

bool RawServer::receive(Waiting &connection)
{
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = recv(connection.fd, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0)
        connection.received.append(buffer.data(), static_cast<std::size_t>(count));
    return connection.received.find("\r\n\r\n") != std::string::npos;
}

std::string RawServer::awaitRequest()
{
    std::string request;
    Waiting current{ m_connection, {} };
    const auto takeRequest = [&] {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
        if (fd >= 0) {
            m_waiting.push_back({ fd, {} });
            ++m_accepted;
        }
        if (current.fd >= 0 && receive(current)) {
            request = current.received;
            return true;
        }
        const auto found = std::ranges::find_if(
            m_waiting, [](Waiting &connection) { return receive(connection); });
        if (found == m_waiting.end())
            return false;
        close();
        m_connection = found->fd;
        request = std::move(found->received);
        m_waiting.erase(found);
        return true;
    };
    m_loop.runUntil(takeRequest, patience);
    return request;
}

std::size_t RawServer::send(std::string_view bytes)
{
    const ssize_t sent = ::send(m_connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
}

void RawServer::readSome()
{
    std::array<char, 64U << 10U> buffer{};
    (void) recv(m_connection, buffer.data(), buffer.size(), MSG_DONTWAIT);
}

void RawServer::finishSending()
{
    shutdown(m_connection, SHUT_WR);
}

void RawServer::close()
{
    if (m_connection >= 0)
        ::close(std::exchange(m_connection, -1));
}

bool RawServer::awaitReset()
{
    bool isReset = false;
    m_loop.runUntil(
        [&] {
            char byte = 0;
            const ssize_t count = recv(m_connection, &byte, 1, MSG_DONTWAIT);
            isReset = count < 0 && errno == ECONNRESET;
            return isReset || count == 0;
        },
        patience);
    return isReset;
}

void RawServer::reset()
{
    const linger now{ 1, 0 };
    setsockopt(m_connection, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

} // namespace acaciasail::http::tests
