#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace acaciasail::forwarding {

/// One whole event of a stream, with the empty line that ends it.
struct StreamEvent
{
    std::string_view bytes;
    /// The value of its id field, if it has one.
    std::optional<std::string> id;
};

/// Cuts a stream of server-sent events into whole events, however it arrives.
class EventSplitter
{
public:
    /// Longest event; a longer one makes feed() return false.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// Calls the function for each event that the piece ends.
    bool feed(std::string_view piece, const std::function<void(const StreamEvent &)> &onEvent);
    /// Whether bytes of an event that did not end are left.
    bool partial() const { return !m_buffer.empty(); }
    void reset() { m_buffer.clear(); }

private:
    std::string m_buffer;
};

} // namespace acaciasail::forwarding
