#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "gateway/internal/apierror.h"
#include "http/http.h"
#include "kernel/kernel.h"
#include "routing/routing.h"
#include "table/table.h"

namespace acaciasail::gateway {

/// A validated chat completion request of a caller.
struct ChatRequest
{
    kernel::RequestId id;
    /// Requested model; nullopt means "auto".
    std::optional<kernel::ModelId> model;
    /// Category of the request; the quality of each version is estimated by category.
    kernel::KindId kind;
    /// Requested rank; nullopt means the default rank.
    std::optional<table::Rank> rank;
    bool stream = false;
    bool includeUsage = false;
    std::optional<std::int64_t> maxTokens;
    /// Estimated number of tokens of the messages.
    kernel::Tokens inputTokens;
    /// Hashes of the prompt's prefixes, from shortest to longest.
    std::vector<routing::PrefixHash> prefixes;
    /// X-Session-Id as sent by the caller; "new" requests a new session.
    std::string session;
    kernel::IdempotencyKey idempotencyKey;
    /// Timeout for the complete answer, set by the caller.
    std::optional<kernel::Duration> timeout;
    /// The body as JSON, without the fields that only the router reads. upstreamBody adds the
    /// version and the priority.
    std::string body;
};

/// Returns the rank of a `service_tier` ("priority", "default" or "auto", "flex"), or nullopt if
/// the tier is unknown.
std::optional<table::Rank> rankOfTier(std::string_view tier);
/// Returns the `service_tier` of a rank.
std::string_view tierOf(table::Rank rank);

/// Returns the X-Request-Id of the request, or a new id if the header is missing.
/// Errors: InvalidField.
kernel::Result<kernel::RequestId> readRequestId(const http::ServerRequest &request,
                                                kernel::Random &random);

/// Reads and validates a chat completion request.
/// Errors: MalformedJson, InvalidUtf8, InvalidField, MalformedRequest.
kernel::Result<ChatRequest> readChatRequest(const http::ServerRequest &request,
                                            const kernel::RequestId &id);

/// Returns the Idempotency-Key header, or an empty key if it is missing. Errors: InvalidField.
kernel::Result<kernel::IdempotencyKey> readIdempotencyKey(const http::Headers &headers);

/// Returns the timeout of the X-Deadline-Ms header, or nullopt if it is missing.
/// Errors: InvalidField.
kernel::Result<std::optional<kernel::Duration>> readTimeout(const http::Headers &headers);

/// Returns the request body that is sent to an upstream that serves the version.
std::string upstreamBody(const ChatRequest &request, const kernel::VersionId &version,
                         table::Rank rank);

} // namespace acaciasail::gateway
