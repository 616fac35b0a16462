#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/internal/eventloop.h"
#include "http/internal/message.h"
#include "kernel/kernel.h"

namespace acaciasail::http {

/// The answer to one request, written whole or piece by piece.
///
/// It may be kept after the handler returned. Once the caller has gone, writes do nothing.
class Responder
{
public:
    virtual ~Responder() = default;

    /// Sends a whole answer.
    virtual void send(int status, const Headers &headers, std::string_view body) = 0;
    /// Begins an answer whose body follows by write() and ends with finish().
    virtual void start(int status, const Headers &headers) = 0;
    /// Queues a piece of the body.
    virtual void write(std::string_view piece) = 0;
    /// Ends the body.
    virtual void finish() = 0;
    /// Breaks the connection or stream, so that the caller sees that the body is not whole.
    virtual void abort() = 0;

    /// Bytes queued that the connection has not taken yet.
    virtual std::size_t queuedBytes() const = 0;
    /// Bytes that may be queued without harm to other callers; the writer waits above it.
    virtual std::size_t queueLimit() const { return std::numeric_limits<std::size_t>::max(); }
    /// Calls the function once when the queue has emptied.
    virtual void whenDrained(std::function<void()> function) = 0;
    /// Calls the function once if the caller goes before the answer's end.
    virtual void whenClosed(std::function<void()> function) = 0;
    virtual bool closed() const = 0;
    /// Whether the caller has closed its connection, asked of the system: true also where the loop
    /// has not handled the close yet, as in a process that was held up.
    virtual bool hasCallerLeft() const = 0;
};

using RequestHandler
    = std::function<void(const ServerRequest &request, std::shared_ptr<Responder> responder)>;

/// Settings of a server.
struct ServerOptions
{
    kernel::Endpoint listen;
    /// Set for TLS.
    std::optional<TlsFiles> tls;
    /// Bytes of a request's body above which it is refused.
    std::size_t maxBodyBytes = 8U << 20U;
    /// Time for a request to arrive whole.
    kernel::Duration requestTimeout = std::chrono::seconds(30);
    /// Connections at the same time. To accept a further one, connections are closed that have sent
    /// no whole request, have stopped reading or are idle; if there are none, the new one is
    /// closed.
    std::size_t maxConnections = 20000;
    /// Bytes held for all callers together, above which connections are closed; 0 for no limit. One
    /// request with the largest body is always within it.
    std::size_t memoryBytes = 0;
    /// Bytes of a request's head above which it is refused with 431; 0 for the library's limit.
    std::size_t maxHeadBytes = 0;
    /// Time for a request's head to arrive; zero for that of the whole request.
    kernel::Duration headTimeout{};
    /// Returns whether the body of a request with this head is to be read. If not, the handler gets
    /// the request without its body and must answer at once. Empty if all bodies are read.
    std::function<bool(const ServerRequest &head)> acceptsBody;
    /// Body of the answers that the server gives by itself, such as 400 to a malformed request;
    /// empty for plain text.
    std::function<std::string(int status)> errorBody;
    std::string errorContentType = "application/json";
};

/// Limits of what callers send.
struct RequestLimits
{
    std::size_t maxHeadBytes = 0;
    std::size_t maxBodyBytes = 0;
    kernel::Duration headTimeout{};
    kernel::Duration requestTimeout{};
};

/// What a server did to stay within its limits, counted since its start.
struct CallerCounts
{
    /// Connections closed because too much memory was held, to make room for others, because a
    /// request was late, and because the caller was gone.
    std::uint64_t closedForMemory = 0;
    std::uint64_t closedForRoom = 0;
    std::uint64_t closedForTime = 0;
    std::uint64_t closedAsGone = 0;
    /// Requests refused before they had arrived whole.
    std::uint64_t refusedHeads = 0;
    std::uint64_t refusedBodies = 0;

    friend bool operator==(const CallerCounts &, const CallerCounts &) = default;
};

/// An HTTP/1.1 and HTTP/2 server on the loop.
class Server
{
public:
    /// Listens and begins to serve. Errors: ListenFailed, TlsFailed.
    static kernel::Result<std::unique_ptr<Server>> listen(EventLoop &loop, ServerOptions options,
                                                          RequestHandler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// The address in use, with the port that was given out where the settings say 0.
    kernel::Endpoint endpoint() const;
    /// Closes the listener and asks connections to end; requests in progress are finished.
    void beginShutdown();
    /// Changes the limits of requests from now on.
    void setLimits(const RequestLimits &limits);
    /// Answers end their connections from now on; new connections are still taken.
    void endConnectionsAfterAnswers();
    /// Requests whose answers are not finished.
    std::size_t requestsInProgress() const;
    /// Requests whose answers have not left the process whole, whether finished or not.
    std::size_t unsentAnswers() const;
    std::size_t connections() const;
    /// Bytes held for callers.
    std::size_t heldBytes() const;
    const CallerCounts &callerCounts() const;
    /// Connections taken since the start.
    std::uint64_t connectionsAccepted() const;

private:
    struct Impl;
    explicit Server(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciasail::http
