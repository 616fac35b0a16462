#include "gateway/internal/chatanswer.h"

#include <nlohmann/json.hpp>

namespace acaciasail::gateway {

namespace {

using Json = nlohmann::ordered_json;

std::int64_t unixSeconds(kernel::WallTime time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

std::string jsonText(std::string_view text)
{
    return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json usageJson(const upstreams::Usage &usage)
{
    return { { "prompt_tokens", usage.input.count() },
             { "completion_tokens", usage.output.count() },
             { "total_tokens", (usage.input + usage.output).count() } };
}

} // namespace

// All events of an answer start with the same text, so this prefix is built only once.
ChunkFormatter::ChunkFormatter(const AnswerMetadata &metadata)
    : m_prefix("data: {\"id\":" + jsonText("chatcmpl-" + metadata.request.str())
               + ",\"object\":\"chat.completion.chunk\",\"created\":"
               + std::to_string(unixSeconds(metadata.created))
               + ",\"model\":" + jsonText(metadata.version.str()) + ",\"choices\":[")
{}

std::string ChunkFormatter::first() const
{
    return m_prefix
           + "{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},"
             "\"finish_reason\":null}]}\n\n";
}

std::string ChunkFormatter::text(std::string_view text) const
{
    return m_prefix + "{\"index\":0,\"delta\":{\"content\":" + jsonText(text)
           + "},\"finish_reason\":null}]}\n\n";
}

std::string ChunkFormatter::last(const std::string &finishReason, const upstreams::Usage &usage,
                                 bool includeUsage) const
{
    std::string events = m_prefix + "{\"index\":0,\"delta\":{},\"finish_reason\":"
                         + jsonText(finishReason) + "}]}\n\n";
    if (includeUsage)
        events += m_prefix + "],\"usage\":" + usageJson(usage).dump() + "}\n\n";
    return events;
}

std::string errorEvent(const std::string &errorBody)
{
    return "data: " + errorBody + "\n\n";
}

std::string formatAnswer(const AnswerMetadata &metadata, const std::string &text,
                         const std::string &finishReason, const upstreams::Usage &usage)
{
    const Json choice{ { "index", 0 },
                       { "message", { { "role", "assistant" }, { "content", text } } },
                       { "finish_reason", finishReason } };
    const Json body{
        { "id", "chatcmpl-" + metadata.request.str() }, { "object", "chat.completion" },
        { "created", unixSeconds(metadata.created) },   { "model", metadata.version.str() },
        { "choices", Json::array({ choice }) },         { "usage", usageJson(usage) }
    };
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string formatAnswerAsStream(const std::string &body)
{
    Json answer = Json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("choices"))
        return errorEvent(body) + std::string(streamEnd);
    answer["object"] = "chat.completion.chunk";
    Json &choice = answer["choices"][0];
    choice["delta"] = choice["message"];
    choice.erase("message");
    return "data: " + answer.dump() + "\n\n" + std::string(streamEnd);
}

} // namespace acaciasail::gateway
