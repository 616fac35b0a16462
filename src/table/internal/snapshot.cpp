#include "table/internal/snapshot.h"

#include <algorithm>

namespace acaciasail::table {

namespace {

void indexUpstreams(Snapshot &snapshot)
{
    for (const auto &[id, upstream] : snapshot.upstreams) {
        for (const kernel::VersionId &version : upstream.versions)
            snapshot.upstreamsOfVersion[version].push_back(id);
        for (const kernel::ServiceName &service : upstream.services)
            snapshot.upstreamsOfService[service].push_back(id);
    }
    for (auto &[version, ids] : snapshot.upstreamsOfVersion)
        std::ranges::sort(ids);
    for (auto &[service, ids] : snapshot.upstreamsOfService)
        std::ranges::sort(ids);
}

// Adds a roll-out to an index. If a version has several running roll-outs, the one with the lowest
// id is used, so that all daemons agree.
void addLowestRollout(std::unordered_map<kernel::VersionId, kernel::RolloutId> &index,
                      const kernel::VersionId &version, const kernel::RolloutId &rollout)
{
    const auto [entry, isNew] = index.try_emplace(version, rollout);
    if (!isNew && rollout < entry->second)
        entry->second = rollout;
}

void indexRollouts(Snapshot &snapshot)
{
    for (const auto &[id, rollout] : snapshot.rollouts) {
        if (rollout.state == RolloutState::Halted)
            snapshot.haltedCandidates.insert(rollout.candidate);
        if (rollout.state != RolloutState::Running)
            continue;
        addLowestRollout(snapshot.rolloutOfCandidate, rollout.candidate, id);
        addLowestRollout(snapshot.rolloutOfBaseline, rollout.baseline, id);
    }
    for (const auto &[id, rollout] : snapshot.rollouts) {
        if (rollout.state != RolloutState::Halted)
            snapshot.haltedCandidates.erase(rollout.candidate);
    }
}

void indexAllowedVersions(Snapshot &snapshot)
{
    for (const auto &[id, weights] : snapshot.weights) {
        const auto workspace = snapshot.workspaces.find(id);
        if (workspace == snapshot.workspaces.end())
            continue;
        const auto &models = workspace->second.models;
        auto &allowed = snapshot.allowedVersions[id];
        for (const WeightRow &weight : weights) {
            const auto version = snapshot.versions.find(weight.version);
            if (version == snapshot.versions.end())
                continue;
            const auto model = std::ranges::find(models, version->second.model);
            if (model == models.end())
                continue;
            allowed.push_back(
                { .row = version->second,
                  .model = static_cast<std::size_t>(model - models.begin()),
                  .weight = weight.weight,
                  .splitsByWeight = !snapshot.rolloutOfCandidate.contains(weight.version)
                                    && !snapshot.haltedCandidates.contains(weight.version),
                  .isServed = snapshot.upstreamsOfVersion.contains(weight.version),
                  .hash = kernel::hash64(weight.version.str()) });
        }
    }
}

bool hasWeightRow(const Snapshot &snapshot, const kernel::WorkspaceId &workspace,
                  const kernel::VersionId &version)
{
    const auto weights = snapshot.weights.find(workspace);
    return weights != snapshot.weights.end()
           && std::ranges::find(weights->second, version, &WeightRow::version)
                  != weights->second.end();
}

} // namespace

void buildIndexes(Snapshot &snapshot)
{
    for (const auto &[id, caller] : snapshot.callers)
        snapshot.callersByKey[caller.keySha256] = id;
    for (auto &[workspace, weights] : snapshot.weights)
        std::ranges::sort(weights, {}, &WeightRow::version);
    for (const auto &[id, version] : snapshot.versions)
        snapshot.versionsOfModel[version.model].push_back(id);
    for (auto &[model, ids] : snapshot.versionsOfModel)
        std::ranges::sort(ids);
    indexRollouts(snapshot);
    indexUpstreams(snapshot);
    indexAllowedVersions(snapshot);
}

bool versionAllowed(const Snapshot &snapshot, const kernel::WorkspaceId &workspace,
                    const kernel::VersionId &version)
{
    const auto row = snapshot.versions.find(version);
    if (row == snapshot.versions.end() || row->second.state == VersionState::Withdrawn)
        return false;
    const auto owner = snapshot.workspaces.find(workspace);
    if (owner == snapshot.workspaces.end()
        || std::ranges::find(owner->second.models, row->second.model)
               == owner->second.models.end()) {
        return false;
    }
    if (hasWeightRow(snapshot, workspace, version))
        return true;
    const auto rollout = snapshot.rolloutOfCandidate.find(version);
    return rollout != snapshot.rolloutOfCandidate.end()
           && hasWeightRow(snapshot, workspace, snapshot.rollouts.at(rollout->second).baseline);
}

} // namespace acaciasail::table
