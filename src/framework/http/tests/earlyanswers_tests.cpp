#include <memory>
#include <optional>
#include <sstream>
#include <string>

#include <gtest/gtest.h>

#include "http/http.h"
#include "http/tests/rawserver.h"

using namespace acaciasail;
using namespace acaciasail::http;
using acaciasail::http::tests::RawServer;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds patience{ 5 };
// More than the system buffers for a connection whose server doesn't read.
constexpr std::size_t uploadBytes = 8U << 20U;
constexpr int serverReceiveBytes = 4096;

enum class Framing { ConnectionEnd, Length, Chunks };
enum class Ending { Reset, CloseWithUnreadRequest };
// What the client has read when the connection breaks.
enum class Progress { Nothing, WhatWasSent, PausedAfterHead };

// An answer's head, and its body as it is sent.
struct Answer
{
    std::string head;
    std::string body;
};

Answer makeAnswer(Framing framing, const std::string &text)
{
    const std::string status = "HTTP/1.1 200 OK\r\nx-id: 7\r\n";
    if (framing == Framing::ConnectionEnd)
        return { status + "\r\n", text };
    if (framing == Framing::Length)
        return { status + "content-length: " + std::to_string(text.size()) + "\r\n\r\n", text };
    Answer answer{ status + "transfer-encoding: chunked\r\n\r\n", "" };
    if (!text.empty()) {
        std::ostringstream size;
        size << std::hex << text.size();
        answer.body = size.str() + "\r\n" + text + "\r\n";
    }
    answer.body += "0\r\n\r\n";
    return answer;
}

// A server that answers an upload which it has not read.
class EarlyAnswers : public testing::Test
{
protected:
    void send()
    {
        m_end.reset();
        m_headSeen = false;
        m_body.clear();
        ClientRequest request{ .endpoint = m_server.endpoint() };
        request.method = "POST";
        request.maxIdle = 0s;
        request.headers.push_back({ "x-id", "7" });
        request.echoedHeader = "x-id";
        request.body = m_upload;
        m_exchange = m_client.send(
            request,
            { .onHead = [&](const ClientHead &) { m_headSeen = true; },
              .onBody = [&](std::string_view piece) { m_body += piece; },
              .onEnd
              = [&](kernel::Completion<kernel::Done> outcome) { m_end = std::move(outcome); } });
        m_server.awaitRequest();
    }

    bool waitFor(const std::function<bool()> &condition)
    {
        return m_loop.runUntil(condition, patience);
    }

    // The server sends these bytes of an answer, and the client reads as far as it should.
    void sendPart(const Answer &answer, std::size_t bodyBytes, Progress progress)
    {
        m_server.send(answer.head);
        if (progress == Progress::PausedAfterHead) {
            ASSERT_TRUE(waitFor([&] { return m_headSeen; }));
            m_exchange->pauseReading(true);
        }
        ASSERT_EQ(m_server.send(answer.body.substr(0, bodyBytes)), bodyBytes);
        if (progress != Progress::WhatWasSent)
            return;
        ASSERT_TRUE(waitFor([&] { return m_headSeen; }));
        m_loop.runUntil([] { return false; }, 5ms);
    }

    void breakConnection(Ending ending)
    {
        if (ending == Ending::Reset)
            m_server.reset();
        else
            m_server.close();
    }

    // The result code of the request's end; Ok for a whole answer.
    kernel::ResultCode end(Progress progress)
    {
        if (progress == Progress::PausedAfterHead) {
            m_loop.runUntil([&] { return m_end.has_value(); }, 10ms);
            m_exchange->pauseReading(false);
        }
        if (!waitFor([&] { return m_end.has_value(); }))
            return kernel::ResultCode::InternalError;
        return m_end->ok() ? kernel::ResultCode::Ok : m_end->error().code;
    }

    EventLoop m_loop;
    RawServer m_server{ m_loop, serverReceiveBytes };
    Client m_client{ m_loop };
    const std::string m_upload = std::string(uploadBytes, 'u');
    std::unique_ptr<Exchange> m_exchange;
    std::optional<kernel::Completion<kernel::Done>> m_end;
    bool m_headSeen = false;
    std::string m_body;
};

constexpr Framing framings[] = { Framing::ConnectionEnd, Framing::Length, Framing::Chunks };
constexpr Ending endings[] = { Ending::Reset, Ending::CloseWithUnreadRequest };
constexpr Progress progresses[]
    = { Progress::Nothing, Progress::WhatWasSent, Progress::PausedAfterHead };

std::string describe(Framing framing, Ending ending, Progress progress)
{
    return "framing " + std::to_string(static_cast<int>(framing)) + ", ending "
           + std::to_string(static_cast<int>(ending)) + ", progress "
           + std::to_string(static_cast<int>(progress));
}

} // namespace

// Guards against a part of an answer that passes for the whole, because a failed write has taken
// the connection's error and the next read reports an orderly end.
TEST_F(EarlyAnswers, PartBeforeResetIsNoWholeAnswer)
{
    for (const std::size_t length : { 0U, 5U, 20000U }) {
        const std::string text(length, 'a');
        for (const Framing framing : framings) {
            for (const Ending ending : endings) {
                for (const Progress progress : progresses) {
                    const Answer answer = makeAnswer(framing, text + "the rest");
                    const std::size_t rest = framing == Framing::Chunks ? 9 : 8;
                    SCOPED_TRACE(describe(framing, ending, progress) + ", bytes "
                                 + std::to_string(length));
                    send();
                    sendPart(answer, answer.body.size() - rest, progress);
                    breakConnection(ending);
                    EXPECT_EQ(end(progress), kernel::ResultCode::UpstreamBroken);
                }
            }
        }
    }
}

TEST_F(EarlyAnswers, PartBeforeResetWhileTheUploadMovesIsNoWholeAnswer)
{
    for (int reads = 0; reads < 8; ++reads) {
        send();
        sendPart(makeAnswer(Framing::ConnectionEnd, "part"), 4, Progress::WhatWasSent);
        // The system takes more of the request, so a write is under way again.
        for (int i = 0; i < reads; ++i) {
            m_server.readSome();
            m_loop.runOnce(1ms);
        }
        m_server.reset();
        EXPECT_EQ(end(Progress::WhatWasSent), kernel::ResultCode::UpstreamBroken) << reads;
    }
}

TEST_F(EarlyAnswers, WholeAnswerBeforeResetComesThrough)
{
    for (const std::size_t length : { 0U, 5U, 20000U }) {
        const std::string text(length, 'a');
        for (const Framing framing : { Framing::Length, Framing::Chunks }) {
            for (const Ending ending : endings) {
                for (const Progress progress : progresses) {
                    SCOPED_TRACE(describe(framing, ending, progress) + ", bytes "
                                 + std::to_string(length));
                    const Answer answer = makeAnswer(framing, text);
                    send();
                    sendPart(answer, answer.body.size(), progress);
                    breakConnection(ending);
                    EXPECT_EQ(end(progress), kernel::ResultCode::Ok);
                    EXPECT_EQ(m_body, text);
                }
            }
        }
    }
}

TEST_F(EarlyAnswers, WholeAnswerThatAnOrderlyEndEndsComesThrough)
{
    for (const std::size_t length : { 0U, 5U, 20000U }) {
        for (const Progress progress : progresses) {
            SCOPED_TRACE(describe(Framing::ConnectionEnd, Ending::Reset, progress) + ", bytes "
                         + std::to_string(length));
            const Answer answer = makeAnswer(Framing::ConnectionEnd, std::string(length, 'a'));
            send();
            sendPart(answer, answer.body.size(), progress);
            m_server.finishSending();
            EXPECT_EQ(end(progress), kernel::ResultCode::Ok);
            EXPECT_EQ(m_body.size(), length);
        }
    }
}

// The connection's error is told to the read where no write fails.
TEST_F(EarlyAnswers, ShortRequestsAnswerIsWholeOnlyAfterAnOrderlyEnd)
{
    for (const bool orderly : { true, false }) {
        for (const Progress progress : progresses) {
            m_end.reset();
            m_headSeen = false;
            m_body.clear();
            m_exchange = m_client.send({ .endpoint = m_server.endpoint(), .maxIdle = 0s },
                                       { .onHead = [&](const ClientHead &) { m_headSeen = true; },
                                         .onBody = [&](std::string_view piece) { m_body += piece; },
                                         .onEnd =
                                             [&](kernel::Completion<kernel::Done> outcome) {
                                                 m_end = std::move(outcome);
                                             } });
            m_server.awaitRequest();
            sendPart(makeAnswer(Framing::ConnectionEnd, "text"), 4, progress);
            if (orderly)
                m_server.close();
            else
                m_server.reset();
            EXPECT_EQ(end(progress),
                      orderly ? kernel::ResultCode::Ok : kernel::ResultCode::UpstreamBroken);
        }
    }
}
