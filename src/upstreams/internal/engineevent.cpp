#include "upstreams/internal/engineevent.h"

#include <array>

#include <nlohmann/json.hpp>

namespace acaciasail::upstreams {

namespace {

using Json = nlohmann::json;

/// Field to which the next JSON value belongs.
enum class Field {
    Other,
    Request,
    Attempt,
    TokenIndex,
    Content,
    FinishReason,
    PromptTokens,
    CompletionTokens,
    ErrorCode,
    ErrorMessage,
};

/// Kind of JSON object that contains the current key.
enum class Scope {
    Other,
    Root,
    Choice,
    Message,
    Usage,
    Error,
};

/// Reads the fields of an event from the JSON without building a document.
class EventReader : public nlohmann::json_sax<Json>
{
public:
    explicit EventReader(EngineEvent &event)
        : m_event(event)
    {}

    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t value) override { return setNumber(value); }
    bool number_unsigned(number_unsigned_t value) override
    {
        return setNumber(static_cast<std::int64_t>(value));
    }
    bool number_float(number_float_t, const string_t &) override { return true; }
    bool binary(binary_t &) override { return true; }
    bool start_array(std::size_t) override { return push(arrayScope()); }
    bool end_array() override { return pop(); }
    bool end_object() override { return pop(); }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

    bool string(string_t &value) override
    {
        if (std::string *destination = textField())
            *destination = std::move(value);
        return true;
    }

    bool key(string_t &name) override
    {
        m_key = std::move(name);
        m_field = fieldOf(scope(), m_key);
        return true;
    }

    bool start_object(std::size_t) override
    {
        if (m_depth == 0)
            return push(Scope::Root);
        return push(objectScope());
    }

private:
    static constexpr std::size_t maxDepth = 32;

    Scope scope() const { return m_depth == 0 ? Scope::Other : m_scopes[m_depth - 1]; }

    bool push(Scope scope)
    {
        if (m_depth == maxDepth)
            return false;
        m_scopes[m_depth++] = scope;
        return true;
    }

    bool pop()
    {
        --m_depth;
        m_field = Field::Other;
        return true;
    }

    Scope arrayScope() const
    {
        return scope() == Scope::Root && m_key == "choices" ? Scope::Choice : Scope::Other;
    }

    Scope objectScope() const
    {
        if (scope() == Scope::Root && m_key == "usage")
            return Scope::Usage;
        if (scope() == Scope::Root && m_key == "error")
            return Scope::Error;
        if (scope() != Scope::Choice)
            return Scope::Other;
        // The array of choices and each of its objects have the same scope.
        return m_key == "delta" || m_key == "message" ? Scope::Message : Scope::Choice;
    }

    static Field fieldOf(Scope scope, const std::string &name)
    {
        switch (scope) {
        case Scope::Root:
            return rootField(name);
        case Scope::Choice:
            return name == "finish_reason" ? Field::FinishReason : Field::Other;
        case Scope::Message:
            return name == "content" ? Field::Content : Field::Other;
        case Scope::Usage:
            if (name == "prompt_tokens")
                return Field::PromptTokens;
            return name == "completion_tokens" ? Field::CompletionTokens : Field::Other;
        case Scope::Error:
            if (name == "code")
                return Field::ErrorCode;
            return name == "message" ? Field::ErrorMessage : Field::Other;
        case Scope::Other:
            break;
        }
        return Field::Other;
    }

    static Field rootField(const std::string &name)
    {
        if (name == "request")
            return Field::Request;
        if (name == "attempt")
            return Field::Attempt;
        return name == "token_index" ? Field::TokenIndex : Field::Other;
    }

    std::string *textField()
    {
        switch (m_field) {
        case Field::Request:
            return &m_event.request;
        case Field::Attempt:
            return &m_event.attempt;
        case Field::Content:
            return &m_event.content;
        case Field::FinishReason:
            return &m_event.finishReason;
        case Field::ErrorCode:
            return &m_event.errorCode;
        case Field::ErrorMessage:
            return &m_event.errorMessage;
        default:
            return nullptr;
        }
    }

    bool setNumber(std::int64_t value)
    {
        if (m_field == Field::TokenIndex) {
            m_event.tokenIndex = value;
        } else if (m_field == Field::PromptTokens || m_field == Field::CompletionTokens) {
            if (!m_event.usage)
                m_event.usage.emplace();
            auto &destination
                = m_field == Field::PromptTokens ? m_event.usage->input : m_event.usage->output;
            destination = kernel::Tokens(value);
        }
        return true;
    }

    EngineEvent &m_event;
    std::array<Scope, maxDepth> m_scopes{};
    std::size_t m_depth = 0;
    Field m_field = Field::Other;
    std::string m_key;
};

} // namespace

std::optional<EngineEvent> parseEngineEvent(std::string_view json)
{
    EngineEvent event;
    EventReader reader(event);
    if (!Json::sax_parse(json.begin(), json.end(), &reader))
        return std::nullopt;
    return event;
}

std::optional<std::string> resumeBody(const std::string &body, std::int64_t tokens,
                                      const std::string &text)
{
    if (tokens == 0)
        return body;
    Json document = Json::parse(body, nullptr, false);
    if (!document.is_object())
        return std::nullopt;
    document["resume"] = { { "tokens", tokens }, { "text", text } };
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace acaciasail::upstreams
