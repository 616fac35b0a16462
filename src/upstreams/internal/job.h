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

/// What the chooser of a target has to know of the attempt.
struct AttemptContext
{
    /// Counts from 1.
    int attempt = 1;
    /// Upstreams that must not be chosen: already failed in this job, or kept apart.
    std::vector<kernel::UpstreamId> exclude;
    /// Upstreams that run a suspect; better not chosen.
    std::vector<kernel::UpstreamId> avoid;
    /// The request is suspected of crashing upstreams; an idle upstream is best.
    bool suspect = false;
};

/// Chooses the target of one attempt; it checks again that the version is not withdrawn.
/// Errors: VersionWithdrawn, NoUpstream, UpstreamOverloaded, Draining.
using TargetChooser = std::function<kernel::Completion<Target>(const AttemptContext &)>;

enum class JobKind {
    /// A completion by a model engine.
    Completion,
    /// A call of a plain service, passed through as it is.
    Service,
};

/// One request to run.
struct JobSpec
{
    kernel::RequestId request;
    JobKind kind = JobKind::Completion;
    table::Rank rank = table::Rank::Normal;
    /// It may run again if an attempt's outcome is unknown.
    bool idempotent = true;
    kernel::Instant deadline;
    std::string method = "POST";
    /// Path with the query.
    std::string path = "/v1/chat/completions";
    http::Headers headers;
    /// Of a completion: the engine's JSON, with `model` and `priority` set.
    std::string body;
    /// The completion is answered as server-sent events.
    bool stream = false;
    poison::Fingerprint fingerprint;
    TargetChooser chooseTarget;
};

/// Tokens read and generated.
struct Usage
{
    kernel::Tokens input;
    kernel::Tokens output;
};

/// How a job ended.
struct JobResult
{
    kernel::ResultCode code = kernel::ResultCode::Ok;
    /// What is known of the runs of all attempts together.
    kernel::RunState runState = kernel::RunState::NotRun;
    std::string message;
    Usage usage;
    /// Upstream of the last attempt.
    kernel::UpstreamId upstream;
    int attempts = 0;
    /// Set on a completion that ended: "stop", "length".
    std::string finishReason;
    std::optional<kernel::Instant> firstTokenAt;
    /// The engine's request to wait before another try.
    std::optional<kernel::Duration> retryAfter;
};

/// Receives a job's answer. Each function may be empty; onEnd is called once, last.
struct JobHandlers
{
    /// Status and headers of a plain service's answer.
    std::function<void(const http::ClientHead &)> onHead;
    /// The next piece of a completion's text; tokens count from 0 without gap or repeat. A
    /// completion that is not streamed comes in one piece.
    std::function<void(std::string_view text, std::int64_t tokenIndex)> onText;
    /// A piece of a plain service's body.
    std::function<void(std::string_view piece)> onRaw;
    std::function<void(const JobResult &)> onEnd;
};

/// A job in progress; destroying it cancels its attempt, and no handler is called any more.
class Job
{
public:
    virtual ~Job() = default;
};

} // namespace acaciasail::upstreams
