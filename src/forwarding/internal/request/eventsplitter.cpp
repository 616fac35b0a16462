#include "forwarding/internal/request/eventsplitter.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// Returns the end of the first event in a text, past its empty line; npos if the event is
// incomplete.
std::size_t eventEnd(std::string_view text, std::size_t from)
{
    while (true) {
        const std::size_t newline = text.find('\n', from);
        if (newline == std::string_view::npos)
            return std::string_view::npos;
        std::size_t next = newline + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
        from = newline + 1;
    }
}

// Returns the length of the empty line at the start of a text; 0 if there is none.
std::size_t emptyLineLength(std::string_view text)
{
    if (text.starts_with('\n'))
        return 1;
    return text.starts_with("\r\n") ? 2 : 0;
}

} // namespace

void EventSplitter::skipEmptyLines(Cursor &cursor)
{
    const std::string_view buffer(m_buffer);
    while (const std::size_t length = emptyLineLength(buffer.substr(cursor.begin))) {
        cursor.begin += length;
        m_offset += length;
        m_ignoredBytes += length;
    }
    cursor.searchFrom = std::max(cursor.searchFrom, cursor.begin);
}

EventSplitter::Result
EventSplitter::feed(std::string_view piece,
                    const std::function<EventUse(const StreamEvent &)> &onEvent)
{
    // The last two bytes before the new piece may be the start of the empty line.
    constexpr std::size_t overlap = 2;
    Cursor cursor;
    cursor.searchFrom = m_buffer.size() > overlap ? m_buffer.size() - overlap : 0;
    m_buffer.append(piece);
    while (true) {
        skipEmptyLines(cursor);
        const std::size_t end = eventEnd(m_buffer, cursor.searchFrom);
        if (end == std::string::npos || m_ignoredBytes > maxIgnoredBytes)
            break;
        const std::string_view bytes
            = std::string_view(m_buffer).substr(cursor.begin, end - cursor.begin);
        const EventUse use = onEvent({ bytes, m_offset });
        if (use == EventUse::Rejected)
            return Result::Rejected;
        m_ignoredBytes = use == EventUse::Ignored ? m_ignoredBytes + bytes.size() : 0;
        m_offset += bytes.size();
        cursor = { end, end };
    }
    m_buffer.erase(0, cursor.begin);
    const bool tooLong = m_buffer.size() > maxEventBytes || m_ignoredBytes > maxIgnoredBytes;
    return tooLong ? Result::TooLong : Result::Ok;
}

} // namespace acaciasail::forwarding
