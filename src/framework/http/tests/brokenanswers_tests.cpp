#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "http/http.h"
#include "http/tests/rawserver.h"

using namespace acaciasail;
using namespace acaciasail::http;
using acaciasail::http::tests::RawServer;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds patience{ 5 };
const std::string fieldsAndBody = "x-id: 7\r\ncontent-length: 2\r\n\r\nok";

// One request to a server whose answer the test writes byte for byte.
class BrokenAnswers : public testing::Test
{
protected:
    void send()
    {
        m_end.reset();
        m_head.reset();
        m_body.clear();
        ClientRequest request{ .endpoint = m_server.endpoint() };
        request.maxIdle = 0s;
        request.headers.push_back({ "x-id", "7" });
        request.echoedHeader = "x-id";
        m_exchange = m_client.send(
            request,
            { .onHead = [&](const ClientHead &head) { m_head = head; },
              .onBody = [&](std::string_view piece) { m_body += piece; },
              .onEnd
              = [&](kernel::Completion<kernel::Done> outcome) { m_end = std::move(outcome); } });
        m_server.awaitRequest();
    }

    // Sends a request and has the server answer with these bytes, then end the connection in good
    // order; returns the result code, Ok for a whole answer.
    kernel::ResultCode answer(const std::string &bytes, bool byteByByte)
    {
        send();
        for (std::size_t i = 0; byteByByte && i < bytes.size() && !m_end; ++i) {
            m_server.send(bytes.substr(i, 1));
            m_loop.runOnce(1ms);
        }
        if (!byteByByte)
            m_server.send(bytes);
        m_server.finishSending();
        m_loop.runUntil([&] { return m_end.has_value(); }, patience);
        if (!m_end)
            return kernel::ResultCode::InternalError;
        return m_end->ok() ? kernel::ResultCode::Ok : m_end->error().code;
    }

    void expectNoAnswer(const std::string &bytes)
    {
        for (const bool byteByByte : { false, true }) {
            EXPECT_NE(answer(bytes, byteByByte), kernel::ResultCode::Ok)
                << testing::PrintToString(bytes);
            EXPECT_FALSE(m_head) << testing::PrintToString(bytes);
            EXPECT_EQ(m_body, "") << testing::PrintToString(bytes);
        }
    }

    void expectAnswer(const std::string &bytes, int status)
    {
        for (const bool byteByByte : { false, true }) {
            ASSERT_EQ(answer(bytes, byteByByte), kernel::ResultCode::Ok)
                << testing::PrintToString(bytes);
            EXPECT_EQ(m_head->status, status);
            EXPECT_EQ(m_body, "ok");
        }
    }

    EventLoop m_loop;
    RawServer m_server{ m_loop };
    Client m_client{ m_loop };
    std::unique_ptr<Exchange> m_exchange;
    std::optional<kernel::Completion<kernel::Done>> m_end;
    std::optional<ClientHead> m_head;
    std::string m_body;
};

} // namespace

TEST_F(BrokenAnswers, StatusLineOutsideTheGrammarIsNoAnswer)
{
    for (const char *line :
         { "HTTP/1.1 000 OK",     "HTTP/1.1 099 OK",     "HTTP/1.1 600 OK",   "HTTP/1.1 20 OK",
           "HTTP/1.1 2 OK",       "HTTP/1.1 0200 OK",    "HTTP/1.1 00200 OK", "HTTP/1.1 2000 OK",
           "HTTP/1.1  200 OK",    "HTTP/1.1\t200 OK",    "HTTP/1.1 200",      "HTTP/1.1 200\tOK",
           "HTTP/1.1 200OK",      "HTTP/1.1 -200 OK",    "HTTP/1.1 +200 OK",  "HTTP/1.1 2 00 OK",
           "HTTP/1.1 0x200 OK",   "HTTP/1.1 OK",         "HTTP/1.1 ",         "HTTP/1.1",
           "HTTP/1.1200 OK",      "http/1.1 200 OK",     "HTTP/1 200 OK",     "HTTP/1. 200 OK",
           "HTTP/11 200 OK",      "HTTP/1.10 200 OK",    "HTTP/01.1 200 OK",  "HTTP/2.0 200 OK",
           "HTTP/0.9 200 OK",     "HTTP/9.9 200 OK",     "HTTP 200 OK",       "ICY 200 OK",
           " HTTP/1.1 200 OK",    "\r\nHTTP/1.1 200 OK", "\nHTTP/1.1 200 OK", "200 OK",
           "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK" })
        expectNoAnswer(std::string(line) + "\r\n" + fieldsAndBody);
    expectNoAnswer("HTTP/1.1 200 OK\n" + fieldsAndBody);
    expectNoAnswer("HTTP/1.1 200 OK\rx" + fieldsAndBody);
    expectNoAnswer(std::string("HTTP/1.1 200 O\0K\r\n", 18) + fieldsAndBody);
}

// An interim answer's status line is one too.
TEST_F(BrokenAnswers, InterimStatusLineOutsideTheGrammarIsNoAnswer)
{
    const std::string whole = "HTTP/1.1 200 OK\r\n" + fieldsAndBody;
    for (const char *line : { "HTTP/1.1 0100 Continue", "HTTP/1.1  100 Continue", "HTTP/1.1 10 x",
                              "HTTP/2.0 100 Continue", "HTTP/1.1 100" })
        expectNoAnswer(std::string(line) + "\r\n\r\n" + whole);
}

TEST_F(BrokenAnswers, SoundStatusLineComesThrough)
{
    for (const char *line : { "HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 200 OK",
                              "HTTP/1.1 200  two  blanks", "HTTP/1.1 200 a\tb\xe9!" })
        expectAnswer(std::string(line) + "\r\n" + fieldsAndBody, 200);
    expectAnswer("HTTP/1.1 599 x\r\n" + fieldsAndBody, 599);
    expectAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 OK\r\n" + fieldsAndBody, 201);
}

TEST_F(BrokenAnswers, LineThatIsNoFieldIsNoAnswer)
{
    const std::string status = "HTTP/1.1 200 OK\r\nx-one: a\r\n";
    for (const std::string name :
         { "x-any", "content-length", "transfer-encoding", "connection" }) {
        for (const char byte : { ' ', '\t', '\r', '\n', '\x01', '\x7f', '\0', '(', '\xe9' }) {
            for (const std::size_t at : { std::size_t(0), name.size() / 2, name.size() }) {
                std::string line = name;
                line.insert(at, 1, byte);
                line.append(": 2\r\n").append(fieldsAndBody);
                expectNoAnswer(status + line);
            }
        }
    }
}

TEST_F(BrokenAnswers, SoundFieldsComeThrough)
{
    const std::string status = "HTTP/1.1 200 OK\r\n";
    for (const char *lines :
         { "", "X_y.z~1!#$%&'*+-^`|: v\r\n", "x-empty:\r\n", "x-blanks: \t a b \t\r\n",
           "x-high: \xe9\xff\r\n", "connection: close, x-one\r\n" })
        expectAnswer(std::string(status).append(lines).append(fieldsAndBody), 200);
}
