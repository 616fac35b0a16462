#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Id of an event in its stream; the ids of a stream increase.
using StreamEventId = kernel::Amount<struct StreamEventIdTag>;

/// Reason for which bytes that end in an empty line are not the next event of a stream.
enum class EventFault {
    None,
    /// A line is not a field of a server-sent event.
    MalformedLine,
    IdMissing,
    IdRepeated,
    /// The id is not a decimal number without sign and leading zeros.
    IdInvalid,
    /// The id is not higher than that of the event before.
    IdNotIncreasing,
};

std::string_view toString(EventFault fault);

/// Result of reading the bytes of one event.
struct EventReading
{
    EventFault fault = EventFault::None;
    /// The event has comments only, so it has no id and means nothing to its receiver.
    bool isComment = false;
    StreamEventId id;
};

/// Reads the fields of an event that follows the event with id `last` in its stream.
EventReading readEvent(std::string_view bytes, std::optional<StreamEventId> last);

/// Reads an event id; nothing if it is invalid.
std::optional<StreamEventId> parseEventId(std::string_view text);

} // namespace acaciasail::forwarding
