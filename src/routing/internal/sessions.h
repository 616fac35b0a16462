#pragma once

#include <string>
#include <string_view>

#include "kernel/kernel.h"

namespace acaciasail::routing {

/// Content of a session id. The id contains the pinned version, so that any router can read the
/// version without a query.
struct SessionPin
{
    kernel::WorkspaceId workspace;
    kernel::VersionId version;
    kernel::WallTime issuedAt{};
    /// Identifies the session for its whole lifetime, also when the session gets another version.
    kernel::SessionId session;

    friend bool operator==(const SessionPin &, const SessionPin &) = default;
};

/// Maximum length of a session id, in bytes.
constexpr std::size_t maxSessionText = 1024;

/// Returns a pin as signed text: payload and HMAC-SHA256, both in base64url, joined by a dot. An
/// empty `pin.session` is replaced by a random id.
std::string issueSession(std::string_view secret, const SessionPin &pin, kernel::Random &random);

/// Parses and verifies a signed pin. Errors: SessionMalformed (format, signature or content is
/// wrong).
kernel::Result<SessionPin> readSession(std::string_view secret, std::string_view text);

} // namespace acaciasail::routing
