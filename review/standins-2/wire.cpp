#include "wire.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::size_t maxBufferBytes = 64U << 20U;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r'))
        text.remove_suffix(1);
    return std::string(text);
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// Returns the part of the start line with this number, from 0.
std::string word(std::string_view line, int number)
{
    for (; number > 0; --number)
        line.remove_prefix(std::min(line.find(' ') + 1, line.size()));
    return std::string(line.substr(0, line.find(' ')));
}

bool isReadable(int fd, Clock::time_point until)
{
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    pollfd entry{ fd, POLLIN, 0 };
    return left > 0 && poll(&entry, 1, static_cast<int>(left) + 1) > 0;
}

} // namespace

void Socket::close()
{
    if (m_fd >= 0)
        ::close(std::exchange(m_fd, -1));
}

std::string Message::header(std::string_view name) const
{
    const auto found
        = std::ranges::find(headers, name, &std::pair<std::string, std::string>::first);
    return found == headers.end() ? std::string() : found->second;
}

int Message::status() const
{
    int status = 0;
    const std::string text = word(startLine, 1);
    std::from_chars(text.data(), text.data() + text.size(), status);
    return status;
}

std::string Message::method() const
{
    return word(startLine, 0);
}

std::string Message::target() const
{
    return word(startLine, 1);
}

Connection Connection::open(int port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const int on = 1;
    setsockopt(socket.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (connect(socket.fd(), reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0)
        socket.close();
    return Connection(std::move(socket));
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = send(fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

bool Connection::fill(Clock::time_point until)
{
    if (!isOpen() || m_buffer.size() > maxBufferBytes || !isReadable(fd(), until))
        return false;
    std::array<char, 65536> bytes{};
    const ssize_t count = recv(fd(), bytes.data(), bytes.size(), 0);
    if (count <= 0)
        return false;
    m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine(Clock::time_point until)
{
    std::size_t end = 0;
    while ((end = m_buffer.find('\n')) == std::string::npos) {
        if (!fill(until))
            return std::nullopt;
    }
    std::string line = trimmed(std::string_view(m_buffer).substr(0, end));
    m_buffer.erase(0, end + 1);
    return line;
}

std::optional<Message> Connection::readHead(Clock::time_point until)
{
    auto line = readLine(until);
    if (!line)
        return std::nullopt;
    Message message;
    message.startLine = *line;
    while ((line = readLine(until)) && !line->empty()) {
        const std::size_t colon = std::min(line->find(':'), line->size());
        message.headers.emplace_back(
            lowerCase(line->substr(0, colon)),
            trimmed(std::string_view(*line).substr(std::min(colon + 1, line->size()))));
    }
    return line ? std::optional(message) : std::nullopt;
}

bool Connection::readChunks(std::string &body, Clock::time_point until)
{
    constexpr int hexadecimal = 16;
    while (true) {
        const auto line = readLine(until);
        std::size_t size = 0;
        if (!line
            || std::from_chars(line->data(), line->data() + line->size(), size, hexadecimal).ec
                   != std::errc())
            return false;
        while (m_buffer.size() < size + 2) {
            if (!fill(until))
                return false;
        }
        body.append(m_buffer, 0, size);
        m_buffer.erase(0, size + 2);
        if (size == 0)
            return true;
    }
}

bool Connection::readBody(const Message &head, std::string &body, Clock::time_point until)
{
    if (head.header("transfer-encoding") == "chunked")
        return readChunks(body, until);
    std::size_t size = 0;
    const std::string length = head.header("content-length");
    std::from_chars(length.data(), length.data() + length.size(), size);
    while (m_buffer.size() < size) {
        if (!fill(until)) {
            body = m_buffer;
            return false;
        }
    }
    body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return true;
}

std::optional<Message> Connection::read(Clock::time_point until)
{
    auto message = readHead(until);
    if (!message || !readBody(*message, message->body, until))
        return std::nullopt;
    return message;
}

bool Connection::readToEnd(std::string &bytes, Clock::time_point until)
{
    bytes = std::exchange(m_buffer, {});
    std::array<char, 65536> piece{};
    while (isReadable(fd(), until)) {
        const ssize_t count = recv(fd(), piece.data(), piece.size(), 0);
        if (count <= 0)
            return count == 0;
        bytes.append(piece.data(), static_cast<std::size_t>(count));
    }
    return false;
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    return recv(fd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

Listener::Listener(Handler handler, int port)
    : m_handler(std::move(handler))
    , m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int backlog = 1024;
    const int on = 1;
    setsockopt(m_socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = loopback(port);
    socklen_t length = sizeof address;
    (void) bind(m_socket.fd(), reinterpret_cast<sockaddr *>(&address), length);
    listen(m_socket.fd(), backlog);
    getsockname(m_socket.fd(), reinterpret_cast<sockaddr *>(&address), &length);
    m_port = ntohs(address.sin_port);
    m_acceptThread = std::thread([this] { accept(); });
}

void Listener::stop()
{
    m_stopping = true;
    shutdown(m_socket.fd(), SHUT_RDWR);
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_open)
        shutdown(fd, SHUT_RDWR);
}

Listener::~Listener()
{
    stop();
    m_acceptThread.join();
    // A connection may have been accepted meanwhile.
    stop();
    for (std::thread &thread : m_threads)
        thread.join();
}

void Listener::accept()
{
    while (!m_stopping) {
        const int fd = accept4(m_socket.fd(), nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const std::lock_guard lock(m_mutex);
        m_open.insert(fd);
        m_threads.emplace_back([this, fd] { serve(fd); });
    }
}

void Listener::serve(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Connection connection{ Socket(fd) };
    m_handler(connection);
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    connection.close();
}

int freePort()
{
    const Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof address;
    (void) bind(socket.fd(), reinterpret_cast<sockaddr *>(&address), length);
    getsockname(socket.fd(), reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

std::string formatMessage(std::string_view startLine,
                          const std::vector<std::pair<std::string, std::string>> &headers,
                          std::string_view body)
{
    std::string text(startLine);
    text += "\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

} // namespace review
