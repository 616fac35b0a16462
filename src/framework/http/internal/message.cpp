#include "http/internal/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace acaciasail::http {

namespace {

// Decodes %XX and + of one part of a query; malformed escapes stay as they are.
std::string decodeQueryPart(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        const bool escape = text[i] == '%' && i + 2 < text.size();
        if (escape
            && std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, hexadecimal).ptr
                   == text.data() + i + 3) {
            decoded += static_cast<char>(byte);
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

std::optional<std::string_view> findHeader(const Headers &headers, std::string_view name)
{
    const auto found = std::ranges::find(headers, name, &Header::name);
    if (found == headers.end())
        return std::nullopt;
    return found->value;
}

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

bool hasControlByte(std::string_view text)
{
    return std::ranges::any_of(text,
                               [](unsigned char c) { return c != '\t' && std::iscntrl(c) != 0; });
}

bool isFieldValue(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    return !hasControlByte(text) && text.find_first_of(blanks) != 0
           && (text.empty() || blanks.find(text.back()) == std::string_view::npos);
}

std::size_t countHeaders(const Headers &headers, std::string_view name)
{
    return static_cast<std::size_t>(std::ranges::count(headers, name, &Header::name));
}

ConnectionHeaders::ConnectionHeaders(const Headers &headers)
{
    for (const Header &header : headers) {
        if (header.name != "connection")
            continue;
        std::string_view options = header.value;
        while (!options.empty()) {
            const std::size_t end = std::min(options.find(','), options.size());
            std::string_view option = options.substr(0, end);
            options.remove_prefix(std::min(end + 1, options.size()));
            while (!option.empty() && option.front() == ' ')
                option.remove_prefix(1);
            while (!option.empty() && option.back() == ' ')
                option.remove_suffix(1);
            m_named.insert(lowerCase(option));
        }
    }
}

bool ConnectionHeaders::contains(std::string_view name) const
{
    constexpr std::array<std::string_view, 11> always{
        "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection",
        "te",         "trailer",    "transfer-encoding",  "content-length",      "upgrade",
        "host",
    };
    return std::ranges::find(always, name) != always.end() || m_named.contains(name);
}

std::optional<std::string> queryParameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view part = query.substr(0, query.find('&'));
        const std::size_t equals = part.find('=');
        if (part.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : decodeQueryPart(part.substr(equals + 1));
        }
        query.remove_prefix(std::min(query.size(), part.size() + 1));
    }
    return std::nullopt;
}

std::string percentEncode(std::string_view text, std::string_view plain)
{
    constexpr std::string_view unreserved = "-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || unreserved.find(c) != std::string_view::npos
            || plain.find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 15U];
        }
    }
    return encoded;
}

} // namespace acaciasail::http
