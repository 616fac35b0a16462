#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace acaciasail::kernel {

/// The numbered results that callers, operators and logs see; docs/RESULT-CODES.md explains each.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // 10xx: the caller's input
    MalformedJson = 1001,
    InvalidUtf8 = 1002,
    InvalidField = 1003,
    BodyTooLarge = 1004,
    HeadersTooLarge = 1005,
    MalformedRequest = 1006,
    RouteNotFound = 1007,
    MethodNotAllowed = 1008,
    MissingIdempotencyKey = 1009,
    RequestTimeout = 1010,
    IdempotencyKeyReused = 1011,

    // 11xx: who asks, and for what
    MissingCredentials = 1101,
    UnknownCaller = 1102,
    ModelNotFound = 1103,
    ModelNotAllowed = 1104,
    RankNotAllowed = 1105,
    ServiceUnknown = 1106,
    ServiceNotAllowed = 1107,
    SessionMalformed = 1108,

    // 12xx: admission
    RateLimited = 1201,
    TokenLimited = 1202,
    ConcurrencyLimited = 1203,
    QueueFull = 1204,
    DeadlineUnreachable = 1205,
    DeadlinePassed = 1206,
    Draining = 1207,
    NoTable = 1208,

    // 13xx: routing
    NoVersionAllowed = 1301,
    VersionWithdrawn = 1302,
    NoUpstream = 1303,
    PoisonRefused = 1304,
    TableStale = 1305,
    ContextTooLong = 1306,

    // 14xx: upstreams
    UpstreamConnectFailed = 1401,
    UpstreamTimeout = 1402,
    UpstreamBroken = 1403,
    UpstreamRefused = 1404,
    UpstreamProtocol = 1405,
    RetryBudgetSpent = 1406,
    StreamCut = 1407,
    Cancelled = 1408,
    UpstreamOverloaded = 1409,

    // 15xx: bills and claims
    ClaimHeldElsewhere = 1501,
    ClaimUnavailable = 1502,
    ClaimOutcomeUnknown = 1503,
    ClaimRunning = 1504,
    BillNotHeld = 1505,
    LedgerFull = 1506,
    LedgerIsolated = 1507,

    // 16xx: the table
    UnknownTable = 1601,
    UnknownColumn = 1602,
    InvalidCell = 1603,
    RowNotFound = 1604,
    RowExists = 1605,
    RowInvalid = 1606,
    DanglingReference = 1607,
    EditConflict = 1608,

    // 17xx: the platform
    PlatformUnreachable = 1701,
    ObjectNotFound = 1702,
    ObjectExists = 1703,
    RevisionConflict = 1704,
    WriteOutcomeUnknown = 1705,
    WatchCompacted = 1706,
    PlatformProtocol = 1707,
    PlatformThrottled = 1708,

    // 18xx: peers and placement
    PeerUnreachable = 1801,
    PeerProtocol = 1802,
    PeerTimeout = 1803,
    LeaseLost = 1804,
    FencingRefused = 1805,
    NoPeer = 1806,
    PeerBroken = 1807,

    // 19xx: the process itself
    InternalError = 1901,
    SettingsUnreadable = 1902,
    SettingsInvalid = 1903,
    ServiceNameTaken = 1904,
    ServiceNotFound = 1905,
    ServiceTypeMismatch = 1906,
    ListenFailed = 1907,
    TlsFailed = 1908,
    UsageError = 1909,
};

/// What a refusal or failure says about whether the request ran at an upstream.
enum class RunState {
    NotRun,
    Ran,
    Unknown,
};

/// The name of a run state as callers see it: "not_run", "ran" or "unknown".
std::string_view toString(RunState state);

/// One row of the table of result codes.
struct ResultCodeInfo
{
    ResultCode code;
    std::string_view name;
    /// HTTP status with which a caller gets it.
    int httpStatus;
    /// What it says of the run where the place that raises it knows no better.
    RunState runState;
    std::string_view meaning;
};

/// All result codes, in the order of their numbers.
std::span<const ResultCodeInfo> resultCodes();

/// The row of a code; an unlisted one gives the row of InternalError.
const ResultCodeInfo &describe(ResultCode code);

/// The number of a code.
constexpr int toNumber(ResultCode code)
{
    return static_cast<int>(code);
}

/// The code of a number, if listed.
std::optional<ResultCode> resultCodeFromNumber(int number);

} // namespace acaciasail::kernel
