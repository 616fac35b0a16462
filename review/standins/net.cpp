#include "net.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int listenBacklog = 512;
// Segment size of an Ethernet; that of the loopback interface is far larger.
constexpr int networkSegment = 1460;
constexpr int hexadecimal = 16;
constexpr std::size_t readSize = 16U << 10U;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

const sockaddr *generic(const sockaddr_in &address)
{
    return reinterpret_cast<const sockaddr *>(&address);
}

std::uint16_t portOf(int descriptor)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

int listenOnFreePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    if (bind(descriptor, generic(address), sizeof address) != 0)
        std::abort();
    return descriptor;
}

std::string lowerCase(std::string text)
{
    std::ranges::transform(text, text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

std::string withoutLineEnd(std::string line)
{
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r'))
        line.pop_back();
    return line;
}

void serve(Connection connection, const HttpHandler &handler)
{
    while (connection.isOpen()) {
        HttpRequest request;
        const auto head = connection.readHead();
        if (!head)
            return;
        request.head = *head;
        if (!connection.readBody(request.head, request.body))
            return;
        if (!handler(request, connection))
            return;
    }
}

} // namespace

std::string Head::value(std::string_view name) const
{
    const auto found
        = std::ranges::find(headers, name, &std::pair<std::string, std::string>::first);
    return found == headers.end() ? std::string() : found->second;
}

std::string Head::word(std::size_t number) const
{
    std::size_t begin = 0;
    for (; number > 0; --number)
        begin = std::min(firstLine.find(' ', begin), firstLine.size() - 1) + 1;
    return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
}

Connection::~Connection()
{
    close();
}

std::optional<Connection> Connection::connect(std::uint16_t port, int receiveBuffer)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &networkSegment, sizeof networkSegment);
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, generic(address), sizeof address) != 0) {
        ::close(descriptor);
        return std::nullopt;
    }
    return Connection(descriptor);
}

bool Connection::isClosedByPeer() const
{
    char byte = 0;
    return recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool Connection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

bool Connection::fill()
{
    std::string piece(readSize, '\0');
    const ssize_t count = recv(m_descriptor, piece.data(), piece.size(), 0);
    if (count <= 0)
        return false;
    m_buffer.append(piece, 0, static_cast<std::size_t>(count));
    return true;
}

bool Connection::readLine(std::string &line)
{
    std::size_t end = m_buffer.find('\n');
    while (end == std::string::npos) {
        if (!fill())
            return false;
        end = m_buffer.find('\n');
    }
    line = m_buffer.substr(0, end + 1);
    m_buffer.erase(0, end + 1);
    return true;
}

std::optional<Head> Connection::readHead()
{
    Head head;
    std::string line;
    if (!readLine(line))
        return std::nullopt;
    head.firstLine = withoutLineEnd(line);
    while (readLine(line)) {
        line = withoutLineEnd(line);
        if (line.empty())
            return head;
        const std::size_t colon = std::min(line.find(':'), line.size() - 1);
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        head.headers.emplace_back(lowerCase(line.substr(0, colon)),
                                  value == std::string::npos ? "" : line.substr(value));
    }
    return std::nullopt;
}

bool Connection::readBytes(std::size_t count, std::string &bytes)
{
    while (m_buffer.size() < count) {
        if (!fill())
            return false;
    }
    bytes = m_buffer.substr(0, count);
    m_buffer.erase(0, count);
    return true;
}

bool Connection::readPieces(std::size_t count, const BodyHandler &onPiece)
{
    constexpr std::size_t maxPiece = 4000;
    std::string piece;
    for (std::size_t size = 0; count > 0; count -= size) {
        size = std::min(count, maxPiece);
        if (!readBytes(size, piece))
            return false;
        onPiece(piece);
    }
    return true;
}

bool Connection::readBody(const Head &head, const BodyHandler &onPiece)
{
    if (lowerCase(head.value("transfer-encoding")) != "chunked")
        return readPieces(std::strtoul(head.value("content-length").c_str(), nullptr, 10), onPiece);
    std::string line;
    std::string lineEnd;
    while (readLine(line)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, hexadecimal);
        if (!readPieces(size, onPiece) || !readBytes(2, lineEnd))
            return false;
        if (size == 0)
            return true;
    }
    return false;
}

bool Connection::readBody(const Head &head, std::string &body)
{
    return readBody(head, [&body](std::string_view piece) { body += piece; });
}

void Connection::setReadTimeout(int milliseconds)
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    const timeval timeout{ milliseconds / millisecondsPerSecond,
                           (milliseconds % millisecondsPerSecond) * microsecondsPerMillisecond };
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
}

void Connection::reset()
{
    const linger now{ 1, 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

void Connection::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

std::uint16_t startServer(HttpHandler handler)
{
    const int listener = listenOnFreePort();
    if (listen(listener, listenBacklog) != 0)
        std::abort();
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const int on = 1;
            setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([descriptor, handler] { serve(Connection(descriptor), handler); }).detach();
        }
    }).detach();
    return portOf(listener);
}

std::uint16_t findFreePort()
{
    const int descriptor = listenOnFreePort();
    const std::uint16_t port = portOf(descriptor);
    ::close(descriptor);
    return port;
}

std::string formatResponse(int status, const Headers &headers, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + (status < 400 ? " OK" : " Error");
    text += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text.append("\r\n").append(body);
}

std::string formatRequest(std::string_view method, std::string_view target, const Headers &headers,
                          std::string_view body)
{
    std::string text;
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    for (const auto &[name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text.append("\r\n").append(body);
}

std::string formatChunk(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string size;
    for (std::size_t left = text.size(); left > 0; left /= hexadecimal)
        size.insert(size.begin(), digits[left % hexadecimal]);
    return (size.empty() ? "0" : size) + "\r\n" + std::string(text) + "\r\n";
}

} // namespace review
