#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "upstreams/internal/job.h"

namespace acaciasail::upstreams {

/// Fields of one event of an engine's stream, or of its complete JSON response.
struct EngineEvent
{
    std::string request;
    std::string attempt;
    std::optional<std::int64_t> tokenIndex;
    /// Text of the delta, or of the complete message.
    std::string content;
    std::string finishReason;
    std::optional<Usage> usage;
    std::string errorCode;
    std::string errorMessage;
};

/// Data of the event that ends a stream.
constexpr std::string_view streamEndMarker = "[DONE]";

/// Parses the JSON of one event or response. Returns nothing if the JSON is malformed. Unknown
/// fields are ignored.
std::optional<EngineEvent> parseEngineEvent(std::string_view json);

/// Returns the request body of an attempt that resumes after the tokens already delivered. Without
/// delivered tokens the body is returned unchanged. Returns nothing if the body is not a JSON
/// object.
std::optional<std::string> resumeBody(const std::string &body, std::int64_t tokens,
                                      const std::string &text);

} // namespace acaciasail::upstreams
