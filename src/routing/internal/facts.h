#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"
#include "table/table.h"

namespace acaciasail::routing {

/// Facts about a request that the choice of a version needs.
struct RequestFacts
{
    kernel::RequestId request;
    kernel::WorkspaceId workspace;
    kernel::KindId kind;
    /// The requested model. Unset means "auto": any of the workspace's models.
    std::optional<kernel::ModelId> model;
    table::Rank rank = table::Rank::Normal;
    kernel::Tokens inputTokens;
    kernel::Tokens expectedOutput;
    /// Version to which the session is pinned.
    std::optional<kernel::VersionId> sessionVersion;
    /// The request starts or continues a session, so a single version must answer it.
    bool inSession = false;
    /// Session id, or the request id if there is no session. The hash of this key divides traffic
    /// between versions.
    std::string stickyKey;
    /// Versions that can't accept requests now, for example because all their upstreams are at
    /// their limit.
    std::vector<kernel::VersionId> exclude;
};

/// Age of the router's copy of the table of workspaces, versions, upstreams and roll-outs (library
/// `table`).
struct TableFreshness
{
    /// Time since the store or a peer last confirmed that the table is current.
    kernel::Duration sinceConfirmed{ 0 };
};

/// A router whose table was not confirmed for this long uses no version in roll-out, because it
/// can't know whether the roll-out was halted.
constexpr kernel::Duration maxTableAgeForRollouts = std::chrono::seconds(30);

/// Why a version was chosen, or why none was.
enum class VersionReason {
    /// The session is pinned to this version.
    SessionPin,
    /// Lowest cost at the required quality.
    LowestCost,
    /// A cheap version answers first, and an expensive one if that answer is not good enough.
    Cascade,
    /// The only version that can serve the request.
    OnlyVersion,
    /// No version reaches the required quality; this version has the highest estimated quality.
    BestQuality,
    /// Chosen to learn the version's quality.
    Exploration,
    /// Ratings have been missing for a long time, and the workspace is configured to use the
    /// version with the best prior quality in that case.
    RatingsMissing,
    /// The session's version is withdrawn; this version replaces it.
    PinWithdrawn,
    /// The session's version is no longer allowed; this version replaces it.
    PinNotAllowed,
    /// The session's version was rolled back; another version, such as its baseline, replaces it.
    PinRolledBack,
    /// The session's version is in roll-out and the table is stale. Another version answers, and
    /// the pin stays.
    PinStale,
    /// The session's version can't accept requests now. Another version answers, and the pin stays.
    PinUnavailable,
    /// The request names a model other than the session's.
    PinOtherModel,
    /// No version can be used; the result code says why.
    Refused,
};

/// Returns the name of the reason for the log.
std::string_view toString(VersionReason reason);

/// The chosen version, or the result code of a refusal.
struct VersionDecision
{
    kernel::ResultCode code = kernel::ResultCode::Ok;
    VersionReason reason = VersionReason::Refused;
    kernel::VersionId version;
    /// Second version of a cascade, which answers if the first answer is not good enough.
    std::optional<kernel::VersionId> escalateTo;
    /// The first answer is escalated to the second version if its confidence is below this value.
    double escalateBelow = 0;
    /// The session id must be reissued with this version.
    bool rebindsSession = false;
    /// Expected cost in micro-currency, including the expected cost of escalation.
    double expectedCost = 0;
    /// Expected quality and its lower confidence bound.
    double expectedQuality = 0;
    double qualityBound = 0;
    /// Cost of the most expensive option for this request, in micro-currency.
    double highestCost = 0;
    /// Expected penalty for cost and latency, minus the price of quality times the lower bound of
    /// the expected quality; lower is better.
    double score = 0;

    bool ok() const { return code == kernel::ResultCode::Ok; }
};

/// Returns the cost of a request at a version, in micro-currency.
double costOf(const table::VersionRow &version, kernel::Tokens input, kernel::Tokens output);

} // namespace acaciasail::routing
