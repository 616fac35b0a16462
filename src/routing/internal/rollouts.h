#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "kernel/kernel.h"
#include "routing/internal/evidence.h"
#include "routing/internal/facts.h"
#include "table/table.h"

namespace acaciasail::routing {

/// Evidence about all roll-outs known to this router: its own and that of its peers.
struct RolloutEvidenceStore
{
    /// Key of this run of the router process in the evidence.
    std::string self;
    EvidenceMap evidence;
};

/// One outcome at the baseline or the candidate of a running roll-out. A value that is not known
/// yet stays unset and is recorded later in an outcome of its own.
struct RolloutOutcome
{
    /// Set when the attempt has ended: true for an error of the version, false for a success or an
    /// error of the caller.
    std::optional<bool> error;
    /// Time to the first token, or another measure that is the same for both versions.
    std::optional<kernel::Duration> latency;
    /// Rating of the answer, between 0 and 1.
    std::optional<double> rating;
};

/// Records an outcome if the version is the baseline or candidate of a running roll-out.
void recordOutcome(RolloutEvidenceStore &book, const table::Snapshot &snapshot,
                   const kernel::VersionId &version, const RolloutOutcome &outcome);

/// Records evidence from a peer.
void recordEvidence(RolloutEvidenceStore &book, const DecodedEvidence &evidence);

/// Returns this router's own evidence about a roll-out, which it sends to its peers.
RolloutEvidence ownEvidence(const RolloutEvidenceStore &book, const kernel::RolloutId &rollout);

/// Returns the sum of the evidence over all routers.
RouterEvidence totalEvidence(const RolloutEvidence &evidence);

/// Removes the evidence about roll-outs that are finished or no longer in the table.
void removeFinishedRollouts(RolloutEvidenceStore &book, const table::Snapshot &snapshot);

enum class RolloutVerdict {
    Continue,
    Halt,
};

enum class HaltReason {
    None,
    Errors,
    Latency,
    Ratings,
    /// Another router has halted the roll-out.
    Peer,
};

/// Returns the name of the reason for the log.
std::string_view toString(HaltReason reason);

/// Result of judging a roll-out, with the evidence for the log.
struct RolloutJudgement
{
    RolloutVerdict verdict = RolloutVerdict::Continue;
    HaltReason reason = HaltReason::None;
    /// Log-likelihood ratios of "the candidate is as bad as the roll-out's configured limit"
    /// against "the candidate is as good as the baseline".
    double errorEvidence = 0;
    double latencyEvidence = 0;
    double ratingEvidence = 0;
    std::int64_t candidateRequests = 0;
};

/// Judges a roll-out by sequential tests, which may be evaluated after every outcome.
RolloutJudgement judgeRollout(const table::RolloutRow &row, const RolloutEvidence &evidence);

/// Marks a roll-out as halted by this router. The mark is disseminated with the evidence and is
/// never removed.
void recordHalt(RolloutEvidenceStore &book, const kernel::RolloutId &rollout);

/// Returns whether the roll-out was halted by this router or by a peer whose evidence has arrived.
bool haltedByEvidence(const RolloutEvidenceStore &book, const kernel::RolloutId &rollout);

/// Why a roll-out keeps its candidate from getting new requests: the roll-out was halted in the
/// table or by evidence (RolledBack), or it is running while the table is stale (Stale).
enum class RolloutBlock {
    None,
    RolledBack,
    Stale,
};

RolloutBlock rolloutBlock(const table::Snapshot &snapshot, const RolloutEvidenceStore &book,
                          const kernel::VersionId &version, const TableFreshness &freshness);

/// Returns whether a version may get requests of a workspace at this moment. Callers check this
/// again at dispatch, at each retry and at escalation.
bool dispatchAllowed(const table::Snapshot &snapshot, const RolloutEvidenceStore &book,
                     const kernel::WorkspaceId &workspace, const kernel::VersionId &version,
                     const TableFreshness &freshness);

} // namespace acaciasail::routing
