#pragma once

#include "kernel/kernel.h"
#include "routing/internal/facts.h"
#include "routing/internal/quality.h"
#include "routing/internal/rollouts.h"
#include "table/table.h"

namespace acaciasail::routing {

/// Maximum amount by which the quality of one kind of request may fall below the workspace's target
/// while the workspace's mean reaches the target.
constexpr double maxKindShortfall = 0.1;

/// Chooses the version that answers a request.
///
/// The version to which a session is pinned has precedence while it is allowed. Otherwise each
/// model of the workspace (or only the requested model) contributes one version, by the current
/// weights and roll-outs, and the version or cascade with the best score at the workspace's price
/// of quality is chosen. Codes: Ok, NoVersionAllowed, ModelNotFound, ModelNotAllowed,
/// VersionWithdrawn, TableStale, ContextTooLong, NoUpstream.
VersionDecision chooseVersion(const table::Snapshot &snapshot, const QualityEstimates &quality,
                              const RolloutEvidenceStore &rollouts, const RequestFacts &facts,
                              const TableFreshness &freshness, kernel::Instant now);

} // namespace acaciasail::routing
