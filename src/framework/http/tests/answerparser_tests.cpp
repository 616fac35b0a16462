#include <algorithm>
#include <cctype>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "http/internal/answerparser.h"

using namespace acaciasail::http;

namespace {

struct Parsed
{
    AnswerParser::State state = AnswerParser::State::Reading;
    int status = 0;
    Headers headers;
    std::string body;
    std::size_t left = 0;
    bool keepAlive = false;
};

// Feeds the pieces until the answer has ended; `left` counts the bytes of its last piece beyond it.
Parsed parse(const std::vector<std::string> &pieces, bool endOfInput = false,
             bool answersHead = false)
{
    Parsed result;
    AnswerParser parser(answersHead, { [&](const ClientHead &head) {
                                          result.status = head.status;
                                          result.headers = head.headers;
                                      },
                                       [&](std::string_view piece) { result.body += piece; } });
    for (const std::string &piece : pieces) {
        result.state = parser.feed(piece);
        if (result.state != AnswerParser::State::Reading) {
            result.left = piece.size() - parser.consumed();
            break;
        }
    }
    if (endOfInput && result.state == AnswerParser::State::Reading)
        result.state = parser.endOfInput();
    result.keepAlive = parser.keepAlive();
    return result;
}

const std::string sized = "HTTP/1.1 200 OK\r\nX-One: a\r\ncontent-length: 5\r\n\r\nhello";
const std::string chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                            "2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n";
const std::string unframed = "HTTP/1.1 200 OK\r\n\r\nhello";

} // namespace

TEST(AnswerParserTest, ReadsEachFraming)
{
    const Parsed length = parse({ sized });
    EXPECT_EQ(length.state, AnswerParser::State::Complete);
    EXPECT_EQ(length.body, "hello");
    EXPECT_EQ(findHeader(length.headers, "x-one"), "a");
    EXPECT_TRUE(length.keepAlive);
    EXPECT_EQ(parse({ chunked }).body, "hello");
    EXPECT_EQ(parse({ chunked }).state, AnswerParser::State::Complete);
    EXPECT_EQ(parse({ unframed }).state, AnswerParser::State::Reading);
    const Parsed closed = parse({ unframed }, true);
    EXPECT_EQ(closed.state, AnswerParser::State::Complete);
    EXPECT_FALSE(closed.keepAlive);
}

TEST(AnswerParserTest, CountsWhatFollowsAnAnswer)
{
    EXPECT_EQ(parse({ sized }).left, 0U);
    EXPECT_EQ(parse({ chunked }).left, 0U);
    EXPECT_EQ(parse({ sized + "\n" }).left, 1U);
    EXPECT_EQ(parse({ chunked + "\n" }).left, 1U);
    EXPECT_EQ(parse({ chunked + sized }).left, sized.size());
    EXPECT_EQ(parse({ chunked + sized }).body, "hello");
}

TEST(AnswerParserTest, AnAnswerThatEndsEarlyIsNotComplete)
{
    EXPECT_EQ(parse({ sized.substr(0, sized.size() - 1) }, true).state,
              AnswerParser::State::Malformed);
    EXPECT_EQ(parse({ chunked.substr(0, chunked.size() - 2) }, true).state,
              AnswerParser::State::Malformed);
    EXPECT_EQ(parse({ "HTTP/1.1 200 OK\r\n" }, true).state, AnswerParser::State::Malformed);
}

TEST(AnswerParserTest, RefusesWhatIsNoAnswer)
{
    EXPECT_EQ(parse({ "garbage\r\n\r\n" }).state, AnswerParser::State::Malformed);
    EXPECT_EQ(parse({ "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 4\r\n\r\n" }).state,
              AnswerParser::State::Malformed);
    EXPECT_EQ(
        parse({ "HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n" })
            .state,
        AnswerParser::State::Malformed);
    EXPECT_EQ(parse({ "HTTP/1.1 200 OK\r\nx: " + std::string(100000, 'a') }).state,
              AnswerParser::State::Malformed);
    EXPECT_EQ(parse({ "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n" }).state,
              AnswerParser::State::Malformed);
}

TEST(AnswerParserTest, SkipsInterimAnswersAndBodiesThatAreNotThere)
{
    const Parsed continued = parse({ "HTTP/1.1 100 Continue\r\nx-a: b\r\n\r\n" + sized });
    EXPECT_EQ(continued.status, 200);
    EXPECT_EQ(continued.body, "hello");
    EXPECT_FALSE(findHeader(continued.headers, "x-a"));
    EXPECT_EQ(parse({ "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n" }, false, true).state,
              AnswerParser::State::Complete);
    EXPECT_EQ(parse({ "HTTP/1.1 204 No Content\r\n\r\n" }).state, AnswerParser::State::Complete);
}

// Guards against the body of an interim response that becomes part of the final one.
TEST(AnswerParserTest, RefusesInterimResponseWithBody)
{
    const std::string body(300, '!');
    for (const std::string &framing :
         { std::string("content-length: 300\r\n\r\n") + body,
           std::string("transfer-encoding: chunked\r\n\r\n12c\r\n") + body + "\r\n0\r\n\r\n" }) {
        for (const char *status : { "100", "103", "199" }) {
            std::string answers = "HTTP/1.1 " + std::string(status) + " x\r\n";
            const Parsed result = parse({ answers.append(framing).append(sized) });
            EXPECT_EQ(result.state, AnswerParser::State::Malformed) << status;
            EXPECT_EQ(result.status, 0);
            EXPECT_EQ(result.body, "");
        }
    }
}

// Guards against a status that is neither interim nor final, and against a change of protocol that
// nobody asked for.
TEST(AnswerParserTest, RefusesStatusThatNoRequestAsksFor)
{
    for (const char *status : { "0", "99", "101", "600" }) {
        const Parsed result
            = parse({ "HTTP/1.1 " + std::string(status) + " x\r\ncontent-length: 5\r\n\r\nhello" });
        EXPECT_EQ(result.state, AnswerParser::State::Malformed) << status;
        EXPECT_EQ(result.body, "");
    }
}

// However the bytes arrive, the same answer comes out.
RC_GTEST_PROP(AnswerParserProperty, IsCutAnywhere, ())
{
    const std::string text = *rc::gen::element(sized, chunked);
    std::vector<std::string> pieces;
    std::size_t position = 0;
    while (position < text.size()) {
        const auto length = *rc::gen::inRange<std::size_t>(1, 20);
        pieces.push_back(text.substr(position, length));
        position += length;
    }
    const Parsed result = parse(pieces);
    RC_ASSERT(result.state == AnswerParser::State::Complete);
    RC_ASSERT(result.status == 200);
    RC_ASSERT(result.body == "hello");
    RC_ASSERT(result.left == 0U);
}

namespace {

bool isTokenByte(int byte)
{
    return byte > 0
           && (std::isalnum(byte) != 0
               || std::string_view("!#$%&'*+-.^_`|~").find(static_cast<char>(byte))
                      != std::string_view::npos);
}

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string result;
    for (const std::string_view part : parts)
        result.append(part);
    return result;
}

std::vector<std::string> bytesOf(const std::string &text)
{
    std::vector<std::string> pieces;
    for (const char byte : text)
        pieces.emplace_back(1, byte);
    return pieces;
}

// In one piece and byte by byte, the answer is malformed and nothing of it is passed on.
void expectMalformed(const std::string &text)
{
    for (const auto &pieces : { std::vector<std::string>{ text }, bytesOf(text) }) {
        const Parsed result = parse(pieces, true);
        EXPECT_EQ(result.state, AnswerParser::State::Malformed) << testing::PrintToString(text);
        EXPECT_EQ(result.status, 0) << testing::PrintToString(text);
        EXPECT_EQ(result.body, "") << testing::PrintToString(text);
    }
}

void expectBody(const std::string &text, const std::string &body)
{
    for (const auto &pieces : { std::vector<std::string>{ text }, bytesOf(text) }) {
        const Parsed result = parse(pieces, true);
        EXPECT_EQ(result.state, AnswerParser::State::Complete) << testing::PrintToString(text);
        EXPECT_EQ(result.body, body) << testing::PrintToString(text);
    }
}

} // namespace

// Guards against a line that is passed on, or that frames the answer, although it is no field.
TEST(AnswerParserTest, RefusesEachByteThatNoFieldNameHolds)
{
    const std::vector<std::pair<std::string, std::string>> fields{
        { "X-Any", "v" },
        { "Content-Length", "2" },
        { "Transfer-Encoding", "chunked" },
        { "Connection", "close" },
    };
    for (int byte = 0; byte < 256; ++byte) {
        if (isTokenByte(byte))
            continue;
        for (const auto &[name, value] : fields) {
            for (const std::size_t at : { std::size_t(0), name.size() / 2, name.size() }) {
                // A colon ends the name, and what follows is the value.
                if (byte == ':' && at > 0)
                    continue;
                std::string line = name;
                line.insert(at, 1, static_cast<char>(byte));
                line.append(": ").append(value).append("\r\n");
                const std::string body = value == "chunked" ? "2\r\nok\r\n0\r\n\r\n" : "ok";
                expectMalformed(joined({ "HTTP/1.1 200 OK\r\n", line, "\r\n", body }));
                expectMalformed(joined({ "HTTP/1.1 200 OK\r\nX-One: a\r\n", line, "\r\n", body }));
                expectMalformed(joined({ "HTTP/1.1 103 Early\r\n", line, "\r\n", sized }));
            }
        }
    }
}

TEST(AnswerParserTest, ReadsEachByteThatFieldNamesHold)
{
    for (int byte = 0; byte < 256; ++byte) {
        if (!isTokenByte(byte))
            continue;
        const std::string name(3, static_cast<char>(byte));
        const Parsed result
            = parse({ "HTTP/1.1 200 OK\r\n" + name + ": v\r\ncontent-length: 0\r\n\r\n" });
        EXPECT_EQ(result.state, AnswerParser::State::Complete) << byte;
        std::string lower = name;
        std::ranges::transform(name, lower.begin(),
                               [](unsigned char c) { return std::tolower(c); });
        EXPECT_EQ(findHeader(result.headers, lower), "v") << byte;
    }
}

TEST(AnswerParserTest, RefusesLinesThatAreNoFields)
{
    for (const char *lines :
         { "X-Any\r\n", ": v\r\n", "\r\r\n", "X-Any: a\nX-More: b\r\n", "X-Any: a\rX-More: b\r\n",
           "X-Any: a\x01z\r\n", "X-Any: a\x7fz\r\n", "X-Any: a\r\n b\r\n", "X-Any: a\r\n\tb\r\n",
           "X-Any:\r\n b\r\n", "X-Any: a\r\n \r\n", "X-Any: a\n", "X-Any: a\r",
           "Connection: close, {x}\r\n" })
        expectMalformed("HTTP/1.1 200 OK\r\n" + std::string(lines) + "Content-Length: 2\r\n\r\nok");
    expectMalformed(std::string("HTTP/1.1 200 OK\r\nX-Any: a\0z\r\n", 29)
                    + "Content-Length: 2\r\n\r\nok");
    expectMalformed("HTTP/1.1 200 OK\nContent-Length: 2\n\nok");
    expectMalformed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nok");
    expectMalformed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rxok");
}

// A body's blanks after an empty line are no part of the head, however the bytes are cut.
TEST(AnswerParserTest, ReadsBodyThatLooksLikeFoldedLine)
{
    const std::string body = " a\r\n b\r\n\tc";
    const std::string text = "HTTP/1.1 103 Early\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\nX-One: a\r\n"
                             "content-length: "
                             + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (std::size_t cut = 1; cut < text.size(); ++cut) {
        const Parsed result = parse({ text.substr(0, cut), text.substr(cut) });
        EXPECT_EQ(result.state, AnswerParser::State::Complete) << cut;
        EXPECT_EQ(result.body, body) << cut;
    }
    expectBody(text, body);
}

// Guards against a body that is not the one which the upstream sent.
TEST(AnswerParserTest, RefusesFramingThatCanBeReadInTwoWays)
{
    for (const char *fields : { "Content-Length: \r\n",
                                "Content-Length: +2\r\n",
                                "Content-Length: -2\r\n",
                                "Content-Length: 0x2\r\n",
                                "Content-Length: 2 2\r\n",
                                "Content-Length: 2, 2\r\n",
                                "Content-Length: 2,\r\n",
                                "Content-Length: 2a\r\n",
                                "Content-Length: 18446744073709551616\r\n",
                                "Content-Length: 2\r\nContent-Length: 2\r\n",
                                "Transfer-Encoding: \r\n",
                                "Transfer-Encoding: gzip\r\n",
                                "Transfer-Encoding: gzip, chunked\r\n",
                                "Transfer-Encoding: chunked, gzip\r\n",
                                "Transfer-Encoding: chunked, chunked\r\n",
                                "Transfer-Encoding: identity\r\n",
                                "Transfer-Encoding: xchunked\r\n",
                                "Transfer-Encoding: chunked;q=1\r\n",
                                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                                "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n",
                                "Content-Length: 2\r\nTransfer-Encoding: gzip\r\n" })
        expectMalformed("HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n"
                        + "2\r\nok\r\n0\r\n\r\n");
    expectMalformed("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    expectMalformed("HTTP/1.1 204 x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
    expectBody("HTTP/1.1 200 OK\r\nTransfer-Encoding: \tChunked \r\n\r\n2\r\nok\r\n0\r\n\r\n",
               "ok");
    expectBody("HTTP/1.1 200 OK\r\nContent-Length:002\r\n\r\nok", "ok");
}

// Guards against bytes that are skipped between the chunks, and chunks that are no part of the
// body.
TEST(AnswerParserTest, RefusesChunksOutsideTheGrammar)
{
    const std::string head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (const char *chunks : { "2\nok\r\n0\r\n\r\n",
                                "2\rxok\r\n0\r\n\r\n",
                                "2\r\nok\n0\r\n\r\n",
                                "2\r\nokxy0\r\n\r\n",
                                "2\r\nok\rx0\r\n\r\n",
                                "2\r\nok0\r\n\r\n",
                                "2\r\noky\r\n0\r\n\r\n",
                                " 2\r\nok\r\n0\r\n\r\n",
                                "2 \r\nok\r\n0\r\n\r\n",
                                "2 3\r\nok\r\n0\r\n\r\n",
                                "+2\r\nok\r\n0\r\n\r\n",
                                "0x2\r\nok\r\n0\r\n\r\n",
                                "\r\n2\r\nok\r\n0\r\n\r\n",
                                "2;\r\nok\r\n0\r\n\r\n",
                                "10000000000000002\r\nok\r\n0\r\n\r\n",
                                "2\r\nok\r\n0\r\nX Bad: v\r\n\r\n",
                                "2\r\nok\r\n0\r\n: v\r\n\r\n",
                                "2\r\nok\r\n0\r\nX-T: v\n\r\n",
                                "2\r\nok\r\n0\r\n\rx",
                                "2\r\nok\r\n0\n\n",
                                "2\r\nok\r\n0\r\n",
                                "2\r\nok\r\n",
                                "2\r\nok" }) {
        for (const auto &pieces :
             { std::vector<std::string>{ head + chunks }, bytesOf(head + chunks) }) {
            EXPECT_EQ(parse(pieces, true).state, AnswerParser::State::Malformed)
                << testing::PrintToString(chunks);
        }
    }
    expectBody(head + "02;a=b;c=\"d\"\r\nok\r\n00;x\r\nX-T: v\r\nX-U:\r\n\r\n", "ok");
    expectBody(head + "A\r\n0123456789\r\n1\r\na\r\n0\r\n\r\n", "0123456789a");
    expectBody(head + "0\r\n\r\n", "");
}

// A chunk's size or trailers without end must not fill the memory.
TEST(AnswerParserTest, RefusesChunkSizeAndTrailersWithoutEnd)
{
    const std::string head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (const char *begin : { "2;a=", "0\r\nX-T: " }) {
        std::vector<std::string> pieces{ head + begin };
        for (int i = 0; i < 20; ++i)
            pieces.emplace_back(8000, 'a');
        EXPECT_EQ(parse(pieces).state, AnswerParser::State::Malformed) << begin;
    }
}
