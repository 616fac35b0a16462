#pragma once

#include <string>
#include <variant>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::table {

/// Priority classes of requests, most urgent first. Callers select them with `service_tier`.
enum class Rank {
    /// `priority`
    Urgent,
    /// `default`
    Normal,
    /// `flex`
    Flex,
};

constexpr int rankCount = 3;

/// How routing selects a version for a workspace after ratings have been missing for a long time.
enum class RatingsFallback {
    /// Use the quality estimates from the last ratings.
    KeepLast,
    /// Use the version with the highest prior quality.
    UseDearest,
};

/// A tenant with its own callers, quality target and limits.
struct WorkspaceRow
{
    kernel::WorkspaceId id;
    std::vector<kernel::ModelId> models;
    std::vector<kernel::ServiceName> services;
    /// Target of the mean quality, between 0 and 1.
    double qualityTarget = 0.8;
    Rank highestRank = Rank::Urgent;
    RatingsFallback ratingsFallback = RatingsFallback::UseDearest;
    /// Urgent requests are sent to a single version directly, without a cascade.
    bool urgentSkipsCascade = true;
    /// Weights of cost and latency in the choice among versions that reach the quality target.
    double costWeight = 1;
    double latencyWeight = 0;
    /// Weight of this workspace, relative to the other workspaces, for the division of the capacity
    /// when the workspaces together demand more than there is.
    double share = 1;
};

/// A client that sends requests and is identified by an API key. The row contains only the key's
/// SHA-256.
struct CallerRow
{
    kernel::CallerId id;
    kernel::WorkspaceId workspace;
    std::string keySha256;
    Rank highestRank = Rank::Urgent;
    /// Weight of this caller, relative to the other callers, for the division of the workspace's
    /// capacity.
    double share = 1;
};

/// A model. A request names a model, or "auto" for the cheapest model of sufficient quality.
struct ModelRow
{
    kernel::ModelId id;
};

enum class VersionState {
    Active,
    Withdrawn,
};

/// One version of a model.
struct VersionRow
{
    kernel::VersionId id;
    kernel::ModelId model;
    VersionState state = VersionState::Active;
    /// Prices of a million input tokens and of a million output tokens.
    kernel::MicroCurrency inputPrice;
    kernel::MicroCurrency outputPrice;
    /// Quality expected before there are ratings, between 0 and 1.
    double priorQuality = 0.5;
    /// Maximum number of tokens of a request and its answer together.
    kernel::Tokens context{ 8192 };
};

/// Allows a workspace to use a version, and sets the version's share of the model's traffic.
struct WeightRow
{
    kernel::WorkspaceId workspace;
    kernel::VersionId version;
    /// Weight relative to the workspace's other versions of the same model; a version with weight 0
    /// gets no new sessions.
    double weight = 1;
};

enum class LimitScope {
    Workspace,
    Caller,
};

/// Limits of the requests of a workspace or caller; 0 stands for no limit.
struct LimitRow
{
    LimitScope scope = LimitScope::Caller;
    /// Id of the workspace or caller, according to `scope`.
    std::string subject;
    double requestsPerSecond = 0;
    kernel::Tokens tokensPerMinute;
    std::int64_t concurrency = 0;
};

enum class UpstreamKind {
    Model,
    Application,
};

enum class UpstreamState {
    Active,
    Leaving,
};

/// A model runner or application runner.
struct UpstreamRow
{
    kernel::UpstreamId id;
    UpstreamKind kind = UpstreamKind::Model;
    kernel::DataCentreId dataCentre;
    kernel::Endpoint endpoint;
    UpstreamState state = UpstreamState::Active;
    /// Versions that a model runner has loaded.
    std::vector<kernel::VersionId> versions;
    /// Plain (non-model) services that an application runner serves.
    std::vector<kernel::ServiceName> services;
    /// The upstream rejects requests with a stale fencing token.
    bool checksFencing = false;
};

enum class RolloutState {
    Running,
    Halted,
    Finished,
};

/// The gradual replacement of a version (baseline) by another version of the same model
/// (candidate).
struct RolloutRow
{
    kernel::RolloutId id;
    kernel::VersionId baseline;
    kernel::VersionId candidate;
    RolloutState state = RolloutState::Running;
    /// Fraction of the baseline's new work that is sent to the candidate, between 0 and 1.
    double exposure = 0.1;
    /// Increase of the candidate's error rate over the baseline's at which the roll-out halts,
    /// between 0 and 1.
    double maxErrorIncrease = 0.05;
    /// Ratio of the candidate's latency to the baseline's at which the roll-out halts.
    double maxLatencyFactor = 2;
    /// Decrease of the quality below the baseline's at which the roll-out halts, between 0 and 1.
    double maxQualityDrop = 0.1;
};

/// A plain service, which isn't a model.
struct ServiceRow
{
    kernel::ServiceName id;
    /// Calls other than GET and HEAD must not be retried, and require an Idempotency-Key.
    bool nonIdempotent = true;
    kernel::Duration timeout = std::chrono::seconds(30);
    kernel::MicroCurrency pricePerCall;
};

using Row = std::variant<WorkspaceRow, CallerRow, ModelRow, VersionRow, WeightRow, LimitRow,
                         UpstreamRow, RolloutRow, ServiceRow>;

} // namespace acaciasail::table
