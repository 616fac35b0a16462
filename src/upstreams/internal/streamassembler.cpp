#include "upstreams/internal/streamassembler.h"

#include <utility>

namespace acaciasail::upstreams {

StreamAssembler::StreamAssembler(std::string request, TextHandler handler)
    : m_request(std::move(request))
    , m_handler(std::move(handler))
{}

void StreamAssembler::beginAttempt(std::string attempt)
{
    m_attempt = std::move(attempt);
    m_held.clear();
    ++m_attempts;
}

EventFate StreamAssembler::take(EngineEvent event)
{
    if (event.request != m_request || event.attempt != m_attempt)
        return EventFate::Crossed;
    if (m_finished)
        return EventFate::Duplicate;
    if (!event.tokenIndex && (event.finishReason.empty() || !event.content.empty()))
        return EventFate::Broken;
    const std::int64_t index = event.tokenIndex.value_or(m_next);
    if (index < m_next && event.finishReason.empty())
        return EventFate::Duplicate;
    if (index > m_next) {
        if (m_held.size() >= maxHeldTokens)
            return EventFate::Broken;
        m_held.emplace(index, std::move(event));
        return EventFate::Held;
    }
    deliver(event);
    releaseHeld();
    return EventFate::Delivered;
}

void StreamAssembler::deliver(const EngineEvent &event)
{
    // A finish event may carry the last token, or repeat an index without text.
    const bool isToken = event.tokenIndex.value_or(-1) == m_next
                         && (event.finishReason.empty() || !event.content.empty());
    if (isToken) {
        m_text += event.content;
        const std::int64_t index = m_next++;
        if (m_handler)
            m_handler(event.content, index);
    }
    if (event.usage)
        m_usage = *event.usage;
    if (!event.finishReason.empty()) {
        m_finished = true;
        m_finishReason = event.finishReason;
    }
}

void StreamAssembler::releaseHeld()
{
    while (!m_finished && !m_held.empty() && m_held.begin()->first <= m_next) {
        const EngineEvent event = std::move(m_held.extract(m_held.begin()).mapped());
        deliver(event);
    }
}

Usage StreamAssembler::usage() const
{
    if (m_attempts <= 1 && m_usage.output.count() > 0)
        return m_usage;
    return { m_usage.input, kernel::Tokens(m_next) };
}

} // namespace acaciasail::upstreams
