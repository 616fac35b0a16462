#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace acaciasail::kernel {

/// Writes lines to a descriptor without waiting for its reader.
///
/// What the descriptor does not take is kept up to a bound; lines beyond it are dropped, and a line
/// tells their number once there is room again.
class LineWriter
{
public:
    explicit LineWriter(int fd);
    LineWriter(const LineWriter &) = delete;
    LineWriter &operator=(const LineWriter &) = delete;
    ~LineWriter();

    /// Writes one line, given without its end.
    void write(std::string_view line);
    std::uint64_t dropped() const { return m_droppedEver; }

    static constexpr std::size_t maxPendingBytes = 256U << 10U;

private:
    void flush();

    int m_fd;
    int m_flags;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedEver = 0;
};

} // namespace acaciasail::kernel
