#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "forwarding/internal/types.h"
#include "poison/poison.h"

namespace acaciasail::forwarding {

/// Evidence on one prompt part: whether upstreams crash when they run requests with it.
struct PartEvidence
{
    /// Upstream processes that crashed while they ran requests with the part, and when.
    std::map<kernel::UpstreamId, kernel::WallTime> crashes;
    /// Requests that were lost in these crashes; only a few are kept.
    std::set<poison::Fingerprint> requests;
    /// Time at which a request with the part last ran to completion. Crashes up to that time don't
    /// count.
    std::optional<kernel::WallTime> completedAt;
    /// Times at which a request with the part was sent although the part was blamed, to see whether
    /// it still crashes upstreams; only the last few are kept.
    std::set<kernel::WallTime> trials;

    friend bool operator==(const PartEvidence &, const PartEvidence &) = default;
};

/// Evidence on prompt parts. Merging is commutative and idempotent.
using PartEvidenceSet = std::map<PromptPartKey, PartEvidence>;

/// Upstream processes of each service that crashed, and when.
using CrashedProcesses
    = std::map<kernel::ServiceName, std::map<kernel::UpstreamId, kernel::WallTime>>;

/// A time for each of several parts.
using PartTimes = std::map<PromptPartKey, kernel::WallTime>;

/// Prompt parts that crash upstreams.
struct BlamedParts
{
    std::set<PromptPartKey> parts;
    /// Upstream processes that crashed because of these parts.
    std::set<kernel::UpstreamId> processes;

    friend bool operator==(const BlamedParts &, const BlamedParts &) = default;
};

/// Returns the processes that crashed after a request with the part last ran to completion.
std::set<kernel::UpstreamId> unclearedCrashes(const PartEvidence &evidence);

/// Removes the crash of a process up to that time from all parts, as the process did not crash
/// then. Returns whether there was one.
bool dropCrash(PartEvidenceSet &evidence, const kernel::UpstreamId &process,
               kernel::WallTime until);

/// Merges the evidence; returns whether any of it was new.
bool mergePartEvidence(PartEvidenceSet &evidence, const PartEvidenceSet &other);

/// Finds the parts that explain why upstreams crashed.
///
/// Sound requests are lost beside those that crash an upstream, so each part of a lost request is
/// under suspicion. A sound part is completed again soon; a crashing one never is, and it was at
/// most of the crashes of its time. A crash that one part explains counts against no other.
/// `writtenAt` holds the times at which upstreams last began to write a response to a request with
/// the part that then went on for a while.
BlamedParts findBlamedParts(const PartEvidenceSet &evidence, const CrashedProcesses &crashed,
                            const PartTimes &writtenAt);

/// Returns the evidence on the parts with the most crashes, for at most `maxParts` parts.
PartEvidenceSet mostImportantParts(const PartEvidenceSet &evidence, std::size_t maxParts);

/// Removes expired evidence, and evidence on the parts with the fewest crashes beyond the capacity.
void expirePartEvidence(PartEvidenceSet &evidence, kernel::WallTime now);

} // namespace acaciasail::forwarding
