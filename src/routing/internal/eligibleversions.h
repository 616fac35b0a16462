#pragma once

#include <vector>

#include "routing/internal/facts.h"
#include "routing/internal/rollouts.h"

namespace acaciasail::routing {

/// The versions that are eligible to answer one request: at most one for each model of the
/// workspace.
struct EligibleVersions
{
    std::vector<const table::VersionRow *> versions;
    /// Why other versions are not eligible, for the result code of a refusal.
    bool sawWithdrawn = false;
    bool sawContextTooSmall = false;
    bool sawUnavailable = false;
};

/// Collects the eligible versions. For each model, the request's sticky key selects a version by
/// the weights. If that version is the baseline of a running roll-out, the candidate replaces it
/// for the fraction of keys that the roll-out is configured to expose.
EligibleVersions collectEligibleVersions(const table::Snapshot &snapshot,
                                         const RolloutEvidenceStore &rollouts,
                                         const table::WorkspaceRow &workspace,
                                         const RequestFacts &facts,
                                         const TableFreshness &freshness);

/// Returns whether a version can serve the request: it is not excluded, its context is long enough,
/// and an upstream has it loaded.
bool canServe(const table::Snapshot &snapshot, const table::VersionRow &version,
              const RequestFacts &facts);

} // namespace acaciasail::routing
