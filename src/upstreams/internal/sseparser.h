#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace acaciasail::upstreams {

/// Parses a stream of server-sent events that arrives in arbitrary pieces.
///
/// Only `data` fields are kept, because the engines send no other fields that the router needs.
class SseParser
{
public:
    using EventHandler = std::function<void(std::string_view data)>;

    /// Maximum length of a line and of an event. A longer one makes feed() return false.
    static constexpr std::size_t maxEventBytes = 1U << 20U;

    /// Parses the next piece of the stream and calls the handler for each completed event. Returns
    /// false once a line or an event is too long. The rest of the stream is then ignored.
    bool feed(std::string_view piece, const EventHandler &handler);

private:
    bool processLine(std::string_view line, const EventHandler &handler);

    std::string m_partialLine;
    std::string m_data;
    bool m_hasData = false;
    bool m_failed = false;
};

} // namespace acaciasail::upstreams
