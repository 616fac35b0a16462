#include "gateway/internal/chatrequest.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <nlohmann/json.hpp>

namespace acaciasail::gateway {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxIdBytes = 128;
constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t maxPrefixes = 16;
constexpr std::int64_t maxDeadlineMilliseconds = 24LL * 3600 * 1000;
constexpr std::int64_t maxTokensUpperBound = 1'000'000;

kernel::Result<Json> parseJson(const std::string &body)
{
    try {
        return Json::parse(body);
    } catch (const Json::parse_error &error) {
        const std::string text = error.what();
        const bool badUtf8 = text.find("ill-formed UTF-8") != std::string::npos;
        return kernel::fail(
            badUtf8 ? kernel::ResultCode::InvalidUtf8 : kernel::ResultCode::MalformedJson,
            badUtf8 ? "body is not valid UTF-8 at byte " + std::to_string(error.byte)
                    : "body is not valid JSON at byte " + std::to_string(error.byte));
    }
}

auto invalid(const std::string &field, const std::string &message)
{
    return kernel::fail(kernel::ResultCode::InvalidField, "field \"" + field + "\" " + message);
}

// Ids are written to logs and headers, so only plain ASCII characters are accepted.
bool isPlainId(std::string_view text)
{
    return !text.empty() && text.size() <= maxIdBytes && std::ranges::all_of(text, [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
               || c == '-' || c == '_' || c == '.' || c == ':';
    });
}

// Returns the size of the text in a message's content, which is a string or a list of parts with
// strings. Returns nullopt if the content has another type.
std::optional<std::size_t> contentBytes(const Json &content)
{
    if (content.is_string())
        return content.get_ref<const std::string &>().size();
    if (content.is_null())
        return 0;
    if (!content.is_array())
        return std::nullopt;
    std::size_t bytes = 0;
    for (const Json &part : content) {
        if (!part.is_object())
            return std::nullopt;
        const auto text = part.find("text");
        bytes += text != part.end() && text->is_string()
                     ? text->get_ref<const std::string &>().size()
                     : 0;
    }
    return bytes;
}

kernel::Result<void> readMessages(const Json &body, ChatRequest &request)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return invalid("messages", "must be a list of at least one message");
    std::size_t bytes = 0;
    std::uint64_t prefix = 0;
    for (const Json &message : *messages) {
        const auto role = message.is_object() ? message.find("role") : message.end();
        if (!message.is_object() || role == message.end() || !role->is_string())
            return invalid("messages", "has a message without a role");
        const auto content = message.find("content");
        const std::optional<std::size_t> length
            = content == message.end() ? 0 : contentBytes(*content);
        if (!length)
            return invalid("messages",
                           "has a message whose content is neither a string nor a list of parts");
        bytes += *length + role->get_ref<const std::string &>().size();
        prefix = kernel::hash64(message.dump(), prefix);
        if (request.prefixes.size() < maxPrefixes)
            request.prefixes.push_back(prefix);
    }
    request.inputTokens = kernel::Tokens(static_cast<std::int64_t>(bytes / bytesPerToken + 1));
    return {};
}

kernel::Result<std::string> readString(const Json &body, const char *field)
{
    const auto found = body.find(field);
    if (found == body.end() || found->is_null())
        return std::string();
    if (!found->is_string() || found->get_ref<const std::string &>().size() > maxIdBytes)
        return invalid(field,
                       "must be a string of at most " + std::to_string(maxIdBytes) + " bytes");
    return found->get<std::string>();
}

kernel::Result<bool> readBool(const Json &body, const char *field)
{
    const auto found = body.find(field);
    if (found == body.end() || found->is_null())
        return false;
    if (!found->is_boolean())
        return invalid(field, "must be true or false");
    return found->get<bool>();
}

kernel::Result<void> readMaxTokens(const Json &body, ChatRequest &request)
{
    for (const char *field : { "max_completion_tokens", "max_tokens" }) {
        const auto found = body.find(field);
        if (found == body.end() || found->is_null())
            continue;
        if (!found->is_number_integer() || found->get<std::int64_t>() < 1
            || found->get<std::int64_t>() > maxTokensUpperBound) {
            return invalid(field,
                           "must be an integer from 1 to " + std::to_string(maxTokensUpperBound));
        }
        request.maxTokens = found->get<std::int64_t>();
        return {};
    }
    return {};
}

kernel::Result<void> readTier(const Json &body, ChatRequest &request)
{
    auto tier = readString(body, "service_tier");
    if (!tier)
        return tier.error();
    if (tier->empty())
        return {};
    request.rank = rankOfTier(tier.value());
    if (!request.rank)
        return invalid("service_tier", "must be \"priority\", \"default\", \"auto\" or \"flex\"");
    return {};
}

kernel::Result<void> readKind(const http::ServerRequest &source, const Json &body,
                              ChatRequest &request)
{
    std::string kind(http::findHeader(source.headers, "x-request-kind").value_or(""));
    const auto metadata = body.find("metadata");
    if (kind.empty() && metadata != body.end() && metadata->is_object()) {
        auto named = readString(*metadata, "kind");
        if (!named)
            return named.error();
        kind = named.value();
    }
    if (!kind.empty() && !isPlainId(kind))
        return invalid("kind", "must be an id of letters, digits, '-', '_', '.' and ':'");
    request.kind = kernel::KindId(kind.empty() ? "default" : kind);
    return {};
}

kernel::Result<void> readOptions(const Json &body, ChatRequest &request)
{
    auto stream = readBool(body, "stream");
    if (!stream)
        return stream.error();
    request.stream = stream.value();
    const auto options = body.find("stream_options");
    if (options != body.end() && options->is_object()) {
        auto usage = readBool(*options, "include_usage");
        if (!usage)
            return usage.error();
        request.includeUsage = usage.value();
    }
    const auto count = body.find("n");
    if (count != body.end() && *count != 1)
        return invalid("n", "must be 1");
    return {};
}

} // namespace

std::optional<table::Rank> rankOfTier(std::string_view tier)
{
    if (tier == "priority")
        return table::Rank::Urgent;
    if (tier == "default" || tier == "auto")
        return table::Rank::Normal;
    if (tier == "flex")
        return table::Rank::Flex;
    return std::nullopt;
}

std::string_view tierOf(table::Rank rank)
{
    switch (rank) {
    case table::Rank::Urgent:
        return "priority";
    case table::Rank::Normal:
        return "default";
    case table::Rank::Flex:
        break;
    }
    return "flex";
}

kernel::Result<kernel::RequestId> readRequestId(const http::ServerRequest &request,
                                                kernel::Random &random)
{
    const auto given = http::findHeader(request.headers, "x-request-id");
    if (!given)
        return kernel::RequestId(kernel::randomId(random, "r-"));
    if (!isPlainId(*given))
        return invalid("X-Request-Id",
                       "must be an id of at most 128 letters, digits, '-', '_', '.' and ':'");
    return kernel::RequestId(std::string(*given));
}

kernel::Result<kernel::IdempotencyKey> readIdempotencyKey(const http::Headers &headers)
{
    const auto given = http::findHeader(headers, "idempotency-key");
    if (!given)
        return kernel::IdempotencyKey();
    if (!isPlainId(*given) || http::countHeaders(headers, "idempotency-key") != 1)
        return invalid("Idempotency-Key",
                       "must be a single id of at most 128 letters, digits, '-', '_', '.' and ':'");
    return kernel::IdempotencyKey(std::string(*given));
}

kernel::Result<std::optional<kernel::Duration>> readTimeout(const http::Headers &headers)
{
    const auto given = http::findHeader(headers, "x-deadline-ms");
    if (!given)
        return std::optional<kernel::Duration>();
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(given->data(), given->data() + given->size(), milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != given->data() + given->size() || milliseconds < 1
        || milliseconds > maxDeadlineMilliseconds)
        return invalid("X-Deadline-Ms",
                       "must be an integer number of milliseconds, at most one day");
    return std::optional<kernel::Duration>(std::chrono::milliseconds(milliseconds));
}

kernel::Result<ChatRequest> readChatRequest(const http::ServerRequest &source,
                                            const kernel::RequestId &id)
{
    ChatRequest request;
    request.id = id;
    BOOST_LEAF_ASSIGN(Json body, parseJson(source.body));
    if (!body.is_object())
        return kernel::fail(kernel::ResultCode::MalformedJson, "body must be a JSON object");
    BOOST_LEAF_CHECK(readMessages(body, request));
    BOOST_LEAF_AUTO(model, readString(body, "model"));
    if (model.empty())
        return invalid("model", "is missing");
    if (model != "auto")
        request.model = kernel::ModelId(model);
    BOOST_LEAF_CHECK(readMaxTokens(body, request));
    BOOST_LEAF_CHECK(readTier(body, request));
    BOOST_LEAF_CHECK(readKind(source, body, request));
    BOOST_LEAF_CHECK(readOptions(body, request));
    BOOST_LEAF_ASSIGN(request.idempotencyKey, readIdempotencyKey(source.headers));
    BOOST_LEAF_ASSIGN(request.timeout, readTimeout(source.headers));
    request.session = std::string(http::findHeader(source.headers, "x-session-id").value_or(""));
    for (const char *field :
         { "model", "priority", "service_tier", "metadata", "user", "stream_options" })
        body.erase(field);
    request.body = body.dump();
    return request;
}

std::string upstreamBody(const ChatRequest &request, const kernel::VersionId &version,
                         table::Rank rank)
{
    std::string body = request.body;
    // The object always contains the messages, so a comma is needed after the last field.
    body.pop_back();
    body += ",\"model\":" + Json(version.str()).dump();
    body += ",\"priority\":" + std::to_string(static_cast<int>(rank)) + "}";
    return body;
}

} // namespace acaciasail::gateway
