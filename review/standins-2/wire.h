#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Owns a socket.
class Socket
{
public:
    Socket() = default;
    explicit Socket(int fd)
        : m_fd(fd)
    {}
    ~Socket() { close(); }
    Socket(Socket &&other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
    {}
    Socket &operator=(Socket &&other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        return *this;
    }
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    int fd() const { return m_fd; }
    bool isOpen() const { return m_fd >= 0; }
    void close();

private:
    int m_fd = -1;
};

/// The head and the body of a request or a response.
struct Message
{
    /// The request line or the status line.
    std::string startLine;
    /// Header fields; the names are in lower case.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// Returns the value of a field; empty if it is missing.
    std::string header(std::string_view name) const;
    /// Returns the status of a response; 0 if this is none.
    int status() const;
    /// Returns the method of a request.
    std::string method() const;
    /// Returns the target of a request.
    std::string target() const;
};

/// A connection that reads and writes HTTP/1.1 messages and blocks meanwhile.
class Connection
{
public:
    explicit Connection(Socket socket)
        : m_socket(std::move(socket))
    {}

    /// Opens a connection to a port on 127.0.0.1; it is not open on failure.
    static Connection open(int port);

    bool isOpen() const { return m_socket.isOpen(); }
    int fd() const { return m_socket.fd(); }
    void close() { m_socket.close(); }

    /// Writes all bytes; returns whether it could.
    bool write(std::string_view bytes);
    /// Reads the next message; nothing if the connection ends first or the time is over.
    std::optional<Message> read(Clock::time_point until);
    /// Reads the next message's head only; what follows stays unread.
    std::optional<Message> readHead(Clock::time_point until);
    /// Reads the body of a message whose head was read, with a length or in chunks; returns whether
    /// it is whole.
    bool readBody(const Message &head, std::string &body, Clock::time_point until);
    /// Reads all that comes until the connection ends; returns whether its end was orderly.
    bool readToEnd(std::string &bytes, Clock::time_point until);
    /// Returns whether the other side has closed the connection.
    bool isClosedByPeer() const;

private:
    bool fill(Clock::time_point until);
    bool readChunks(std::string &body, Clock::time_point until);
    std::optional<std::string> readLine(Clock::time_point until);

    Socket m_socket;
    std::string m_buffer;
};

/// Accepts connections on a port of 127.0.0.1, each with a thread of its own.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    /// Listens on a free port if `port` is 0.
    explicit Listener(Handler handler, int port = 0);
    /// Closes all connections and waits for their threads.
    ~Listener();
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    int port() const { return m_port; }
    /// Closes all connections, and accepts no further ones.
    void stop();

private:
    void accept();
    void serve(int fd);

    Handler m_handler;
    Socket m_socket;
    int m_port = 0;
    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::set<int> m_open;
    std::vector<std::thread> m_threads;
    std::thread m_acceptThread;
};

/// Returns a port of 127.0.0.1 that was free a moment ago.
int freePort();

/// Returns a message as text, with a length and these fields.
std::string formatMessage(std::string_view startLine,
                          const std::vector<std::pair<std::string, std::string>> &headers,
                          std::string_view body);

} // namespace review
