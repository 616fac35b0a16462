#include "http/internal/answerparser.h"

#include <cstdint>
#include <utility>

#include <boost/beast/http/basic_parser.hpp>

namespace acaciasail::http {

namespace {

namespace beast = boost::beast;
using beast::http::error;

// Bytes of an answer's head, with the interim answers before it, above which it is taken as
// malformed; also of one chunk's size line, and of the trailers.
constexpr std::uint32_t maxHeadBytes = 64U << 10U;
constexpr int firstStatus = 100;
constexpr int switchingProtocols = 101;
constexpr int firstFinalStatus = 200;
constexpr int noContent = 204;
constexpr int lastStatus = 599;
// Ten times the version's number.
constexpr int firstVersionWithChunks = 11;

// Bytes of the shortest end of a body in chunks, "0 CR LF CR LF". The library asserts that it has
// as many when it goes on with a chunk's size.
constexpr std::size_t minLastChunkBytes = 5;

// Whether a line in the rest of a head, which begins these bytes, starts with a blank. Such a line
// once went on with the one before it (RFC 9112, 5.2); it can also be read as a field of its own.
bool hasFoldedLine(std::string_view bytes)
{
    // Only the empty line at the head's end is left.
    if (bytes.starts_with("\r\n"))
        return false;
    const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
    return head.find("\r\n ") != std::string_view::npos
           || head.find("\r\n\t") != std::string_view::npos;
}

} // namespace

/// One answer, interim or final, as the library reads it.
class AnswerParser::Message : public beast::http::basic_parser<false>
{
public:
    explicit Message(AnswerParser &owner)
        : m_owner(owner)
    {
        eager(true);
        header_limit(maxHeadBytes);
        body_limit(boost::none);
        skip(owner.m_answersHead);
    }

    bool interim() const { return m_head.status < firstFinalStatus; }

private:
    void on_request_impl(beast::http::verb, beast::string_view, beast::string_view, int,
                         beast::error_code &) override
    {}

    void on_response_impl(int status, beast::string_view, int version,
                          beast::error_code &code) override
    {
        m_head.status = status;
        m_version = version;
        // No request asks for a change of protocol.
        if (status < firstStatus || status > lastStatus || status == switchingProtocols)
            code = error::bad_status;
    }

    void on_field_impl(beast::http::field, beast::string_view name, beast::string_view value,
                       beast::error_code &) override
    {
        // Trailers are not kept.
        if (!is_header_done())
            m_head.headers.push_back({ lowerCase(name), std::string(value) });
    }

    void on_header_impl(beast::error_code &code) override
    {
        checkFraming(code);
        if (code)
            return;
        if (interim())
            return;
        if (const auto length = content_length())
            m_head.contentLength = *length;
        m_head.endsWithConnection = !content_length() && !chunked();
        m_owner.m_keepAlive = keep_alive();
        m_owner.m_headComplete = true;
        if (m_owner.m_handlers.onHead)
            m_owner.m_handlers.onHead(m_head);
        m_head.headers = {};
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, beast::error_code &) override {}

    std::size_t on_body_impl(beast::string_view piece, beast::error_code &) override
    {
        if (m_owner.m_handlers.onBody)
            m_owner.m_handlers.onBody({ piece.data(), piece.size() });
        return piece.size();
    }

    void on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code &) override {}

    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view piece,
                                   beast::error_code &code) override
    {
        return on_body_impl(piece, code);
    }

    void on_finish_impl(beast::error_code &) override {}

    // What could be read in two ways is refused: a length that is stated twice, a body in a coding
    // that no request allows, and one in a response that has none by its status.
    void checkFraming(beast::error_code &code) const
    {
        const bool statesBody = content_length().value_or(0) > 0 || chunked();
        if (!isLengthValid())
            code = error::bad_content_length;
        else if (!isCodingValid())
            code = error::bad_transfer_encoding;
        else if (statesBody && (interim() || m_head.status == noContent))
            code = error::unexpected_body;
    }

    // The library takes a list of equal numbers as a length, too.
    bool isLengthValid() const
    {
        constexpr std::string_view digits = "0123456789";
        const auto length = findHeader(m_head.headers, "content-length");
        return !length
               || (countHeaders(m_head.headers, "content-length") == 1
                   && length->find_first_not_of(digits) == std::string_view::npos);
    }

    // The library leaves codings other than chunks to its user.
    bool isCodingValid() const
    {
        const auto coding = findHeader(m_head.headers, "transfer-encoding");
        return !coding
               || (countHeaders(m_head.headers, "transfer-encoding") == 1
                   && beast::iequals({ coding->data(), coding->size() }, "chunked")
                   && m_version >= firstVersionWithChunks);
    }

    AnswerParser &m_owner;
    ClientHead m_head;
    int m_version = 0;
};

AnswerParser::AnswerParser(bool answersHead, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_answersHead(answersHead)
{
    startMessage();
}

AnswerParser::~AnswerParser() = default;

void AnswerParser::startMessage()
{
    m_message = std::make_unique<Message>(*this);
}

AnswerParser::State AnswerParser::fail(std::string fault)
{
    m_fault = std::move(fault);
    return State::Malformed;
}

// Reads on until the answer is complete or the rest of the bytes is too short to be read.
AnswerParser::State AnswerParser::read(std::string_view bytes, std::size_t &taken)
{
    while (taken < bytes.size()) {
        if (!m_headComplete && hasFoldedLine(bytes.substr(taken)))
            return fail("folded line");
        beast::error_code code;
        taken += m_message->put({ bytes.data() + taken, bytes.size() - taken }, code);
        if (code == error::need_more)
            break;
        if (code)
            return fail(code.message());
        if (!m_message->is_done())
            continue;
        if (!m_message->interim())
            return State::Complete;
        startMessage();
    }
    return State::Reading;
}

AnswerParser::State AnswerParser::feed(std::string_view bytes)
{
    const std::size_t earlier = m_unread.size();
    std::string joined = std::exchange(m_unread, {});
    if (earlier > 0)
        joined.append(bytes);
    const std::string_view input = earlier > 0 ? std::string_view(joined) : bytes;
    std::size_t taken = 0;
    const bool goesOnWithChunk = m_headComplete && earlier > 0;
    const State state
        = goesOnWithChunk && input.size() < minLastChunkBytes ? State::Reading : read(input, taken);
    m_consumed = state == State::Complete ? taken - earlier : bytes.size();
    if (state != State::Reading)
        return state;
    m_unread = input.substr(taken);
    if (!m_headComplete)
        m_bytesBeforeHead += bytes.size();
    if (m_bytesBeforeHead > maxHeadBytes || m_unread.size() > maxHeadBytes)
        return fail("head too long");
    return State::Reading;
}

AnswerParser::State AnswerParser::endOfInput()
{
    if (!m_headComplete)
        return fail("no head");
    beast::error_code code;
    m_message->put_eof(code);
    return code ? fail(code.message()) : State::Complete;
}

} // namespace acaciasail::http
