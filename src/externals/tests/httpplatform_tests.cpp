#include <optional>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "externals/externals.h"

using namespace acaciasail;
using namespace acaciasail::externals;
using kernel::ResultCode;
using kernel::Revision;

namespace {

constexpr kernel::Duration longEnough = std::chrono::seconds(10);

// A platform whose answers a test sets, on a port of its own.
struct Harness
{
    Harness()
    {
        auto listening = kernel::capture([this] {
            return http::Server::listen(loop, { .listen = { "127.0.0.1", 0 } },
                                        [this](const auto &request, auto responder) {
                                            requests.push_back(request);
                                            answer(request, std::move(responder));
                                        });
        });
        server = std::move(listening.value());
        options.endpoint = server->endpoint();
        options.callTimeout = std::chrono::milliseconds(100);
        options.watchHeartbeat = std::chrono::milliseconds(50);
        platform = makePlatform(client, loop.scheduler(), options);
    }

    void answerWith(int status, const std::string &body)
    {
        answer = [status, body](const auto &, const auto &responder) {
            responder->send(status, { { "content-type", "application/json" } }, body);
        };
    }

    template<class Value>
    kernel::Completion<Value> wait(const std::function<void(kernel::Callback<Value>)> &call)
    {
        std::optional<kernel::Completion<Value>> outcome;
        call([&](const kernel::Completion<Value> &result) { outcome = result; });
        loop.runUntil([&] { return outcome.has_value(); }, longEnough);
        return outcome ? *outcome
                       : kernel::Completion<Value>(
                           kernel::Error{ ResultCode::InternalError, "no answer" });
    }

    kernel::Completion<StoredObject> read()
    {
        return wait<StoredObject>([&](auto callback) { platform.objects.read("a/b c", callback); });
    }
    kernel::Completion<Revision> create()
    {
        return wait<Revision>([&](auto callback) { platform.objects.create("k", "{}", callback); });
    }
    kernel::Completion<Revision> update()
    {
        return wait<Revision>(
            [&](auto callback) { platform.objects.update("k", "{}", Revision(4), callback); });
    }
    kernel::Completion<Revision> remove()
    {
        return wait<Revision>(
            [&](auto callback) { platform.objects.remove("k", Revision(4), callback); });
    }

    http::EventLoop loop;
    http::Client client{ loop };
    std::unique_ptr<http::Server> server;
    http::RequestHandler answer;
    std::vector<http::ServerRequest> requests;
    PlatformOptions options;
    Platform platform;
};

std::string header(const http::ServerRequest &request, std::string_view name)
{
    return std::string(http::findHeader(request.headers, name).value_or("none"));
}

// What a watch reported.
struct Seen
{
    WatchHandlers handlers()
    {
        return { [this](const StoredObject &change) { changes.push_back(change); },
                 [this](const kernel::Error &error) { ends.push_back(error.code); } };
    }

    std::vector<StoredObject> changes;
    std::vector<ResultCode> ends;
};

} // namespace

TEST(HttpPlatform, ReadsAndConditionsGoOutAsThePageSays)
{
    Harness h;
    h.answerWith(200, R"({"key":"a/b c","value":"{\"x\":1}","revision":7})");
    const auto read = h.read();
    ASSERT_TRUE(read.ok()) << read.error().message;
    EXPECT_EQ(read.value().value, R"({"x":1})");
    EXPECT_EQ(h.requests.back().path, "/objects/a/b c");
    h.answerWith(200, R"({"revision":8})");
    EXPECT_EQ(h.create().value(), Revision(8));
    EXPECT_EQ(h.requests.back().method, "PUT");
    EXPECT_EQ(header(h.requests.back(), "if-none-match"), "*");
    EXPECT_EQ(h.requests.back().body, "{}");
    EXPECT_TRUE(h.update().ok());
    EXPECT_EQ(header(h.requests.back(), "if-match"), "4");
    EXPECT_TRUE(h.remove().ok());
    EXPECT_EQ(h.requests.back().method, "DELETE");
}

TEST(HttpPlatform, EachStatusIsItsError)
{
    struct Case
    {
        int status;
        ResultCode read;
        ResultCode create;
        ResultCode update;
    };
    const std::vector<Case> cases{
        { 404, ResultCode::ObjectNotFound, ResultCode::ObjectNotFound, ResultCode::ObjectNotFound },
        { 409, ResultCode::RevisionConflict, ResultCode::ObjectExists,
          ResultCode::RevisionConflict },
        { 429, ResultCode::PlatformThrottled, ResultCode::PlatformThrottled,
          ResultCode::PlatformThrottled },
        { 503, ResultCode::PlatformUnreachable, ResultCode::PlatformUnreachable,
          ResultCode::PlatformUnreachable },
        { 500, ResultCode::PlatformProtocol, ResultCode::WriteOutcomeUnknown,
          ResultCode::WriteOutcomeUnknown },
        { 200, ResultCode::PlatformProtocol, ResultCode::WriteOutcomeUnknown,
          ResultCode::WriteOutcomeUnknown },
    };
    Harness h;
    for (const Case &expected : cases) {
        h.answerWith(expected.status, R"({"revision":"not a number"})");
        EXPECT_EQ(h.read().error().code, expected.read) << expected.status;
        EXPECT_EQ(h.create().error().code, expected.create) << expected.status;
        EXPECT_EQ(h.update().error().code, expected.update) << expected.status;
    }
}

TEST(HttpPlatform, WriteWithoutReplyIsUnknownAndWithoutConnectionHadNoEffect)
{
    Harness h;
    std::vector<std::shared_ptr<http::Responder>> unanswered;
    h.answer = [&](const auto &, const auto &responder) { unanswered.push_back(responder); };
    EXPECT_EQ(h.create().error().code, ResultCode::WriteOutcomeUnknown);
    EXPECT_EQ(h.read().error().code, ResultCode::PlatformUnreachable);
    h.answer = [](const auto &, const auto &responder) {
        responder->start(200, {});
        responder->write("{\"revision\":");
        responder->abort();
    };
    EXPECT_EQ(h.update().error().code, ResultCode::WriteOutcomeUnknown);
    EXPECT_EQ(h.remove().error().code, ResultCode::WriteOutcomeUnknown);
    EXPECT_EQ(h.read().error().code, ResultCode::PlatformUnreachable);
    h.server = nullptr;
    EXPECT_EQ(h.update().error().code, ResultCode::PlatformUnreachable);
    EXPECT_EQ(h.read().error().code, ResultCode::PlatformUnreachable);
}

TEST(HttpPlatform, WatchJoinsLinesThatArriveInPieces)
{
    Harness h;
    h.answer = [&](const auto &, const auto &responder) {
        responder->start(200, {});
        responder->write("\n{\"key\":\"a\",\"value\":\"1\",");
        h.loop.scheduler().startTimer(std::chrono::milliseconds(20), [responder] {
            responder->write(
                "\"revision\":5}\n{\"key\":\"b\",\"revision\":6,\"deleted\":true}\n\n");
            responder->finish();
        });
    };
    Seen seen;
    const WatchHandle watch = h.platform.objects.watch("t/", Revision(4), seen.handlers());
    h.loop.runUntil([&] { return !seen.ends.empty(); }, longEnough);
    EXPECT_EQ(h.requests.back().query, "prefix=t/&after=4");
    ASSERT_EQ(seen.changes.size(), 2U);
    EXPECT_EQ(seen.changes[0].value, "1");
    EXPECT_TRUE(seen.changes[1].deleted);
    EXPECT_EQ(seen.ends, std::vector{ ResultCode::PlatformUnreachable });
}

TEST(HttpPlatform, WatchEndsOnSilenceCompactionAndGarbage)
{
    Harness h;
    const std::vector<std::pair<std::string, ResultCode>> cases{
        { "silent", ResultCode::PlatformUnreachable },
        { "compacted", ResultCode::WatchCompacted },
        { "garbage", ResultCode::PlatformProtocol },
    };
    for (const auto &[name, code] : cases) {
        h.answer = [kind = name](const auto &, const auto &responder) {
            if (kind == "compacted") {
                responder->send(410, {}, "");
                return;
            }
            responder->start(200, {});
            responder->write(kind == "garbage" ? "{]\n" : "\n");
        };
        Seen seen;
        const WatchHandle watch = h.platform.objects.watch("", {}, seen.handlers());
        h.loop.runUntil([&] { return !seen.ends.empty(); }, longEnough);
        EXPECT_EQ(seen.ends, std::vector{ code }) << name;
    }
}

TEST(HttpPlatform, WatchMayBeDroppedInItsOwnHandler)
{
    Harness h;
    h.answer = [](const auto &, const auto &responder) {
        responder->start(200, {});
        responder->write("{\"key\":\"a\",\"value\":\"1\",\"revision\":5}\n"
                         "{\"key\":\"a\",\"value\":\"1\",\"revision\":6}\n");
    };
    int changes = 0;
    WatchHandle watch;
    watch = h.platform.objects.watch("", {},
                                     { [&](const StoredObject &) {
                                          ++changes;
                                          watch = nullptr;
                                      },
                                       {} });
    h.loop.runUntil([&] { return changes > 0; }, longEnough);
    h.loop.runUntil([] { return false; }, std::chrono::milliseconds(20));
    EXPECT_EQ(changes, 1);
}

TEST(HttpPlatform, ListsOfVmsRatingsAndReservationsAreRead)
{
    Harness h;
    h.answerWith(200, R"([{"id":"e1","role":"entry","data_centre":"d","ip":"10.0.0.1","port":9,)"
                      R"("leaving":true}])");
    const auto vms = h.wait<std::vector<VmEntry>>(h.platform.vms.list);
    ASSERT_TRUE(vms.ok());
    EXPECT_TRUE(vms.value().front().leaving);
    EXPECT_EQ(vms.value().front().endpoint.port, 9);
    h.answerWith(200, R"([{"sequence":3,"request":"r","workspace":"w","kind":"draft",)"
                      R"("version":"v","score":0.5}])");
    const auto ratings = h.wait<std::vector<Rating>>(
        [&](auto callback) { h.platform.ratings.fetch(2, callback); });
    ASSERT_TRUE(ratings.ok());
    EXPECT_EQ(ratings.value().front().score, 0.5);
    h.answerWith(200, R"({"wait_ms":250})");
    const auto wait = h.wait<kernel::Duration>(
        [&](auto callback) { h.platform.weights.reserve(kernel::VersionId("v"), callback); });
    EXPECT_EQ(wait.value(), std::chrono::milliseconds(250));
    EXPECT_EQ(h.requests.back().body, R"({"version":"v"})");
}
