#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "kernel/kernel.h"

namespace acaciasail::routing {

/// Outcomes of one version as monotonically increasing integers, so that the larger of two values
/// is the later one.
struct ArmCounters
{
    std::int64_t requests = 0;
    std::int64_t errors = 0;
    /// Number of latencies, and the sums of the natural logarithms of the latencies (in
    /// microseconds) and of their squares; both sums are in millionths.
    std::int64_t latencies = 0;
    std::int64_t logLatencySum = 0;
    std::int64_t logLatencySquares = 0;
    /// Number of ratings, and the sums of their scores and of the squared scores; both sums are in
    /// millionths.
    std::int64_t ratings = 0;
    std::int64_t ratingSum = 0;
    std::int64_t ratingSquares = 0;

    friend bool operator==(const ArmCounters &, const ArmCounters &) = default;
};

/// Evidence about a roll-out from one router.
struct RouterEvidence
{
    ArmCounters baseline;
    ArmCounters candidate;
    /// The router has decided that the candidate must be halted.
    bool halted = false;

    friend bool operator==(const RouterEvidence &, const RouterEvidence &) = default;
};

/// Evidence about a roll-out by reporting router. The key identifies one run of a router process
/// (VM and start), so that a VM that restarts with zeroed counters gets a new entry.
using RolloutEvidence = std::map<std::string, RouterEvidence>;

/// Evidence about all roll-outs.
using EvidenceMap = std::unordered_map<kernel::RolloutId, RolloutEvidence>;

/// Merges evidence by taking the maximum of each counter of each router. The merge is commutative,
/// associative and idempotent, so evidence may arrive late, twice, in any order and by any path.
void mergeEvidence(RolloutEvidence &into, const RolloutEvidence &from);

/// Returns the evidence about one roll-out as JSON for the peers.
std::string encodeEvidence(const kernel::RolloutId &rollout, const RolloutEvidence &evidence);

struct DecodedEvidence
{
    kernel::RolloutId rollout;
    RolloutEvidence evidence;
};

/// Parses evidence. Fields unknown to this release are ignored, and missing fields are zero.
/// Errors: MalformedJson, InvalidField.
kernel::Result<DecodedEvidence> decodeEvidence(std::string_view text);

} // namespace acaciasail::routing
