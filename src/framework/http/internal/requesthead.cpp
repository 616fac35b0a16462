#include "http/internal/requesthead.h"

#include <http_parser.h>

namespace acaciasail::http {

namespace {

struct Reading
{
    ServerRequest request;
    bool readingValue = false;
    bool complete = false;
};

Reading &of(http_parser *parser)
{
    return *static_cast<Reading *>(parser->data);
}

int onUrl(http_parser *parser, const char *at, std::size_t length)
{
    of(parser).request.target.append(at, length);
    return 0;
}

int onField(http_parser *parser, const char *at, std::size_t length)
{
    Reading &reading = of(parser);
    if (reading.readingValue || reading.request.headers.empty())
        reading.request.headers.emplace_back();
    reading.readingValue = false;
    reading.request.headers.back().name += lowerCase({ at, length });
    return 0;
}

int onValue(http_parser *parser, const char *at, std::size_t length)
{
    Reading &reading = of(parser);
    if (reading.request.headers.empty())
        return 1;
    reading.readingValue = true;
    reading.request.headers.back().value.append(at, length);
    return 0;
}

// A result other than 0 ends the parsing, so that the body isn't looked at.
int onHeadersComplete(http_parser *parser)
{
    of(parser).complete = true;
    return -1;
}

} // namespace

bool holdsWholeHead(std::string_view bytes)
{
    return bytes.find("\r\n\r\n") != std::string_view::npos;
}

std::optional<ServerRequest> readRequestHead(std::string_view bytes)
{
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = onUrl;
    callbacks.on_header_field = onField;
    callbacks.on_header_value = onValue;
    callbacks.on_headers_complete = onHeadersComplete;
    Reading reading;
    http_parser parser;
    http_parser_init(&parser, HTTP_REQUEST);
    parser.data = &reading;
    http_parser_execute(&parser, &callbacks, bytes.data(), bytes.size());
    if (!reading.complete)
        return std::nullopt;
    ServerRequest &request = reading.request;
    request.method = http_method_str(static_cast<http_method>(parser.method));
    const std::size_t queryAt = request.target.find('?');
    request.path = request.target.substr(0, queryAt);
    if (queryAt != std::string::npos)
        request.query = request.target.substr(queryAt + 1);
    request.host = findHeader(request.headers, "host").value_or("");
    return std::move(request);
}

} // namespace acaciasail::http
