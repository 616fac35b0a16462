#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace acaciasail::forwarding {

/// The bytes of one event of a stream, including the empty line that ends it.
struct StreamEvent
{
    std::string_view bytes;
    /// Number of bytes of the stream before this event.
    std::uint64_t offset = 0;
};

/// What the receiver of an event makes of it.
enum class EventUse {
    Accepted,
    /// The event means nothing to the receiver, such as a comment.
    Ignored,
    /// The event is no part of the stream; the rest of the stream is not read.
    Rejected,
};

/// Splits a stream of server-sent events into complete events, independent of how the bytes are
/// divided into pieces. Empty lines between events are left out.
class EventSplitter
{
public:
    /// Maximum size of an event.
    static constexpr std::size_t maxEventBytes = 256U << 10U;
    /// Maximum size of what is ignored between two events.
    static constexpr std::size_t maxIgnoredBytes = 16U << 10U;

    enum class Result {
        Ok,
        /// The function rejected an event.
        Rejected,
        /// An event, or what is to be ignored before it, exceeds the maximum size.
        TooLong,
    };

    /// Calls the function for each event that the piece completes. The splitter must not be changed
    /// from within the call.
    Result feed(std::string_view piece,
                const std::function<EventUse(const StreamEvent &)> &onEvent);
    /// Returns whether bytes of an incomplete event are buffered.
    bool partial() const { return !m_buffer.empty(); }
    /// Returns the number of bytes of the stream up to the end of the last complete event.
    std::uint64_t offset() const { return m_offset; }
    void reset() { *this = {}; }

private:
    // Position in the buffer.
    struct Cursor
    {
        std::size_t begin = 0;
        std::size_t searchFrom = 0;
    };

    void skipEmptyLines(Cursor &cursor);

    std::string m_buffer;
    std::uint64_t m_offset = 0;
    std::size_t m_ignoredBytes = 0;
};

} // namespace acaciasail::forwarding
