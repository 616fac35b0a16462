#include <algorithm>
#include <set>
#include <utility>

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

std::string sentHeader(const Send &send, std::string_view name)
{
    return std::string(http::findHeader(send.request.headers, name).value_or(""));
}

} // namespace

TEST(JobTest, PassesAnAnswerOn)
{
    Site site;
    const auto caller = site.ask("/safe/x?q=1", "hello");
    ASSERT_EQ(site.http.sends.size(), 1U);
    Send &send = site.http.last();
    EXPECT_EQ(send.request.path, "/safe/x?q=1");
    EXPECT_EQ(send.request.body, "hello");
    EXPECT_EQ(sentHeader(send, "workspace"), "makers");
    send.answer(200, "world");
    EXPECT_EQ(caller->status, 200);
    EXPECT_EQ(caller->body, "world");
    EXPECT_EQ(site.forwarder.inProgress(), 0U);
}

TEST(JobTest, RefusesWhatTheConfigurationDoesNotAllow)
{
    Site site;
    EXPECT_EQ(site.ask("/nowhere/")->status, 404);
    Request stranger = site.request("/safe/x");
    stranger.key = "wrong";
    EXPECT_EQ(site.ask(stranger)->status, 401);
    Request nameless = site.request("/safe/x");
    nameless.id = {};
    EXPECT_EQ(site.ask(nameless)->status, 400);
    EXPECT_TRUE(site.http.sends.empty());
}

TEST(JobTest, WithoutAConfigurationItPromisesThatNothingRan)
{
    kernel::ManualScheduler clock;
    FakeHttp http;
    Forwarder forwarder(clock.scheduler(), { .send = http.sender(), .wire = plainWire() }, {},
                        kernel::Random(1));
    auto caller = std::make_shared<FakeResponder>();
    Request request;
    request.id = kernel::RequestId("r");
    forwarder.handle(request, caller);
    EXPECT_EQ(caller->status, 503);
    EXPECT_EQ(caller->header("retry-after"), "0.250000");
    EXPECT_FALSE(forwarder.canServe());
}

TEST(JobTest, TellsUpstreamsTheTimeThatIsLeft)
{
    Site site;
    Request request = site.request("/safe/x");
    request.patience = 1000ms;
    site.ask(request);
    EXPECT_EQ(sentHeader(site.http.last(), "left"), "990");
    site.http.last().connect();
    site.clock.advance(300ms);
    site.http.last().fail(kernel::ResultCode::UpstreamBroken);
    ASSERT_EQ(site.http.sends.size(), 2U);
    EXPECT_EQ(sentHeader(site.http.last(), "left"), "690");
}

TEST(JobTest, RepeatsASafeRequestElsewhere)
{
    Site site;
    const auto caller = site.ask("/safe/x");
    site.http.last().connect();
    site.http.last().fail(kernel::ResultCode::UpstreamBroken);
    ASSERT_EQ(site.http.sends.size(), 2U);
    EXPECT_NE(sentHeader(*site.http.sends[0], "upstream"),
              sentHeader(*site.http.sends[1], "upstream"));
    site.http.last().answer(200, "ok");
    EXPECT_EQ(caller->status, 200);
}

TEST(JobTest, NeverRepeatsAnUnsafeRequestThatMayHaveRun)
{
    for (const auto code :
         { kernel::ResultCode::UpstreamBroken, kernel::ResultCode::UpstreamProtocol,
           kernel::ResultCode::UpstreamTimeout }) {
        Site site;
        const auto caller = site.ask("/unsafe/x");
        site.http.last().connect();
        site.http.last().fail(code);
        EXPECT_EQ(site.http.sends.size(), 1U);
        EXPECT_EQ(caller->status, 502) << "no promise";
        EXPECT_TRUE(caller->header("retry-after").empty());
    }
}

TEST(JobTest, RepeatsAnUnsafeRequestThatDidNotRun)
{
    Site site;
    const auto caller = site.ask("/unsafe/x");
    site.http.last().fail(kernel::ResultCode::UpstreamConnectFailed);
    ASSERT_EQ(site.http.sends.size(), 2U);
    site.http.last().connect();
    site.http.last().head(503, { { "not-run", "1" } });
    ASSERT_EQ(site.http.sends.size(), 3U);
    site.http.last().connect();
    site.http.last().head(421);
    ASSERT_EQ(site.http.sends.size(), 4U);
    site.http.last().connect();
    site.http.last().head(503, { { "not-run", "1" } });
    EXPECT_EQ(site.http.sends.size(), 4U) << "sent to three upstreams";
    EXPECT_EQ(caller->status, 503);
    EXPECT_FALSE(caller->header("retry-after").empty());
}

TEST(JobTest, AnUnsafeRequestAvoidsConnectionsThatWereIdle)
{
    Site site;
    site.ask("/unsafe/x");
    const kernel::Duration unsafeIdle = site.http.last().request.maxIdle;
    site.ask("/safe/x");
    EXPECT_LT(unsafeIdle, site.http.last().request.maxIdle);
}

TEST(JobTest, AnUpstreamsOwnFailureIsPassedOnUnchanged)
{
    Site site;
    const auto caller = site.ask("/unsafe/x");
    site.http.last().answer(500, "broken");
    EXPECT_EQ(caller->status, 500);
    EXPECT_EQ(caller->body, "broken");
    EXPECT_EQ(caller->header("proof"), "p");
    EXPECT_EQ(site.http.sends.size(), 1U);
}

TEST(JobTest, AnAnswerWithoutProofIsNoAnswer)
{
    Site site;
    const auto caller = site.ask("/unsafe/x");
    site.http.last().connect();
    site.http.last().head(200, {});
    EXPECT_EQ(caller->status, 502);
    const auto encoded = site.ask("/unsafe/x");
    site.http.last().connect();
    site.http.last().head(200, { { "proof", "p" }, { "content-encoding", "gzip" } });
    EXPECT_EQ(encoded->status, 502);
}

TEST(JobTest, NothingOfACutAnswerLooksComplete)
{
    Site site;
    const auto caller = site.ask("/unsafe/x");
    Send &send = site.http.last();
    send.connect();
    send.head(200, { { "proof", "p" } });
    send.body("half");
    send.fail(kernel::ResultCode::UpstreamBroken);
    EXPECT_EQ(caller->status, 502);
    EXPECT_TRUE(caller->body.empty());
}

TEST(JobTest, EventsArePassedOnWholeAsTheyCome)
{
    Site site;
    const auto caller = site.ask("/once/x");
    Send &send = site.http.last();
    send.connect();
    send.head(200, events);
    EXPECT_EQ(caller->status, 0) << "the head waits for the first event";
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

TEST(JobTest, ACutStreamGoesOnElsewhereFromTheLastWholeEvent)
{
    Site site;
    const auto caller = site.ask("/chat/x");
    Send &first = site.http.last();
    first.connect();
    first.head(200, events);
    first.body(std::string(firstEvent) + "id: 2\ndata: to");
    first.fail(kernel::ResultCode::UpstreamBroken);
    ASSERT_EQ(site.http.sends.size(), 2U);
    Send &second = site.http.last();
    EXPECT_EQ(sentHeader(second, "resume"), "1");
    second.connect();
    second.head(200, events);
    second.body(secondEvent);
    second.complete();
    EXPECT_EQ(caller->body, std::string(firstEvent) + std::string(secondEvent));
    EXPECT_TRUE(caller->ended && !caller->aborted);
}

TEST(JobTest, AFailureInPlaceOfTheRestOfAStreamIsNoPartOfIt)
{
    for (const int status : { 500, 404, 200 }) {
        Site site;
        const auto caller = site.ask("/chat/x");
        for (int send = 0; send < 3; ++send) {
            Send &last = site.http.last();
            last.connect();
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
        EXPECT_EQ(site.http.sends.size(), 3U);
        EXPECT_EQ(caller->body, firstEvent);
        EXPECT_TRUE(caller->aborted) << "it must not look complete";
    }
}

TEST(JobTest, ACutStreamThatCantGoOnBreaksOff)
{
    Site site;
    const auto caller = site.ask("/once/x");
    Send &send = site.http.last();
    send.connect();
    send.head(200, events);
    send.body(firstEvent);
    send.fail(kernel::ResultCode::UpstreamBroken);
    EXPECT_EQ(site.http.sends.size(), 1U);
    EXPECT_TRUE(caller->aborted) << "it must not look complete";
}

TEST(JobTest, AStreamThatEndsWithinAnEventIsNotComplete)
{
    Site site;
    const auto caller = site.ask("/once/x");
    Send &send = site.http.last();
    send.connect();
    send.head(200, events);
    send.body("id: 1\ndata: a\n\nid: 2\n");
    send.complete();
    EXPECT_TRUE(caller->aborted);
}

TEST(JobTest, ASmallModelsDoubtIsAnsweredByTheLargest)
{
    Site site;
    const auto caller = site.ask("/chat/x");
    Send &small = site.http.last();
    EXPECT_EQ(sentHeader(small, "model"), "small");
    small.connect();
    small.head(200, { { "proof", "p" }, { "events", "1" }, { "confidence", "10" } });
    EXPECT_TRUE(small.cancelled);
    ASSERT_EQ(site.http.sends.size(), 2U);
    Send &large = site.http.last();
    EXPECT_EQ(sentHeader(large, "model"), "large");
    large.connect();
    large.head(200, { { "proof", "p" }, { "events", "1" }, { "confidence", "10" } });
    large.body(firstEvent);
    large.complete();
    EXPECT_EQ(caller->body, firstEvent);
    EXPECT_EQ(site.http.sends.size(), 2U);
}

TEST(JobTest, AConfidentAnswerStands)
{
    Site site;
    site.ask("/chat/x");
    site.http.last().connect();
    site.http.last().head(200, { { "proof", "p" }, { "events", "1" }, { "confidence", "95" } });
    EXPECT_EQ(site.http.sends.size(), 1U);
}

TEST(JobTest, ASilentUpstreamIsLeftWhereTheRequestMayBeRepeated)
{
    Site site;
    site.ask("/safe/x");
    site.http.last().connect();
    site.clock.advance(1200ms);
    EXPECT_FALSE(site.http.sends[0]->cancelled);
    site.clock.advance(100ms);
    EXPECT_TRUE(site.http.sends[0]->cancelled);
    EXPECT_EQ(site.http.sends.size(), 2U);
}

TEST(JobTest, SilenceEndsNothingThatCantBeRepeated)
{
    Site site;
    const auto caller = site.ask("/unsafe/x");
    site.http.last().connect();
    site.clock.advance(4900ms);
    EXPECT_FALSE(site.http.last().cancelled);
    EXPECT_FALSE(caller->ended);
    site.clock.advance(100ms);
    EXPECT_EQ(caller->status, 504) << "the route's time is over";
    EXPECT_TRUE(site.http.last().cancelled);
}

// Guards against cutting the stream of a slow engine while the retry budget is spent, so that no
// other engine can resume the stream.
TEST(JobTest, ASilentStreamThatNobodyCanTakeUpIsWaitedFor)
{
    Site site;
    const auto caller = site.ask("/chat/x");
    const auto stream = site.http.sends.back();
    stream->connect();
    stream->head(200, events);
    stream->body(firstEvent);
    // Other requests spend the retry budget of the service.
    for (int i = 0; i < 40; ++i) {
        const auto other = site.ask("/chat/x", std::to_string(i));
        for (int sends = 0; sends < 3 && !other->ended; ++sends) {
            site.http.last().connect();
            site.http.last().fail(kernel::ResultCode::UpstreamBroken);
        }
    }
    site.clock.advance(4s);
    EXPECT_FALSE(stream->cancelled);
    EXPECT_FALSE(caller->ended);
    stream->body(secondEvent);
    stream->complete();
    EXPECT_EQ(caller->body, std::string(firstEvent) + std::string(secondEvent));
    EXPECT_FALSE(caller->aborted);
}

TEST(JobTest, BytesThatMakeNoEventDoNotKeepAStalledStream)
{
    Site site;
    site.ask("/chat/x");
    const auto stalled = site.http.sends.back();
    stalled->connect();
    stalled->head(200, events);
    stalled->body(firstEvent);
    for (int i = 0; i < 40 && !stalled->cancelled; ++i) {
        stalled->body(":");
        site.clock.advance(100ms);
    }
    EXPECT_TRUE(stalled->cancelled);
    EXPECT_EQ(sentHeader(site.http.last(), "resume"), "1");
}

TEST(JobTest, AnAnswerWithoutEndIsNotHeldInMemory)
{
    Site site;
    const auto caller = site.ask("/unsafe/x");
    Send &send = site.http.last();
    send.connect();
    send.head(200, { { "proof", "p" } });
    caller->queued = 1U << 20U;
    const std::string piece(64U << 10U, 'x');
    for (int i = 0; i < 5; ++i)
        send.body(piece);
    EXPECT_TRUE(send.paused) << "the caller reads nothing";
}

// On a busy service all requests wait, which is no reason to read their prompts again at other
// engines.
TEST(JobTest, SilenceOfManyLengthensThePatience)
{
    Site site;
    const UsualTimes::Key key{ RouteName("chat"), "small" };
    for (int i = 0; i < 20; ++i) {
        site.ask("/chat/x", std::to_string(i));
        site.http.last().connect();
        site.clock.advance(50ms);
        site.http.last().answer(200, "ok");
    }
    const auto before = site.forwarder.state().usual.firstByte.at(key).seconds;
    for (int i = 0; i < 5; ++i) {
        site.ask("/chat/x", std::to_string(i));
        site.http.last().connect();
        site.clock.advance(800ms);
    }
    EXPECT_GT(site.forwarder.state().usual.firstByte.at(key).seconds, 2 * before);
}

TEST(JobTest, ASilentRequestIsNoCrash)
{
    Site site;
    for (int i = 0; i < 4; ++i) {
        const auto caller = site.ask("/chat/x", "same");
        for (int sends = 0; sends < 3; ++sends) {
            site.http.last().connect();
            site.clock.advance(4s);
        }
    }
    site.clock.advance(20s);
    EXPECT_FALSE(site.ask("/chat/x", "same")->ended);
}

TEST(JobTest, TheAnswerLeavesBeforeTheCallersTimeIsOver)
{
    Site site;
    Request request = site.request("/unsafe/x");
    request.patience = 200ms;
    const auto caller = site.ask(request);
    site.http.last().connect();
    site.clock.advance(191ms);
    EXPECT_EQ(caller->status, 504);
}

TEST(JobTest, ACallerThatLeavesEndsTheRun)
{
    Site site;
    const auto caller = site.ask("/chat/x");
    site.http.last().connect();
    caller->onClosed();
    EXPECT_TRUE(site.http.last().cancelled);
    EXPECT_EQ(site.forwarder.inProgress(), 0U);
    EXPECT_EQ(site.http.sends.size(), 1U);
}

TEST(JobTest, AResponderThatOutlivesItsRequestIsHarmless)
{
    Site site;
    const auto caller = site.ask("/once/x");
    site.http.last().connect();
    site.http.last().head(200, events);
    site.http.last().body(firstEvent);
    site.http.last().fail(kernel::ResultCode::UpstreamBroken);
    ASSERT_EQ(site.forwarder.inProgress(), 0U);
    caller->onClosed();
}

TEST(JobTest, ASlowCallerStopsTheReading)
{
    Site site;
    const auto caller = site.ask("/once/x");
    caller->queued = 1U << 20U;
    Send &send = site.http.last();
    send.connect();
    send.head(200, events);
    send.body(firstEvent);
    EXPECT_TRUE(send.paused);
    caller->onDrained();
    EXPECT_FALSE(send.paused);
}

TEST(JobTest, ARequestThatCrashesUpstreamsIsStopped)
{
    Site site;
    for (int i = 0; i < 2; ++i) {
        const auto caller = site.ask("/safe/x", "poison");
        for (int send = 0; send < 2 && !caller->ended; ++send) {
            site.http.last().connect();
            site.http.last().fail(kernel::ResultCode::UpstreamBroken);
        }
        EXPECT_EQ(caller->status, 502);
    }
    EXPECT_EQ(site.http.sends.size(), 3U);
    EXPECT_EQ(site.ask("/safe/x", "poison")->status, 502);
    EXPECT_EQ(site.http.sends.size(), 3U);
    site.ask("/safe/x", "innocent");
    EXPECT_EQ(site.http.sends.size(), 4U);
}

TEST(JobTest, ALostConnectionToALivingUpstreamIsNoCrash)
{
    Site site;
    for (int i = 0; i < 5; ++i) {
        site.http.connects.clear();
        const auto caller = site.ask("/unsafe/x", "same");
        site.http.last().connect();
        site.http.last().fail(kernel::ResultCode::UpstreamBroken);
        EXPECT_EQ(caller->status, 502);
        site.clock.advance(150ms);
        ASSERT_EQ(site.http.connects.size(), 1U);
        site.http.connects[0].stands();
    }
    EXPECT_FALSE(site.ask("/unsafe/x", "same")->ended);
}

TEST(JobTest, AnUpstreamThatWentDarkCrashed)
{
    Site site;
    const auto isDark = [&](const kernel::Endpoint &endpoint) {
        return std::ranges::any_of(
            site.http.sends, [&](const auto &send) { return send->request.endpoint == endpoint; });
    };
    for (int asked = 0; asked < 2; ++asked) {
        const auto caller = site.ask("/safe/x", "crashing");
        std::size_t sends = 0;
        while (!caller->ended) {
            if (std::exchange(sends, site.http.sends.size()) != sends)
                site.http.last().connect();
            site.clock.advance(100ms);
            for (Connect &connect : std::exchange(site.http.connects, {})) {
                if (isDark(connect.endpoint))
                    connect.fails(kernel::ResultCode::UpstreamTimeout);
                else
                    connect.stands();
            }
        }
        site.clock.advance(200ms);
    }
    const std::size_t sends = site.http.sends.size();
    EXPECT_EQ(sends, 3U);
    EXPECT_EQ(site.ask("/safe/x", "crashing")->status, 502);
    EXPECT_EQ(site.http.sends.size(), sends);
}

TEST(JobTest, RequestsThatWereAtACrashAreTriedApart)
{
    Site site;
    std::vector<std::shared_ptr<FakeResponder>> callers;
    while (site.http.sends.size() < 6)
        callers.push_back(site.ask("/safe/x", std::to_string(site.http.sends.size())));
    const std::vector<std::shared_ptr<Send>> firstSends = site.http.sends;
    const std::string crashed = sentHeader(*firstSends[0], "upstream");
    for (const auto &send : firstSends) {
        send->connect();
        if (sentHeader(*send, "upstream") == crashed)
            send->fail(kernel::ResultCode::UpstreamBroken);
    }
    std::set<std::string> upstreams;
    for (std::size_t i = firstSends.size(); i < site.http.sends.size(); ++i)
        upstreams.insert(sentHeader(*site.http.sends[i], "upstream"));
    ASSERT_EQ(site.http.sends.size(), firstSends.size() + 2);
    EXPECT_EQ(upstreams.size(), 2U);
}

TEST(JobTest, ARequestThatOthersSawAtCrashesIsEndedWhereItWaits)
{
    Site site;
    const auto crashing = site.ask("/safe/x", "crashing");
    const auto innocent = site.ask("/safe/x", "innocent");
    for (const auto &send : site.http.sends)
        send->connect();
    poison::PoisonBook seen;
    const auto fingerprint
        = poison::makeFingerprint(kernel::WorkspaceId("makers"), "/safe/x", "crashing");
    for (const char *process : { "d7@0", "d8@0", "d9@0" }) {
        poison::noteCrash(seen, fingerprint, kernel::UpstreamId(process),
                          site.clock.scheduler().wallNow());
    }
    site.forwarder.joinCrashes(kernel::VmId("vm-2"), seen);
    EXPECT_EQ(crashing->status, 502) << "it may have run";
    EXPECT_TRUE(site.http.sends[0]->cancelled);
    EXPECT_FALSE(innocent->ended);
    EXPECT_EQ(site.ask("/safe/x", "crashing")->status, 502);
    EXPECT_EQ(site.http.sends.size(), 2U);
}

// Guards against a request that tries the same unreachable address again and again: one request did
// so 25 times and spent the retry budget of all requests.
TEST(JobTest, ARequestThatReachesNobodyEndsSoonAndSpendsNoBudget)
{
    Site site;
    const auto caller = site.ask("/safe/x");
    site.http.last().connect();
    site.http.last().fail(kernel::ResultCode::UpstreamBroken);
    while (!caller->ended) {
        ASSERT_LT(site.http.sends.size(), 10U);
        site.http.last().fail(kernel::ResultCode::UpstreamConnectFailed);
    }
    EXPECT_EQ(site.http.sends.size(), 5U);
    EXPECT_EQ(caller->status, 502) << "it may have run at the first one";
    EXPECT_EQ(site.forwarder.state().budgets.at(kernel::ServiceName("desk")).repeats.size(), 1U);

    const auto unsent = site.ask("/unsafe/x");
    while (!unsent->ended)
        site.http.last().fail(kernel::ResultCode::UpstreamConnectFailed);
    EXPECT_EQ(unsent->status, 503);
    EXPECT_FALSE(unsent->header("retry-after").empty());
}

TEST(JobTest, WithoutUpstreamsItSaysWhenToComeBack)
{
    Site site;
    for (const char *id : { "d1", "d2", "d3" })
        site.forwarder.dropUpstream(kernel::UpstreamId(id));
    site.clock.advance(5s);
    const auto caller = site.ask("/unsafe/x");
    EXPECT_EQ(caller->status, 503);
    EXPECT_FALSE(caller->header("retry-after").empty());
}
