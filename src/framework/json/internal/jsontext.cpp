#include "json/internal/jsontext.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace acaciasail::json {

namespace {

using Json = nlohmann::json;

// Depth of the deepest value that is accepted; a configuration has less than ten levels.
constexpr int maxDepth = 64;

// Follows a JSON text byte by byte and tells strings and nesting levels apart.
struct JsonScanner
{
    int depth = 0;
    bool inString = false;
    bool escaped = false;

    void advance(char c)
    {
        if (inString) {
            inString = escaped || c != '"';
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            inString = true;
        } else if (c == '{' || c == '[') {
            ++depth;
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
};

bool isWhitespace(char c)
{
    return c == ' ' || c == '\n' || c == '\r' || c == '\t';
}

bool isTooDeep(std::string_view text)
{
    JsonScanner scanner;
    return std::ranges::any_of(text, [&scanner](char c) {
        scanner.advance(c);
        return scanner.depth > maxDepth;
    });
}

// Returns whether the text has more whitespace in a row than any writer needs.
bool isFilled(std::string_view text)
{
    constexpr int maxWhitespace = 1024;
    const auto isAnyWhitespace = [](char c, bool) { return isWhitespace(c); };
    return std::search_n(text.begin(), text.end(), maxWhitespace + 1, true, isAnyWhitespace)
           != text.end();
}

// Returns the text with one blank in place of each run of whitespace outside of strings.
std::string withoutFilling(std::string_view text)
{
    std::string result;
    JsonScanner scanner;
    bool wasWhitespace = false;
    for (const char c : text) {
        const bool skippable = !scanner.inString && isWhitespace(c);
        scanner.advance(c);
        if (skippable && !wasWhitespace)
            result += ' ';
        if (!skippable)
            result += c;
        wasWhitespace = skippable;
    }
    return result;
}

// Returns a discarded value if the text is not JSON or is nested too deeply. The parser describes
// an error with all whitespace before it, which takes it long for a filled text.
Json parseBounded(std::string_view text)
{
    if (isTooDeep(text))
        return Json(Json::value_t::discarded);
    return isFilled(text) ? Json::parse(withoutFilling(text), nullptr, false)
                          : Json::parse(text, nullptr, false);
}

// A text split at the elements of the lists that are members of its outermost object.
struct SplitText
{
    /// The text without these elements and the commas between them.
    std::string rest;
    std::vector<std::string_view> elements;
};

SplitText splitAtListElements(std::string_view text)
{
    SplitText split;
    JsonScanner scanner;
    bool inList = false;
    std::size_t elementStart = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        const bool structural = !scanner.inString;
        const int depth = scanner.depth;
        scanner.advance(c);
        const bool endsList = inList && structural && c == ']' && depth == 2;
        const bool separates = inList && structural && c == ',' && depth == 2;
        if (endsList || separates) {
            split.elements.push_back(text.substr(elementStart, i - elementStart));
            elementStart = i + 1;
            inList = !endsList;
        }
        if (!inList)
            split.rest += c;
        if (structural && c == '[' && depth == 1) {
            inList = true;
            elementStart = i + 1;
        }
    }
    return split;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && isWhitespace(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isWhitespace(text.back()))
        text.remove_suffix(1);
    return text;
}

bool isAscii(char c)
{
    return static_cast<signed char>(c) >= 0;
}

// Each byte beyond ASCII is written as one of the last 128 code points, in the order of the bytes.
// They are F4 8F BE 80 to F4 8F BF BF in UTF-8.
constexpr std::string_view byteMark = "\xf4\x8f";
constexpr std::size_t markedByteSize = 4;
constexpr unsigned markedPage = 0xBE;
constexpr unsigned continuation = 0x80;
constexpr unsigned continuationBits = 6;
constexpr unsigned continuationMask = 0x3F;

std::string markBytes(std::string_view text)
{
    std::string marked;
    for (const char c : text) {
        if (isAscii(c)) {
            marked += c;
            continue;
        }
        const unsigned offset = static_cast<unsigned char>(c) - continuation;
        marked += byteMark;
        marked += static_cast<char>(markedPage + (offset >> continuationBits));
        marked += static_cast<char>(continuation + (offset & continuationMask));
    }
    return marked;
}

std::string unmarkBytes(std::string_view marked)
{
    std::string text;
    while (!marked.empty()) {
        if (!marked.starts_with(byteMark)) {
            text += marked.front();
            marked.remove_prefix(1);
            continue;
        }
        const unsigned page = static_cast<unsigned char>(marked[2]) - markedPage;
        const unsigned rest = static_cast<unsigned char>(marked[3]) & continuationMask;
        text += static_cast<char>(continuation + (page << continuationBits) + rest);
        marked.remove_prefix(markedByteSize);
    }
    return text;
}

} // namespace

nlohmann::json parse(std::string_view text)
{
    Json json = parseBounded(text);
    if (!json.is_discarded())
        return json;
    std::string ascii(text);
    std::ranges::replace_if(
        ascii, [](char c) { return !isAscii(c); }, '?');
    return parseBounded(ascii);
}

std::string_view memberText(std::string_view object, std::string_view name)
{
    const std::string key = '"' + std::string(name) + '"';
    JsonScanner scanner;
    std::size_t start = 0;
    bool found = false;
    for (std::size_t i = 0; i < object.size(); ++i) {
        const char c = object[i];
        const bool structural = !scanner.inString;
        const int depth = scanner.depth;
        scanner.advance(c);
        if (!structural || depth > 1)
            continue;
        const bool endsMember = depth == 1 && (c == ',' || c == '}');
        const bool endsKey = depth == 1 && c == ':';
        // Each byte is part of one token at most, so the work is linear in the size of the text.
        const auto token = [&] { return trimmed(object.substr(start, i - start)); };
        if (endsMember && found)
            return token();
        if (endsKey)
            found = token() == key;
        if (endsKey || endsMember || depth == 0)
            start = i + 1;
    }
    return {};
}

std::optional<std::string> parseStringBytes(std::string_view text)
{
    const Json json = parseBounded(markBytes(text));
    if (!json.is_string())
        return std::nullopt;
    return unmarkBytes(json.get<std::string>());
}

bool isUtf8(std::string_view text)
{
    // What is ASCII is UTF-8, but may have a meaning in JSON.
    std::string quoted = '"' + std::string(text) + '"';
    std::replace_if(quoted.begin() + 1, quoted.end() - 1, isAscii, 'a');
    return Json::accept(quoted);
}

ParsedList parseList(std::string_view text, const char *name)
{
    ParsedList list;
    list.json = parseBounded(text);
    if (list.json.is_object() && list.json.contains(name) && list.json[name].is_array()) {
        for (Json &value : list.json[name])
            list.elements.push_back({ std::move(value), {} });
        list.json[name].clear();
    }
    if (!list.json.is_discarded())
        return list;
    const SplitText split = splitAtListElements(text);
    list.json = parse(split.rest);
    if (!list.json.is_object() || !list.json.contains(name))
        return list;
    for (const std::string_view element : split.elements)
        list.elements.push_back({ parseBounded(element), element });
    return list;
}

} // namespace acaciasail::json
