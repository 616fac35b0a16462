#include "wire.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int backlog = 256;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int waitTime(Clock::time_point until)
{
    const auto left = std::chrono::ceil<Milliseconds>(until - Clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") + 1 - first);
}

std::string wordOf(const std::string &line, int index)
{
    std::size_t start = 0;
    for (; index > 0; --index)
        start = line.find(' ', start) + 1;
    return line.substr(start, line.find(' ', start) - start);
}

} // namespace

Socket::Socket(Socket &&other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
{}

Socket &Socket::operator=(Socket &&other) noexcept
{
    if (this != &other) {
        close();
        m_fd = std::exchange(other.m_fd, -1);
    }
    return *this;
}

Socket::~Socket()
{
    close();
}

void Socket::close()
{
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

void Socket::reset()
{
    const linger now{ .l_onoff = 1, .l_linger = 0 };
    if (m_fd >= 0)
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

Socket listenOnLoopback(int &port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    socklen_t length = sizeof address;
    if (bind(socket.fd(), reinterpret_cast<sockaddr *>(&address), length) != 0
        || listen(socket.fd(), backlog) != 0)
        return {};
    getsockname(socket.fd(), reinterpret_cast<sockaddr *>(&address), &length);
    port = ntohs(address.sin_port);
    return socket;
}

Socket acceptFrom(const Socket &listener)
{
    Socket socket(accept4(listener.fd(), nullptr, nullptr, SOCK_CLOEXEC));
    const int on = 1;
    if (socket.isOpen())
        setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

void shutDown(const Socket &socket)
{
    shutdown(socket.fd(), SHUT_RDWR);
}

Socket connectTo(int port, Milliseconds timeout)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    const sockaddr_in address = loopback(port);
    if (connect(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        pollfd waiting{ socket.fd(), POLLOUT, 0 };
        int error = 0;
        socklen_t length = sizeof error;
        if (poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0
            || getsockopt(socket.fd(), SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)
            return {};
    }
    fcntl(socket.fd(), F_SETFL, fcntl(socket.fd(), F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

bool sendAll(const Socket &socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = send(socket.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

std::string Head::header(const std::string &name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string Head::method() const
{
    return wordOf(firstLine, 0);
}

std::string Head::target() const
{
    return wordOf(firstLine, 1);
}

int Head::status() const
{
    return std::atoi(wordOf(firstLine, 1).c_str());
}

MessageReader::Fill MessageReader::fill(Clock::time_point until)
{
    pollfd waiting{ m_socket.fd(), POLLIN, 0 };
    if (poll(&waiting, 1, waitTime(until)) <= 0)
        return Fill::Failed;
    constexpr std::size_t pieceBytes = 64U << 10U;
    std::string piece(pieceBytes, '\0');
    const ssize_t count = recv(m_socket.fd(), piece.data(), piece.size(), 0);
    if (count < 0)
        return Fill::Failed;
    m_input.append(piece, 0, static_cast<std::size_t>(count));
    return count == 0 ? Fill::End : Fill::Data;
}

std::optional<std::string> MessageReader::readLine(Clock::time_point until)
{
    std::size_t end = 0;
    while ((end = m_input.find("\r\n")) == std::string::npos) {
        if (fill(until) != Fill::Data)
            return std::nullopt;
    }
    std::string line = m_input.substr(0, end);
    m_input.erase(0, end + 2);
    return line;
}

bool MessageReader::readBytes(std::size_t count, std::string &out, Clock::time_point until)
{
    while (m_input.size() < count) {
        if (fill(until) != Fill::Data)
            return false;
    }
    out.append(m_input, 0, count);
    m_input.erase(0, count);
    return true;
}

std::optional<Head> MessageReader::readHead(Clock::time_point until)
{
    Head head;
    auto line = readLine(until);
    if (!line)
        return std::nullopt;
    head.firstLine = *line;
    while ((line = readLine(until))) {
        if (line->empty())
            return head;
        const std::size_t colon = std::min(line->find(':'), line->size());
        head.headers[lowerCase(line->substr(0, colon))]
            = colon < line->size() ? trimmed(line->substr(colon + 1)) : std::string();
    }
    return std::nullopt;
}

bool MessageReader::readChunks(std::string &body, Clock::time_point until)
{
    constexpr int hexadecimal = 16;
    while (const auto line = readLine(until)) {
        const auto size = std::strtoul(line->c_str(), nullptr, hexadecimal);
        if (size == 0) {
            const auto end = readLine(until);
            return end && end->empty();
        }
        if (!readBytes(size, body, until) || !readLine(until))
            return false;
    }
    return false;
}

bool MessageReader::readBody(const Head &head, bool isResponse, std::string &body,
                             Clock::time_point until)
{
    if (lowerCase(head.header("transfer-encoding")) == "chunked")
        return readChunks(body, until);
    if (head.headers.contains("content-length"))
        return readBytes(std::strtoul(head.header("content-length").c_str(), nullptr, 10), body,
                         until);
    if (!isResponse)
        return true;
    Fill result = Fill::Data;
    while (result == Fill::Data)
        result = fill(until);
    body += std::exchange(m_input, {});
    return result == Fill::End;
}

std::optional<Message> MessageReader::readMessage(bool isResponse, Clock::time_point until)
{
    auto head = readHead(until);
    if (!head)
        return std::nullopt;
    Message message{ std::move(*head), {}, false };
    message.complete = readBody(message.head, isResponse, message.body, until);
    return message;
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    std::string_view query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const std::string_view part = query.substr(0, query.find('&'));
        const std::size_t equals = std::min(part.find('='), part.size());
        if (part.substr(0, equals) == name)
            return std::string(part.substr(std::min(equals + 1, part.size())));
        query.remove_prefix(part.size());
    }
    return std::nullopt;
}

} // namespace review
