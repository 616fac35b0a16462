#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace acaciasail::forwarding {

/// One complete event of a stream, including the empty line that ends it.
struct StreamEvent
{
    std::string_view bytes;
    /// Value of the event's id field, if present.
    std::optional<std::string> id;
};

/// Splits a stream of server-sent events into complete events, independent of how the bytes are
/// divided into pieces.
class EventSplitter
{
public:
    /// Maximum size of an event; feed() returns false for a longer one.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// Calls the function for each event that the piece completes.
    bool feed(std::string_view piece, const std::function<void(const StreamEvent &)> &onEvent);
    /// Returns whether bytes of an incomplete event are buffered.
    bool partial() const { return !m_buffer.empty(); }
    void reset() { m_buffer.clear(); }

private:
    std::string m_buffer;
};

} // namespace acaciasail::forwarding
