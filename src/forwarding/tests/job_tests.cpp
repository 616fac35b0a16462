#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/tests/fakes.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace acaciasail::forwarding::tests;
using namespace std::chrono_literals;

namespace {

const http::Headers events{ { "proof", "p" }, { "events", "1" } };
constexpr std::string_view firstEvent = "id: 1\ndata: a\n\n";
constexpr std::string_view secondEvent = "id: 2\ndata: b\n\n";

std::string sentHeader(const FakeSend &send, std::string_view name)
{
    return std::string(http::findHeader(send.request.headers, name).value_or(""));
}

} // namespace

TEST(JobTest, ForwardsResponse)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/safe/x?q=1", "hello");
    ASSERT_EQ(fixture.http.sends.size(), 1U);
    FakeSend &send = fixture.http.last();
    EXPECT_EQ(send.request.path, "/safe/x?q=1");
    EXPECT_EQ(send.request.body, "hello");
    EXPECT_EQ(sentHeader(send, "workspace"), "makers");
    send.respond(200, "world");
    EXPECT_EQ(caller->status, 200);
    EXPECT_EQ(caller->body, "world");
    EXPECT_EQ(fixture.forwarder.inProgress(), 0U);
}

TEST(JobTest, RefusesRequestsOutsideConfiguration)
{
    ForwarderFixture fixture;
    EXPECT_EQ(fixture.sendRequest("/nowhere/")->status, 404);
    Request withUnknownKey = fixture.request("/safe/x");
    withUnknownKey.key = "wrong";
    EXPECT_EQ(fixture.sendRequest(withUnknownKey)->status, 401);
    Request withoutId = fixture.request("/safe/x");
    withoutId.id = {};
    EXPECT_EQ(fixture.sendRequest(withoutId)->status, 400);
    EXPECT_TRUE(fixture.http.sends.empty());
}

TEST(JobTest, RefusesWith503WithoutConfiguration)
{
    kernel::ManualScheduler clock;
    FakeHttp http;
    Forwarder forwarder(clock.scheduler(), { .send = http.sender(), .wire = makeTestWire() }, {},
                        kernel::Random(1));
    auto caller = std::make_shared<FakeResponder>();
    Request request;
    request.id = kernel::RequestId("r");
    forwarder.handle(request, caller);
    EXPECT_EQ(caller->status, 503);
    EXPECT_EQ(caller->header("retry-after"), "0.250000");
    EXPECT_FALSE(forwarder.canServe());
}

TEST(JobTest, SendsRemainingTimeToUpstream)
{
    ForwarderFixture fixture;
    Request request = fixture.request("/safe/x");
    request.callerTimeout = 1000ms;
    fixture.sendRequest(request);
    EXPECT_EQ(sentHeader(fixture.http.last(), "left"), "990");
    fixture.http.last().reportSent();
    fixture.clock.advance(300ms);
    fixture.http.last().fail(kernel::ResultCode::UpstreamBroken);
    ASSERT_EQ(fixture.http.sends.size(), 2U);
    EXPECT_EQ(sentHeader(fixture.http.last(), "left"), "690");
}

TEST(JobTest, NothingIsSentForCallerThatLeftUnnoticed)
{
    ForwarderFixture fixture;
    auto caller = std::make_shared<FakeResponder>();
    caller->left = true;
    fixture.forwarder.handle(fixture.request("/safe/x"), caller);
    EXPECT_TRUE(fixture.http.sends.empty());
    EXPECT_TRUE(caller->aborted);
    EXPECT_EQ(fixture.forwarder.inProgress(), 0U);
}

TEST(JobTest, NothingIsRetriedForCallerThatLeftUnnoticed)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/safe/x");
    fixture.http.last().reportSent();
    caller->left = true;
    fixture.http.last().head(503, { { "not-run", "1" } });
    EXPECT_EQ(fixture.http.sends.size(), 1U);
    EXPECT_EQ(fixture.forwarder.inProgress(), 0U);
}

// The process is held up while it connects, so the connection stands before its timeout is noticed.
TEST(JobTest, RequestIsEncodedAnewAfterProcessWasHeldUp)
{
    ForwarderFixture fixture;
    Request request = fixture.request("/unsafe/x");
    request.callerTimeout = 1000ms;
    const auto caller = fixture.sendRequest(request);
    const auto first = fixture.http.sends.back();
    fixture.clock.advance(700ms);
    first->reportSent();
    EXPECT_TRUE(first->cancelled) << "nothing of it is sent";
    ASSERT_EQ(fixture.http.sends.size(), 2U);
    EXPECT_EQ(sentHeader(fixture.http.last(), "left"), "290");
    fixture.http.last().respond(200, "ok");
    EXPECT_EQ(caller->status, 200);
}

TEST(JobTest, CallerThatLeftWhileProcessWasHeldUpGetsNothingSent)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/safe/x");
    const auto first = fixture.http.sends.back();
    caller->left = true;
    fixture.clock.advance(700ms);
    first->reportSent();
    EXPECT_TRUE(first->cancelled);
    EXPECT_EQ(fixture.http.sends.size(), 1U);
}

TEST(JobTest, RetriesSafeRequestAtAnotherUpstream)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/safe/x");
    fixture.http.last().reportSent();
    fixture.http.last().fail(kernel::ResultCode::UpstreamBroken);
    ASSERT_EQ(fixture.http.sends.size(), 2U);
    EXPECT_NE(sentHeader(*fixture.http.sends[0], "upstream"),
              sentHeader(*fixture.http.sends[1], "upstream"));
    fixture.http.last().respond(200, "ok");
    EXPECT_EQ(caller->status, 200);
}

TEST(JobTest, NeverRetriesUnsafeRequestThatMayHaveRun)
{
    for (const auto code :
         { kernel::ResultCode::UpstreamBroken, kernel::ResultCode::UpstreamProtocol,
           kernel::ResultCode::UpstreamTimeout }) {
        ForwarderFixture fixture;
        const auto caller = fixture.sendRequest("/unsafe/x");
        fixture.http.last().reportSent();
        fixture.http.last().fail(code);
        EXPECT_EQ(fixture.http.sends.size(), 1U);
        EXPECT_EQ(caller->status, 502) << "502 does not promise that the request did not run";
        EXPECT_TRUE(caller->header("retry-after").empty());
    }
}

TEST(JobTest, RetriesUnsafeRequestThatDidNotRun)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/unsafe/x");
    fixture.http.last().fail(kernel::ResultCode::UpstreamConnectFailed);
    ASSERT_EQ(fixture.http.sends.size(), 2U);
    fixture.http.last().reportSent();
    fixture.http.last().head(503, { { "not-run", "1" } });
    ASSERT_EQ(fixture.http.sends.size(), 3U);
    fixture.http.last().reportSent();
    fixture.http.last().head(421);
    ASSERT_EQ(fixture.http.sends.size(), 4U);
    fixture.http.last().reportSent();
    fixture.http.last().head(503, { { "not-run", "1" } });
    EXPECT_EQ(fixture.http.sends.size(), 4U) << "sent to three upstreams";
    EXPECT_EQ(caller->status, 503);
    EXPECT_FALSE(caller->header("retry-after").empty());
}

TEST(JobTest, UnsafeRequestAvoidsIdleConnections)
{
    ForwarderFixture fixture;
    fixture.sendRequest("/unsafe/x");
    const kernel::Duration unsafeIdle = fixture.http.last().request.maxIdle;
    fixture.sendRequest("/safe/x");
    EXPECT_LT(unsafeIdle, fixture.http.last().request.maxIdle);
}

TEST(JobTest, ForwardsUpstreamErrorUnchanged)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/unsafe/x");
    fixture.http.last().respond(500, "broken");
    EXPECT_EQ(caller->status, 500);
    EXPECT_EQ(caller->body, "broken");
    EXPECT_EQ(caller->header("proof"), "p");
    EXPECT_EQ(fixture.http.sends.size(), 1U);
}

TEST(JobTest, RejectsResponseWithoutProof)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/unsafe/x");
    fixture.http.last().reportSent();
    fixture.http.last().head(200, {});
    EXPECT_EQ(caller->status, 502);
    const auto encoded = fixture.sendRequest("/unsafe/x");
    fixture.http.last().reportSent();
    fixture.http.last().head(200, { { "proof", "p" }, { "content-encoding", "gzip" } });
    EXPECT_EQ(encoded->status, 502);
}

TEST(JobTest, CutResponseIsNotForwarded)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/unsafe/x");
    FakeSend &send = fixture.http.last();
    send.reportSent();
    send.head(200, { { "proof", "p" } });
    send.body("half");
    send.fail(kernel::ResultCode::UpstreamBroken);
    EXPECT_EQ(caller->status, 502);
    EXPECT_TRUE(caller->body.empty());
}

TEST(JobTest, ForwardsCompleteEventsImmediately)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/once/x");
    FakeSend &send = fixture.http.last();
    send.reportSent();
    send.head(200, events);
    EXPECT_EQ(caller->status, 0) << "the head is sent with the first event";
    send.body("id: 1\nda");
    EXPECT_EQ(caller->body, "");
    send.body("ta: a\n\nid: 2");
    EXPECT_EQ(caller->status, 200);
    EXPECT_EQ(caller->body, firstEvent);
    send.body("\ndata: b\n\n");
    send.complete();
    EXPECT_EQ(caller->body, std::string(firstEvent) + std::string(secondEvent));
    EXPECT_TRUE(caller->ended);
    EXPECT_FALSE(caller->aborted);
}

TEST(JobTest, CutStreamResumesAfterLastCompleteEvent)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/chat/x");
    FakeSend &first = fixture.http.last();
    first.reportSent();
    first.head(200, events);
    first.body(std::string(firstEvent) + "id: 2\ndata: to");
    first.fail(kernel::ResultCode::UpstreamBroken);
    ASSERT_EQ(fixture.http.sends.size(), 2U);
    FakeSend &second = fixture.http.last();
    EXPECT_EQ(sentHeader(second, "resume"), "1");
    second.reportSent();
    second.head(200, events);
    second.body(secondEvent);
    second.complete();
    EXPECT_EQ(caller->body, std::string(firstEvent) + std::string(secondEvent));
    EXPECT_TRUE(caller->ended && !caller->aborted);
}

TEST(JobTest, ErrorResponseIsNotAppendedToResumedStream)
{
    for (const int status : { 500, 404, 200 }) {
        ForwarderFixture fixture;
        const auto caller = fixture.sendRequest("/chat/x");
        for (int send = 0; send < 3; ++send) {
            FakeSend &last = fixture.http.last();
            last.reportSent();
            if (send == 0) {
                last.head(200, events);
                last.body(firstEvent);
                last.fail(kernel::ResultCode::UpstreamBroken);
                continue;
            }
            last.head(status, { { "proof", "p" } });
            if (!last.cancelled) {
                last.body("no event");
                last.complete();
            }
        }
        EXPECT_EQ(fixture.http.sends.size(), 3U);
        EXPECT_EQ(caller->body, firstEvent);
        EXPECT_TRUE(caller->aborted) << "the stream must not look complete";
    }
}

TEST(JobTest, CutStreamThatCannotResumeIsAborted)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/once/x");
    FakeSend &send = fixture.http.last();
    send.reportSent();
    send.head(200, events);
    send.body(firstEvent);
    send.fail(kernel::ResultCode::UpstreamBroken);
    EXPECT_EQ(fixture.http.sends.size(), 1U);
    EXPECT_TRUE(caller->aborted) << "the stream must not look complete";
}

TEST(JobTest, StreamEndingWithinAnEventIsAborted)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/once/x");
    FakeSend &send = fixture.http.last();
    send.reportSent();
    send.head(200, events);
    send.body("id: 1\ndata: a\n\nid: 2\n");
    send.complete();
    EXPECT_TRUE(caller->aborted);
}

// Guards against bytes of a faulty upstream that reach the caller as an event of its stream.
TEST(JobTest, FaultyEventIsNotForwarded)
{
    for (const char *faulty :
         { "data: x\n\n", "id:\ndata: x\n\n", "id: x\ndata: x\n\n", "id: 0\nid: 9\ndata: x\n\n",
           "garbage\n\n", "HTTP/1.1 200 OK\r\nproof: p\r\n\r\nid: 1\ndata: a\n\n" }) {
        for (const int before : { 0, 1, 2 }) {
            for (const char *path : { "/chat/x", "/once/x" }) {
                const bool resumable = std::string_view(path) == "/chat/x";
                const std::string sound = std::string(firstEvent) + std::string(secondEvent);
                const std::string sent
                    = sound.substr(0, static_cast<std::size_t>(before) * firstEvent.size());
                ForwarderFixture fixture;
                const auto caller = fixture.sendRequest(path);
                const auto first = fixture.http.sends.back();
                first->reportSent();
                first->head(200, events);
                first->body(sent + faulty + sound.substr(sent.size()));
                EXPECT_TRUE(first->cancelled);
                EXPECT_EQ(caller->body, sent);
                ASSERT_EQ(fixture.http.sends.size(), resumable ? 2U : 1U);
                if (!resumable) {
                    EXPECT_EQ(caller->aborted, before > 0);
                    EXPECT_EQ(caller->status, before > 0 ? 200 : 502);
                    continue;
                }
                FakeSend &second = fixture.http.last();
                EXPECT_EQ(sentHeader(second, "resume"), before > 0 ? std::to_string(before) : "");
                second.reportSent();
                second.head(200, events);
                second.body(sound.substr(sent.size()));
                second.complete();
                EXPECT_EQ(caller->body, sound);
                EXPECT_TRUE(caller->ended && !caller->aborted);
            }
        }
    }
}

// Guards against a body that is no stream of events and so would not be checked event by event.
TEST(JobTest, SuccessThatIsNoEventStreamIsNotForwardedOnStreamingRoute)
{
    for (const char *path : { "/chat/x", "/once/x" }) {
        ForwarderFixture fixture;
        const auto caller = fixture.sendRequest(path);
        const auto first = fixture.http.sends.back();
        first->reportSent();
        first->head(200, { { "proof", "p" } });
        EXPECT_TRUE(first->cancelled) << path;
        if (std::string_view(path) == "/once/x") {
            EXPECT_EQ(caller->status, 502) << "it may have run";
            continue;
        }
        ASSERT_EQ(fixture.http.sends.size(), 2U);
        fixture.http.last().respond(200, "a");
        EXPECT_EQ(caller->body, firstEvent);
        EXPECT_EQ(caller->status, 200);
    }
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/once/x");
    fixture.http.last().respond(404, "no such model");
    EXPECT_EQ(caller->status, 404) << "a failure is no stream";
    EXPECT_EQ(caller->body, "no such model");
}

// Guards against checks of a stream's events on a route whose responses are passed on unchanged.
TEST(JobTest, EventStreamOnOtherRouteIsPassedOnUnchangedAsItComes)
{
    for (const char *path : { "/safe/x", "/unsafe/x" }) {
        ForwarderFixture fixture;
        const auto caller = fixture.sendRequest(path);
        const auto send = fixture.http.sends.back();
        send->reportSent();
        send->head(200, events);
        std::string sent;
        for (const char *piece :
             { "data: a\n\n", "\n: ping\n\n", "id: 3\ndata: b\n\n", "id: 1\n\n" }) {
            send->body(piece);
            sent += piece;
            EXPECT_EQ(caller->status, 200) << path;
            EXPECT_EQ(caller->body, sent);
        }
        EXPECT_FALSE(send->cancelled);
        send->complete();
        EXPECT_EQ(caller->body, sent);
        EXPECT_TRUE(caller->ended && !caller->aborted);
    }
}

// Guards against an event that a caller gets twice, from one upstream or from two.
TEST(JobTest, EventThatCameBeforeIsNotForwarded)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/chat/x");
    for (int send = 0; send < 3; ++send) {
        ASSERT_EQ(fixture.http.sends.size(), send + 1U);
        const auto last = fixture.http.sends.back();
        EXPECT_EQ(sentHeader(*last, "resume"), send == 0 ? "" : "2");
        last->reportSent();
        last->head(200, events);
        // The first upstream goes back to an event; the others repeat an event instead of resuming.
        if (send == 0)
            last->body(std::string(firstEvent) + std::string(secondEvent));
        last->body(send == 2 ? secondEvent : firstEvent);
        EXPECT_TRUE(last->cancelled);
    }
    EXPECT_EQ(caller->body, std::string(firstEvent) + std::string(secondEvent));
    EXPECT_TRUE(caller->aborted) << "no upstream is left that could resume the stream";
}

TEST(JobTest, ResumedStreamBeginsAfterCallersLastEvent)
{
    for (const char *path : { "/chat/x", "/once/x" }) {
        ForwarderFixture fixture;
        Request request = fixture.request(path);
        request.resumeAfter = StreamEventId(1);
        const auto caller = fixture.sendRequest(request);
        const auto send = fixture.http.sends.back();
        send->reportSent();
        send->head(200, events);
        send->body(firstEvent);
        const bool resumable = std::string_view(path) == "/chat/x";
        EXPECT_EQ(send->cancelled, resumable) << path;
        EXPECT_EQ(caller->body, resumable ? "" : firstEvent);
    }
}

TEST(JobTest, CommentsBetweenEventsAreLeftOut)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/once/x");
    FakeSend &send = fixture.http.last();
    send.reportSent();
    send.head(200, events);
    send.body(": ping\n\n");
    EXPECT_EQ(caller->status, 0) << "a comment is not the first event";
    send.body("\n" + std::string(firstEvent) + ": ping\r\n\r\n" + std::string(secondEvent) + "\n");
    send.complete();
    EXPECT_EQ(caller->body, std::string(firstEvent) + std::string(secondEvent));
    EXPECT_TRUE(caller->ended && !caller->aborted);
}

TEST(JobTest, LowConfidenceEscalatesToLargestModel)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/chat/x");
    FakeSend &small = fixture.http.last();
    EXPECT_EQ(sentHeader(small, "model"), "small");
    small.reportSent();
    small.head(200, { { "proof", "p" }, { "events", "1" }, { "confidence", "10" } });
    EXPECT_FALSE(small.cancelled) << "no better response has begun";
    EXPECT_EQ(caller->status, 0);
    ASSERT_EQ(fixture.http.sends.size(), 2U);
    FakeSend &large = fixture.http.last();
    EXPECT_EQ(sentHeader(large, "model"), "large");
    large.reportSent();
    large.head(200, { { "proof", "p" }, { "events", "1" }, { "confidence", "10" } });
    EXPECT_FALSE(fixture.http.sends[0]->cancelled);
    large.body(firstEvent);
    EXPECT_TRUE(fixture.http.sends[0]->cancelled);
    large.complete();
    EXPECT_EQ(caller->body, firstEvent);
    EXPECT_EQ(fixture.http.sends.size(), 2U);
}

namespace {

// A small model has responded with low confidence, and a larger one is asked.
struct EscalatedRequest
{
    EscalatedRequest()
    {
        small->reportSent();
        small->head(200, { { "proof", "p" }, { "events", "1" }, { "confidence", "10" } });
        small->body(firstEvent);
        large = fixture.http.sends.back();
    }

    ForwarderFixture fixture;
    std::shared_ptr<FakeResponder> caller = fixture.sendRequest("/chat/x");
    std::shared_ptr<FakeSend> small = fixture.http.sends.back();
    std::shared_ptr<FakeSend> large;
};

} // namespace

// Each case is one way in which the larger model gives no response.
TEST(JobTest, KeptResponseIsPassedOnIfLargerModelGivesNone)
{
    const std::vector<std::function<void(EscalatedRequest &)>> cases{
        [](EscalatedRequest &request) {
            request.large->head(503, { { "not-run", "1" } });
        },
        [](EscalatedRequest &request) { request.large->head(421); },
        [](EscalatedRequest &request) { request.large->respond(500, "broken"); },
        [](EscalatedRequest &request) { request.large->fail(kernel::ResultCode::UpstreamBroken); },
        [](EscalatedRequest &request) {
            request.large->head(200, events);
            request.large->fail(kernel::ResultCode::UpstreamBroken);
        },
        [](EscalatedRequest &request) { request.fixture.clock.advance(500ms); },
    };
    for (std::size_t i = 0; i < cases.size(); ++i) {
        EscalatedRequest request;
        ASSERT_EQ(request.fixture.http.sends.size(), 2U);
        request.large->reportSent();
        EXPECT_EQ(request.caller->status, 0);
        cases[i](request);
        EXPECT_TRUE(request.large->cancelled) << "case " << i;
        EXPECT_EQ(request.caller->body, firstEvent) << "case " << i;
        EXPECT_FALSE(request.small->cancelled) << "case " << i;
        request.small->body(secondEvent);
        request.small->complete();
        EXPECT_EQ(request.caller->body, std::string(firstEvent) + std::string(secondEvent));
        EXPECT_TRUE(request.caller->ended && !request.caller->aborted) << "case " << i;
        EXPECT_EQ(request.fixture.http.sends.size(), 2U) << "no further upstream is needed";
        EXPECT_EQ(request.fixture.forwarder.inProgress(), 0U);
        for (const auto &[id, record] : request.fixture.forwarder.state().records)
            EXPECT_EQ(record.inFlight, 0) << id.str();
    }
}

TEST(JobTest, KeptResponseThatIsCompleteIsPassedOnWhole)
{
    EscalatedRequest request;
    request.small->complete();
    EXPECT_EQ(request.caller->status, 0) << "the larger model may still respond";
    request.large->fail(kernel::ResultCode::UpstreamConnectFailed);
    EXPECT_EQ(request.caller->body, firstEvent);
    EXPECT_TRUE(request.caller->ended && !request.caller->aborted);
}

TEST(JobTest, EventsOfKeptResponseAreNoPartOfLargerOne)
{
    EscalatedRequest request;
    request.large->reportSent();
    request.large->head(200, events);
    request.small->body(secondEvent);
    request.large->body("id: 1\ndata: large\n\n");
    EXPECT_TRUE(request.small->cancelled);
    request.large->fail(kernel::ResultCode::UpstreamBroken);
    EXPECT_EQ(request.caller->body, "id: 1\ndata: large\n\n");
    ASSERT_EQ(request.fixture.http.sends.size(), 3U);
    EXPECT_EQ(sentHeader(request.fixture.http.last(), "model"), "large");
    EXPECT_EQ(sentHeader(request.fixture.http.last(), "resume"), "1");
}

TEST(JobTest, LostKeptResponseLeavesLargerModelToRespond)
{
    EscalatedRequest request;
    request.small->fail(kernel::ResultCode::UpstreamBroken);
    EXPECT_FALSE(request.large->cancelled);
    request.large->respond(200, "large");
    EXPECT_EQ(request.caller->body, "id: 1\ndata: large\n\n");
    EXPECT_EQ(request.fixture.http.sends.size(), 2U);
}

TEST(JobTest, CallerThatLeavesEndsBothResponses)
{
    EscalatedRequest request;
    request.large->reportSent();
    request.caller->onClosed();
    EXPECT_TRUE(request.small->cancelled);
    EXPECT_TRUE(request.large->cancelled);
    for (const auto &[id, record] : request.fixture.forwarder.state().records)
        EXPECT_EQ(record.inFlight, 0) << id.str();
}

TEST(JobTest, LongKeptResponseIsNotReadFurther)
{
    EscalatedRequest request;
    for (int i = 0; i < 100 && !request.small->paused; ++i)
        request.small->body(std::string(1024, 'x'));
    EXPECT_TRUE(request.small->paused);
    EXPECT_FALSE(request.small->cancelled);
}

namespace {

// The configuration names the services, so requests wait for room at their upstreams.
void nameServices(ForwarderFixture &fixture, std::int64_t memoryTokens)
{
    auto configuration = fixture.makeConfiguration(2);
    const kernel::ServiceName plain("plain");
    const kernel::ServiceName engines("engines");
    configuration->services[plain] = { .name = plain };
    configuration->services[engines] = { .name = engines, .memoryTokens = memoryTokens };
    fixture.forwarder.setConfiguration(configuration, kernel::Revision(2));
    fixture.clock.advance(1s);
}

} // namespace

TEST(JobTest, RequestsWaitForRoomAtPlainUpstreams)
{
    ForwarderFixture fixture;
    nameServices(fixture, 1000);
    // Three upstreams with four slots each.
    const std::size_t room = 3U * static_cast<std::size_t>(maxInFlight(4));
    for (std::size_t i = 0; i < room; ++i)
        fixture.sendRequest("/unsafe/x");
    EXPECT_EQ(fixture.http.sends.size(), room);
    for (const auto &[id, record] : fixture.forwarder.state().records)
        EXPECT_LE(record.inFlight, maxInFlight(4)) << id.str();
    const auto leaving = fixture.sendRequest("/unsafe/x");
    const auto waiting = fixture.sendRequest("/unsafe/x");
    EXPECT_EQ(fixture.http.sends.size(), room);
    leaving->onClosed();
    fixture.http.sends.front()->respond(200, "ok");
    fixture.clock.advance(1ms);
    ASSERT_EQ(fixture.http.sends.size(), room + 1) << "the free place goes to who waits";
    fixture.http.last().respond(200, "ok");
    EXPECT_EQ(waiting->status, 200);
}

TEST(JobTest, RequestThatUpstreamsRefuseAsFullIsSentAgainToTheSame)
{
    ForwarderFixture fixture;
    nameServices(fixture, 1000);
    const auto caller = fixture.sendRequest("/safe/x");
    std::set<std::string> upstreams;
    for (int send = 0; send < 4; ++send) {
        ASSERT_EQ(fixture.http.sends.size(), send + 1U);
        upstreams.insert(sentHeader(fixture.http.last(), "upstream"));
        fixture.http.last().reportSent();
        fixture.http.last().head(503, { { "not-run", "1" } });
        fixture.clock.advance(300ms);
    }
    EXPECT_EQ(upstreams.size(), 2U) << "the route allows two upstreams";
    fixture.http.last().respond(200, "ok");
    EXPECT_EQ(caller->status, 200);
}

TEST(JobTest, RequestThatMayHaveRunIsNotSentAgainAfterRefusal)
{
    ForwarderFixture fixture;
    nameServices(fixture, 1000);
    const auto caller = fixture.sendRequest("/safe/x");
    fixture.http.last().reportSent();
    fixture.http.last().fail(kernel::ResultCode::UpstreamBroken);
    fixture.http.last().reportSent();
    fixture.http.last().head(503, { { "not-run", "1" } });
    EXPECT_EQ(caller->status, 502);
    fixture.clock.advance(1s);
    EXPECT_EQ(fixture.http.sends.size(), 2U);
}

TEST(JobTest, EngineIsNeverSentMoreTokensThanItsMemoryHolds)
{
    ForwarderFixture fixture;
    // Each request needs 200 tokens.
    nameServices(fixture, 500);
    for (int i = 0; i < 7; ++i)
        fixture.sendRequest("/chat/x", std::to_string(i));
    EXPECT_EQ(fixture.http.sends.size(), 6U) << "two requests at each of three engines";
    std::map<std::string, int> requests;
    for (const auto &send : fixture.http.sends)
        EXPECT_LE(++requests[sentHeader(*send, "upstream")], 2);
    fixture.http.sends.front()->respond(200, "ok");
    fixture.clock.advance(100ms);
    EXPECT_EQ(fixture.http.sends.size(), 7U);
}

TEST(JobTest, KeepsConfidentResponse)
{
    ForwarderFixture fixture;
    fixture.sendRequest("/chat/x");
    fixture.http.last().reportSent();
    fixture.http.last().head(200, { { "proof", "p" }, { "events", "1" }, { "confidence", "95" } });
    EXPECT_EQ(fixture.http.sends.size(), 1U);
}

TEST(JobTest, InactivityTimeoutRetriesSafeRequest)
{
    ForwarderFixture fixture;
    fixture.sendRequest("/safe/x");
    fixture.http.last().reportSent();
    fixture.clock.advance(1200ms);
    EXPECT_FALSE(fixture.http.sends[0]->cancelled);
    fixture.clock.advance(100ms);
    EXPECT_TRUE(fixture.http.sends[0]->cancelled);
    EXPECT_EQ(fixture.http.sends.size(), 2U);
}

TEST(JobTest, InactivityDoesNotEndUnretryableRequest)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/unsafe/x");
    fixture.http.last().reportSent();
    fixture.clock.advance(4900ms);
    EXPECT_FALSE(fixture.http.last().cancelled);
    EXPECT_FALSE(caller->ended);
    fixture.clock.advance(100ms);
    EXPECT_EQ(caller->status, 504) << "the route's timeout expired";
    EXPECT_TRUE(fixture.http.last().cancelled);
}

// Guards against cutting the stream of a slow engine while the retry budget is spent, so that no
// other engine can resume the stream.
TEST(JobTest, WaitsForSilentStreamWithoutRetryBudget)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/chat/x");
    const auto stream = fixture.http.sends.back();
    stream->reportSent();
    stream->head(200, events);
    stream->body(firstEvent);
    // Other requests spend the retry budget of the service.
    for (int i = 0; i < 40; ++i) {
        const auto other = fixture.sendRequest("/chat/x", std::to_string(i));
        for (int sends = 0; sends < 3 && !other->ended; ++sends) {
            fixture.http.last().reportSent();
            fixture.http.last().fail(kernel::ResultCode::UpstreamBroken);
        }
    }
    fixture.clock.advance(4s);
    EXPECT_FALSE(stream->cancelled);
    EXPECT_FALSE(caller->ended);
    stream->body(secondEvent);
    stream->complete();
    EXPECT_EQ(caller->body, std::string(firstEvent) + std::string(secondEvent));
    EXPECT_FALSE(caller->aborted);
}

TEST(JobTest, IncompleteEventsDoNotResetInactivityTimeout)
{
    ForwarderFixture fixture;
    fixture.sendRequest("/chat/x");
    const auto stalled = fixture.http.sends.back();
    stalled->reportSent();
    stalled->head(200, events);
    stalled->body(firstEvent);
    for (int i = 0; i < 40 && !stalled->cancelled; ++i) {
        stalled->body(":");
        fixture.clock.advance(100ms);
    }
    EXPECT_TRUE(stalled->cancelled);
    EXPECT_EQ(sentHeader(fixture.http.last(), "resume"), "1");
}

TEST(JobTest, EndlessResponseIsNotBuffered)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/unsafe/x");
    FakeSend &send = fixture.http.last();
    send.reportSent();
    send.head(200, { { "proof", "p" } });
    caller->queued = 1U << 20U;
    const std::string piece(64U << 10U, 'x');
    for (int i = 0; i < 5; ++i)
        send.body(piece);
    EXPECT_TRUE(send.paused) << "the caller does not read";
}

// Guards against a failure without end that the caller gets, although a retry is allowed.
TEST(JobTest, EndlessErrorResponseIsRetried)
{
    const std::string piece(64U << 10U, 'x');
    for (const char *path : { "/safe/x", "/chat/x", "/unsafe/x" }) {
        ForwarderFixture fixture;
        const auto caller = fixture.sendRequest(path);
        const auto send = fixture.http.sends.back();
        send->reportSent();
        send->head(500, { { "proof", "p" } });
        for (int i = 0; i < 5 && !send->cancelled; ++i)
            send->body(piece);
        const bool isRetried = std::string_view(path) != "/unsafe/x";
        EXPECT_EQ(send->cancelled, isRetried) << path;
        EXPECT_EQ(fixture.http.sends.size(), isRetried ? 2U : 1U);
        EXPECT_EQ(caller->status, isRetried ? 0 : 500) << "an unsafe request may have run";
    }
}

// On a busy service all requests wait, which is no reason to read their prompts again at other
// engines.
TEST(JobTest, InactivityOfManyRequestsRaisesLatencyEstimate)
{
    ForwarderFixture fixture;
    const LatencyEstimates::Key key{ RouteName("chat"), "small" };
    for (int i = 0; i < 20; ++i) {
        fixture.sendRequest("/chat/x", std::to_string(i));
        fixture.http.last().reportSent();
        fixture.clock.advance(50ms);
        fixture.http.last().respond(200, "ok");
    }
    const auto before = fixture.forwarder.state().latencyEstimates.firstByte.at(key).meanSeconds;
    for (int i = 0; i < 5; ++i) {
        fixture.sendRequest("/chat/x", std::to_string(i));
        fixture.http.last().reportSent();
        fixture.clock.advance(800ms);
    }
    EXPECT_GT(fixture.forwarder.state().latencyEstimates.firstByte.at(key).meanSeconds, 2 * before);
}

TEST(JobTest, SilentRequestIsNotACrash)
{
    ForwarderFixture fixture;
    for (int i = 0; i < 4; ++i) {
        const auto caller = fixture.sendRequest("/chat/x", "same");
        for (int sends = 0; sends < 3; ++sends) {
            ASSERT_FALSE(caller->ended);
            fixture.http.last().reportSent();
            // The request is retried elsewhere after 1.25 s.
            fixture.clock.advance(1300ms);
        }
        fixture.clock.advance(2s);
        EXPECT_TRUE(caller->ended);
    }
    fixture.clock.advance(20s);
    EXPECT_FALSE(fixture.sendRequest("/chat/x", "same")->ended);
}

TEST(JobTest, RespondsBeforeCallerTimeout)
{
    ForwarderFixture fixture;
    Request request = fixture.request("/unsafe/x");
    request.callerTimeout = 200ms;
    const auto caller = fixture.sendRequest(request);
    fixture.http.last().reportSent();
    fixture.clock.advance(191ms);
    EXPECT_EQ(caller->status, 504);
}

TEST(JobTest, CallerDisconnectCancelsRequest)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/chat/x");
    fixture.http.last().reportSent();
    caller->onClosed();
    EXPECT_TRUE(fixture.http.last().cancelled);
    EXPECT_EQ(fixture.forwarder.inProgress(), 0U);
    EXPECT_EQ(fixture.http.sends.size(), 1U);
}

TEST(JobTest, ResponderMayOutliveRequest)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/once/x");
    fixture.http.last().reportSent();
    fixture.http.last().head(200, events);
    fixture.http.last().body(firstEvent);
    fixture.http.last().fail(kernel::ResultCode::UpstreamBroken);
    ASSERT_EQ(fixture.forwarder.inProgress(), 0U);
    caller->onClosed();
}

TEST(JobTest, SlowCallerCausesBackpressure)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/once/x");
    caller->queued = 1U << 20U;
    FakeSend &send = fixture.http.last();
    send.reportSent();
    send.head(200, events);
    send.body(firstEvent);
    EXPECT_TRUE(send.paused);
    caller->onDrained();
    EXPECT_FALSE(send.paused);
}

TEST(JobTest, RefusesPoisonRequest)
{
    ForwarderFixture fixture;
    for (int i = 0; i < 2; ++i) {
        const auto caller = fixture.sendRequest("/safe/x", "poison");
        for (int send = 0; send < 2 && !caller->ended; ++send) {
            fixture.http.last().reportSent();
            fixture.http.last().fail(kernel::ResultCode::UpstreamBroken);
        }
        EXPECT_EQ(caller->status, 502);
    }
    EXPECT_EQ(fixture.http.sends.size(), 3U);
    EXPECT_EQ(fixture.sendRequest("/safe/x", "poison")->status, 502);
    EXPECT_EQ(fixture.http.sends.size(), 3U);
    fixture.sendRequest("/safe/x", "innocent");
    EXPECT_EQ(fixture.http.sends.size(), 4U);
}

TEST(JobTest, BrokenConnectionToLiveUpstreamIsNotACrash)
{
    ForwarderFixture fixture;
    for (int i = 0; i < 5; ++i) {
        fixture.http.connects.clear();
        const auto caller = fixture.sendRequest("/unsafe/x", "same");
        fixture.http.last().reportSent();
        fixture.http.last().fail(kernel::ResultCode::UpstreamBroken);
        EXPECT_EQ(caller->status, 502);
        fixture.clock.advance(150ms);
        ASSERT_EQ(fixture.http.connects.size(), 1U);
        fixture.http.connects[0].succeed();
    }
    EXPECT_FALSE(fixture.sendRequest("/unsafe/x", "same")->ended);
}

TEST(JobTest, UnreachableUpstreamCountsAsCrashed)
{
    ForwarderFixture fixture;
    const auto isUnreachable = [&](const kernel::Endpoint &endpoint) {
        return std::ranges::any_of(fixture.http.sends, [&](const auto &send) {
            return send->request.endpoint == endpoint;
        });
    };
    for (int round = 0; round < 2; ++round) {
        const auto caller = fixture.sendRequest("/safe/x", "crashing");
        std::size_t sends = 0;
        while (!caller->ended) {
            if (std::exchange(sends, fixture.http.sends.size()) != sends)
                fixture.http.last().reportSent();
            fixture.clock.advance(100ms);
            for (FakeConnect &connect : std::exchange(fixture.http.connects, {})) {
                if (isUnreachable(connect.endpoint))
                    connect.fail(kernel::ResultCode::UpstreamTimeout);
                else
                    connect.succeed();
            }
        }
        fixture.clock.advance(200ms);
    }
    const std::size_t sends = fixture.http.sends.size();
    EXPECT_EQ(sends, 3U);
    EXPECT_EQ(fixture.sendRequest("/safe/x", "crashing")->status, 502);
    EXPECT_EQ(fixture.http.sends.size(), sends);
}

TEST(JobTest, SuspectRequestsRunAtDifferentUpstreams)
{
    ForwarderFixture fixture;
    std::vector<std::shared_ptr<FakeResponder>> callers;
    while (fixture.http.sends.size() < 6)
        callers.push_back(
            fixture.sendRequest("/safe/x", std::to_string(fixture.http.sends.size())));
    const std::vector<std::shared_ptr<FakeSend>> firstSends = fixture.http.sends;
    const std::string crashed = sentHeader(*firstSends[0], "upstream");
    for (const auto &send : firstSends) {
        send->reportSent();
        if (sentHeader(*send, "upstream") == crashed)
            send->fail(kernel::ResultCode::UpstreamBroken);
    }
    std::set<std::string> upstreams;
    for (std::size_t i = firstSends.size(); i < fixture.http.sends.size(); ++i)
        upstreams.insert(sentHeader(*fixture.http.sends[i], "upstream"));
    ASSERT_EQ(fixture.http.sends.size(), firstSends.size() + 2);
    EXPECT_EQ(upstreams.size(), 2U);
}

TEST(JobTest, EvidenceOfOtherRoutersEndsWaitingRequest)
{
    ForwarderFixture fixture;
    const auto crashing = fixture.sendRequest("/safe/x", "crashing");
    const auto innocent = fixture.sendRequest("/safe/x", "innocent");
    for (const auto &send : fixture.http.sends)
        send->reportSent();
    CrashReport received;
    const auto fingerprint
        = poison::makeFingerprint(kernel::WorkspaceId("makers"), "/safe/x", "crashing");
    for (const char *process : { "d7@0", "d8@0", "d9@0" }) {
        poison::recordCrash(received.requests, fingerprint, kernel::UpstreamId(process),
                            fixture.clock.scheduler().wallNow());
    }
    fixture.forwarder.mergeCrashEvidence(kernel::VmId("vm-2"), received);
    EXPECT_EQ(crashing->status, 502) << "the request may have run";
    EXPECT_TRUE(fixture.http.sends[0]->cancelled);
    EXPECT_FALSE(innocent->ended);
    EXPECT_EQ(fixture.sendRequest("/safe/x", "crashing")->status, 502);
    EXPECT_EQ(fixture.http.sends.size(), 2U);
}

// Guards against a request that tries the same unreachable address again and again: one request did
// so 25 times and spent the retry budget of all requests.
TEST(JobTest, FailedConnectsSpendNoRetryBudget)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/safe/x");
    fixture.http.last().reportSent();
    fixture.http.last().fail(kernel::ResultCode::UpstreamBroken);
    while (!caller->ended) {
        ASSERT_LT(fixture.http.sends.size(), 10U);
        fixture.http.last().fail(kernel::ResultCode::UpstreamConnectFailed);
    }
    EXPECT_EQ(fixture.http.sends.size(), 5U);
    EXPECT_EQ(caller->status, 502) << "the request may have run at the first upstream";
    EXPECT_EQ(
        fixture.forwarder.state().retryBudgets.at(kernel::ServiceName("plain")).retries.size(), 1U);

    const auto unsent = fixture.sendRequest("/unsafe/x");
    while (!unsent->ended)
        fixture.http.last().fail(kernel::ResultCode::UpstreamConnectFailed);
    EXPECT_EQ(unsent->status, 503);
    EXPECT_FALSE(unsent->header("retry-after").empty());
}

TEST(JobTest, RefusesWithRetryAfterWithoutUpstreams)
{
    ForwarderFixture fixture;
    for (const char *id : { "d1", "d2", "d3" })
        fixture.forwarder.dropUpstream(kernel::UpstreamId(id));
    fixture.clock.advance(5s);
    const auto caller = fixture.sendRequest("/unsafe/x");
    EXPECT_EQ(caller->status, 503);
    EXPECT_FALSE(caller->header("retry-after").empty());
}
