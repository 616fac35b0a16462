#include "kernel/internal/linewriter.h"

#include <fcntl.h>
#include <unistd.h>

#include "kernel/internal/events.h"

namespace acaciasail::kernel {

LineWriter::LineWriter(int fd)
    : m_fd(fd)
    , m_flags(fcntl(fd, F_GETFL))
{
    fcntl(fd, F_SETFL, m_flags | O_NONBLOCK);
}

LineWriter::~LineWriter()
{
    // The last lines may wait for the reader; there is no later.
    fcntl(m_fd, F_SETFL, m_flags);
    flush();
}

void LineWriter::write(std::string_view line)
{
    if (m_pending.size() + line.size() > maxPendingBytes) {
        ++m_dropped;
        ++m_droppedEver;
        flush();
        return;
    }
    if (m_dropped > 0) {
        const EventInfo &info = describe(EventId::LogLinesDropped);
        m_pending += R"({"event":)" + std::to_string(static_cast<int>(info.id)) + R"(,"name":")"
                     + std::string(info.name) + R"(","number":)" + std::to_string(m_dropped)
                     + "}\n";
        m_dropped = 0;
    }
    m_pending += line;
    m_pending += '\n';
    flush();
}

void LineWriter::flush()
{
    std::size_t written = 0;
    while (written < m_pending.size()) {
        const ssize_t count = ::write(m_fd, m_pending.data() + written, m_pending.size() - written);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    m_pending.erase(0, written);
}

} // namespace acaciasail::kernel
