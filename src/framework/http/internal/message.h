#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::http {

/// One header field; names are in lower case.
struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

/// The value of the first header of that name (lower case).
std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name);

/// Number of headers of that name (lower case).
std::size_t countHeaders(const Headers &headers, std::string_view name);

/// The text with ASCII letters in lower case, as names of header fields and hosts are compared.
std::string lowerCase(std::string_view text);

/// Whether a text has a control byte; a tab, which headers may have, counts as none.
bool hasControlByte(std::string_view text);

/// Whether a text can be the value of a header, and is read as the same text (RFC 9110, section
/// 5.5): it has no control byte but tabs, and neither starts nor ends with a blank or a tab.
bool isFieldValue(std::string_view text);

/// Tells which fields of a message concern one connection only: those that say how it is framed,
/// and those that its Connection fields name. Host is one of them, since each side sets its own.
class ConnectionHeaders
{
public:
    explicit ConnectionHeaders(const Headers &headers);

    /// Whether the field of that name (lower case) is one of them.
    bool contains(std::string_view name) const;

private:
    /// Names in Connection fields, in lower case.
    std::set<std::string, std::less<>> m_named;
};

/// A whole request as a server receives it.
struct ServerRequest
{
    std::string method;
    /// Path without the query, normalised by the server.
    std::string path;
    /// Query without the question mark.
    std::string query;
    /// Path and query as the caller wrote them.
    std::string target;
    /// Value of the Host header.
    std::string host;
    Headers headers;
    std::string body;
    /// IP address of the peer.
    std::string remoteIp;
};

/// The value of a query's parameter, with %XX and + decoded.
std::optional<std::string> queryParameter(std::string_view query, std::string_view name);

/// Encodes any bytes as one segment of a path, or as the value of a query's parameter (RFC 3986,
/// section 2): all but unreserved characters and those in `plain` become %XX.
std::string percentEncode(std::string_view text, std::string_view plain = {});

/// Certificate and key of a TLS listener or client.
struct TlsFiles
{
    std::string certificateFile;
    std::string keyFile;
    /// Authorities that a peer's certificate must come from; empty asks for no certificate.
    std::string authorityFile;
};

} // namespace acaciasail::http
