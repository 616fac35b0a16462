#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// A TCP connection or listener on the loopback address; closes its descriptor.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int fd)
        : m_fd(fd)
    {}
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    ~Socket();

    bool isOpen() const { return m_fd >= 0; }
    int fd() const { return m_fd; }
    void close();
    /// Closes with a reset in place of an orderly end.
    void reset();

private:
    int m_fd = -1;
};

/// Listens on a port of 127.0.0.1; on a free one, which is returned in it, if it is 0.
Socket listenOnLoopback(int &port);
/// Accepts a connection; not open once the listener was shut down.
Socket acceptFrom(const Socket &listener);
/// Ends the accepting of a listener.
void shutDown(const Socket &socket);
/// Connects to a port of 127.0.0.1; not open on failure.
Socket connectTo(int port, Milliseconds timeout);
/// Returns whether all bytes were handed to the system.
bool sendAll(const Socket &socket, std::string_view bytes);

/// The head of a request or response; the names of its headers are in lower case.
struct Head
{
    std::string firstLine;
    std::map<std::string, std::string> headers;

    std::string header(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

struct Message
{
    Head head;
    std::string body;
    /// The body came to its end.
    bool complete = false;
};

/// Reads HTTP/1.1 messages from one connection.
class MessageReader
{
public:
    explicit MessageReader(const Socket &socket)
        : m_socket(socket)
    {}

    std::optional<Head> readHead(Clock::time_point until);
    /// Reads a body by its length or in chunks; one with neither is empty in a request, and ends
    /// with its connection in a response.
    bool readBody(const Head &head, bool isResponse, std::string &body, Clock::time_point until);
    std::optional<Message> readMessage(bool isResponse, Clock::time_point until);

private:
    enum class Fill { Data, End, Failed };

    Fill fill(Clock::time_point until);
    std::optional<std::string> readLine(Clock::time_point until);
    bool readBytes(std::size_t count, std::string &out, Clock::time_point until);
    bool readChunks(std::string &body, Clock::time_point until);

    const Socket &m_socket;
    std::string m_input;
};

/// Returns a parameter of a target's query.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

} // namespace review
