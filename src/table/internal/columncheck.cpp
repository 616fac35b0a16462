#include "table/internal/columncheck.h"

#include <algorithm>
#include <cmath>
#include <set>

#include <arpa/inet.h>
#include <nlohmann/json.hpp>

namespace acaciasail::table {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t digestLength = 64;
constexpr int maxPort = 65535;

std::string formatNumber(double number)
{
    return Json(number == std::floor(number) ? Json(static_cast<std::int64_t>(number))
                                             : Json(number))
        .dump();
}

std::string checkNumber(const Column &column, const Json &value)
{
    if (column.type == ColumnType::Integer && !value.is_number_integer())
        return "is not a whole number";
    if (!value.is_number())
        return "is not a number";
    const double number = value.get<double>();
    if (number >= column.minimum && number <= column.maximum)
        return {};
    return "is not between " + formatNumber(column.minimum) + " and "
           + formatNumber(column.maximum);
}

std::string checkChoice(const Column &column, const Json &value)
{
    if (value.is_string()
        && std::ranges::find(column.choices, value.get<std::string>()) != column.choices.end())
        return {};
    std::string message = "is not one of";
    for (const std::string_view choice : column.choices)
        message.append(" \"").append(choice).append("\"");
    return message;
}

std::string checkName(const Json &value)
{
    if (value.is_string() && isValidId(value.get<std::string>()))
        return {};
    return "is not a name (letters, digits, \".\", \"_\" and \"-\", at most 64)";
}

std::string checkNames(const Json &value)
{
    if (!value.is_array())
        return "is not a list";
    std::set<std::string> seen;
    for (const Json &name : value) {
        const std::string error = checkName(name);
        if (!error.empty())
            return "holds " + toPrintableJson(name) + ", which " + error;
        if (!seen.insert(name.get<std::string>()).second)
            return "holds " + toPrintableJson(name) + " twice";
    }
    return {};
}

std::string checkDigest(const Json &value)
{
    constexpr std::string_view digits = "0123456789abcdef";
    if (value.is_string()) {
        const auto text = value.get<std::string>();
        if (text.size() == digestLength && text.find_first_not_of(digits) == std::string::npos)
            return {};
    }
    return "is not a SHA-256 digest (64 lower-case hexadecimal digits)";
}

bool isIpAddress(const std::string &text)
{
    in_addr v4{};
    in6_addr v6{};
    return inet_pton(AF_INET, text.c_str(), &v4) == 1
           || inet_pton(AF_INET6, text.c_str(), &v6) == 1;
}

std::string checkAddress(const Json &value)
{
    const std::string text = value.is_string() ? value.get<std::string>() : std::string();
    const std::size_t colon = text.rfind(':');
    if (colon != std::string::npos && isIpAddress(text.substr(0, colon))) {
        const std::string port = text.substr(colon + 1);
        const bool digits = !port.empty() && port.size() <= 5
                            && port.find_first_not_of("0123456789") == std::string::npos;
        if (digits && std::stoi(port) >= 1 && std::stoi(port) <= maxPort)
            return {};
    }
    return "is not an IP address and port such as \"10.0.0.1:8080\"";
}

std::string checkType(const Column &column, const Json &value)
{
    switch (column.type) {
    case ColumnType::Name:
        return checkName(value);
    case ColumnType::NameList:
        return checkNames(value);
    case ColumnType::Number:
    case ColumnType::Integer:
        return checkNumber(column, value);
    case ColumnType::Boolean:
        return value.is_boolean() ? "" : "is neither true nor false";
    case ColumnType::Choice:
        return checkChoice(column, value);
    case ColumnType::Digest:
        return checkDigest(value);
    case ColumnType::Address:
        return checkAddress(value);
    }
    return "has no type";
}

Json parseNameList(const std::string &text)
{
    Json names = Json::array();
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t comma = std::min(text.find(',', begin), text.size());
        names.push_back(text.substr(begin, comma - begin));
        begin = comma + 1;
    }
    return names;
}

} // namespace

std::string toPrintableJson(const Json &value)
{
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

bool isValidId(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && text.front() != '.'
           && std::ranges::all_of(text, [](unsigned char c) {
                  return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
              });
}

std::string checkValue(const Column &column, const Json &value)
{
    const std::string error = checkType(column, value);
    if (error.empty())
        return {};
    return toPrintableJson(value) + " " + error;
}

Json parseCellText(const Column &column, const std::string &text)
{
    switch (column.type) {
    case ColumnType::NameList:
        return parseNameList(text);
    case ColumnType::Number:
    case ColumnType::Integer:
    case ColumnType::Boolean: {
        Json value = Json::parse(text, nullptr, false);
        if (value.is_number() || value.is_boolean())
            return value;
        break;
    }
    default:
        break;
    }
    return text;
}

std::string toCellText(const Json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (!value.is_array())
        return value.dump();
    std::string text;
    for (const Json &name : value)
        text.append(text.empty() ? "" : ",").append(name.get<std::string>());
    return text;
}

} // namespace acaciasail::table
