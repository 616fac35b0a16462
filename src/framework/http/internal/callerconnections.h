#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "http/internal/closingorder.h"
#include "http/internal/h2oheaders.h"
#include "http/internal/server.h"

namespace acaciasail::http {

/// One connection of a caller, and what is held for it.
struct CallerConnection
{
    /// Null once it is closed.
    h2o_socket_t *socket = nullptr;
    /// The library's function that reads from it.
    h2o_socket_cb read = nullptr;
    /// Bytes that were read and not used yet, of responses not sent yet, of requests that run, and
    /// bytes that the system has received and the process not read.
    std::size_t inputBytes = 0;
    std::size_t answerBytes = 0;
    std::size_t bodyBytes = 0;
    std::size_t unreadBytes = 0;
    /// Requests that the handler has not answered whole, and those the library has not freed.
    int running = 0;
    int unsent = 0;
    /// Time at which bytes last moved, or a request began or ended.
    kernel::Instant movedAt{};
    /// When the first byte of the request that is arriving came.
    kernel::Instant requestSince{};
    /// Over HTTP/2, the bytes read that belong to requests which are freed.
    std::size_t http2Base = 0;
    bool http2 = false;
    bool bodyAccepted = false;
    bool discarding = false;
    bool served = false;
    bool closing = false;
};

/// The connections of a server's callers: counts what is held for each, refuses requests that need
/// not be read to their end, and closes connections where the limits are exceeded.
class CallerConnections : public std::enable_shared_from_this<CallerConnections>
{
public:
    using Refuser = std::function<void(const ServerRequest &, std::shared_ptr<Responder>)>;

    /// `refuse` answers a request whose body is not accepted.
    CallerConnections(EventLoop &loop, ServerOptions &options, Refuser refuse);
    CallerConnections(const CallerConnections &) = delete;
    CallerConnections &operator=(const CallerConnections &) = delete;

    /// Makes room if all connections are in use; returns whether there is.
    bool makeRoom();
    /// Adds a connection that was accepted.
    void add(h2o_socket_t *socket);
    /// Follows the reads of a new connection, once the library has begun to read from it.
    void watch(h2o_socket_t *socket);
    /// Returns the connection of a socket that was added and is open.
    static std::shared_ptr<CallerConnection> find(h2o_socket_t *socket);

    /// A whole request was passed to the handler; `bodyBytes` are held for it.
    void requestBegan(CallerConnection &connection, std::size_t bodyBytes);
    /// The handler has answered a request whole.
    void requestAnswered(CallerConnection &connection);
    /// The library has freed a request.
    void requestFreed(const std::shared_ptr<CallerConnection> &connection, std::size_t bodyBytes);
    /// Changes the number of response bytes that are held.
    void addAnswerBytes(CallerConnection &connection, std::ptrdiff_t change);

    /// Bytes of a response that may be queued: an equal part of the memory for each request.
    std::size_t queueLimit() const;

    /// Closes connections that are over a time limit or whose caller is gone.
    void checkTimes();
    /// The server is ending: its options and handler are not used any more.
    void stop() { m_options = nullptr; }

    std::size_t size() const { return m_connections.size(); }
    std::size_t heldBytes() const { return m_heldBytes; }
    std::size_t unsentAnswers() const { return m_unsentAnswers; }
    const CallerCounts &counts() const { return m_counts; }
    /// The descriptors of all connections.
    std::vector<int> descriptors() const;

private:
    struct Entry;
    using Chooser
        = std::vector<std::size_t> (*)(const std::vector<ClosingCandidate> &, std::size_t);

    static void onReadable(h2o_socket_t *socket, const char *error);
    static void onClosed(void *data);
    void readFrom(const std::shared_ptr<CallerConnection> &connection);
    void follow(CallerConnection &connection);
    void countInput(CallerConnection &connection);
    void checkHead(CallerConnection &connection);
    void discard(CallerConnection &connection);
    // 0 for no limit.
    std::size_t memoryLimit() const;
    void keepWithinMemory();
    std::size_t closeChosen(Chooser choose, std::size_t amount);
    void close(const std::shared_ptr<CallerConnection> &connection);
    void checkTimes(const std::shared_ptr<CallerConnection> &connection, kernel::Instant now);

    EventLoop &m_loop;
    ServerOptions *m_options;
    Refuser m_refuse;
    std::unordered_map<h2o_socket_t *, std::shared_ptr<CallerConnection>> m_connections;
    std::vector<std::weak_ptr<CallerConnection>> m_toFollow;
    std::size_t m_heldBytes = 0;
    std::size_t m_unsentAnswers = 0;
    bool m_memoryCheckDue = false;
    CallerCounts m_counts;
};

} // namespace acaciasail::http
