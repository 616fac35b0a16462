#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "externals/internal/interfaces.h"
#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::externals {

/// Characters that stay as they are in a key or prefix that is sent in a target: they separate the
/// key's parts.
constexpr std::string_view keyCharacters = "/:";

/// What a call does; it decides what a missing reply means.
enum class CallKind {
    Read,
    Write,
};

/// The error of a call without a usable answer.
kernel::Error transportError(CallKind kind, const kernel::Error &error);

/// The error of an answer that is not a success. Conflicts carry the code that the call expects.
kernel::Error statusError(CallKind kind, int status, const std::string &what);

/// The error of an answer that can't be read.
kernel::Error formatError(CallKind kind, const std::string &what);

/// Reads the answers of docs/PLATFORM-PROTOCOL.md. Errors: PlatformProtocol.
kernel::Completion<StoredObject> parseObject(std::string_view body);
kernel::Completion<ObjectList> parseObjectList(std::string_view body);
/// Errors: WriteOutcomeUnknown, as the write took effect but its revision is not known.
kernel::Completion<kernel::Revision> parseRevision(std::string_view body);
kernel::Completion<std::vector<VmEntry>> parseVmList(std::string_view body);
kernel::Completion<std::vector<Rating>> parseRatings(std::string_view body);
kernel::Completion<kernel::Duration> parseWait(std::string_view body);

/// The body of a request for leave to load a version.
std::string formatReservation(const kernel::VersionId &version);

} // namespace acaciasail::externals
