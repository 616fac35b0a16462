#pragma once

#include <string>
#include <vector>

#include "table/table.h"

namespace acaciasail::routing::tests {

/// Specification of one version in a test table.
struct VersionSpec
{
    std::string id;
    std::string model;
    double priorQuality = 0.8;
    /// Input and output price, in micro-currency per million tokens.
    std::int64_t price = 1'000'000;
    double weight = 1;
    bool withdrawn = false;
};

/// Returns a snapshot with the workspace "ws", these versions and one upstream for each version.
inline table::Snapshot makeSnapshot(const std::vector<VersionSpec> &specs,
                                    const std::vector<table::RolloutRow> &rollouts = {})
{
    table::Snapshot snapshot;
    const kernel::WorkspaceId workspace("ws");
    table::WorkspaceRow &row = snapshot.workspaces[workspace];
    row.id = workspace;
    for (const VersionSpec &spec : specs) {
        const kernel::VersionId version(spec.id);
        const kernel::ModelId model(spec.model);
        if (snapshot.models.try_emplace(model, table::ModelRow{ model }).second)
            row.models.push_back(model);
        snapshot.versions[version] = { .id = version,
                                       .model = model,
                                       .state = spec.withdrawn ? table::VersionState::Withdrawn
                                                               : table::VersionState::Active,
                                       .inputPrice = kernel::MicroCurrency(spec.price),
                                       .outputPrice = kernel::MicroCurrency(spec.price),
                                       .priorQuality = spec.priorQuality };
        if (spec.weight >= 0)
            snapshot.weights[workspace].push_back({ workspace, version, spec.weight });
        const kernel::UpstreamId upstream("runner-" + spec.id);
        snapshot.upstreams[upstream] = { .id = upstream, .versions = { version } };
    }
    for (const table::RolloutRow &rollout : rollouts)
        snapshot.rollouts[rollout.id] = rollout;
    table::buildIndexes(snapshot);
    return snapshot;
}

/// A negative weight means that the version has no weight row.
constexpr double noWeight = -1;

inline table::RolloutRow makeRollout(const std::string &baseline, const std::string &candidate,
                                     double exposure)
{
    return { .id = kernel::RolloutId("r1"),
             .baseline = kernel::VersionId(baseline),
             .candidate = kernel::VersionId(candidate),
             .exposure = exposure };
}

} // namespace acaciasail::routing::tests
