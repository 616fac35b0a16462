#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "upstreams/internal/engineevent.h"

namespace acaciasail::upstreams {

/// Result of processing one event.
enum class EventOutcome {
    Delivered,
    /// The event waits for an earlier token.
    Buffered,
    /// The token of the event was delivered before.
    Duplicate,
    /// The event belongs to another request or attempt.
    Misrouted,
    /// Too many tokens are waiting for an earlier one, or the event is malformed.
    Invalid,
};

/// Delivers the tokens of one response in order and without duplicates, over all attempts.
class StreamAssembler
{
public:
    using TextHandler = std::function<void(std::string_view text, std::int64_t tokenIndex)>;

    /// Maximum number of tokens that wait for an earlier one.
    static constexpr std::size_t maxBufferedTokens = 256;

    StreamAssembler(std::string request, TextHandler handler);

    /// Starts an attempt. Buffered tokens of the previous attempt are dropped.
    void startAttempt(std::string attempt);
    /// Processes an event of the current attempt: delivers its token and the buffered ones that
    /// follow, or buffers or rejects it.
    EventOutcome take(EngineEvent event);

    /// Returns true once all tokens up to the finish event have been delivered.
    bool finished() const { return m_finished; }
    const std::string &finishReason() const { return m_finishReason; }
    /// Returns the token counts reported by the engine. If the response was resumed, the output
    /// count is the number of delivered tokens instead.
    Usage usage() const;
    std::int64_t deliveredTokens() const { return m_nextToken; }
    const std::string &deliveredText() const { return m_text; }

private:
    void deliver(const EngineEvent &event);
    void deliverBuffered();

    std::string m_request;
    TextHandler m_handler;
    std::string m_attempt;
    int m_attempts = 0;
    std::int64_t m_nextToken = 0;
    std::string m_text;
    std::map<std::int64_t, EngineEvent> m_bufferedEvents;
    bool m_finished = false;
    std::string m_finishReason;
    Usage m_usage;
};

} // namespace acaciasail::upstreams
