#pragma once

#include <optional>
#include <string_view>

#include "http/internal/message.h"

namespace acaciasail::http {

/// Whether the empty line that ends a request's head is among these bytes.
bool holdsWholeHead(std::string_view bytes);

/// Reads the head of an HTTP/1.1 request, without its body; empty if it isn't whole or is
/// malformed.
std::optional<ServerRequest> readRequestHead(std::string_view bytes);

} // namespace acaciasail::http
