// A server's limits on callers: which requests are refused, which connections are closed, and which
// are not as long as the limits are kept.

#include <sys/socket.h>

#include <gtest/gtest.h>

#include "http/http.h"
#include "http/internal/callerconnections.h"
#include "http/tests/testclient.h"

namespace acaciasail::http::tests {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t bodyLimit = 100'000;

class CallerLimits : public testing::Test
{
protected:
    CallerLimits()
    {
        m_options.listen = { "127.0.0.1", 0 };
        m_options.maxBodyBytes = bodyLimit;
        m_options.memoryBytes = 6 * bodyLimit;
        m_options.maxHeadBytes = 16U << 10U;
    }

    void listen()
    {
        auto listening = kernel::capture([&] {
            return Server::listen(
                m_loop, m_options,
                [this](const ServerRequest &request, const std::shared_ptr<Responder> &responder) {
                    ++m_handled;
                    responder->send(request.path == "/none" ? 404 : 200, {},
                                    std::to_string(request.body.size()));
                });
        });
        m_server = std::move(listening.value());
    }

    std::string head(std::size_t length, const std::string &path = "/x") const
    {
        return "POST " + path + " HTTP/1.1\r\nhost: h\r\ncontent-length: " + std::to_string(length)
               + "\r\n\r\n";
    }

    // Sends a large text while the server reads.
    void send(RawConnection &connection, const std::string &bytes, std::size_t pieceBytes = 5000)
    {
        for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
            connection.send(std::string_view(bytes).substr(at, pieceBytes));
            m_loop.runOnce(0ms);
        }
    }

    EventLoop m_loop;
    ServerOptions m_options;
    std::unique_ptr<Server> m_server;
    int m_handled = 0;
};

TEST_F(CallerLimits, ABodyOfTheFullLimitInSmallPiecesIsServed)
{
    listen();
    RawConnection caller(m_loop, m_server->endpoint());
    // The last byte is the server's own limit.
    const std::string body(bodyLimit - 1, 'x');
    send(caller, head(body.size()) + body, 500);
    EXPECT_NE(caller.readUntil(std::to_string(body.size())).find("200 OK"), std::string::npos);
    EXPECT_EQ(m_server->callerCounts(), CallerCounts{});
}

TEST_F(CallerLimits, AHeadAtTheLimitIsServedAndOneFarOverItIsRefused)
{
    listen();
    RawConnection atLimit(m_loop, m_server->endpoint());
    const std::string start = "GET /x HTTP/1.1\r\nhost: h\r\na: ";
    send(atLimit, start + std::string(m_options.maxHeadBytes - start.size(), 'x') + "\r\n\r\n");
    EXPECT_NE(atLimit.readUntil("200 OK").find("200 OK"), std::string::npos);
    RawConnection over(m_loop, m_server->endpoint());
    send(over, start + std::string(4 * m_options.maxHeadBytes, 'x'));
    EXPECT_NE(over.readUntil("431").find("431"), std::string::npos);
    EXPECT_EQ(m_handled, 1);
    EXPECT_EQ(m_server->callerCounts().refusedHeads, 1U);
}

TEST_F(CallerLimits, AKeptConnectionIsUsedAgainAfterLargeBodies)
{
    listen();
    RawConnection caller(m_loop, m_server->endpoint());
    for (std::size_t size = bodyLimit - 20; size < bodyLimit - 10; ++size) {
        send(caller, head(size) + std::string(size, 'x'));
        EXPECT_NE(caller.readUntil("\r\n\r\n" + std::to_string(size)).find(std::to_string(size)),
                  std::string::npos);
    }
    EXPECT_EQ(m_handled, 10);
    EXPECT_EQ(m_server->connections(), 1U);
    EXPECT_EQ(m_server->callerCounts(), CallerCounts{});
    EXPECT_TRUE(m_loop.runUntil([&] { return m_server->heldBytes() == 0; }, 5s));
}

TEST_F(CallerLimits, ABodyThatIsOfNoUseIsAnsweredButNotKept)
{
    m_options.acceptsBody = [](const ServerRequest &request) { return request.path != "/none"; };
    listen();
    RawConnection caller(m_loop, m_server->endpoint());
    send(caller, head(bodyLimit - 1, "/none") + std::string(bodyLimit - 100, 'x'));
    const std::string answer = caller.readUntil("\r\n\r\n0");
    EXPECT_NE(answer.find("404 Not Found"), std::string::npos);
    EXPECT_NE(answer.find("connection: close"), std::string::npos);
    EXPECT_EQ(m_server->heldBytes(), 0U);
    EXPECT_TRUE(caller.waitForClose());
    EXPECT_EQ(m_server->callerCounts().refusedBodies, 1U);
}

TEST_F(CallerLimits, MemoryIsTakenFromThoseWhoHoldMostAndNotFromOthers)
{
    listen();
    RawConnection ordinary(m_loop, m_server->endpoint());
    ordinary.send(head(10) + "12345");
    std::vector<std::unique_ptr<RawConnection>> crowd;
    for (int i = 0; i < 10; ++i) {
        crowd.push_back(std::make_unique<RawConnection>(m_loop, m_server->endpoint()));
        send(*crowd.back(), head(bodyLimit - 1) + std::string(bodyLimit - 2, 'x'));
        m_loop.runOnce(1ms);
        EXPECT_LE(m_server->heldBytes(), m_options.memoryBytes);
    }
    EXPECT_GE(m_server->callerCounts().closedForMemory, 4U);
    ordinary.send("67890");
    EXPECT_NE(ordinary.readUntil("\r\n\r\n10").find("200 OK"), std::string::npos);
}

TEST_F(CallerLimits, ANewCallerIsServedAlthoughSilentOnesHoldAllConnections)
{
    m_options.maxConnections = 20;
    listen();
    std::vector<std::unique_ptr<RawConnection>> crowd;
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(std::make_unique<RawConnection>(m_loop, m_server->endpoint()));
        m_loop.runOnce(1ms);
    }
    RawConnection caller(m_loop, m_server->endpoint());
    caller.send(head(0));
    EXPECT_NE(caller.readUntil("200 OK").find("200 OK"), std::string::npos);
    EXPECT_LE(m_server->connections(), m_options.maxConnections);
    EXPECT_GE(m_server->callerCounts().closedForRoom, 20U);
}

// The system's timeout of unacknowledged bytes also ends a peer that acknowledges probes while its
// receive window is full.
TEST_F(CallerLimits, ACallerThatReadsNothingForAWhileGetsItsWholeAnswer)
{
    constexpr std::size_t answerBytes = 2U << 20U;
    m_options.memoryBytes = 4 * answerBytes;
    auto listening = kernel::capture([&] {
        return Server::listen(
            m_loop, m_options,
            [](const ServerRequest &, const std::shared_ptr<Responder> &responder) {
                responder->send(200, {}, std::string(answerBytes, 'x') + "end");
            });
    });
    m_server = std::move(listening.value());
    RawConnection caller(m_loop, m_server->endpoint());
    caller.send("GET /x HTTP/1.1\r\nhost: h\r\n\r\n");
    m_loop.runUntil([] { return false; }, 5s);
    EXPECT_EQ(m_server->connections(), 1U);
    EXPECT_TRUE(caller.readUntil("xend").ends_with("xend"));
}

TEST_F(CallerLimits, AHeadThatNeverEndsIsClosedInTime)
{
    m_options.headTimeout = 100ms;
    listen();
    RawConnection caller(m_loop, m_server->endpoint());
    caller.send("GET /x HTTP/1.1\r\nhost: ");
    EXPECT_TRUE(caller.waitForClose());
    EXPECT_EQ(m_server->callerCounts().closedForTime, 1U);
}

} // namespace

} // namespace acaciasail::http::tests
