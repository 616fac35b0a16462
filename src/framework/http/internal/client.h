#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/internal/eventloop.h"
#include "http/internal/message.h"
#include "kernel/kernel.h"

namespace acaciasail::http {

/// A request that a client sends.
struct ClientRequest
{
    kernel::Endpoint endpoint;
    std::string method = "GET";
    /// Path with the query.
    std::string path = "/";
    /// Value of the Host header; the endpoint where empty.
    std::string host;
    Headers headers;
    std::string body;
    kernel::Duration connectTimeout = std::chrono::seconds(2);
    /// Longest silence before the head and between pieces of the body.
    kernel::Duration idleTimeout = std::chrono::seconds(30);
    /// Longest time from the send to the answer's end, also while bytes come; zero for no limit.
    kernel::Duration totalTimeout{};
    /// A kept connection is used only when it was idle for less than this; zero opens a new one.
    kernel::Duration maxIdle = std::chrono::seconds(5);
    /// Only an upstream that echoes this header may answer: its value must be the request's.
    std::string echoedHeader;
};

/// Status and headers of an answer.
struct ClientHead
{
    int status = 0;
    Headers headers;
    /// The body's length, where the answer states one.
    std::optional<std::uint64_t> contentLength;
    /// The answer has neither a length nor chunks, so only the end of its connection ends it.
    bool endsWithConnection = false;
};

/// Largest piece of an answer's body, in bytes, that a handler gets.
constexpr std::size_t maxPieceBytes = 256U << 10U;

/// Receives an answer as it arrives. Each function may be empty.
struct ClientHandlers
{
    /// The connection stands and the request is being sent; from here on it may have run.
    std::function<void()> onSent;
    std::function<void(const ClientHead &)> onHead;
    std::function<void(std::string_view piece)> onBody;
    /// Called once, last. Errors: UpstreamConnectFailed (nothing was sent), UpstreamTimeout,
    /// UpstreamBroken (closed or reset before the end), UpstreamProtocol (bytes that are no answer
    /// to this request).
    std::function<void(kernel::Completion<kernel::Done>)> onEnd;
};

/// A whole answer.
struct ClientResponse
{
    ClientHead head;
    std::string body;
};

/// A request in progress; destroying it cancels the request, and no handler is called any more.
class Exchange
{
public:
    virtual ~Exchange() = default;
    /// Stops or goes on reading the answer, so that a slow reader bounds what is held.
    virtual void pauseReading(bool pause) { (void) pause; }
};

/// Largest answer, in bytes, that fetch() collects.
constexpr std::size_t maxFetchedBody = 16U << 20U;

/// An HTTP/1.1 client with a pool of connections for each endpoint.
class Client
{
public:
    explicit Client(EventLoop &loop);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends a request; the caller keeps the exchange until onEnd. A request whose head can't be
    /// sent as it is (a blank or a control byte in the path, a line end in a header) fails with
    /// UpstreamConnectFailed.
    std::unique_ptr<Exchange> send(const ClientRequest &request, ClientHandlers handlers);

    /// Opens a connection without a request and keeps it for the next one; destroying the result
    /// cancels it. Errors: UpstreamTimeout (nobody answers), UpstreamConnectFailed.
    std::unique_ptr<Exchange> connect(const kernel::Endpoint &endpoint, kernel::Duration timeout,
                                      kernel::Callback<kernel::Done> callback);

    /// Connections that were opened, ever.
    std::uint64_t connectionsOpened() const;

    /// Sends a request and collects the whole answer; it can't be cancelled. Errors: those of
    /// ClientHandlers::onEnd; UpstreamProtocol also where the answer is larger than maxFetchedBody.
    void fetch(const ClientRequest &request, kernel::Callback<ClientResponse> callback);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciasail::http
