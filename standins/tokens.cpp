#include "tokens.h"

#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "kernel/kernel.h"

namespace acaciasail::standins {

namespace {

using Json = nlohmann::json;

constexpr std::size_t markDigits = 6;
constexpr std::size_t bytesPerToken = 4;

std::string toHex(std::uint64_t number)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number, 16).ptr;
    return { digits.data(), end };
}

std::string textOf(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end())
        return {};
    return found->is_string() ? found->get<std::string>() : found->dump();
}

int integerOf(const Json &object, const char *name, int fallback)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer() ? found->get<int>() : fallback;
}

void readMessages(const Json &messages, CompletionRequest &request)
{
    for (const Json &message : messages) {
        if (!message.is_object())
            continue;
        const std::string part = textOf(message, "role") + "\n" + textOf(message, "content") + "\n";
        if (request.text.empty())
            request.prefix = toHex(kernel::hash64(part));
        request.text += part;
    }
}

} // namespace

CompletionRequest parseCompletion(const std::string &body)
{
    CompletionRequest request;
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("messages") || !json["messages"].is_array())
        return request;
    request.valid = true;
    request.version = textOf(json, "model");
    const auto stream = json.find("stream");
    request.stream = stream != json.end() && stream->is_boolean() && stream->get<bool>();
    request.maxTokens = integerOf(json, "max_tokens", 0);
    request.priority = integerOf(json, "priority", 1);
    const auto resume = json.find("resume");
    if (resume != json.end() && resume->is_object())
        request.resumeTokens = integerOf(*resume, "tokens", 0);
    readMessages(json["messages"], request);
    return request;
}

std::string answerMark(std::string_view text)
{
    std::string mark = toHex(kernel::hash64(text));
    mark.resize(markDigits, '0');
    return mark;
}

std::string answerToken(const std::string &mark, int index)
{
    return mark + ".t" + std::to_string(index) + " ";
}

int promptTokens(std::string_view text)
{
    return static_cast<int>(text.size() / bytesPerToken) + 1;
}

} // namespace acaciasail::standins
