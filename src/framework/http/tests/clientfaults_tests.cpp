#include <algorithm>
#include <memory>
#include <optional>
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
const std::string whole = "HTTP/1.1 200 OK\r\nx-id: 7\r\ncontent-length: 2\r\n\r\nok";

// One request to a server that misbehaves.
class ClientFaults : public testing::Test
{
protected:
    void send(kernel::Duration maxIdle = 5s)
    {
        m_end.reset();
        m_body.clear();
        ClientRequest request{ .endpoint = m_server.endpoint() };
        request.maxIdle = maxIdle;
        request.totalTimeout = m_totalTimeout;
        request.headers.push_back({ "x-id", "7" });
        request.echoedHeader = "x-id";
        m_exchange = m_client.send(
            request,
            { .onSent = [&] { m_sent = true; },
              .onHead = [&](const ClientHead &head) { m_status = head.status; },
              .onBody =
                  [&](std::string_view piece) {
                      m_body += piece;
                      m_largestPiece = std::max(m_largestPiece, piece.size());
                  },
              .onEnd
              = [&](kernel::Completion<kernel::Done> outcome) { m_end = std::move(outcome); } });
    }

    // The result code of the request's end; Ok for a whole answer.
    kernel::ResultCode end()
    {
        m_loop.runUntil([&] { return m_end.has_value(); }, patience);
        if (!m_end)
            return kernel::ResultCode::InternalError;
        return m_end->ok() ? kernel::ResultCode::Ok : m_end->error().code;
    }

    EventLoop m_loop;
    RawServer m_server{ m_loop };
    Client m_client{ m_loop };
    std::unique_ptr<Exchange> m_exchange;
    std::optional<kernel::Completion<kernel::Done>> m_end;
    std::string m_body;
    std::size_t m_largestPiece = 0;
    int m_status = 0;
    kernel::Duration m_totalTimeout{};
    bool m_sent = false;
};

} // namespace

TEST_F(ClientFaults, AnAnswerWithoutALengthIsWholeOnlyAfterAnOrderlyEnd)
{
    send();
    m_server.awaitRequest();
    m_server.send("HTTP/1.1 200 OK\r\nx-id: 7\r\n\r\nwhole");
    m_server.close();
    EXPECT_EQ(end(), kernel::ResultCode::Ok);
    EXPECT_EQ(m_body, "whole");
    send();
    m_server.awaitRequest();
    m_server.send("HTTP/1.1 200 OK\r\nx-id: 7\r\n\r\nhalf");
    m_loop.runUntil([&] { return m_body == "half"; }, patience);
    m_server.reset();
    EXPECT_EQ(end(), kernel::ResultCode::UpstreamBroken);
}

TEST_F(ClientFaults, AnAnswerToAnotherRequestIsNone)
{
    send();
    m_server.awaitRequest();
    m_server.send("HTTP/1.1 200 OK\r\nx-id: 8\r\ncontent-length: 2\r\n\r\nok");
    EXPECT_EQ(end(), kernel::ResultCode::UpstreamProtocol);
    EXPECT_TRUE(m_body.empty());
}

TEST_F(ClientFaults, BytesThatAreNoAnswer)
{
    send();
    m_server.awaitRequest();
    m_server.send("\x01\x02garbage\r\n\r\n");
    EXPECT_EQ(end(), kernel::ResultCode::UpstreamProtocol);
    EXPECT_TRUE(m_sent);
}

TEST_F(ClientFaults, AConnectionWithExtraBytesIsNotUsedAgain)
{
    send();
    m_server.awaitRequest();
    m_server.send(whole + whole);
    EXPECT_EQ(end(), kernel::ResultCode::Ok);
    EXPECT_EQ(m_body, "ok");
    send();
    m_server.awaitRequest();
    EXPECT_EQ(m_server.connections(), 2U);
}

TEST_F(ClientFaults, BytesThatComeWhileAConnectionIsIdleEndIt)
{
    send();
    m_server.awaitRequest();
    m_server.send(whole);
    EXPECT_EQ(end(), kernel::ResultCode::Ok);
    m_server.send(whole);
    m_loop.runUntil([] { return false; }, 50ms);
    send();
    m_server.awaitRequest();
    EXPECT_EQ(m_server.connections(), 2U);
}

TEST_F(ClientFaults, AConnectionIsKeptForTheNextRequest)
{
    for (int i = 0; i < 3; ++i) {
        send();
        m_server.awaitRequest();
        m_server.send(whole);
        EXPECT_EQ(end(), kernel::ResultCode::Ok);
    }
    EXPECT_EQ(m_server.connections(), 1U);
    send(0s);
    m_server.awaitRequest();
    EXPECT_EQ(m_server.connections(), 2U) << "no idle connection is allowed";
}

TEST_F(ClientFaults, AConnectionThatIsToCloseIsNotKept)
{
    send();
    m_server.awaitRequest();
    m_server.send("HTTP/1.1 200 OK\r\nx-id: 7\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok");
    EXPECT_EQ(end(), kernel::ResultCode::Ok);
    send();
    m_server.awaitRequest();
    EXPECT_EQ(m_server.connections(), 2U);
}

TEST_F(ClientFaults, AResetBeforeAnyByteMayHaveRun)
{
    send();
    m_server.awaitRequest();
    m_server.reset();
    EXPECT_EQ(end(), kernel::ResultCode::UpstreamBroken);
    EXPECT_TRUE(m_sent);
}

TEST_F(ClientFaults, AnExchangeMayBeDroppedWithinItsOwnHandlers)
{
    ClientRequest request{ .endpoint = m_server.endpoint() };
    bool dropped = false;
    m_exchange = m_client.send(request, { .onHead =
                                              [&](const ClientHead &) {
                                                  m_exchange = nullptr;
                                                  dropped = true;
                                              },
                                          .onBody = [&](std::string_view) { ADD_FAILURE(); } });
    m_server.awaitRequest();
    m_server.send(whole);
    EXPECT_TRUE(m_loop.runUntil([&] { return dropped; }, patience));
    m_loop.runUntil([] { return false; }, 20ms);
}

TEST_F(ClientFaults, RequestThatWasGivenUpCannotArriveLater)
{
    send();
    m_server.awaitRequest();
    m_exchange = nullptr;
    EXPECT_TRUE(m_server.awaitReset())
        << "an orderly end would deliver the bytes after a partition";
    send();
    m_server.awaitRequest();
    m_server.send(whole.substr(0, whole.size() - 1));
    m_loop.runUntil([&] { return m_status == 200; }, patience);
    m_exchange = nullptr;
    EXPECT_TRUE(m_server.awaitReset());
}

TEST_F(ClientFaults, RequestWithoutAnswerInTimeCannotArriveLater)
{
    m_totalTimeout = 50ms;
    send();
    m_server.awaitRequest();
    EXPECT_EQ(end(), kernel::ResultCode::UpstreamTimeout);
    EXPECT_TRUE(m_server.awaitReset());
}

// Guards against a process that runs out of memory because an upstream sends faster than it reads.
TEST_F(ClientFaults, ReadsBodyInSmallPieces)
{
    send();
    m_server.awaitRequest();
    m_server.send("HTTP/1.1 200 OK\r\nx-id: 7\r\n\r\n");
    m_loop.runUntil([&] { return m_status == 200; }, patience);
    m_exchange->pauseReading(true);
    // Fills all that the system buffers for the connection.
    const std::string piece(64U << 10U, 'a');
    constexpr std::size_t mostBuffered = 64U << 20U;
    std::size_t sent = 0;
    for (std::size_t taken = 1; taken > 0 && sent < mostBuffered; sent += taken) {
        taken = m_server.send(piece);
        m_loop.runUntil([] { return false; }, 1ms);
    }
    m_largestPiece = 0;
    m_exchange->pauseReading(false);
    ASSERT_TRUE(m_loop.runUntil([&] { return m_body.size() == sent; }, patience));
    EXPECT_GT(sent, m_largestPiece);
    EXPECT_LE(m_largestPiece, maxPieceBytes);
}

// Guards against interim responses without end, each of which is whole.
TEST_F(ClientFaults, InterimResponsesWithoutEndAreNoAnswer)
{
    for (const std::string &interim : { std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                                        std::string("HTTP/1.1 103 E\r\na:\r\n\r\n") }) {
        std::string many;
        while (many.size() < 8000)
            many += interim;
        send();
        m_server.awaitRequest();
        for (int i = 0; i < 100 && !m_end; ++i) {
            m_server.send(many);
            m_loop.runUntil([&] { return m_end.has_value(); }, 2ms);
        }
        m_server.send(whole);
        EXPECT_EQ(end(), kernel::ResultCode::UpstreamProtocol);
    }
    send();
    m_server.awaitRequest();
    m_server.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 E\r\na: b\r\n\r\n" + whole);
    EXPECT_EQ(end(), kernel::ResultCode::Ok);
}

TEST_F(ClientFaults, AHeadWithoutEndIsNoAnswer)
{
    const std::string line = "x-more: " + std::string(8000, 'a') + "\r\n";
    for (const std::string &begin :
         { std::string("HTTP/1.1 200 OK\r\nx-id: 7\r\n"), std::string("HTTP/1.1 200 ") }) {
        send();
        m_server.awaitRequest();
        m_server.send(begin);
        for (int i = 0; i < 100 && !m_end; ++i) {
            m_server.send(begin.ends_with("\n") ? line : std::string(8000, 'a'));
            m_loop.runUntil([&] { return m_end.has_value(); }, 2ms);
        }
        EXPECT_EQ(end(), kernel::ResultCode::UpstreamProtocol);
    }
}

TEST_F(ClientFaults, AFetchedBodyWithoutEndIsGivenUp)
{
    std::optional<kernel::Completion<ClientResponse>> result;
    m_client.fetch(
        { .endpoint = m_server.endpoint() },
        [&](kernel::Completion<ClientResponse> outcome) { result = std::move(outcome); });
    m_server.awaitRequest();
    m_server.send("HTTP/1.1 200 OK\r\n\r\n");
    const std::string piece(64U << 10U, 'a');
    std::size_t sent = 0;
    while (!result && sent < 4 * maxFetchedBody) {
        m_server.send(piece);
        sent += piece.size();
        m_loop.runUntil([&] { return result.has_value(); }, 1ms);
    }
    ASSERT_TRUE(result.has_value());
    ASSERT_FALSE(result->ok());
    EXPECT_EQ(result->error().code, kernel::ResultCode::UpstreamProtocol);
}

TEST_F(ClientFaults, AConnectionOpenedAheadServesTheNextRequest)
{
    std::optional<bool> stands;
    const auto probe = m_client.connect(
        m_server.endpoint(), 5s,
        [&](const kernel::Completion<kernel::Done> &outcome) { stands = outcome.ok(); });
    ASSERT_TRUE(m_loop.runUntil([&] { return stands.has_value(); }, patience));
    EXPECT_TRUE(*stands);
    send();
    m_server.awaitRequest();
    m_server.send(whole);
    EXPECT_EQ(end(), kernel::ResultCode::Ok);
    EXPECT_EQ(m_server.connections(), 1U);
}

TEST_F(ClientFaults, AConnectionThatCantBeOpenedIsReported)
{
    for (const kernel::Endpoint &nobody :
         { kernel::Endpoint{ "127.0.0.1", 1 }, kernel::Endpoint{ "nowhere", 1 } }) {
        std::optional<kernel::Completion<kernel::Done>> outcome;
        const auto probe
            = m_client.connect(nobody, 5s, [&](kernel::Completion<kernel::Done> result) {
                  outcome = std::move(result);
              });
        EXPECT_FALSE(outcome.has_value()) << "never from within the call";
        ASSERT_TRUE(m_loop.runUntil([&] { return outcome.has_value(); }, patience));
        ASSERT_FALSE(outcome->ok());
        EXPECT_EQ(outcome->error().code, kernel::ResultCode::UpstreamConnectFailed);
    }
}

TEST_F(ClientFaults, ARequestWhoseHeadWouldBeReadAsAnotherIsNotSent)
{
    const auto requestWith = [this](auto change) {
        ClientRequest request{ .endpoint = m_server.endpoint() };
        change(request);
        return request;
    };
    const std::string smuggled = "/a HTTP/1.1\r\nx: y\r\n\r\nGET /b";
    for (const ClientRequest &request :
         { requestWith([&](ClientRequest &one) { one.path = smuggled; }),
           requestWith([](ClientRequest &one) { one.path = "/a b"; }),
           requestWith([](ClientRequest &one) { one.path = std::string("/a\0", 3); }),
           requestWith([](ClientRequest &one) { one.method = "GET /x"; }),
           requestWith([](ClientRequest &one) { one.host = "a\r\nx: y"; }),
           requestWith([](ClientRequest &one) {
               one.headers = { { "x-id", "7\r\nx: y" } };
           }),
           requestWith([](ClientRequest &one) {
               one.headers = { { "x-id", "7\n" } };
           }),
           requestWith([](ClientRequest &one) {
               one.headers = { { "x-id: 7\r\nx", "y" } };
           }) }) {
        std::optional<kernel::Completion<ClientResponse>> response;
        m_client.fetch(request, [&](kernel::Completion<ClientResponse> outcome) {
            response = std::move(outcome);
        });
        m_loop.runUntil([&] { return response.has_value(); }, patience);
        ASSERT_TRUE(response.has_value());
        ASSERT_FALSE(response->ok());
        EXPECT_EQ(response->error().code, kernel::ResultCode::UpstreamConnectFailed);
    }
    EXPECT_EQ(m_server.connections(), 0U);
}

TEST_F(ClientFaults, TabsAndBytesBeyondAsciiAreSent)
{
    ClientRequest request{ .endpoint = m_server.endpoint() };
    request.path = "/\xc3\xbc\xff?\"<>";
    request.headers = { { "x-id", "a\tb \xc3\xbc\xff " } };
    m_exchange = m_client.send(request, {});
    const std::string head = m_server.awaitRequest();
    EXPECT_TRUE(head.starts_with("GET /\xc3\xbc\xff?\"<> HTTP/1.1\r\n")) << head;
    EXPECT_NE(head.find("x-id: a\tb \xc3\xbc\xff \r\n"), std::string::npos) << head;
}
