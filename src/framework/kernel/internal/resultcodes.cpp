#include "kernel/internal/resultcodes.h"

#include <algorithm>
#include <array>

namespace acaciasail::kernel {

namespace {

// clang-format off
constexpr std::array resultCodeTable{
    ResultCodeInfo{ ResultCode::Ok, "Ok", 200, RunState::Ran,
        "The request was answered." },
    ResultCodeInfo{ ResultCode::MalformedJson, "MalformedJson", 400, RunState::NotRun,
        "The body is not well-formed JSON." },
    ResultCodeInfo{ ResultCode::InvalidUtf8, "InvalidUtf8", 400, RunState::NotRun,
        "A text of the request is not valid UTF-8." },
    ResultCodeInfo{ ResultCode::InvalidField, "InvalidField", 400, RunState::NotRun,
        "A field is missing, of the wrong type or out of its range." },
    ResultCodeInfo{ ResultCode::BodyTooLarge, "BodyTooLarge", 413, RunState::NotRun,
        "The body exceeds the limit of the settings." },
    ResultCodeInfo{ ResultCode::HeadersTooLarge, "HeadersTooLarge", 431, RunState::NotRun,
        "The headers exceed the limit of the settings." },
    ResultCodeInfo{ ResultCode::MalformedRequest, "MalformedRequest", 400, RunState::NotRun,
        "The request breaks the HTTP rules, such as conflicting lengths." },
    ResultCodeInfo{ ResultCode::RouteNotFound, "RouteNotFound", 404, RunState::NotRun,
        "No such path." },
    ResultCodeInfo{ ResultCode::MethodNotAllowed, "MethodNotAllowed", 405, RunState::NotRun,
        "The path does not take this method." },
    ResultCodeInfo{ ResultCode::MissingIdempotencyKey, "MissingIdempotencyKey", 400, RunState::NotRun,
        "The service requires an Idempotency-Key header." },
    ResultCodeInfo{ ResultCode::RequestTimeout, "RequestTimeout", 408, RunState::NotRun,
        "The request was not received whole in time." },
    ResultCodeInfo{ ResultCode::IdempotencyKeyReused, "IdempotencyKeyReused", 422, RunState::NotRun,
        "The idempotency key was used with another request." },
    ResultCodeInfo{ ResultCode::MissingCredentials, "MissingCredentials", 401, RunState::NotRun,
        "The Authorization header is missing or not a bearer key." },
    ResultCodeInfo{ ResultCode::UnknownCaller, "UnknownCaller", 401, RunState::NotRun,
        "No caller has this key." },
    ResultCodeInfo{ ResultCode::ModelNotFound, "ModelNotFound", 404, RunState::NotRun,
        "No such model." },
    ResultCodeInfo{ ResultCode::ModelNotAllowed, "ModelNotAllowed", 403, RunState::NotRun,
        "The workspace may not use this model." },
    ResultCodeInfo{ ResultCode::RankNotAllowed, "RankNotAllowed", 403, RunState::NotRun,
        "The caller may not use this service tier." },
    ResultCodeInfo{ ResultCode::ServiceUnknown, "ServiceUnknown", 404, RunState::NotRun,
        "No such plain service." },
    ResultCodeInfo{ ResultCode::ServiceNotAllowed, "ServiceNotAllowed", 403, RunState::NotRun,
        "The workspace may not use this service." },
    ResultCodeInfo{ ResultCode::SessionMalformed, "SessionMalformed", 400, RunState::NotRun,
        "The session id has a wrong form or signature." },
    ResultCodeInfo{ ResultCode::RateLimited, "RateLimited", 429, RunState::NotRun,
        "The caller or workspace exceeds its requests a second." },
    ResultCodeInfo{ ResultCode::TokenLimited, "TokenLimited", 429, RunState::NotRun,
        "The caller or workspace exceeds its tokens a minute." },
    ResultCodeInfo{ ResultCode::ConcurrencyLimited, "ConcurrencyLimited", 429, RunState::NotRun,
        "The caller or workspace has too many requests in progress." },
    ResultCodeInfo{ ResultCode::QueueFull, "QueueFull", 503, RunState::NotRun,
        "The queue of the rank is full." },
    ResultCodeInfo{ ResultCode::DeadlineUnreachable, "DeadlineUnreachable", 503, RunState::NotRun,
        "The work ahead makes the deadline impossible." },
    ResultCodeInfo{ ResultCode::DeadlinePassed, "DeadlinePassed", 504, RunState::NotRun,
        "The deadline passed while the request waited." },
    ResultCodeInfo{ ResultCode::Draining, "Draining", 503, RunState::NotRun,
        "The daemon is shutting down." },
    ResultCodeInfo{ ResultCode::NoTable, "NoTable", 503, RunState::NotRun,
        "The daemon has no configuration yet." },
    ResultCodeInfo{ ResultCode::NoVersionAllowed, "NoVersionAllowed", 403, RunState::NotRun,
        "No version of the model is allowed to the workspace." },
    ResultCodeInfo{ ResultCode::VersionWithdrawn, "VersionWithdrawn", 409, RunState::NotRun,
        "The version that the request needs is withdrawn." },
    ResultCodeInfo{ ResultCode::NoUpstream, "NoUpstream", 503, RunState::NotRun,
        "No upstream can serve the version or service." },
    ResultCodeInfo{ ResultCode::PoisonRefused, "PoisonRefused", 422, RunState::NotRun,
        "The request crashed the upstreams that ran it and is refused." },
    ResultCodeInfo{ ResultCode::TableStale, "TableStale", 503, RunState::NotRun,
        "The configuration is too old to use a version in roll-out." },
    ResultCodeInfo{ ResultCode::ContextTooLong, "ContextTooLong", 400, RunState::NotRun,
        "The request and its answer exceed the context of every version allowed." },
    ResultCodeInfo{ ResultCode::UpstreamConnectFailed, "UpstreamConnectFailed", 502, RunState::NotRun,
        "The upstream could not be reached." },
    ResultCodeInfo{ ResultCode::UpstreamTimeout, "UpstreamTimeout", 504, RunState::Unknown,
        "The upstream did not answer in time." },
    ResultCodeInfo{ ResultCode::UpstreamBroken, "UpstreamBroken", 502, RunState::Unknown,
        "The connection to the upstream broke." },
    ResultCodeInfo{ ResultCode::UpstreamRefused, "UpstreamRefused", 502, RunState::NotRun,
        "The upstream refused the request before running it." },
    ResultCodeInfo{ ResultCode::UpstreamProtocol, "UpstreamProtocol", 502, RunState::Unknown,
        "The upstream's answer breaks its protocol." },
    ResultCodeInfo{ ResultCode::RetryBudgetSpent, "RetryBudgetSpent", 503, RunState::NotRun,
        "No retry is allowed: retries exceed their share of traffic." },
    ResultCodeInfo{ ResultCode::StreamCut, "StreamCut", 502, RunState::Ran,
        "The answer was cut and could not be resumed." },
    ResultCodeInfo{ ResultCode::Cancelled, "Cancelled", 499, RunState::Unknown,
        "The caller went away." },
    ResultCodeInfo{ ResultCode::UpstreamOverloaded, "UpstreamOverloaded", 503, RunState::NotRun,
        "Every upstream of the version is at its limit." },
    ResultCodeInfo{ ResultCode::ClaimHeldElsewhere, "ClaimHeldElsewhere", 503, RunState::NotRun,
        "The owner of the idempotency key can't be reached." },
    ResultCodeInfo{ ResultCode::ClaimUnavailable, "ClaimUnavailable", 503, RunState::NotRun,
        "The claim could not be made, so the request was not started." },
    ResultCodeInfo{ ResultCode::ClaimOutcomeUnknown, "ClaimOutcomeUnknown", 409, RunState::Unknown,
        "An earlier run with this idempotency key has an unknown outcome." },
    ResultCodeInfo{ ResultCode::ClaimRunning, "ClaimRunning", 409, RunState::Unknown,
        "A request with this idempotency key is in progress." },
    ResultCodeInfo{ ResultCode::BillNotHeld, "BillNotHeld", 503, RunState::Ran,
        "The bill could not be secured before the end of the answer." },
    ResultCodeInfo{ ResultCode::LedgerFull, "LedgerFull", 503, RunState::NotRun,
        "The store is down and the memory for records is full." },
    ResultCodeInfo{ ResultCode::LedgerIsolated, "LedgerIsolated", 503, RunState::NotRun,
        "Neither a peer nor the store can be reached to hold bills." },
    ResultCodeInfo{ ResultCode::UnknownTable, "UnknownTable", 404, RunState::NotRun,
        "No table of this name." },
    ResultCodeInfo{ ResultCode::UnknownColumn, "UnknownColumn", 400, RunState::NotRun,
        "The table has no such column." },
    ResultCodeInfo{ ResultCode::InvalidCell, "InvalidCell", 400, RunState::NotRun,
        "The cell's value has a wrong type or is out of its range." },
    ResultCodeInfo{ ResultCode::RowNotFound, "RowNotFound", 404, RunState::NotRun,
        "The table has no such row." },
    ResultCodeInfo{ ResultCode::RowExists, "RowExists", 409, RunState::NotRun,
        "The row exists already." },
    ResultCodeInfo{ ResultCode::RowInvalid, "RowInvalid", 400, RunState::NotRun,
        "The row breaks a rule of its table." },
    ResultCodeInfo{ ResultCode::DanglingReference, "DanglingReference", 400, RunState::NotRun,
        "The row names another row that does not exist." },
    ResultCodeInfo{ ResultCode::EditConflict, "EditConflict", 409, RunState::NotRun,
        "The row changed since it was read." },
    ResultCodeInfo{ ResultCode::PlatformUnreachable, "PlatformUnreachable", 503, RunState::NotRun,
        "The platform's service can't be reached." },
    ResultCodeInfo{ ResultCode::ObjectNotFound, "ObjectNotFound", 404, RunState::NotRun,
        "The object does not exist." },
    ResultCodeInfo{ ResultCode::ObjectExists, "ObjectExists", 409, RunState::NotRun,
        "The object exists already." },
    ResultCodeInfo{ ResultCode::RevisionConflict, "RevisionConflict", 409, RunState::NotRun,
        "The object has another revision than expected." },
    ResultCodeInfo{ ResultCode::WriteOutcomeUnknown, "WriteOutcomeUnknown", 503, RunState::Unknown,
        "No reply came to a write; it may have taken effect." },
    ResultCodeInfo{ ResultCode::WatchCompacted, "WatchCompacted", 410, RunState::NotRun,
        "The watch's start is older than the store's history." },
    ResultCodeInfo{ ResultCode::PlatformProtocol, "PlatformProtocol", 502, RunState::Unknown,
        "The platform's answer breaks its protocol." },
    ResultCodeInfo{ ResultCode::PlatformThrottled, "PlatformThrottled", 429, RunState::NotRun,
        "The platform refused the call for its rate." },
    ResultCodeInfo{ ResultCode::PeerUnreachable, "PeerUnreachable", 503, RunState::NotRun,
        "The peer can't be reached." },
    ResultCodeInfo{ ResultCode::PeerProtocol, "PeerProtocol", 502, RunState::Unknown,
        "The peer's answer breaks the protocol." },
    ResultCodeInfo{ ResultCode::PeerTimeout, "PeerTimeout", 504, RunState::Unknown,
        "The peer did not answer in time." },
    ResultCodeInfo{ ResultCode::LeaseLost, "LeaseLost", 409, RunState::NotRun,
        "The lease is no longer held." },
    ResultCodeInfo{ ResultCode::FencingRefused, "FencingRefused", 409, RunState::NotRun,
        "The upstream has seen a later fencing number." },
    ResultCodeInfo{ ResultCode::NoPeer, "NoPeer", 503, RunState::NotRun,
        "No live peer is known." },
    ResultCodeInfo{ ResultCode::PeerBroken, "PeerBroken", 502, RunState::Unknown,
        "The connection broke while the peer's answer was awaited." },
    ResultCodeInfo{ ResultCode::InternalError, "InternalError", 500, RunState::Unknown,
        "An error of the daemon itself." },
    ResultCodeInfo{ ResultCode::SettingsUnreadable, "SettingsUnreadable", 500, RunState::NotRun,
        "The settings file can't be read or is not TOML." },
    ResultCodeInfo{ ResultCode::SettingsInvalid, "SettingsInvalid", 500, RunState::NotRun,
        "The settings hold one or more mistakes." },
    ResultCodeInfo{ ResultCode::ServiceNameTaken, "ServiceNameTaken", 500, RunState::NotRun,
        "A service of this name is registered already." },
    ResultCodeInfo{ ResultCode::ServiceNotFound, "ServiceNotFound", 500, RunState::NotRun,
        "No service of this name is registered." },
    ResultCodeInfo{ ResultCode::ServiceTypeMismatch, "ServiceTypeMismatch", 500, RunState::NotRun,
        "The service of this name has another type." },
    ResultCodeInfo{ ResultCode::ListenFailed, "ListenFailed", 500, RunState::NotRun,
        "The address can't be listened on." },
    ResultCodeInfo{ ResultCode::TlsFailed, "TlsFailed", 500, RunState::NotRun,
        "The certificate or key can't be used." },
    ResultCodeInfo{ ResultCode::UsageError, "UsageError", 400, RunState::NotRun,
        "The command line is wrong." },
};
// clang-format on

} // namespace

std::string_view toString(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not_run";
    case RunState::Ran:
        return "ran";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

std::span<const ResultCodeInfo> resultCodes()
{
    return resultCodeTable;
}

const ResultCodeInfo &describe(ResultCode code)
{
    const auto found = std::ranges::find(resultCodeTable, code, &ResultCodeInfo::code);
    if (found != resultCodeTable.end())
        return *found;
    return *std::ranges::find(resultCodeTable, ResultCode::InternalError, &ResultCodeInfo::code);
}

std::optional<ResultCode> resultCodeFromNumber(int number)
{
    const auto found = std::ranges::find_if(resultCodeTable, [number](const ResultCodeInfo &info) {
        return toNumber(info.code) == number;
    });
    if (found == resultCodeTable.end())
        return std::nullopt;
    return found->code;
}

} // namespace acaciasail::kernel
