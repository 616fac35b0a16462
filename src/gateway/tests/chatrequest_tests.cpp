#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "gateway/gateway.h"
#include "gateway/internal/apierror.h"
#include "gateway/internal/chatrequest.h"

using namespace acaciasail;
using namespace acaciasail::gateway;

namespace {

kernel::Completion<ChatRequest> read(const std::string &body, const http::Headers &headers = {})
{
    http::ServerRequest request;
    request.body = body;
    request.headers = headers;
    return kernel::capture([&] { return readChatRequest(request, kernel::RequestId("r")); });
}

struct BadBody
{
    const char *name;
    std::string body;
    kernel::ResultCode code;
};

// Returns a body with one valid message and the given additional fields.
std::string withFields(const std::string &fields)
{
    return R"({"model":"m","messages":[{"role":"user","content":"x"}])" + fields + "}";
}

} // namespace

TEST(ApiError, CarriesNumberCodeAndRunState)
{
    const auto body = nlohmann::json::parse(errorBody(
        makeApiError(kernel::ResultCode::RateLimited, "too \"many\""), kernel::RequestId("r-1")));
    EXPECT_EQ(body["error"]["number"], 1201);
    EXPECT_EQ(body["error"]["code"], "RateLimited");
    EXPECT_EQ(body["error"]["run_state"], "not_run");
    EXPECT_EQ(body["error"]["type"], "rate_limit_error");
    EXPECT_EQ(body["error"]["request_id"], "r-1");
    EXPECT_EQ(body["error"]["message"], "too \"many\"");
}

TEST(ApiError, ServerErrorsUseTheSameFormat)
{
    EXPECT_EQ(nlohmann::json::parse(serverErrorBody(413))["error"]["code"], "BodyTooLarge");
    EXPECT_EQ(nlohmann::json::parse(serverErrorBody(400))["error"]["code"], "MalformedRequest");
}

TEST(ChatRequest, ReadsAllFields)
{
    const auto request = read(
        withFields(R"(,"stream":true,"max_tokens":7,"service_tier":"flex",)"
                   R"("metadata":{"kind":"tag"},"temperature":0.5,)"
                   R"("stream_options":{"include_usage":true})"),
        { { "idempotency-key", "k-1" }, { "x-session-id", "new" }, { "x-deadline-ms", "50" } });
    ASSERT_TRUE(request.ok()) << request.error().message;
    EXPECT_EQ(request.value().model, kernel::ModelId("m"));
    EXPECT_TRUE(request.value().stream);
    EXPECT_TRUE(request.value().includeUsage);
    EXPECT_EQ(request.value().maxTokens, 7);
    EXPECT_EQ(request.value().rank, table::Rank::Flex);
    EXPECT_EQ(request.value().kind.str(), "tag");
    EXPECT_EQ(request.value().idempotencyKey.str(), "k-1");
    EXPECT_EQ(request.value().session, "new");
    EXPECT_EQ(request.value().timeout, std::chrono::milliseconds(50));
    const auto body = nlohmann::json::parse(
        upstreamBody(request.value(), kernel::VersionId("small@1"), table::Rank::Flex));
    EXPECT_EQ(body["model"], "small@1");
    EXPECT_EQ(body["priority"], 2);
    EXPECT_EQ(body["temperature"], 0.5);
    EXPECT_FALSE(body.contains("service_tier"));
}

TEST(ChatRequest, PrefixesOfAnExtendedConversationStartWithTheOriginalOnes)
{
    const auto shorter = read(R"({"model":"m","messages":[{"role":"user","content":"a"}]})");
    const auto longer = read(R"({"model":"m","messages":[{"role":"user","content":"a"},)"
                             R"({"role":"user","content":"b"}]})");
    ASSERT_EQ(longer.value().prefixes.size(), 2U);
    EXPECT_EQ(longer.value().prefixes.front(), shorter.value().prefixes.front());
}

TEST(ChatRequest, RefusesInvalidInputWithItsResultCode)
{
    using enum kernel::ResultCode;
    const std::vector<BadBody> cases{
        { "not JSON", "{", MalformedJson },
        { "not an object", "[]", MalformedJson },
        { "bad UTF-8", "{\"model\":\"\xff\"}", InvalidUtf8 },
        { "no messages", R"({"model":"m"})", InvalidField },
        { "empty messages", R"({"model":"m","messages":[]})", InvalidField },
        { "no role", R"({"model":"m","messages":[{"content":"x"}]})", InvalidField },
        { "content", R"({"model":"m","messages":[{"role":"u","content":1}]})", InvalidField },
        { "no model", R"({"messages":[{"role":"user","content":"x"}]})", InvalidField },
        { "model", R"({"model":1,"messages":[{"role":"u","content":"x"}]})", InvalidField },
        { "max_tokens", withFields(R"(,"max_tokens":0)"), InvalidField },
        { "unknown tier", withFields(R"(,"service_tier":"fast")"), InvalidField },
        { "two choices", withFields(R"(,"n":2)"), InvalidField },
        { "stream", withFields(R"(,"stream":"yes")"), InvalidField },
    };
    for (const BadBody &bad : cases) {
        const auto request = read(bad.body);
        ASSERT_FALSE(request.ok()) << bad.name;
        EXPECT_EQ(request.error().code, bad.code) << bad.name << ": " << request.error().message;
    }
}

TEST(ChatRequest, RefusesBadHeaders)
{
    const std::string body = withFields("");
    ASSERT_TRUE(read(body).ok());
    EXPECT_FALSE(read(body, { { "idempotency-key", "a b" } }).ok());
    EXPECT_FALSE(read(body, { { "idempotency-key", "a" }, { "idempotency-key", "b" } }).ok());
    EXPECT_FALSE(read(body, { { "x-deadline-ms", "-1" } }).ok());
    EXPECT_FALSE(read(body, { { "x-deadline-ms", "1x" } }).ok());
}

RC_GTEST_PROP(ChatRequest, EveryBodyIsAcceptedOrRefusedWithRunStateNotRun,
              (const std::string &body))
{
    const auto request = read(body);
    if (!request.ok())
        RC_ASSERT(kernel::describe(request.error().code).runState == kernel::RunState::NotRun);
}
