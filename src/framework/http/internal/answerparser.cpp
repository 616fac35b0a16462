#include "http/internal/answerparser.h"

#include <cctype>
#include <cstdint>
#include <limits>
#include <utility>

namespace acaciasail::http {

namespace {

// Bytes of an answer's head, with the interim answers before it, above which it is taken as
// malformed.
constexpr std::size_t maxHeadBytes = 64U << 10U;
// Bytes of a header besides its name and value.
constexpr std::size_t headerSeparatorBytes = 4;
constexpr unsigned int firstStatus = 100;
constexpr unsigned int switchingProtocols = 101;
constexpr unsigned int firstFinalStatus = 200;
constexpr unsigned int lastStatus = 599;
// http_parser's return values of the headers callback.
constexpr int headersOk = 0;
constexpr int headersNoBody = 1;
constexpr int headersFailed = -1;
// Return value of the other callbacks that ends the parsing.
constexpr int callbackFailed = 1;

} // namespace

AnswerParser::AnswerParser(bool answersHead, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_answersHead(answersHead)
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
}

const http_parser_settings &AnswerParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_header_field = &AnswerParser::onField;
        result.on_header_value = &AnswerParser::onValue;
        result.on_headers_complete = &AnswerParser::onHeadersComplete;
        result.on_body = &AnswerParser::onBody;
        result.on_message_complete = &AnswerParser::onMessageComplete;
        return result;
    }();
    return settings;
}

int AnswerParser::onField(http_parser *parser, const char *at, std::size_t length)
{
    AnswerParser *self = of(parser);
    if (self->m_headComplete)
        return self->countHeadBytes(length);
    if (self->m_readingValue || self->m_head.headers.empty()) {
        self->m_head.headers.emplace_back();
        self->m_headBytes += headerSeparatorBytes;
    }
    self->m_readingValue = false;
    std::string &name = self->m_head.headers.back().name;
    for (std::size_t i = 0; i < length; ++i)
        name += static_cast<char>(std::tolower(static_cast<unsigned char>(at[i])));
    return self->countHeadBytes(length);
}

int AnswerParser::onValue(http_parser *parser, const char *at, std::size_t length)
{
    AnswerParser *self = of(parser);
    if (self->m_headComplete)
        return self->countHeadBytes(length);
    self->m_readingValue = true;
    if (self->m_head.headers.empty())
        return callbackFailed;
    self->m_head.headers.back().value.append(at, length);
    return self->countHeadBytes(length);
}

// Counts bytes of a head, or of the trailers that follow a body and are not kept. Returns the
// result of a parser's callback.
int AnswerParser::countHeadBytes(std::size_t count)
{
    m_headBytes += count;
    return m_headBytes > maxHeadBytes ? callbackFailed : 0;
}

bool AnswerParser::interim() const
{
    return m_parser.status_code < firstFinalStatus;
}

// An interim response has no body, so one that states a body could be read in two ways, and so
// could a response that is framed twice. No request asks for a change of protocol.
bool AnswerParser::isHeadValid() const
{
    const unsigned int status = m_parser.status_code;
    if (status < firstStatus || status > lastStatus || status == switchingProtocols)
        return false;
    if (countHeaders(m_head.headers, "content-length") > 1)
        return false;
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0 && m_parser.content_length > 0;
    const bool statesBody = hasLength || (m_parser.flags & F_CHUNKED) != 0;
    return !(interim() && statesBody);
}

int AnswerParser::onHeadersComplete(http_parser *parser)
{
    AnswerParser *self = of(parser);
    if (!self->isHeadValid())
        return headersFailed;
    if (self->interim())
        return headersOk;
    self->m_headComplete = true;
    self->m_head.status = static_cast<int>(parser->status_code);
    if ((parser->flags & F_CONTENTLENGTH) != 0)
        self->m_head.contentLength = parser->content_length;
    self->m_head.endsWithConnection = (parser->flags & (F_CONTENTLENGTH | F_CHUNKED)) == 0;
    self->m_keepAlive = http_should_keep_alive(parser) != 0;
    if (self->m_handlers.onHead)
        self->m_handlers.onHead(self->m_head);
    self->m_head = {};
    return self->m_answersHead ? headersNoBody : headersOk;
}

int AnswerParser::onBody(http_parser *parser, const char *at, std::size_t length)
{
    AnswerParser *self = of(parser);
    if (self->m_handlers.onBody)
        self->m_handlers.onBody({ at, length });
    return 0;
}

int AnswerParser::onMessageComplete(http_parser *parser)
{
    AnswerParser *self = of(parser);
    if (self->interim()) {
        self->m_head = {};
        return 0;
    }
    self->m_complete = true;
    // What follows is not part of this answer, so it is left unread.
    http_parser_pause(parser, 1);
    return 0;
}

AnswerParser::State AnswerParser::run(const char *bytes, std::size_t length)
{
    m_consumed = http_parser_execute(&m_parser, &callbacks(), bytes, length);
    if (m_complete)
        return State::Complete;
    if (!m_headComplete)
        m_bytesBeforeHead += length;
    const bool failed = HTTP_PARSER_ERRNO(&m_parser) != HPE_OK || m_parser.upgrade != 0
                        || m_bytesBeforeHead > maxHeadBytes;
    return failed ? State::Malformed : State::Reading;
}

AnswerParser::State AnswerParser::feed(std::string_view bytes)
{
    return run(bytes.data(), bytes.size());
}

AnswerParser::State AnswerParser::endOfInput()
{
    const State state = run(nullptr, 0);
    return state == State::Complete ? State::Complete : State::Malformed;
}

} // namespace acaciasail::http
