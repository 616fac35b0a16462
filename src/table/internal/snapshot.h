#pragma once

#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "kernel/kernel.h"
#include "table/internal/rows.h"

namespace acaciasail::table {

/// A version that a workspace may use, with all data that the choice of a version needs.
struct AllowedVersion
{
    VersionRow row;
    /// Index of the version's model among the workspace's models.
    std::size_t model = 0;
    double weight = 1;
    /// The version gets its share of the model's traffic by weight. Candidates of running and
    /// halted roll-outs don't.
    bool splitsByWeight = true;
    /// At least one upstream has loaded the version.
    bool isServed = false;
    /// The stable hash of the version's id.
    std::uint64_t hash = 0;
};

/// The rows in force at one time, with the indexes that routing decisions need. A snapshot is
/// immutable once published, so a decision may hold on to it.
struct Snapshot
{
    std::unordered_map<kernel::WorkspaceId, WorkspaceRow> workspaces;
    std::unordered_map<kernel::CallerId, CallerRow> callers;
    std::unordered_map<kernel::ModelId, ModelRow> models;
    std::unordered_map<kernel::VersionId, VersionRow> versions;
    std::unordered_map<kernel::UpstreamId, UpstreamRow> upstreams;
    std::unordered_map<kernel::RolloutId, RolloutRow> rollouts;
    std::unordered_map<kernel::ServiceName, ServiceRow> services;
    std::unordered_map<kernel::WorkspaceId, LimitRow> workspaceLimits;
    std::unordered_map<kernel::CallerId, LimitRow> callerLimits;

    /// Callers by the SHA-256 of their keys.
    std::unordered_map<std::string, kernel::CallerId> callersByKey;
    /// Weight rows of a workspace, in order of version.
    std::unordered_map<kernel::WorkspaceId, std::vector<WeightRow>> weights;
    /// Versions that a workspace may use according to its models and weights, in order of id.
    /// Withdrawn versions are included, so that a refusal can give the withdrawal as its reason.
    std::unordered_map<kernel::WorkspaceId, std::vector<AllowedVersion>> allowedVersions;
    /// Versions of a model, in order of id.
    std::unordered_map<kernel::ModelId, std::vector<kernel::VersionId>> versionsOfModel;
    /// Running roll-outs by their candidate.
    std::unordered_map<kernel::VersionId, kernel::RolloutId> rolloutOfCandidate;
    /// Running roll-outs by their baseline.
    std::unordered_map<kernel::VersionId, kernel::RolloutId> rolloutOfBaseline;
    /// Candidates with a halted roll-out, except those with another roll-out that is running or
    /// finished.
    std::unordered_set<kernel::VersionId> haltedCandidates;
    /// Upstreams by loaded version and by service, in order of id.
    std::unordered_map<kernel::VersionId, std::vector<kernel::UpstreamId>> upstreamsOfVersion;
    std::unordered_map<kernel::ServiceName, std::vector<kernel::UpstreamId>> upstreamsOfService;

    /// Highest revision among the rows.
    kernel::Revision revision;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

/// Builds the indexes of a snapshot from its rows.
void buildIndexes(Snapshot &snapshot);

/// Returns whether a version may get new work from a workspace now: the workspace has the version's
/// model, a weight row allows the version (or the baseline of a running roll-out whose candidate
/// the version is), and the version is not withdrawn.
bool versionAllowed(const Snapshot &snapshot, const kernel::WorkspaceId &workspace,
                    const kernel::VersionId &version);

} // namespace acaciasail::table
