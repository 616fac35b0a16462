#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kernel/kernel.h"

namespace acaciasail::poison {

/// Hash of the content of a request. A request that is sent again has the same fingerprint.
using Fingerprint = kernel::Id<struct FingerprintTag>;

/// Returns the fingerprint of a request. It covers the workspace, path and body, but no ids or
/// times.
Fingerprint makeFingerprint(const kernel::WorkspaceId &workspace, std::string_view path,
                            std::string_view body);

/// Number of crashes after which a request is refused.
constexpr int poisonCrashThreshold = 2;
/// Crash reports about one upstream within this time refer to the same crash.
constexpr kernel::Duration crashWindow = std::chrono::seconds(10);
/// Age at which evidence expires.
constexpr kernel::Duration evidenceLifetime = std::chrono::hours(24);

/// Evidence about one request.
struct PoisonEvidence
{
    /// For each upstream, the times at which it crashed while it ran the request.
    std::map<kernel::UpstreamId, std::set<kernel::WallTime>> crashTimes;
    /// Time at which the request last ran to completion. Crashes up to that time don't count.
    std::optional<kernel::WallTime> completedAt;

    friend bool operator==(const PoisonEvidence &, const PoisonEvidence &) = default;
};

/// Evidence about requests that crash upstreams. Merging is commutative and idempotent, so routers
/// get the same evidence in whatever order they merge it.
struct PoisonEvidenceSet
{
    std::unordered_map<Fingerprint, PoisonEvidence> evidence;
    /// Maximum number of tracked requests. Requests that are not refused are evicted first, those
    /// with the oldest evidence before the others.
    std::size_t capacity = 4096;
};

/// Records that an upstream crashed while it ran the request.
void recordCrash(PoisonEvidenceSet &book, const Fingerprint &fingerprint,
                 const kernel::UpstreamId &upstream, kernel::WallTime at);

/// Records that a request ran to completion, so that its earlier crashes no longer count. A request
/// without evidence gets no entry.
void recordCompletion(PoisonEvidenceSet &book, const Fingerprint &fingerprint, kernel::WallTime at);

/// Removes the crashes of an upstream up to that time from all requests, as it did not crash then.
/// Returns whether there were any.
bool dropCrashes(PoisonEvidenceSet &book, const kernel::UpstreamId &upstream,
                 kernel::WallTime until);

/// Returns the number of crashes of upstreams while they ran the request, since it last ran to
/// completion.
int unclearedCrashes(const PoisonEvidenceSet &book, const Fingerprint &fingerprint);
int unclearedCrashes(const PoisonEvidence &evidence);

/// Removes expired evidence, and evidence beyond the capacity.
void expire(PoisonEvidenceSet &book, kernel::WallTime now);

/// Returns the most important evidence, for at most `maxRequests` requests: refused requests first,
/// then those with the newest evidence.
PoisonEvidenceSet mostImportantEvidence(const PoisonEvidenceSet &book, std::size_t maxRequests);

/// Returns the evidence selected by mostImportantEvidence(), encoded as CBOR.
std::string encode(const PoisonEvidenceSet &book, std::size_t maxRequests);

/// Merges evidence from another router. Returns true if any of it was new.
bool merge(PoisonEvidenceSet &book, const PoisonEvidenceSet &other);

/// Merges encoded evidence from another router. Returns true if any of it was new. Errors:
/// PeerProtocol.
kernel::Result<bool> merge(PoisonEvidenceSet &book, std::string_view bytes);

} // namespace acaciasail::poison
