#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace acaciasail::json {

/// Parses a JSON text; returns a discarded value if the text is not JSON, or is nested too deeply
/// for functions that call themselves for each level. A text with invalid UTF-8 is parsed with all
/// its non-ASCII bytes replaced by '?', so that one object with invalid bytes doesn't make the
/// others unreadable.
nlohmann::json parse(std::string_view text);

/// Returns the text of a member's value in the text of a JSON object, which may hold what can't be
/// parsed; empty if there is no such member.
std::string_view memberText(std::string_view object, std::string_view name);

/// Returns the bytes of a JSON string, which need not be UTF-8. Returns nothing if the text is no
/// JSON string.
std::optional<std::string> parseStringBytes(std::string_view text);

bool isUtf8(std::string_view text);

/// An element of a list.
struct ListElement
{
    /// A discarded value if the text can't be parsed.
    nlohmann::json value;
    /// The element's text; empty if the whole list could be parsed.
    std::string_view text;
};

/// A JSON object one of whose members is a list.
struct ParsedList
{
    /// The object without the list's elements; a discarded value if it is not JSON.
    nlohmann::json json;
    std::vector<ListElement> elements;
};

/// Parses a JSON object with a list in the member `name`. An element that can't be parsed doesn't
/// make the others unreadable. The elements' texts are parts of `text`.
ParsedList parseList(std::string_view text, const char *name);

} // namespace acaciasail::json
