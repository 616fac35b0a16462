#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/internal/client.h"

namespace acaciasail::http {

/// Reads one answer from a connection's bytes, by the strict parser of the Boost.Beast library:
/// what the grammar of HTTP/1.1 (RFC 9112) doesn't allow is malformed.
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
        /// The bytes are no HTTP answer; fault() tells why.
        Malformed,
    };

    AnswerParser(bool answersHead, Handlers handlers);
    ~AnswerParser();
    AnswerParser(const AnswerParser &) = delete;
    AnswerParser &operator=(const AnswerParser &) = delete;

    /// Takes in bytes; tells the state and how many of them belong to this answer.
    State feed(std::string_view bytes);
    /// The connection ended in good order; an answer without a length is complete then.
    State endOfInput();

    /// Bytes of the last piece that belong to this answer, or to what precedes its fault.
    std::size_t consumed() const { return m_consumed; }
    /// Whether the connection may carry another request after this answer.
    bool keepAlive() const { return m_keepAlive; }
    /// Why the answer is malformed; empty if it isn't.
    const std::string &fault() const { return m_fault; }

private:
    class Message;

    State read(std::string_view bytes, std::size_t &taken);
    State fail(std::string fault);
    void startMessage();

    Handlers m_handlers;
    bool m_answersHead;
    // The interim answer or the final one that is being read.
    std::unique_ptr<Message> m_message;
    // Begin of a head, of a chunk's size or of trailers whose end has not come yet.
    std::string m_unread;
    // Bytes fed without completing the final head, including interim answers.
    std::size_t m_bytesBeforeHead = 0;
    std::size_t m_consumed = 0;
    std::string m_fault;
    bool m_headComplete = false;
    bool m_keepAlive = false;
};

} // namespace acaciasail::http
