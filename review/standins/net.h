#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// First line and headers of an HTTP/1.1 message; header names are in lower case.
struct Head
{
    std::string firstLine;
    Headers headers;

    /// Returns the value of a header; empty if there is none.
    std::string value(std::string_view name) const;
    /// Returns the word of the first line with this number, from 0.
    std::string word(std::size_t number) const;
};

using BodyHandler = std::function<void(std::string_view piece)>;

/// A TCP connection with a read buffer. All reads and writes block.
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {}
    Connection(Connection &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
        , m_buffer(std::move(other.m_buffer))
    {}
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection();

    /// Connects to a port on the loopback address. With a receive buffer of this size, segments are
    /// as small as on a network; 0 for the defaults.
    static std::optional<Connection> connect(std::uint16_t port, int receiveBuffer = 0);

    bool isOpen() const { return m_descriptor >= 0; }
    /// Returns whether the peer has closed or reset the connection.
    bool isClosedByPeer() const;
    bool write(std::string_view bytes);
    /// Reads until the end of a head; nothing if the connection ends before.
    std::optional<Head> readHead();
    /// Reads exactly this number of bytes.
    bool readBytes(std::size_t count, std::string &bytes);
    /// Reads up to and including the next line feed.
    bool readLine(std::string &line);
    /// Reads a body that is framed by a length or by chunks, in small pieces. Returns whether it is
    /// complete.
    bool readBody(const Head &head, const BodyHandler &onPiece);
    bool readBody(const Head &head, std::string &body);
    /// Limits the time for which each further read blocks.
    void setReadTimeout(int milliseconds);
    /// Closes the connection with a reset.
    void reset();
    void close();

private:
    bool fill();
    bool readPieces(std::size_t count, const BodyHandler &onPiece);

    int m_descriptor;
    std::string m_buffer;
};

/// A request that a server has read whole.
struct HttpRequest
{
    Head head;
    std::string body;

    std::string method() const { return head.word(0); }
    std::string target() const { return head.word(1); }
};

/// Answers one request; returns whether the connection is kept.
using HttpHandler = std::function<bool(const HttpRequest &, Connection &)>;

/// Listens on a free port of the loopback address, with one thread per connection, until the
/// process ends. Returns the port.
std::uint16_t startServer(HttpHandler handler);

/// Returns a port of the loopback address on which nobody listens now.
std::uint16_t findFreePort();

/// Formats a response whose body has a length.
std::string formatResponse(int status, const Headers &headers, std::string_view body);
/// Formats a request; a body gets a length.
std::string formatRequest(std::string_view method, std::string_view target, const Headers &headers,
                          std::string_view body = {});
/// Formats one chunk; an empty text gives the chunk that ends a body.
std::string formatChunk(std::string_view text);

} // namespace review
