#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "kernel/kernel.h"

namespace acaciasail::poison {

/// Hash of what a request asks for, the same for each time that it is sent.
using Fingerprint = kernel::Id<struct FingerprintTag>;

/// The fingerprint of a request: workspace, path and body, without ids or times.
Fingerprint makeFingerprint(const kernel::WorkspaceId &workspace, std::string_view path,
                            std::string_view body);

/// Crashes after which a request is refused.
constexpr int poisonStrikes = 2;
/// Sightings of one upstream within this time belong to the same crash.
constexpr kernel::Duration crashWindow = std::chrono::seconds(10);
/// Age at which evidence is forgotten.
constexpr kernel::Duration evidenceLifetime = std::chrono::hours(24);

/// What is known of one request.
struct PoisonEvidence
{
    /// Times at which an upstream crashed while it ran the request.
    std::map<kernel::UpstreamId, std::set<kernel::WallTime>> sightings;
    /// It ran to its end then; sightings up to that time don't count.
    std::optional<kernel::WallTime> completedAt;

    friend bool operator==(const PoisonEvidence &, const PoisonEvidence &) = default;
};

/// Evidence against requests that crash upstreams, as a set that daemons merge in any order.
struct PoisonBook
{
    std::unordered_map<Fingerprint, PoisonEvidence> evidence;
    /// Requests tracked. Those that are not refused are forgotten first, the oldest evidence before
    /// the newer.
    std::size_t capacity = 4096;
};

/// Notes that an upstream crashed while it ran the request.
void noteCrash(PoisonBook &book, const Fingerprint &fingerprint, const kernel::UpstreamId &upstream,
               kernel::WallTime at);

/// Notes that a request ran to its end, which clears it; one without evidence costs nothing.
void noteCompletion(PoisonBook &book, const Fingerprint &fingerprint, kernel::WallTime at);

/// Crashes at which the request was seen and not cleared since.
int strikes(const PoisonBook &book, const Fingerprint &fingerprint);

/// Forgets what is too old or too much.
void expire(PoisonBook &book, kernel::WallTime now);

/// The evidence that counts most, of at most that many requests: requests that are refused go
/// first, then the newest.
PoisonBook newestOf(const PoisonBook &book, std::size_t maxRequests);

/// The same as bytes (CBOR).
std::string encode(const PoisonBook &book, std::size_t maxRequests);

/// Joins evidence from another daemon; true if some was new.
bool merge(PoisonBook &book, const PoisonBook &other);

/// Joins evidence from another daemon; true if some was new. Errors: PeerProtocol.
kernel::Result<bool> merge(PoisonBook &book, std::string_view bytes);

} // namespace acaciasail::poison
