#include "upstreams/internal/sseparser.h"

namespace acaciasail::upstreams {

bool SseParser::feed(std::string_view piece, const EventHandler &handler)
{
    while (!piece.empty() && !m_failed) {
        const std::size_t end = piece.find('\n');
        if (end == std::string_view::npos) {
            m_partialLine += piece;
            m_failed = m_partialLine.size() > maxEventBytes;
            break;
        }
        const std::string_view restOfLine = piece.substr(0, end);
        piece.remove_prefix(end + 1);
        if (m_partialLine.empty()) {
            m_failed = !processLine(restOfLine, handler);
        } else {
            m_partialLine += restOfLine;
            std::string line;
            line.swap(m_partialLine);
            m_failed = !processLine(line, handler);
        }
    }
    return !m_failed;
}

bool SseParser::processLine(std::string_view line, const EventHandler &handler)
{
    constexpr std::string_view dataField = "data:";
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        if (m_hasData) {
            std::string data;
            data.swap(m_data);
            m_hasData = false;
            handler(data);
        }
        return true;
    }
    if (!line.starts_with(dataField))
        return true;
    line.remove_prefix(dataField.size());
    if (line.starts_with(' '))
        line.remove_prefix(1);
    if (m_hasData)
        m_data += '\n';
    m_data += line;
    m_hasData = true;
    return m_data.size() <= maxEventBytes;
}

} // namespace acaciasail::upstreams
