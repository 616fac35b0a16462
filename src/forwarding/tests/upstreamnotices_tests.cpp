#include <gtest/gtest.h>

#include "forwarding/tests/fakes.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace acaciasail::forwarding::tests;
using namespace std::chrono_literals;

namespace {

const http::Headers leavingResponse{ { "proof", "p" }, { "leaving", "1" } };
const http::Headers leavingEvents{ { "proof", "p" }, { "events", "1" }, { "leaving", "1" } };
constexpr std::string_view firstEvent = "id: 1\ndata: a\n\n";

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant(100s + time);
}

std::string upstreamOf(const FakeSend &send)
{
    return std::string(http::findHeader(send.request.headers, "upstream").value_or(""));
}

// Removes all but one upstream of the service that runs no model.
void keepOnly(ForwarderFixture &fixture, const std::string &upstream)
{
    for (const char *id : { "d1", "d2", "d3" }) {
        if (id != upstream)
            fixture.forwarder.dropUpstream(kernel::UpstreamId(id));
    }
}

} // namespace

TEST(UpstreamNotices, LeavingUpstreamIsLastResortThenUnavailable)
{
    UpstreamNotices notices;
    EXPECT_EQ(availabilityOf(notices, at(0s)), Availability::Available);
    EXPECT_TRUE(recordLeaving(notices, at(0s), 2s));
    EXPECT_FALSE(recordLeaving(notices, at(900ms), 2s)) << "the first announcement counts";
    EXPECT_EQ(availabilityOf(notices, at(900ms)), Availability::LastResort);
    EXPECT_EQ(availabilityOf(notices, at(1s)), Availability::Unavailable);
    EXPECT_EQ(availabilityOf(notices, at(1h)), Availability::Unavailable);
}

TEST(UpstreamNotices, CooldownLastsAsRequestedAndIsBounded)
{
    kernel::Random random(1);
    for (int i = 0; i < 100; ++i) {
        UpstreamNotices notices;
        recordCooldown(notices, at(0s), 2s, random);
        EXPECT_EQ(availabilityOf(notices, at(1999ms)), Availability::Unavailable);
        EXPECT_EQ(availabilityOf(notices, at(2201ms)), Availability::Available);
        recordCooldown(notices, at(1s), 100ms, random);
        EXPECT_EQ(availabilityOf(notices, at(1999ms)), Availability::Unavailable)
            << "a later notice does not shorten a cooldown";
        recordCooldown(notices, at(0s), 10000h, random);
        EXPECT_EQ(availabilityOf(notices, at(11min)), Availability::Available);
    }
}

TEST(UpstreamNotices, StreamDoesNotResumeAtLeavingUpstream)
{
    ForwarderFixture fixture;
    const auto caller = fixture.sendRequest("/chat/x");
    FakeSend &first = *fixture.http.sends[0];
    first.reportSent();
    first.head(200, leavingEvents);
    first.body(firstEvent);
    EXPECT_FALSE(first.cancelled) << "requests in progress continue";
    // The other upstreams fail. The time in which the upstream that shuts down still gets requests
    // is over, so that upstream must not be used either.
    fixture.clock.advance(1500ms);
    first.fail(kernel::ResultCode::UpstreamBroken);
    for (std::size_t i = 1; i < fixture.http.sends.size() && !caller->ended; ++i) {
        EXPECT_NE(upstreamOf(*fixture.http.sends[i]), upstreamOf(first));
        fixture.http.sends[i]->fail(kernel::ResultCode::UpstreamConnectFailed);
    }
    EXPECT_TRUE(caller->ended);
}

TEST(UpstreamNotices, RetryAvoidsUpstreamInCooldown)
{
    ForwarderFixture fixture;
    const auto first = fixture.sendRequest("/unsafe/x");
    const std::string upstreamInCooldown = upstreamOf(fixture.http.last());
    fixture.http.last().reportSent();
    fixture.http.last().head(503, { { "not-run", "1" }, { "rest", "3" } });
    for (int i = 0; i < 20; ++i) {
        EXPECT_NE(upstreamOf(fixture.http.last()), upstreamInCooldown);
        fixture.http.last().respond(200, "ok");
        fixture.sendRequest("/safe/x", std::to_string(i));
    }
}

TEST(UpstreamNotices, NewRegistrationDoesNotClearLeavingNotice)
{
    ForwarderFixture fixture;
    keepOnly(fixture, "d1");
    fixture.clock.advance(3s);
    const Upstream entry
        = fixture.forwarder.state().directory.upstreams.at(kernel::UpstreamId("d1")).entry;
    fixture.sendRequest("/unsafe/x");
    fixture.http.last().reportSent();
    fixture.http.last().head(200, leavingResponse);
    fixture.http.last().complete();
    fixture.clock.advance(1s);
    const std::size_t sends = fixture.http.sends.size();
    EXPECT_EQ(fixture.sendRequest("/unsafe/x")->status, 503);
    fixture.forwarder.setStoreReachable(false);
    EXPECT_EQ(fixture.sendRequest("/unsafe/x")->status, 503);
    fixture.forwarder.setStoreReachable(true);
    fixture.forwarder.dropUpstream(entry.id);
    fixture.clock.advance(5s);
    fixture.forwarder.setUpstreams({});
    fixture.forwarder.setUpstreams({ entry });
    EXPECT_EQ(fixture.sendRequest("/unsafe/x")->status, 503);
    EXPECT_EQ(fixture.http.sends.size(), sends);
    Upstream again = entry;
    again.startedAtMs = 12345;
    fixture.forwarder.setUpstreams({ again });
    EXPECT_FALSE(fixture.sendRequest("/unsafe/x")->ended) << "the new process has given no notice";
}

TEST(UpstreamNotices, NoticeOfPreviousProcessIsIgnored)
{
    ForwarderFixture fixture;
    keepOnly(fixture, "d1");
    fixture.clock.advance(3s);
    fixture.sendRequest("/unsafe/x");
    Upstream again
        = fixture.forwarder.state().directory.upstreams.at(kernel::UpstreamId("d1")).entry;
    again.startedAtMs = 12345;
    fixture.forwarder.setUpstream(again);
    fixture.http.last().reportSent();
    fixture.http.last().head(200, leavingResponse);
    fixture.http.last().complete();
    fixture.clock.advance(1s);
    EXPECT_FALSE(fixture.sendRequest("/unsafe/x")->ended);
}

TEST(UpstreamNotices, RetryAfterCoversCooldown)
{
    ForwarderFixture fixture;
    keepOnly(fixture, "d1");
    fixture.clock.advance(3s);
    const auto refused = fixture.sendRequest("/unsafe/x");
    fixture.http.last().reportSent();
    fixture.http.last().head(503, { { "not-run", "1" }, { "rest", "3" } });
    EXPECT_EQ(refused->status, 503);
    EXPECT_GE(std::stod(refused->header("retry-after")), 3.0);
    fixture.clock.advance(1s);
    const std::size_t sends = fixture.http.sends.size();
    const auto again = fixture.sendRequest("/unsafe/x");
    EXPECT_EQ(again->status, 503);
    EXPECT_GE(std::stod(again->header("retry-after")), 2.0);
    EXPECT_LE(std::stod(again->header("retry-after")), 3.5);
    EXPECT_EQ(fixture.http.sends.size(), sends);
    fixture.clock.advance(2500ms);
    EXPECT_FALSE(fixture.sendRequest("/unsafe/x")->ended);
}
