#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "http/http.h"
#include "http/tests/testclient.h"

using namespace acaciasail;
using namespace acaciasail::http;
using acaciasail::http::tests::RawConnection;
using namespace std::chrono_literals;

namespace {

const std::string request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";

std::unique_ptr<Server> listen(EventLoop &loop, RequestHandler handler)
{
    ServerOptions options;
    options.listen = { "127.0.0.1", 0 };
    auto listening
        = kernel::capture([&] { return Server::listen(loop, options, std::move(handler)); });
    EXPECT_TRUE(listening.ok());
    return listening.ok() ? std::move(listening.value()) : nullptr;
}

// A server that streams to many callers while it is drained; what each does is drawn from a seed.
void playDrain(std::uint64_t seed)
{
    kernel::Random random(seed);
    EventLoop loop;
    std::vector<std::shared_ptr<Responder>> streams;
    const std::unique_ptr<Server> server
        = listen(loop, [&](const ServerRequest &, std::shared_ptr<Responder> responder) {
              if (kernel::uniformBelow(random, 3) > 0)
                  responder->start(200, {});
              streams.push_back(std::move(responder));
          });
    ASSERT_NE(server, nullptr);
    std::vector<std::unique_ptr<RawConnection>> callers;
    constexpr int steps = 400;
    for (int step = 0; step < steps; ++step) {
        const std::uint64_t what = kernel::uniformBelow(random, 12);
        if (what < 3 || callers.empty()) {
            callers.push_back(std::make_unique<RawConnection>(loop, server->endpoint()));
            callers.back()->send(what == 0 ? request.substr(0, 10) : request);
        } else if (what == 3) {
            callers[kernel::uniformBelow(random, callers.size())]->send(request + request);
        } else if (what == 4) {
            callers.erase(
                callers.begin()
                + static_cast<std::ptrdiff_t>(kernel::uniformBelow(random, callers.size())));
        } else if ((what == 5 || what == 6) && step > steps / 2) {
            server->endConnectionsAfterAnswers();
        } else if (!streams.empty()) {
            const std::size_t index = kernel::uniformBelow(random, streams.size());
            const auto stream = streams[index];
            if (what < 9)
                stream->write("data: x\n\n");
            else if (what == 9)
                stream->finish();
            else if (what == 10)
                stream->abort();
            else
                stream->send(200, {}, "whole");
            if (what >= 9)
                streams.erase(streams.begin() + static_cast<std::ptrdiff_t>(index));
        }
        if (kernel::uniformBelow(random, 2) == 0)
            loop.runOnce(1ms);
    }
}

} // namespace

TEST(HttpDrain, AnyOrderOfEventsIsSurvived)
{
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        playDrain(seed);
}

// Draining ends no answer that is on its way.
TEST(HttpDrain, AnswersOnTheirWayAreFinished)
{
    EventLoop loop;
    std::shared_ptr<Responder> stream;
    const std::unique_ptr<Server> server
        = listen(loop, [&](const ServerRequest &, std::shared_ptr<Responder> responder) {
              stream = std::move(responder);
              stream->start(200, {});
          });
    ASSERT_NE(server, nullptr);
    RawConnection caller(loop, server->endpoint());
    caller.send(request);
    ASSERT_TRUE(loop.runUntil([&] { return stream != nullptr; }, 5s));
    stream->write("one");
    caller.readUntil("one");
    server->endConnectionsAfterAnswers();
    loop.runUntil([] { return false; }, 200ms);
    stream->write("two");
    stream->finish();
    EXPECT_NE(caller.readUntil("0\r\n\r\n").find("two"), std::string::npos);
}

// Guards against a process that exits while the end of an answer still waits for a slow caller.
TEST(HttpDrain, AnswerIsUnsentUntilItsLastByteHasLeft)
{
    // More than the system holds for a connection.
    const std::string body = std::string(8U << 20U, 'x') + "end";
    for (const bool isWhole : { true, false }) {
        EventLoop loop;
        const std::unique_ptr<Server> server
            = listen(loop, [&](const ServerRequest &, const std::shared_ptr<Responder> &responder) {
                  if (isWhole) {
                      responder->send(200, {}, body);
                      return;
                  }
                  responder->start(200, {});
                  responder->write(body);
                  responder->finish();
              });
        ASSERT_NE(server, nullptr);
        RawConnection caller(loop, server->endpoint());
        caller.send(request);
        ASSERT_TRUE(loop.runUntil([&] { return server->connections() == 1; }, 5s));
        loop.runUntil([] { return false; }, 300ms);
        EXPECT_EQ(server->unsentAnswers(), 1U) << "the caller has read nothing";
        EXPECT_GE(caller.readUntil("end").size(), body.size());
        EXPECT_TRUE(loop.runUntil([&] { return server->unsentAnswers() == 0; }, 5s));
        RawConnection vanishing(loop, server->endpoint());
        vanishing.send(request);
        ASSERT_TRUE(loop.runUntil([&] { return server->unsentAnswers() == 1; }, 5s));
        vanishing.close();
        EXPECT_TRUE(loop.runUntil([&] { return server->unsentAnswers() == 0; }, 5s));
    }
}

// A request that has arrived when the server begins to drain is answered, however long that takes.
TEST(HttpDrain, ARequestThatHasArrivedIsAnswered)
{
    EventLoop loop;
    std::shared_ptr<Responder> waiting;
    const std::unique_ptr<Server> server
        = listen(loop, [&](const ServerRequest &, std::shared_ptr<Responder> responder) {
              waiting = std::move(responder);
          });
    ASSERT_NE(server, nullptr);
    RawConnection caller(loop, server->endpoint());
    caller.send(request);
    ASSERT_TRUE(loop.runUntil([&] { return waiting != nullptr; }, 5s));
    waiting->send(200, {}, "first");
    waiting = nullptr;
    caller.readUntil("first");
    caller.send(request);
    server->endConnectionsAfterAnswers();
    ASSERT_TRUE(loop.runUntil([&] { return waiting != nullptr; }, 5s));
    loop.runUntil([] { return false; }, 500ms);
    EXPECT_FALSE(waiting->closed()) << "nobody has hung up";
    waiting->send(200, {}, "second");
    EXPECT_NE(caller.readUntil("second").find("second"), std::string::npos);
}
