#include <string>

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
