#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/http.h"
#include "kernel/kernel.h"
#include "poison/poison.h"
#include "table/table.h"

namespace acaciasail::upstreams {

/// An upstream chosen for an attempt.
struct Target
{
    kernel::UpstreamId upstream;
    kernel::Endpoint endpoint;
};

/// Inputs for the choice of an attempt's target.
struct AttemptContext
{
    /// Counts from 1.
    int attempt = 1;
    /// Upstreams that must not be chosen: those that already failed in this job and, if this
    /// request is suspected of crashing upstreams, those that run another suspected request or, for
    /// an isolated attempt, any request of this router.
    std::vector<kernel::UpstreamId> exclude;
    /// Upstreams that run a suspected request and should be chosen only if no other is available.
    std::vector<kernel::UpstreamId> avoid;
    /// The request is suspected of crashing upstreams, so an idle upstream is preferred.
    bool suspect = false;
};

/// Chooses the target of one attempt. The function checks again that the version is not withdrawn.
/// Errors: VersionWithdrawn, NoUpstream, UpstreamOverloaded, Draining.
using TargetChooser = std::function<kernel::Completion<Target>(const AttemptContext &)>;

enum class JobKind {
    /// A completion by a model engine.
    Completion,
    /// A service call: a call to an upstream that is not a model engine, passed through unchanged.
    Service,
};

/// One request to run.
struct JobSpec
{
    kernel::RequestId request;
    JobKind kind = JobKind::Completion;
    table::Rank rank = table::Rank::Normal;
    /// The request may be sent again when the outcome of an attempt is unknown.
    bool idempotent = true;
    kernel::Instant deadline;
    std::string method = "POST";
    /// Path with the query string.
    std::string path = "/v1/chat/completions";
    http::Headers headers;
    /// For a completion, the JSON for the engine, with `model` and `priority` set.
    std::string body;
    /// The completion is streamed as server-sent events.
    bool stream = false;
    poison::Fingerprint fingerprint;
    TargetChooser chooseTarget;
};

/// Input tokens read and output tokens generated.
struct Usage
{
    kernel::Tokens input;
    kernel::Tokens output;
};

/// Outcome of a job.
struct JobResult
{
    kernel::ResultCode code = kernel::ResultCode::Ok;
    /// Whether the request ran, combined over all attempts.
    kernel::RunState runState = kernel::RunState::NotRun;
    std::string message;
    Usage usage;
    /// The upstream of the last attempt.
    kernel::UpstreamId upstream;
    int attempts = 0;
    /// The engine's finish reason of a finished completion, for example "stop" or "length".
    std::string finishReason;
    std::optional<kernel::Instant> firstTokenAt;
    /// The engine's request to wait before a retry.
    std::optional<kernel::Duration> retryAfter;
};

/// Callbacks that receive a job's response. Each function may be empty. onEnd is called exactly
/// once, after all others.
struct JobHandlers
{
    /// Receives the status and headers of the response to a service call.
    std::function<void(const http::ClientHead &)> onHead;
    /// Receives the next piece of a completion's text. Token indexes count from 0 without gaps or
    /// duplicates. A completion that is not streamed arrives in one piece.
    std::function<void(std::string_view text, std::int64_t tokenIndex)> onText;
    /// Receives a piece of the body of the response to a service call.
    std::function<void(std::string_view piece)> onBodyPiece;
    std::function<void(const JobResult &)> onEnd;
};

/// Handle of a running job. Destroying the handle cancels the attempt in flight, and no handler is
/// called after that.
class Job
{
public:
    virtual ~Job() = default;
};

} // namespace acaciasail::upstreams
