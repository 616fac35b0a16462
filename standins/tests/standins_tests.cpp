#include <optional>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "externals/externals.h"
#include "table/table.h"
#include "world.h"

using namespace acaciasail;
using namespace acaciasail::standins;
using kernel::ResultCode;

namespace {

constexpr kernel::Duration longEnough = std::chrono::seconds(10);
const kernel::Endpoint anyPort{ "127.0.0.1", 0 };

StandinSettings makeSettings()
{
    StandinSettings settings;
    settings.platform = anyPort;
    settings.control = anyPort;
    settings.heartbeat = std::chrono::milliseconds(50);
    settings.ratingDelay = {};
    settings.crashTime = std::chrono::milliseconds(50);
    settings.versions = { { .id = "v1", .loadTime = {} }, { .id = "v2", .loadTime = {} } };
    settings.models = {
        { .id = "m1", .listen = anyPort, .versions = { "v1" }, .slots = 1, .checksFencing = true },
        { .id = "m2", .listen = anyPort, .versions = { "v1" }, .answerTokens = 1000 },
    };
    settings.applications = { { .id = "a1", .listen = anyPort, .services = { "book" } } };
    return settings;
}

struct Harness
{
    Harness() { EXPECT_TRUE(world.open().ok()); }

    kernel::Completion<http::ClientResponse> send(const kernel::Endpoint &endpoint,
                                                  const std::string &method,
                                                  const std::string &path, const std::string &body)
    {
        http::ClientRequest request{ .endpoint = endpoint, .method = method, .path = path };
        request.body = body;
        request.headers = { { "x-request-id", "r" }, { "x-attempt-id", path + body } };
        request.idleTimeout = std::chrono::seconds(2);
        std::optional<kernel::Completion<http::ClientResponse>> outcome;
        client.fetch(request, [&](const auto &response) { outcome = response; });
        loop.runUntil([&] { return outcome.has_value(); }, longEnough);
        return *outcome;
    }

    kernel::Completion<http::ClientResponse> complete(const std::string &runner,
                                                      const std::string &more)
    {
        return send(world.findModelRunner(runner)->endpoint(), "POST", "/v1/chat/completions",
                    R"({"model":"v1","messages":[{"role":"user","content":"hello"}])" + more + "}");
    }

    void setFault(const std::string &fault)
    {
        EXPECT_EQ(send(world.controlEndpoint(), "POST", "/faults", fault).value().head.status, 200);
    }

    http::EventLoop loop;
    http::Client client{ loop };
    World world{ loop, makeSettings() };
};

// The text of a stream's tokens; their indexes must follow each other from `first`.
std::string tokensOf(const std::string &body, int first)
{
    std::string text;
    std::size_t begin = 0;
    int expected = first;
    while ((begin = body.find("data: {", begin)) != std::string::npos) {
        const std::size_t end = body.find('\n', begin);
        const auto event = nlohmann::json::parse(body.substr(begin + 6, end - begin - 6));
        EXPECT_EQ(event["token_index"], expected++);
        text += event["choices"][0]["delta"].value("content", "");
        begin = end;
    }
    return text;
}

} // namespace

TEST(Standins, AResumedStreamGoesOnWithTheSameTokensOnAnotherRunner)
{
    Harness h;
    h.setFault(R"({"target":"m2","kind":"cut","after_tokens":400})");
    const auto cut = h.complete("m2", R"(,"stream":true)");
    EXPECT_EQ(cut.error().code, ResultCode::UpstreamBroken);
    const auto whole = h.complete("m2", R"(,"stream":true)");
    ASSERT_TRUE(whole.ok());
    const std::string text = tokensOf(whole.value().body, 0);
    EXPECT_NE(whole.value().body.find(R"("completion_tokens":1000)"), std::string::npos);
    const auto rest = h.complete("m2", R"(,"stream":true,"resume":{"tokens":400,"text":""})");
    const std::string tail = tokensOf(rest.value().body, 400);
    EXPECT_TRUE(text.ends_with(tail));
    EXPECT_EQ(text, tokensOf(h.complete("m2", R"(,"stream":true)").value().body, 0));
    EXPECT_EQ(h.world.record().runs[0]->outcome, "cut");
    EXPECT_EQ(h.world.record().runs[0]->tokensSent, 400);
    EXPECT_EQ(h.world.record().runs[2]->tokensSent, 600);
}

TEST(Standins, PoisonCrashesTheRunnerWhichComesBack)
{
    Harness h;
    const auto endpoint = h.world.findModelRunner("m1")->endpoint();
    const auto poison
        = h.send(endpoint, "POST", "/v1/chat/completions",
                 R"({"model":"v1","messages":[{"role":"user","content":"POISON"}],"stream":true})");
    EXPECT_EQ(poison.error().code, ResultCode::UpstreamBroken);
    EXPECT_EQ(h.world.record().runs[0]->outcome, "crashed");
    h.loop.runUntil([&] { return h.complete("m1", "").ok(); }, longEnough);
    EXPECT_EQ(h.world.record().runs.back()->outcome, "finished");
}

TEST(Standins, OrdersWithOldFencingNumbersAreRefusedOnlyWhereChecked)
{
    Harness h;
    for (const std::string runner : { "m1", "m2" }) {
        const auto endpoint = h.world.findModelRunner(runner)->endpoint();
        const auto send = [&](const std::string &order) {
            return h.send(endpoint, "POST", "/v1/orders", order).value().head.status;
        };
        EXPECT_EQ(send(R"({"order":"o1","kind":"load","version":"v2","fencing":5})"), 200);
        EXPECT_EQ(send(R"({"order":"o2","kind":"unload","version":"v1","fencing":4})"),
                  runner == "m1" ? 409 : 200);
    }
    EXPECT_EQ(h.world.record().orders.size(), 4U);
    h.loop.runOnce(std::chrono::milliseconds(1));
    const auto state = h.send(h.world.findModelRunner("m1")->endpoint(), "GET", "/v1/state", "");
    EXPECT_NE(state.value().body.find(R"("versions":["v1","v2"])"), std::string::npos)
        << state.value().body;
}

TEST(Standins, ServiceCallWhoseReplyIsLostRanOnce)
{
    Harness h;
    h.setFault(R"({"target":"a1","kind":"lose_replies"})");
    const auto endpoint = h.world.findApplicationRunner("a1")->endpoint();
    EXPECT_FALSE(h.send(endpoint, "POST", "/services/book/slot", "{}").ok());
    EXPECT_TRUE(h.send(endpoint, "POST", "/services/book/slot", "{}").ok());
    EXPECT_EQ(h.world.record().runs.size(), 2U);
    EXPECT_EQ(h.send(endpoint, "GET", "/services/other", "").value().head.status, 404);
    EXPECT_EQ(h.send(h.world.controlEndpoint(), "POST", "/faults", R"({"target":"a1"})")
                  .value()
                  .head.status,
              400);
}

// The table's edits and watcher over real connections, through an outage.
TEST(Standins, EditsReachATableThroughLostRepliesAndAnOutage)
{
    Harness h;
    const externals::Platform platform
        = externals::makePlatform(h.client, h.loop.scheduler(),
                                  { .endpoint = h.world.platformEndpoint(),
                                    .watchHeartbeat = std::chrono::milliseconds(50) });
    table::TableStore store(h.loop.scheduler());
    table::TableWatcher watcher(platform.objects, h.loop.scheduler(), store, {});
    watcher.start();
    const auto edit = [&](const std::string &id, const std::string &price) {
        std::optional<kernel::Completion<table::EditOutcome>> outcome;
        table::applyEdit(platform.objects, h.loop.scheduler(), {},
                         { .key = { table::TableId::Services, "book" },
                           .cells = { { "price_per_call", price } },
                           .edit = kernel::EditId(id) },
                         [&](const auto &result) { outcome = result; });
        h.loop.runUntil([&] { return outcome.has_value(); }, longEnough);
        return *outcome;
    };
    const auto price = [&] {
        const auto &services = store.snapshot()->services;
        const auto found = services.find(kernel::ServiceName("book"));
        return found != services.end() ? found->second.pricePerCall.count() : -1;
    };
    h.setFault(R"({"target":"objects","kind":"lose_replies"})");
    const auto first = edit("e1", "5");
    ASSERT_TRUE(first.ok()) << first.error().message;
    EXPECT_TRUE(first.value().settledByReading);
    EXPECT_TRUE(h.loop.runUntil([&] { return price() == 5; }, longEnough));

    h.setFault(R"({"target":"objects","kind":"down"})");
    EXPECT_TRUE(h.loop.runUntil([&] { return !watcher.storeUp(); }, longEnough));
    EXPECT_EQ(edit("e2", "6").error().code, ResultCode::PlatformUnreachable);
    h.setFault(R"({"target":"objects","kind":"down","on":false})");
    EXPECT_TRUE(edit("e3", "7").ok());
    EXPECT_TRUE(h.loop.runUntil([&] { return price() == 7; }, longEnough));
    EXPECT_EQ(h.world.record().objectCalls.at("write"), 2);
}
