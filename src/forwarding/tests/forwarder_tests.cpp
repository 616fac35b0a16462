#include <algorithm>

#include <gtest/gtest.h>

#include "forwarding/tests/fakes.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace acaciasail::forwarding::tests;
using namespace std::chrono_literals;

namespace {

Rollout order(std::int64_t revision)
{
    Rollout rollout;
    rollout.service = kernel::ServiceName("engines");
    rollout.target = SoftwareVersion("v2");
    rollout.wantedTime = 20s;
    rollout.revision = kernel::Revision(revision);
    return rollout;
}

// Registers upstreams of a new version and orders the roll-out to it.
void beginRollout(Site &site)
{
    for (const char *id : { "n1", "n2", "n3" })
        site.addUpstream(id, "engines", "v2");
    site.forwarder.setRollout(order(1));
}

// Sends a request in its own session and returns the request that went to the upstream.
Send &askInSession(Site &site, const std::string &target, const std::string &model, int session)
{
    Request request = site.request(target);
    request.work = ModelWork{ model, 10, 10, { { std::to_string(session), 10 } } };
    site.ask(request);
    return site.http.last();
}

bool isOnTarget(const Send &send)
{
    return http::findHeader(send.request.headers, "upstream")->starts_with("n");
}

// Simulates the store: each requested roll-out step takes effect.
void play(Site &site, kernel::Duration time, const std::function<void()> &eachTick)
{
    const std::size_t begin = site.steps.size();
    std::size_t applied = begin;
    for (kernel::Duration passed{}; passed < time; passed += 250ms) {
        eachTick();
        site.clock.advance(250ms);
        for (; applied < site.steps.size(); ++applied) {
            Rollout next = site.forwarder.state().directory.rollouts.begin()->second;
            next.state = site.steps[applied].second.state;
            next.sharePermille = site.steps[applied].second.sharePermille;
            next.revision += kernel::Revision(1);
            site.forwarder.setRollout(next);
        }
    }
}

} // namespace

TEST(ForwarderTest, ARunningRequestKeepsItsConfiguration)
{
    Site site;
    const auto caller = site.ask("/safe/x");
    const auto next = site.makeConfiguration(2);
    next->routes.clear();
    site.forwarder.setConfiguration(next, kernel::Revision(2));
    EXPECT_EQ(site.ask("/safe/x")->status, 404);
    site.http.sends[0]->answer(200, "ok");
    EXPECT_EQ(caller->status, 200);
    site.forwarder.setConfiguration(site.makeConfiguration(1), kernel::Revision(3));
    EXPECT_EQ(site.ask("/safe/x")->status, 404) << "an older one does not come back";
}

TEST(ForwarderTest, AGoodRolloutIsCompletedInTime)
{
    Site site;
    beginRollout(site);
    int asked = 0;
    play(site, 20s, [&] {
        for (int i = 0; i < 5; ++i)
            askInSession(site, "/once/x", "m", ++asked).answer(200, "ok");
    });
    ASSERT_FALSE(site.steps.empty());
    EXPECT_EQ(site.steps.back().second.state, RolloutState::Completed);
}

TEST(ForwarderTest, ABadRolloutIsTakenBackAndGetsLittle)
{
    Site site;
    beginRollout(site);
    int asked = 0;
    int exposed = 0;
    play(site, 20s, [&] {
        for (int i = 0; i < 10; ++i) {
            Send &send = askInSession(site, "/once/x", "m", ++asked);
            const bool onTarget = isOnTarget(send);
            exposed += onTarget ? 1 : 0;
            send.answer(onTarget && i % 2 == 0 ? 500 : 200, "ok");
        }
    });
    ASSERT_FALSE(site.steps.empty());
    EXPECT_EQ(site.steps.back().second.state, RolloutState::RolledBack);
    EXPECT_LT(exposed, asked * 15 / 100);
    const auto last = site.forwarder.state().directory.rollouts.begin()->second;
    EXPECT_EQ(last.state, RolloutState::RolledBack);
}

// Guards against missing a version that responds so late that the router stops waiting for every
// response.
TEST(ForwarderTest, ASilentRolloutIsTakenBack)
{
    Site site;
    beginRollout(site);
    int asked = 0;
    play(site, 20s, [&] {
        for (int i = 0; i < 10; ++i) {
            Send &send = askInSession(site, "/chat/x", "", ++asked);
            if (isOnTarget(send))
                send.connect();
            else
                send.answer(200, "ok");
        }
    });
    ASSERT_FALSE(site.steps.empty());
    EXPECT_EQ(site.steps.back().second.state, RolloutState::RolledBack);
}

// Guards against completing a bad roll-out: the only router that had rejected the version requested
// the rollback while another router took the next step, and the roll-out was completed before the
// request was retried.
TEST(ForwarderTest, ALostRaceToTakeARolloutBackIsTriedAgainAtOnce)
{
    Site site;
    beginRollout(site);
    Rollout rollout = order(2);
    rollout.state = RolloutState::Running;
    rollout.sharePermille = 250;
    site.forwarder.setRollout(rollout);
    int asked = 0;
    while (site.steps.empty() || site.steps.back().second.state != RolloutState::RolledBack) {
        ASSERT_LT(asked, 1000);
        Send &send = askInSession(site, "/once/x", "m", ++asked);
        send.answer(isOnTarget(send) ? 500 : 200, "ok");
        site.clock.advance(20ms);
    }
    site.steps.clear();
    rollout.sharePermille = 1000;
    rollout.revision = kernel::Revision(3);
    site.forwarder.setRollout(rollout);
    ASSERT_EQ(site.steps.size(), 1U);
    EXPECT_EQ(site.steps.back().first.revision, kernel::Revision(3));
    EXPECT_EQ(site.steps.back().second.state, RolloutState::RolledBack);

    // Once other routers have completed the roll-out, the old upstreams are gone, so this router
    // follows even though it rejected the version.
    rollout.state = RolloutState::Completed;
    rollout.revision = kernel::Revision(4);
    site.forwarder.setRollout(rollout);
    EXPECT_TRUE(isOnTarget(askInSession(site, "/once/x", "m", ++asked)));
}

// Guards against missing a version whose streams start in time but take ten times as long as usual.
TEST(ForwarderTest, ARolloutOfCreepingStreamsIsTakenBack)
{
    const http::Headers events{ { "proof", "p" }, { "events", "1" } };
    Site site;
    beginRollout(site);
    int asked = 0;
    std::vector<std::shared_ptr<Send>> creeping;
    play(site, 20s, [&] {
        for (const auto &send : creeping) {
            if (!send->cancelled)
                send->body("id: 2\ndata: b\n\n");
        }
        for (int i = 0; i < 10; ++i) {
            Send &send = askInSession(site, "/chat/x", "", ++asked);
            send.connect();
            send.head(200, events);
            send.body("id: 1\ndata: a\n\n");
            if (isOnTarget(send)) {
                creeping.push_back(site.http.sends.back());
                continue;
            }
            site.clock.advance(10ms);
            for (const char *event : { "id: 2\n\n", "id: 3\n\n", "id: 4\n\n", "id: 5\n\n" })
                send.body(event);
            send.complete();
        }
    });
    ASSERT_FALSE(site.steps.empty());
    EXPECT_EQ(site.steps.back().second.state, RolloutState::RolledBack);
}

// Guards against cut streams at the end of a rolling restart: streams may take longer than any
// recorded before.
TEST(ForwarderTest, AStoppingRouterLeavesStreamsToOthers)
{
    Site site;
    site.ask("/once/x");
    site.clock.advance(400ms);
    site.http.last().answer(200, "ok");
    const kernel::Instant end = site.clock.now() + 2s;
    site.forwarder.endBy(end, false);
    const auto refused = site.ask("/once/x");
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(refused->header("retry-after"), "0.050000");
    site.forwarder.endBy(end, true);
    EXPECT_FALSE(site.ask("/once/x")->ended) << "nobody else is there";
    site.forwarder.endBy(site.clock.now() + 800ms, true);
    EXPECT_EQ(site.ask("/once/x")->status, 503);
}

TEST(ForwarderTest, AStoppingRouterTakesOnlyWhatItCanFinish)
{
    Site site;
    // Records a response time of 400 ms for this route.
    const auto known = site.ask("/safe/x");
    site.clock.advance(400ms);
    site.http.last().answer(200, "ok");
    const kernel::Instant end = site.clock.now() + 2s;
    site.forwarder.endBy(end, false);
    EXPECT_FALSE(site.ask("/safe/x")->ended);
    const auto unseen = site.ask("/unsafe/x");
    EXPECT_EQ(unseen->status, 503) << "its route's time-out does not fit";
    EXPECT_EQ(unseen->header("retry-after"), "0.050000");
    site.clock.advance(1500ms);
    site.forwarder.endBy(end, true);
    const auto late = site.ask("/safe/x");
    EXPECT_EQ(late->status, 503);
    EXPECT_EQ(late->header("retry-after"), "1.300000") << "this one is back then";
}

TEST(ForwarderTest, AnUpstreamThatStartsAnewIsJudgedAnew)
{
    Site site;
    const kernel::UpstreamId id("d1");
    for (const char *other : { "d2", "d3" })
        site.forwarder.dropUpstream(kernel::UpstreamId(other));
    site.clock.advance(3s);
    site.ask("/unsafe/x");
    site.http.last().connect();
    site.http.last().fail(kernel::ResultCode::UpstreamBroken);
    EXPECT_TRUE(site.forwarder.state().records.at(id).unreachable);
    Upstream again = site.forwarder.state().directory.upstreams.at(id).entry;
    again.startedAtMs = 12345;
    site.forwarder.setUpstream(again);
    EXPECT_FALSE(site.forwarder.state().records.at(id).unreachable);
    EXPECT_LE(site.forwarder.state().records.at(id).avoidUntil, site.clock.now());
}

// Guards against probing by requests on a large site: while the store refused a third of the
// routers, each request to an upstream that had left paid for the discovery, again and again.
TEST(ForwarderTest, AnUnreachableUpstreamIsProbedWithoutRequests)
{
    Site site;
    for (const char *other : { "d2", "d3" })
        site.forwarder.dropUpstream(kernel::UpstreamId(other));
    site.clock.advance(3s);
    site.ask("/unsafe/x");
    site.http.last().fail(kernel::ResultCode::UpstreamConnectFailed);
    const kernel::UpstreamId id("d1");
    const auto record
        = [&]() -> const UpstreamRecord & { return site.forwarder.state().records.at(id); };
    site.http.connects.clear();
    site.clock.advance(300ms);
    ASSERT_EQ(site.http.connects.size(), 1U);
    site.clock.advance(5s);
    EXPECT_EQ(site.http.connects.size(), 1U) << "one at a time";
    site.http.connects[0].fails();
    EXPECT_TRUE(record().unreachable);
    site.clock.advance(5s);
    ASSERT_EQ(site.http.connects.size(), 2U);
    site.http.connects[1].stands();
    EXPECT_FALSE(record().unreachable);
    site.clock.advance(5s);
    EXPECT_EQ(site.http.connects.size(), 2U);
}

// Guards against refused requests when a roll-out is completed and the old upstreams stop while the
// store refuses a third of the routers: these routers refused 800 requests.
TEST(ForwarderTest, ACompletedRolloutIsFoundOutWithoutTheStore)
{
    Site site;
    beginRollout(site);
    Rollout rollout = order(2);
    rollout.state = RolloutState::Running;
    site.forwarder.setRollout(rollout);
    site.forwarder.setStoreReachable(false);
    int asked = 0;
    // The old upstreams are gone; the router discovers each of them once.
    for (int i = 0; i < 3; ++i) {
        askInSession(site, "/once/x", "m", ++asked);
        site.http.last().fail(kernel::ResultCode::UpstreamConnectFailed);
        if (!isOnTarget(site.http.last()))
            site.http.last().fail(kernel::ResultCode::UpstreamConnectFailed);
    }
    EXPECT_TRUE(isOnTarget(askInSession(site, "/once/x", "m", ++asked)));
    site.forwarder.setStoreReachable(true);
    EXPECT_FALSE(isOnTarget(askInSession(site, "/once/x", "m", ++asked)))
        << "the store's word goes before what this router finds out";
}

// Guards against slow failover when a data centre is cut off: requests waited for the inactivity
// timeout at one engine after the other, although a connect would have failed at once.
TEST(ForwarderTest, ASilentUpstreamThatCantBeReachedIsLeftAtOnce)
{
    Site site;
    const auto caller = site.ask("/chat/x");
    const auto stream = site.http.sends.back();
    stream->connect();
    site.clock.advance(250ms);
    EXPECT_TRUE(site.http.connects.empty());
    site.clock.advance(200ms);
    ASSERT_EQ(site.http.connects.size(), 1U);
    EXPECT_FALSE(stream->cancelled);
    site.http.connects[0].fails(kernel::ResultCode::UpstreamTimeout);
    EXPECT_FALSE(stream->cancelled) << "it may be a lost packet";
    EXPECT_TRUE(site.forwarder.state().records.at(kernel::UpstreamId("e1")).unreachable
                || site.forwarder.state().records.at(kernel::UpstreamId("e2")).unreachable
                || site.forwarder.state().records.at(kernel::UpstreamId("e3")).unreachable)
        << "no new work until then";
    site.clock.advance(300ms);
    ASSERT_EQ(site.http.connects.size(), 2U);
    site.http.connects[1].fails(kernel::ResultCode::UpstreamTimeout);
    EXPECT_TRUE(stream->cancelled);
    ASSERT_EQ(site.http.sends.size(), 2U);
}

// From the second unreachable upstream of a data centre on, all of its upstreams are probed; those
// that can be reached stay in use.
TEST(ForwarderTest, CutOffUpstreamsMakeTheirDataCentreSuspect)
{
    Site site;
    for (const char *body : { "a", "b", "c", "d" }) {
        site.ask("/chat/x", body);
        site.http.last().connect();
    }
    site.clock.advance(450ms);
    const std::size_t silent = site.http.connects.size();
    ASSERT_GE(silent, 2U) << "their requests went to more than one";
    for (std::size_t i = 0; i < silent; ++i)
        site.http.connects[i].fails(kernel::ResultCode::UpstreamTimeout);
    site.clock.advance(100ms);
    EXPECT_EQ(site.http.connects.size(), 6U) << "the others of both services";
    for (std::size_t i = silent; i < 6; ++i)
        site.http.connects[i].stands();
    const auto &records = site.forwarder.state().records;
    EXPECT_EQ(
        std::ranges::count_if(records, [](const auto &item) { return item.second.unreachable; }),
        2);
}

TEST(ForwarderTest, ASilentUpstreamThatCanBeReachedIsWaitedFor)
{
    Site site;
    site.ask("/chat/x");
    const auto stream = site.http.sends.back();
    stream->connect();
    site.clock.advance(450ms);
    ASSERT_EQ(site.http.connects.size(), 1U);
    site.http.connects[0].stands();
    EXPECT_FALSE(stream->cancelled);
    EXPECT_FALSE(site.forwarder.state().records.at(kernel::UpstreamId("e1")).unreachable);
}

// Cutting the connection does not help a request that must not run twice.
TEST(ForwarderTest, AnUnsafeRequestStaysWhereItIs)
{
    Site site;
    site.ask("/unsafe/x");
    const auto sent = site.http.sends.back();
    sent->connect();
    site.clock.advance(1s);
    for (Connect &connect : site.http.connects)
        connect.fails(kernel::ResultCode::UpstreamTimeout);
    EXPECT_FALSE(sent->cancelled);
    EXPECT_EQ(site.http.sends.size(), 1U);
}

TEST(ForwarderTest, AConnectionThatWillNotComeIsKnownSoon)
{
    Site site;
    for (int i = 0; i < 10; ++i) {
        const auto caller = site.ask("/safe/x");
        site.clock.advance(2ms);
        site.http.last().answer(200, "ok");
    }
    EXPECT_EQ(connectTimeout(site.forwarder.state()), 50ms);
    site.ask("/safe/x");
    site.clock.advance(20ms);
    site.http.last().answer(200, "ok");
    EXPECT_EQ(connectTimeout(site.forwarder.state()), 200ms) << "a busy machine takes longer";
}
