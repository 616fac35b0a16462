#include <array>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"
#include "forwarding/tests/fakes.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace acaciasail::forwarding::tests;
using namespace std::chrono_literals;

namespace {

AskedEngine engine(int running, int queued = 0, std::int64_t used = 0)
{
    return { EngineLoad{ running, queued, used, 1000 }, 0 };
}

// Forwarder that queries engines for their load; the test supplies the replies.
struct AskingSite
{
    struct Question
    {
        kernel::Endpoint endpoint;
        kernel::Callback<EngineLoad> callback;
    };

    AskingSite()
    {
        ForwarderPorts ports;
        ports.send = http.sender();
        ports.connect = http.connector();
        ports.readLoad = [this](const kernel::Endpoint &endpoint, kernel::Duration,
                                kernel::Callback<EngineLoad> callback) {
            questions.push_back({ endpoint, std::move(callback) });
            return std::make_unique<http::Exchange>();
        };
        ports.wire = plainWire();
        forwarder = std::make_unique<Forwarder>(site.clock.scheduler(), std::move(ports),
                                                ForwardingOptions{}, kernel::Random(1));
        forwarder->setConfiguration(site.makeConfiguration(1), kernel::Revision(1));
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
            ask(100);
            site.clock.advance(31s);
        }
        http.sends.clear();
        http.connects.clear();
        questions.clear();
    }

    std::shared_ptr<FakeResponder> ask(std::int64_t promptTokens = 1000)
    {
        Request request = site.request("/chat/x");
        request.work = ModelWork{ "", promptTokens, 100, { { "thing", promptTokens } } };
        auto caller = std::make_shared<FakeResponder>();
        forwarder->handle(std::move(request), caller);
        return caller;
    }

    Site site;
    FakeHttp http;
    std::vector<Question> questions;
    std::unique_ptr<Forwarder> forwarder;
};

} // namespace

TEST(EngineLoadTest, ThePreferredOneIsUsedUnlessAnotherHasFarLessToDo)
{
    EXPECT_EQ(chooseByLoad({ engine(4), engine(3) }), 0U);
    EXPECT_EQ(chooseByLoad({ engine(4), engine(1) }), 1U);
    EXPECT_EQ(chooseByLoad({ engine(2, 2), engine(5) }), 1U) << "who waits counts more";
    EXPECT_EQ(chooseByLoad({ engine(1, 0, 950), engine(5) }), 1U) << "no memory is left";
    EXPECT_EQ(chooseByLoad({ { std::nullopt, 0 }, engine(9) }), 1U) << "it doesn't answer";
    EXPECT_EQ(chooseByLoad({ { std::nullopt, 0 }, { std::nullopt, 0 } }), 0U);
    EXPECT_EQ(chooseByLoad({ { EngineLoad{}, 6 }, engine(2) }), 1U)
        << "its report doesn't count what was just sent";
}

TEST(EngineLoadTest, ARoomyEngineIsUsedWithoutAskingOthers)
{
    UsualLoad usual;
    for (int i = 0; i < 200; ++i)
        noteLoad(usual, EngineLoad{ 4, 0, 0, 0 });
    EXPECT_TRUE(isRoomy(usual, EngineLoad{ 4, 0, 0, 0 }));
    EXPECT_FALSE(isRoomy(usual, EngineLoad{ 8, 0, 0, 0 }));
    EXPECT_FALSE(isRoomy(usual, EngineLoad{ 4, 2, 0, 0 }));

    AskingSite site;
    site.makeBusy();
    site.ask();
    ASSERT_EQ(site.questions.size(), 1U);
    site.questions[0].callback(EngineLoad{ 0, 0, 0, 0 });
    ASSERT_EQ(site.http.sends.size(), 1U);
    EXPECT_EQ(site.http.last().request.endpoint, site.questions[0].endpoint);
    EXPECT_EQ(site.questions.size(), 1U);
}

TEST(EngineLoadTest, ARequestGoesToTheEngineWithLeastToDo)
{
    AskingSite site;
    site.makeBusy();
    site.ask();
    const std::array loads{ EngineLoad{ 12, 4, 0, 0 }, EngineLoad{ 6, 0, 0, 0 },
                            EngineLoad{ 10, 1, 0, 0 } };
    for (std::size_t i = 0; i < loads.size(); ++i) {
        ASSERT_EQ(site.questions.size(), i + 1);
        EXPECT_TRUE(site.http.sends.empty()) << "not before they answer";
        const auto callback = site.questions[i].callback;
        callback(loads[i]);
    }
    ASSERT_EQ(site.http.sends.size(), 1U);
    EXPECT_EQ(site.http.last().request.endpoint, site.questions[1].endpoint);
}

TEST(EngineLoadTest, EnginesThatDoNotAnswerArePassedOver)
{
    AskingSite site;
    site.makeBusy();
    const auto caller = site.ask();
    const auto first = site.questions[0].callback;
    first(kernel::Error{ kernel::ResultCode::UpstreamTimeout, "test" });
    ASSERT_EQ(site.questions.size(), 2U);
    const auto second = site.questions[1].callback;
    second(EngineLoad{ 0, 0, 0, 0 });
    ASSERT_EQ(site.http.sends.size(), 1U);
    EXPECT_EQ(site.http.last().request.endpoint, site.questions[1].endpoint);
    site.site.clock.advance(100ms);
    EXPECT_EQ(site.http.connects.size(), 1U) << "whether it can be reached is found out";
    EXPECT_FALSE(caller->ended);
}

TEST(EngineLoadTest, NobodyIsAskedForLittleOrWhileItIsCalm)
{
    AskingSite site;
    site.ask();
    EXPECT_TRUE(site.questions.empty());
    EXPECT_EQ(site.http.sends.size(), 1U);
    site.makeBusy();
    site.ask(10);
    EXPECT_TRUE(site.questions.empty());
    EXPECT_EQ(site.http.sends.size(), 1U);
}

TEST(EngineLoadTest, ACallerMayLeaveMeanwhile)
{
    AskingSite site;
    site.makeBusy();
    const auto caller = site.ask();
    caller->onClosed();
    EXPECT_EQ(site.forwarder->inProgress(), 0U);
    site.site.clock.advance(1s);
    EXPECT_TRUE(site.http.sends.empty());
}
