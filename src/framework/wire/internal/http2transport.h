#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "http/http.h"
#include "kernel/kernel.h"
#include "wire/internal/transport.h"

namespace acaciasail::wire {

/// The name that the certificates of all daemons must carry. Daemons are addressed by IP numbers
/// that change, so the certificate says what a process is and not where.
constexpr const char *peerCertificateName = "acaciasail-peer";

/// Release of the protocol between daemons, the first part of each path.
constexpr int protocolRelease = 1;

/// Settings of the transport.
struct TransportOptions
{
    /// Port 0 gives out a free one.
    kernel::Endpoint listen;
    /// Set for mutual TLS; all three files are needed then.
    std::optional<http::TlsFiles> tls;
    /// Largest payload of a message or an answer, in bytes.
    std::size_t maxMessageBytes = 1U << 20U;
    /// Payloads that may wait for one peer, in bytes.
    std::size_t maxQueuedBytes = 4U << 20U;
    kernel::Duration connectTimeout = std::chrono::seconds(1);
    /// Time without a connection after a failed attempt; doubled with each further failure.
    kernel::Duration firstBackoff = std::chrono::milliseconds(50);
    kernel::Duration longestBackoff = std::chrono::seconds(1);
    /// Silence after which a connection is tested by a PING; one without an answer to it by the
    /// next test is closed.
    kernel::Duration keepAliveInterval = std::chrono::seconds(30);
    /// Time without calls after which a connection is closed.
    kernel::Duration idleTimeout = std::chrono::minutes(5);
    /// Connections from peers at the same time; further ones are closed at once.
    std::size_t maxConnections = 2048;
};

/// Payloads of one method, in both roles.
struct MethodTraffic
{
    std::uint64_t messagesOut = 0;
    std::uint64_t messagesIn = 0;
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
};

/// What the transport carried since its start.
struct TransportTraffic
{
    /// Bytes of HTTP/2, framing included; without TLS and TCP.
    std::uint64_t bytesOut = 0;
    std::uint64_t bytesIn = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsAccepted = 0;
    /// Messages and their answers by method.
    std::map<std::string, MethodTraffic> methods;
};

/// The transport over HTTP/2: one connection to each peer that is called, one stream a call.
///
/// A call is `POST /v<release>/<method>` with the payload as its body. The answer is status 200
/// with the payload, or another status with the result code's number in the header
/// `acaciasail-code` and the sentence as its body.
class Http2Transport
{
public:
    /// Listens for peers. The loop must outlive the transport. Errors: ListenFailed, TlsFailed,
    /// InvalidField.
    static kernel::Result<std::unique_ptr<Http2Transport>> listen(http::EventLoop &loop,
                                                                  TransportOptions options);
    /// Ends all connections; callbacks of calls in progress aren't called any more.
    ~Http2Transport();
    Http2Transport(const Http2Transport &) = delete;
    Http2Transport &operator=(const Http2Transport &) = delete;

    /// The interface for the libraries; valid as long as this object.
    Transport transport();
    /// The address in use.
    kernel::Endpoint endpoint() const;
    const TransportTraffic &traffic() const;
    /// Connections that stand, in both roles.
    std::size_t connections() const;

private:
    struct Impl;
    explicit Http2Transport(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciasail::wire
