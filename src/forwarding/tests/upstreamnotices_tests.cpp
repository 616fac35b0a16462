#include <gtest/gtest.h>

#include "forwarding/tests/fakes.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace acaciasail::forwarding::tests;
using namespace std::chrono_literals;

namespace {

const http::Headers leavingAnswer{ { "proof", "p" }, { "leaving", "1" } };
const http::Headers leavingEvents{ { "proof", "p" }, { "events", "1" }, { "leaving", "1" } };
constexpr std::string_view firstEvent = "id: 1\ndata: a\n\n";

kernel::Instant at(kernel::Duration time)
{
    return kernel::Instant(100s + time);
}

std::string upstreamOf(const Send &send)
{
    return std::string(http::findHeader(send.request.headers, "upstream").value_or(""));
}

// Removes all upstreams of the plain service except one.
void keepOnly(Site &site, const std::string &upstream)
{
    for (const char *id : { "d1", "d2", "d3" }) {
        if (id != upstream)
            site.forwarder.dropUpstream(kernel::UpstreamId(id));
    }
}

} // namespace

TEST(UpstreamNotices, ALeavingUpstreamIsTheLastResortAndThenClosed)
{
    UpstreamNotices notices;
    EXPECT_EQ(opennessOf(notices, at(0s)), Openness::Open);
    EXPECT_TRUE(noteLeaving(notices, at(0s), 2s));
    EXPECT_FALSE(noteLeaving(notices, at(900ms), 2s)) << "the first time counts";
    EXPECT_EQ(opennessOf(notices, at(900ms)), Openness::LastResort);
    EXPECT_EQ(opennessOf(notices, at(1s)), Openness::Closed);
    EXPECT_EQ(opennessOf(notices, at(1h)), Openness::Closed);
}

TEST(UpstreamNotices, ARestEndsNoSoonerThanSaidAndIsBounded)
{
    kernel::Random random(1);
    for (int i = 0; i < 100; ++i) {
        UpstreamNotices notices;
        noteRest(notices, at(0s), 2s, random);
        EXPECT_EQ(opennessOf(notices, at(1999ms)), Openness::Closed);
        EXPECT_EQ(opennessOf(notices, at(2201ms)), Openness::Open);
        noteRest(notices, at(1s), 100ms, random);
        EXPECT_EQ(opennessOf(notices, at(1999ms)), Openness::Closed) << "a later word ends none";
        noteRest(notices, at(0s), 10000h, random);
        EXPECT_EQ(opennessOf(notices, at(11min)), Openness::Open);
    }
}

TEST(UpstreamNotices, AStreamGoesOnElsewhereThanAtOneThatLeaves)
{
    Site site;
    const auto caller = site.ask("/chat/x");
    Send &first = *site.http.sends[0];
    first.connect();
    first.head(200, leavingEvents);
    first.body(firstEvent);
    EXPECT_FALSE(first.cancelled) << "what runs there is let end";
    // The other upstreams fail. Once its leaving time is over, the leaving upstream must not be
    // used either.
    site.clock.advance(1500ms);
    first.fail(kernel::ResultCode::UpstreamBroken);
    for (std::size_t i = 1; i < site.http.sends.size() && !caller->ended; ++i) {
        EXPECT_NE(upstreamOf(*site.http.sends[i]), upstreamOf(first));
        site.http.sends[i]->fail(kernel::ResultCode::UpstreamConnectFailed);
    }
    EXPECT_TRUE(caller->ended);
}

TEST(UpstreamNotices, ARepeatDoesNotGoToAnUpstreamAtRest)
{
    Site site;
    const auto first = site.ask("/unsafe/x");
    const std::string resting = upstreamOf(site.http.last());
    site.http.last().connect();
    site.http.last().head(503, { { "not-run", "1" }, { "rest", "3" } });
    for (int i = 0; i < 20; ++i) {
        EXPECT_NE(upstreamOf(site.http.last()), resting);
        site.http.last().answer(200, "ok");
        site.ask("/safe/x", std::to_string(i));
    }
}

TEST(UpstreamNotices, ARegistrationThatComesBackDoesNotOpenAClosedUpstream)
{
    Site site;
    keepOnly(site, "d1");
    site.clock.advance(3s);
    const Upstream entry
        = site.forwarder.state().directory.upstreams.at(kernel::UpstreamId("d1")).entry;
    site.ask("/unsafe/x");
    site.http.last().connect();
    site.http.last().head(200, leavingAnswer);
    site.http.last().complete();
    site.clock.advance(1s);
    const std::size_t sends = site.http.sends.size();
    EXPECT_EQ(site.ask("/unsafe/x")->status, 503);
    site.forwarder.setStoreReachable(false);
    EXPECT_EQ(site.ask("/unsafe/x")->status, 503);
    site.forwarder.setStoreReachable(true);
    site.forwarder.dropUpstream(entry.id);
    site.clock.advance(5s);
    site.forwarder.setUpstreams({});
    site.forwarder.setUpstreams({ entry });
    EXPECT_EQ(site.ask("/unsafe/x")->status, 503);
    EXPECT_EQ(site.http.sends.size(), sends);
    Upstream again = entry;
    again.startedAtMs = 12345;
    site.forwarder.setUpstreams({ again });
    EXPECT_FALSE(site.ask("/unsafe/x")->ended) << "another process of it";
}

TEST(UpstreamNotices, ALateWordOfTheProcessBeforeSaysNothingOfTheNext)
{
    Site site;
    keepOnly(site, "d1");
    site.clock.advance(3s);
    site.ask("/unsafe/x");
    Upstream again = site.forwarder.state().directory.upstreams.at(kernel::UpstreamId("d1")).entry;
    again.startedAtMs = 12345;
    site.forwarder.setUpstream(again);
    site.http.last().connect();
    site.http.last().head(200, leavingAnswer);
    site.http.last().complete();
    site.clock.advance(1s);
    EXPECT_FALSE(site.ask("/unsafe/x")->ended);
}

TEST(UpstreamNotices, AServiceAtRestSaysWhenItIsBack)
{
    Site site;
    keepOnly(site, "d1");
    site.clock.advance(3s);
    const auto refused = site.ask("/unsafe/x");
    site.http.last().connect();
    site.http.last().head(503, { { "not-run", "1" }, { "rest", "3" } });
    EXPECT_EQ(refused->status, 503);
    EXPECT_GE(std::stod(refused->header("retry-after")), 3.0);
    site.clock.advance(1s);
    const std::size_t sends = site.http.sends.size();
    const auto again = site.ask("/unsafe/x");
    EXPECT_EQ(again->status, 503);
    EXPECT_GE(std::stod(again->header("retry-after")), 2.0);
    EXPECT_LE(std::stod(again->header("retry-after")), 3.5);
    EXPECT_EQ(site.http.sends.size(), sends);
    site.clock.advance(2500ms);
    EXPECT_FALSE(site.ask("/unsafe/x")->ended);
}
