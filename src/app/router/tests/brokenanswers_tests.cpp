#include <memory>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "http/tests/rawserver.h"
#include "platform/names.h"
#include "platform/tests/routerfixture.h"

using namespace acaciasail;
using namespace acaciasail::router::testing;
using namespace acaciasail::platform::tests;
using acaciasail::http::tests::RawServer;
using acaciasail::platform::testing::makeConfigurationSpec;
using acaciasail::platform::testing::makeRunnerSpec;
using acaciasail::platform::testing::readStamp;
using acaciasail::platform::testing::setCallerLimits;
using namespace std::chrono_literals;

namespace {

// Upstreams to which the configuration allows one request to be sent.
constexpr int maxAttempts = 3;
constexpr std::size_t maxBodyBytes = 16U << 20U;
constexpr std::size_t maxHeadBytes = 16U << 10U;

struct RouteCase
{
    std::string path;
    // How often a request may be sent although it may have run.
    int attempts;
    std::string fields;
};

const std::vector<RouteCase> routes{ { "/desk/x", 1, "" },
                                     { "/notes/x", maxAttempts, "" },
                                     { "/chat/x", maxAttempts, streamField } };
const std::string event = "id: 1\ndata: a\n\n";

// A router whose only runner sends what the test writes, on a route of each kind.
class BrokenAnswersTest : public RouterTest
{
protected:
    explicit BrokenAnswersTest(int runnerReceiveBytes = 0)
        : m_runner(m_loop, runnerReceiveBytes)
    {}

    void startWithRunner()
    {
        nlohmann::json configuration
            = makeConfigurationSpec(1, { { "desk", "unsafe", "desk" },
                                         { "notes", "safe", "notes" },
                                         { "chat", "streaming", "engines" } });
        setCallerLimits(configuration, maxBodyBytes, maxHeadBytes);
        start(configuration);
        for (const char *service : { "desk", "notes", "engines" })
            m_store.put("servers", std::string("raw-") + service,
                        makeRunnerSpec(service, m_runner.endpoint()));
        ASSERT_TRUE(waitUntilServing(3));
    }

    void send(const http::ClientRequest &request)
    {
        m_result.reset();
        m_client.fetch(request, [&](kernel::Completion<http::ClientResponse> outcome) {
            m_result = std::move(outcome);
        });
    }

    bool awaitResult(kernel::Duration time = waitTimeout)
    {
        return m_loop.runUntil([&] { return m_result.has_value(); }, time);
    }

    // Answers each attempt of a request with these bytes and an orderly end; returns the number of
    // attempts.
    int answerEachAttempt(const std::string &bytes)
    {
        int attempts = 0;
        while (attempts < maxAttempts && !m_result && !m_runner.awaitRequest().empty()) {
            ++attempts;
            m_runner.send(bytes);
            m_runner.finishSending();
            awaitResult(50ms);
        }
        EXPECT_TRUE(awaitResult());
        return attempts;
    }

    // Sends a request on each route whose every answer has this head; the caller is told that no
    // answer came and that the request may have run.
    void expectBadGateway(const std::string &statusLine, const std::string &brokenFields)
    {
        for (const RouteCase &route : routes) {
            const std::string id = "b" + std::to_string(++m_lastRequest);
            SCOPED_TRACE(route.path + " " + ::testing::PrintToString(statusLine + brokenFields));
            send(makeRequest(route.path, id));
            std::string fields = brokenFields;
            fields.append(route.fields).append("Content-Length: ");
            fields.append(std::to_string(event.size())).append("\r\n");
            std::string head = makeRawHead(id, fields);
            head.replace(0, head.find("\r\n"), statusLine);
            EXPECT_LE(answerEachAttempt(head + event), route.attempts);
            ASSERT_TRUE(m_result->ok());
            EXPECT_EQ(m_result->value().head.status, 502);
            EXPECT_EQ(m_result->value().body, "");
            EXPECT_EQ(readStamp(m_result->value().head.headers), "");
            EXPECT_FALSE(http::findHeader(m_result->value().head.headers, "retry-after"));
        }
    }

    RawServer m_runner;
    std::optional<kernel::Completion<http::ClientResponse>> m_result;
    int m_lastRequest = 0;
};

} // namespace

TEST_F(BrokenAnswersTest, StatusLineOutsideTheGrammarReachesNoCaller)
{
    startWithRunner();
    for (const char *line :
         { "HTTP/1.1 000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 20 OK",
           "HTTP/2.0 200 OK", "HTTP/1.1 200 O\x01K", "\r\nHTTP/1.1 200 OK" })
        expectBadGateway(line, "");
    // What such an answer says of the request is not believed either.
    expectBadGateway("HTTP/1.1 0503 Busy", std::string(platform::names::notRunHeader) + ": 1\r\n");
}

TEST_F(BrokenAnswersTest, LineThatIsNoFieldReachesNoCaller)
{
    startWithRunner();
    for (const char *line :
         { "X Any: v", "X-Any : v", " X-Any: v", "\tX-Any: v", "X\x01: v", "X-Any\x7f: v", "X(: v",
           "Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked",
           " Transfer-Encoding: chunked", "Connection : close", "X-Any: a\n", ": v" })
        expectBadGateway("HTTP/1.1 200 OK", std::string(line) + "\r\n");
}

// Guards against bytes of a broken answer in the sound one that follows it.
TEST_F(BrokenAnswersTest, NextAttemptsAnswerIsPassedOnWhole)
{
    startWithRunner();
    for (const RouteCase &route : routes) {
        if (route.attempts == 1)
            continue;
        const std::string id = "n" + std::to_string(++m_lastRequest);
        const std::string fields
            = route.fields + "Content-Length: " + std::to_string(event.size()) + "\r\n";
        std::string broken = makeRawHead(id, fields);
        broken.replace(broken.find("200"), 3, "000");
        send(makeRequest(route.path, id));
        ASSERT_NE(m_runner.awaitRequest(), "");
        m_runner.send(broken + event);
        ASSERT_NE(m_runner.awaitRequest(), "");
        m_runner.send(makeRawHead(id, fields) + event);
        ASSERT_TRUE(awaitResult());
        ASSERT_TRUE(m_result->ok());
        EXPECT_EQ(m_result->value().head.status, 200);
        EXPECT_EQ(m_result->value().body, event);
    }
}

namespace {

// More than the system buffers for a connection whose upstream reads little.
constexpr std::size_t uploadBytes = 8U << 20U;
constexpr int runnerReceiveBytes = 4096;

// A runner that answers an upload without reading it and breaks the connection.
class EarlyAnswersTest : public BrokenAnswersTest
{
protected:
    EarlyAnswersTest()
        : BrokenAnswersTest(runnerReceiveBytes)
    {}

    // Sends these bytes of an answer, and lets the router read them.
    void sendAll(std::string_view bytes)
    {
        while (!bytes.empty()) {
            bytes.remove_prefix(m_runner.send(bytes));
            m_loop.runOnce(1ms);
        }
    }

    void sendUpload(const RouteCase &route, const std::string &id)
    {
        http::ClientRequest request = makeRequest(route.path, id);
        request.body = std::string(uploadBytes, 'u');
        send(request);
    }
};

} // namespace

// Guards against a part of an answer that passes for the whole: while an upload is being sent, a
// reset may look like an orderly end.
TEST_F(EarlyAnswersTest, PartOfAnswerWithoutLengthIsNeverPassedOffAsWhole)
{
    startWithRunner();
    for (const RouteCase &route : routes) {
        for (const std::size_t length : { std::size_t(0), event.size(), std::size_t(300000) }) {
            const std::string id = "p" + std::to_string(++m_lastRequest);
            SCOPED_TRACE(route.path + ", bytes " + std::to_string(length));
            std::string part(length, 'a');
            if (!route.fields.empty())
                part = length == 0 ? "" : event;
            sendUpload(route, id);
            for (int attempts = 0; attempts < route.attempts && !m_result; ++attempts) {
                ASSERT_NE(m_runner.awaitRequest(), "");
                m_runner.send(makeRawHead(id, route.fields));
                sendAll(part);
                m_loop.runUntil([] { return false; }, 20ms);
                m_runner.reset();
                awaitResult(50ms);
            }
            ASSERT_TRUE(awaitResult());
            EXPECT_TRUE(!m_result->ok() || m_result->value().head.status == 502);
        }
    }
}

TEST_F(EarlyAnswersTest, NextAttemptTakesTheBrokenAnswersPlace)
{
    startWithRunner();
    for (const RouteCase &route : routes) {
        if (route.attempts == 1)
            continue;
        const std::string id = "t" + std::to_string(++m_lastRequest);
        SCOPED_TRACE(route.path);
        const std::string next = "id: 2\ndata: b\n\n";
        sendUpload(route, id);
        ASSERT_NE(m_runner.awaitRequest(), "");
        m_runner.send(makeRawHead(id, route.fields) + event);
        m_loop.runUntil([] { return false; }, 20ms);
        m_runner.reset();
        const std::string head = m_runner.awaitRequest();
        ASSERT_NE(head, "") << "the request is sent once more";
        const bool resumed = head.find("last-event-id: 1\r\n") != std::string::npos;
        EXPECT_EQ(resumed, !route.fields.empty());
        m_runner.send(makeRawHead(
            id, route.fields + "Content-Length: " + std::to_string(next.size()) + "\r\n"));
        m_runner.send(next);
        ASSERT_TRUE(awaitResult());
        ASSERT_TRUE(m_result->ok());
        EXPECT_EQ(m_result->value().head.status, 200);
        EXPECT_EQ(m_result->value().body, resumed ? event + next : next);
    }
}

TEST_F(EarlyAnswersTest, WholeAnswerToUnreadUploadComesThrough)
{
    startWithRunner();
    for (const RouteCase &route : routes) {
        for (const bool stated : { true, false }) {
            const std::string id = "w" + std::to_string(++m_lastRequest);
            SCOPED_TRACE(route.path + (stated ? ", length" : ", connection's end"));
            std::string fields = route.fields;
            if (stated)
                fields += "Content-Length: " + std::to_string(event.size()) + "\r\n";
            sendUpload(route, id);
            ASSERT_NE(m_runner.awaitRequest(), "");
            m_runner.send(makeRawHead(id, fields) + event);
            if (stated)
                m_runner.reset();
            else
                m_runner.finishSending();
            ASSERT_TRUE(awaitResult());
            ASSERT_TRUE(m_result->ok());
            EXPECT_EQ(m_result->value().head.status, 200);
            EXPECT_EQ(m_result->value().body, event);
        }
    }
}
