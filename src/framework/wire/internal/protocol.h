#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "wire/internal/http2transport.h"

namespace acaciasail::wire {

/// Header of an answer with the number of its result code.
constexpr std::string_view codeHeader = "acaciasail-code";

constexpr int statusOk = 200;

/// The path of a method.
inline std::string pathOf(const std::string &method)
{
    return "/v" + std::to_string(protocolRelease) + "/" + method;
}

/// The method of a path; none for another release's.
inline std::optional<std::string> methodOf(const std::string &path)
{
    const std::string prefix = pathOf({});
    if (!path.starts_with(prefix))
        return std::nullopt;
    return path.substr(prefix.size());
}

} // namespace acaciasail::wire
