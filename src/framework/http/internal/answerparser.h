#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include <http_parser.h>

#include "http/internal/client.h"

namespace acaciasail::http {

/// Reads one answer from a connection's bytes, by the http_parser library.
///
/// Interim answers (1xx) are skipped; one that states a body is malformed. Bytes after the answer's
/// end are counted, not read.
class AnswerParser
{
public:
    struct Handlers
    {
        std::function<void(const ClientHead &)> onHead;
        std::function<void(std::string_view)> onBody;
    };

    enum class State {
        /// More bytes are needed.
        Reading,
        Complete,
        /// The bytes are no HTTP answer.
        Malformed,
    };

    AnswerParser(bool answersHead, Handlers handlers);
    AnswerParser(const AnswerParser &) = delete;
    AnswerParser &operator=(const AnswerParser &) = delete;

    /// Takes in bytes; tells the state and how many of them belong to this answer.
    State feed(std::string_view bytes);
    /// The connection ended in good order; an answer without a length is complete then.
    State endOfInput();

    std::size_t consumed() const { return m_consumed; }
    /// Whether the connection may carry another request after this answer.
    bool keepAlive() const { return m_keepAlive; }

private:
    static AnswerParser *of(http_parser *parser)
    {
        return static_cast<AnswerParser *>(parser->data);
    }
    static int onField(http_parser *parser, const char *at, std::size_t length);
    static int onValue(http_parser *parser, const char *at, std::size_t length);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t length);
    static int onMessageComplete(http_parser *parser);
    static const http_parser_settings &callbacks();

    State run(const char *bytes, std::size_t length);
    bool interim() const;
    bool isHeadValid() const;
    int countHeadBytes(std::size_t count);

    http_parser m_parser{};
    Handlers m_handlers;
    ClientHead m_head;
    std::size_t m_headBytes = 0;
    // Bytes fed without completing the final head, including interim answers.
    std::size_t m_bytesBeforeHead = 0;
    std::size_t m_consumed = 0;
    bool m_answersHead;
    bool m_readingValue = false;
    bool m_headComplete = false;
    bool m_complete = false;
    bool m_keepAlive = false;
};

} // namespace acaciasail::http
