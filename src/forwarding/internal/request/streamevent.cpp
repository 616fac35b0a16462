#include "forwarding/internal/request/streamevent.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace acaciasail::forwarding {

namespace {

constexpr std::string_view idField = "id";
// Field names that may stand in a line without a colon, as their value may be empty.
constexpr std::array<std::string_view, 3> fieldsWithoutValue{ "data", "event", "retry" };

bool isFieldName(std::string_view name)
{
    return !name.empty() && std::ranges::all_of(name, [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_';
    });
}

std::string_view trimSpaces(std::string_view text)
{
    while (text.starts_with(' '))
        text.remove_prefix(1);
    while (text.ends_with(' '))
        text.remove_suffix(1);
    return text;
}

// Takes the first line off a text, without its line break.
std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    return line;
}

// The fields of the lines read so far.
struct Fields
{
    EventFault fault = EventFault::None;
    bool any = false;
    std::optional<std::string_view> id;
};

void readLine(std::string_view line, Fields &fields)
{
    // A carriage return within a line ends the line for some receivers.
    if (line.find('\r') != std::string_view::npos) {
        fields.fault = EventFault::MalformedLine;
        return;
    }
    if (line.empty() || line.starts_with(':'))
        return;
    fields.any = true;
    const std::size_t colon = std::min(line.find(':'), line.size());
    const std::string_view name = line.substr(0, colon);
    if (name == idField) {
        if (fields.id)
            fields.fault = EventFault::IdRepeated;
        fields.id = trimSpaces(line.substr(std::min(colon + 1, line.size())));
        return;
    }
    const bool hasColon = colon < line.size();
    if (hasColon ? !isFieldName(name)
                 : std::ranges::find(fieldsWithoutValue, name) == fieldsWithoutValue.end())
        fields.fault = EventFault::MalformedLine;
}

} // namespace

std::string_view toString(EventFault fault)
{
    switch (fault) {
    case EventFault::MalformedLine:
        return "a line is no field of an event";
    case EventFault::IdMissing:
        return "event without an id";
    case EventFault::IdRepeated:
        return "event with several ids";
    case EventFault::IdInvalid:
        return "event id is not a number";
    case EventFault::IdNotIncreasing:
        return "event id does not increase";
    case EventFault::None:
        break;
    }
    return "no fault";
}

std::optional<StreamEventId> parseEventId(std::string_view text)
{
    const bool startsWithDigit
        = !text.empty() && std::isdigit(static_cast<unsigned char>(text.front())) != 0;
    if (!startsWithDigit || (text.size() > 1 && text.front() == '0'))
        return std::nullopt;
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return StreamEventId(number);
}

EventReading readEvent(std::string_view bytes, std::optional<StreamEventId> last)
{
    Fields fields;
    while (!bytes.empty() && fields.fault == EventFault::None)
        readLine(takeLine(bytes), fields);
    EventReading reading;
    reading.fault = fields.fault;
    if (reading.fault != EventFault::None)
        return reading;
    if (!fields.id) {
        reading.isComment = !fields.any;
        reading.fault = fields.any ? EventFault::IdMissing : EventFault::None;
        return reading;
    }
    const auto id = parseEventId(*fields.id);
    if (!id)
        reading.fault = EventFault::IdInvalid;
    else if (last && *id <= *last)
        reading.fault = EventFault::IdNotIncreasing;
    else
        reading.id = *id;
    return reading;
}

} // namespace acaciasail::forwarding
