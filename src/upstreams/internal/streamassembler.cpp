#include "upstreams/internal/streamassembler.h"

#include <utility>

namespace acaciasail::upstreams {

StreamAssembler::StreamAssembler(std::string request, TextHandler handler)
    : m_request(std::move(request))
    , m_handler(std::move(handler))
{}

void StreamAssembler::startAttempt(std::string attempt)
{
    m_attempt = std::move(attempt);
    m_bufferedEvents.clear();
    ++m_attempts;
}

EventOutcome StreamAssembler::take(EngineEvent event)
{
    if (event.request != m_request || event.attempt != m_attempt)
        return EventOutcome::Misrouted;
    if (m_finished)
        return EventOutcome::Duplicate;
    if (!event.tokenIndex && (event.finishReason.empty() || !event.content.empty()))
        return EventOutcome::Invalid;
    const std::int64_t index = event.tokenIndex.value_or(m_nextToken);
    if (index < m_nextToken && event.finishReason.empty())
        return EventOutcome::Duplicate;
    if (index > m_nextToken) {
        if (m_bufferedEvents.size() >= maxBufferedTokens)
            return EventOutcome::Invalid;
        m_bufferedEvents.emplace(index, std::move(event));
        return EventOutcome::Buffered;
    }
    deliver(event);
    deliverBuffered();
    return EventOutcome::Delivered;
}

void StreamAssembler::deliver(const EngineEvent &event)
{
    // A finish event may carry the last token, or repeat an index without text.
    const bool isToken = event.tokenIndex.value_or(-1) == m_nextToken
                         && (event.finishReason.empty() || !event.content.empty());
    if (isToken) {
        m_text += event.content;
        const std::int64_t index = m_nextToken++;
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

void StreamAssembler::deliverBuffered()
{
    while (!m_finished && !m_bufferedEvents.empty()
           && m_bufferedEvents.begin()->first <= m_nextToken) {
        const EngineEvent event
            = std::move(m_bufferedEvents.extract(m_bufferedEvents.begin()).mapped());
        deliver(event);
    }
}

Usage StreamAssembler::usage() const
{
    if (m_attempts <= 1 && m_usage.output.count() > 0)
        return m_usage;
    return { m_usage.input, kernel::Tokens(m_nextToken) };
}

} // namespace acaciasail::upstreams
