#include "forwarding/internal/eventsplitter.h"

namespace acaciasail::forwarding {

namespace {

constexpr std::string_view idField = "id:";

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

std::optional<std::string> eventId(std::string_view event)
{
    std::size_t begin = 0;
    while (begin < event.size()) {
        std::size_t end = event.find('\n', begin);
        if (end == std::string_view::npos)
            end = event.size();
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        while (!line.empty() && (line.back() == '\r' || line.back() == ' '))
            line.remove_suffix(1);
        return std::string(line);
    }
    return std::nullopt;
}

} // namespace

bool EventSplitter::feed(std::string_view piece,
                         const std::function<void(const StreamEvent &)> &onEvent)
{
    // The last two bytes before the new piece may be the start of the empty line.
    constexpr std::size_t overlap = 2;
    std::size_t searchFrom = m_buffer.size() > overlap ? m_buffer.size() - overlap : 0;
    m_buffer.append(piece);
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = eventEnd(m_buffer, searchFrom);
        if (end == std::string_view::npos)
            break;
        const std::string_view bytes = std::string_view(m_buffer).substr(begin, end - begin);
        onEvent({ bytes, eventId(bytes) });
        begin = end;
        searchFrom = end;
    }
    m_buffer.erase(0, begin);
    return m_buffer.size() <= maxEventBytes;
}

} // namespace acaciasail::forwarding
