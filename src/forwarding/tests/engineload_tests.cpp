#include <array>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"
#include "forwarding/tests/fakes.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace acaciasail::forwarding::tests;
using namespace std::chrono_literals;

namespace {

QueriedEngine engine(int running, int queued = 0, std::int64_t memoryUsed = 0)
{
    return { EngineLoad{ running, queued, memoryUsed, 1000 }, 0 };
}

// Forwarder that queries engines for their load; the test supplies the replies.
struct LoadQueryFixture
{
    struct PendingQuery
    {
        kernel::Endpoint endpoint;
        kernel::Callback<EngineLoad> callback;
    };

    LoadQueryFixture()
    {
        ForwarderCallbacks callbacks;
        callbacks.send = http.sender();
        callbacks.connect = http.connector();
        callbacks.readLoad = [this](const kernel::Endpoint &endpoint, kernel::Duration,
                                    kernel::Callback<EngineLoad> callback) {
            queries.push_back({ endpoint, std::move(callback) });
            return std::make_unique<http::Exchange>();
        };
        callbacks.wire = makeTestWire();
        callbacks.shareWork = [this](const WorkReport &own) { shared.push_back(own); };
        forwarder = std::make_unique<Forwarder>(base.clock.scheduler(), std::move(callbacks),
                                                ForwardingOptions{}, kernel::Random(1));
        forwarder->setConfiguration(base.makeConfiguration(1), kernel::Revision(1));
        std::vector<Upstream> upstreams;
        for (int i = 0; i < 30; ++i) {
            Upstream upstream;
            upstream.id = kernel::UpstreamId("e" + std::to_string(i));
            upstream.service = kernel::ServiceName("engines");
            upstream.endpoint = { "10.0.0.1", static_cast<unsigned short>(1000 + i) };
            upstreams.push_back(upstream);
        }
        forwarder->setUpstreams(upstreams);
    }

    // Makes the service count as busy, so that engines are queried. Requests that time out show
    // that it is busy.
    void makeBusy()
    {
        for (int i = 0; i < 5; ++i) {
            sendRequest(100);
            base.clock.advance(31s);
        }
        http.sends.clear();
        http.connects.clear();
        queries.clear();
    }

    std::shared_ptr<FakeResponder> sendRequest(std::int64_t promptTokens = 1000)
    {
        Request request = base.request("/chat/x");
        request.work = ModelWork{ "", promptTokens, 100, { { "thing", promptTokens } } };
        auto caller = std::make_shared<FakeResponder>();
        forwarder->handle(std::move(request), caller);
        return caller;
    }

    ForwarderFixture base;
    FakeHttp http;
    std::vector<PendingQuery> queries;
    std::vector<WorkReport> shared;
    std::unique_ptr<Forwarder> forwarder;
};

} // namespace

TEST(EngineLoadTest, UsesPreferredEngineUnlessAnotherHasFarLessLoad)
{
    EXPECT_EQ(chooseByLoad({ engine(4), engine(3) }), 0U);
    EXPECT_EQ(chooseByLoad({ engine(4), engine(1) }), 1U);
    EXPECT_EQ(chooseByLoad({ engine(2, 2), engine(5) }), 1U) << "queued requests weigh more";
    EXPECT_EQ(chooseByLoad({ engine(1, 0, 950), engine(5) }), 1U) << "the memory is full";
    EXPECT_EQ(chooseByLoad({ { std::nullopt, 0 }, engine(9) }), 1U)
        << "the first engine did not reply";
    EXPECT_EQ(chooseByLoad({ { std::nullopt, 0 }, { std::nullopt, 0 } }), 0U);
    EXPECT_EQ(chooseByLoad({ { EngineLoad{}, 6 }, engine(2) }), 1U)
        << "the report does not include requests that were just sent";
}

TEST(EngineLoadTest, SpareCapacityEndsQueries)
{
    AverageLoad average;
    for (int i = 0; i < 200; ++i)
        recordLoad(average, EngineLoad{ 4, 0, 0, 0 });
    EXPECT_TRUE(hasSpareCapacity(average, EngineLoad{ 4, 0, 0, 0 }));
    EXPECT_FALSE(hasSpareCapacity(average, EngineLoad{ 8, 0, 0, 0 }));
    EXPECT_FALSE(hasSpareCapacity(average, EngineLoad{ 4, 2, 0, 0 }));

    LoadQueryFixture fixture;
    fixture.makeBusy();
    fixture.sendRequest();
    ASSERT_EQ(fixture.queries.size(), 1U);
    fixture.queries[0].callback(EngineLoad{ 0, 0, 0, 0 });
    ASSERT_EQ(fixture.http.sends.size(), 1U);
    EXPECT_EQ(fixture.http.last().request.endpoint, fixture.queries[0].endpoint);
    EXPECT_EQ(fixture.queries.size(), 1U);
}

TEST(EngineLoadTest, SelectsEngineWithLowestLoad)
{
    LoadQueryFixture fixture;
    fixture.makeBusy();
    fixture.sendRequest();
    const std::array loads{ EngineLoad{ 12, 4, 0, 0 }, EngineLoad{ 6, 0, 0, 0 },
                            EngineLoad{ 10, 1, 0, 0 } };
    for (std::size_t i = 0; i < loads.size(); ++i) {
        ASSERT_EQ(fixture.queries.size(), i + 1);
        EXPECT_TRUE(fixture.http.sends.empty()) << "the request waits for the replies";
        const auto callback = fixture.queries[i].callback;
        callback(loads[i]);
    }
    ASSERT_EQ(fixture.http.sends.size(), 1U);
    EXPECT_EQ(fixture.http.last().request.endpoint, fixture.queries[1].endpoint);
}

TEST(EngineLoadTest, SkipsEnginesThatDoNotReply)
{
    LoadQueryFixture fixture;
    fixture.makeBusy();
    const auto caller = fixture.sendRequest();
    const auto first = fixture.queries[0].callback;
    first(kernel::Error{ kernel::ResultCode::UpstreamTimeout, "test" });
    ASSERT_EQ(fixture.queries.size(), 2U);
    const auto second = fixture.queries[1].callback;
    second(EngineLoad{ 0, 0, 0, 0 });
    ASSERT_EQ(fixture.http.sends.size(), 1U);
    EXPECT_EQ(fixture.http.last().request.endpoint, fixture.queries[1].endpoint);
    fixture.base.clock.advance(100ms);
    EXPECT_EQ(fixture.http.connects.size(), 1U) << "the engine that did not reply is probed";
    EXPECT_FALSE(caller->ended);
}

TEST(EngineLoadTest, NoQueriesForSmallRequestsOrIdleEngines)
{
    LoadQueryFixture fixture;
    fixture.sendRequest();
    EXPECT_TRUE(fixture.queries.empty());
    EXPECT_EQ(fixture.http.sends.size(), 1U);
    fixture.makeBusy();
    fixture.sendRequest(10);
    EXPECT_TRUE(fixture.queries.empty());
    EXPECT_EQ(fixture.http.sends.size(), 1U);
}

TEST(EngineLoadTest, CallerMayDisconnectDuringQuery)
{
    LoadQueryFixture fixture;
    fixture.makeBusy();
    const auto caller = fixture.sendRequest();
    caller->onClosed();
    EXPECT_EQ(fixture.forwarder->inProgress(), 0U);
    fixture.base.clock.advance(1s);
    EXPECT_TRUE(fixture.http.sends.empty());
}

TEST(WorkSharingTest, WorkInFlightIsSharedWhenItChanges)
{
    LoadQueryFixture fixture;
    fixture.base.clock.advance(1s);
    EXPECT_TRUE(fixture.shared.empty()) << "nothing is in flight";
    const auto caller = fixture.sendRequest(50'000);
    fixture.base.clock.advance(1s);
    ASSERT_EQ(fixture.shared.size(), 1U) << "an unchanged report is sent once";
    ASSERT_EQ(fixture.shared.front().remainingMs.size(), 1U);
    EXPECT_GT(fixture.shared.front().remainingMs.begin()->second, 100);
    fixture.http.last().reportSent();
    fixture.http.last().respond(200, "ok");
    fixture.base.clock.advance(1s);
    ASSERT_EQ(fixture.shared.size(), 2U);
    EXPECT_TRUE(fixture.shared.back().remainingMs.empty());
}

TEST(WorkSharingTest, UpstreamsWithOthersWorkGetNoRequests)
{
    LoadQueryFixture fixture;
    fixture.makeBusy();
    WorkReport report;
    std::set<std::string> loaded;
    for (const auto &[id, known] : fixture.forwarder->state().directory.upstreams) {
        if (loaded.size() < 15) {
            loaded.insert(known.entry.endpoint.ip + std::to_string(known.entry.endpoint.port));
            report.remainingMs[processIdOf(known.entry)] = 60'000;
        }
    }
    fixture.forwarder->setOthersWork(report);
    int toLoaded = 0;
    for (int i = 0; i < 30; ++i) {
        fixture.sendRequest(50);
        const kernel::Endpoint &to = fixture.http.last().request.endpoint;
        toLoaded += loaded.contains(to.ip + std::to_string(to.port)) ? 1 : 0;
    }
    EXPECT_TRUE(fixture.queries.empty()) << "others' work is known";
    // A few of the selections see only loaded candidates.
    EXPECT_LE(toLoaded, 8);
}
