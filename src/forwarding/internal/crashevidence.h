#pragma once

#include <map>
#include <optional>
#include <vector>

#include "forwarding/internal/types.h"
#include "poison/poison.h"

namespace acaciasail::forwarding {

/// A run whose upstream broke off or fell silent. Whether it crashed is to be found out.
struct LostRun
{
    kernel::RequestId request;
    poison::Fingerprint fingerprint;
    kernel::UpstreamId upstream;
    /// As of processOf.
    kernel::UpstreamId process;
    kernel::Instant begun{};
    kernel::Instant at{};
    /// When the upstream was found to be gone.
    std::optional<kernel::Instant> goneAt;
    /// The request ended without an answer, so its caller may send it again anywhere.
    bool unanswered = false;
};

/// When an upstream was found to be gone, and whether it came back since.
struct GoneUpstream
{
    kernel::Instant since{};
    bool back = false;
};

/// A certain crash that is not told of yet: most requests run to their end elsewhere soon.
struct HeldEvidence
{
    poison::PoisonEvidence evidence;
    kernel::Instant since{};
    /// Its answer is on its way from another upstream.
    bool progressing = false;
};

/// What a daemon knows of requests that crash each upstream that runs them.
///
/// A lost run is a crash unless its upstream is found alive. Crashes that are certain go to the
/// other daemons; their books are joined with this one's.
struct CrashEvidence
{
    /// Of all daemons.
    poison::PoisonBook known;
    /// What this daemon saw itself and tells the others.
    poison::PoisonBook own;
    std::map<poison::Fingerprint, HeldEvidence> held;
    std::vector<LostRun> lost;
    std::map<kernel::UpstreamId, GoneUpstream> gone;
    /// Something of its own is not told yet.
    bool unshared = false;
    kernel::Instant sharedAt{};
};

/// Names one process of an upstream: another start under the same id is another one.
kernel::UpstreamId processOf(const Upstream &upstream);

/// An upstream broke off, or fell silent for good, while it ran the request.
void noteLost(CrashEvidence &evidence, LostRun run);
/// The upstream can't be reached any more, or another process took its place.
void noteGone(CrashEvidence &evidence, const kernel::UpstreamId &upstream, kernel::Instant now);
/// The upstream can be reached, so what was lost there lately was lost to something else.
void noteAlive(CrashEvidence &evidence, const kernel::UpstreamId &upstream);
/// Decides on lost runs about which enough is known; returns those that were at a crash.
std::vector<LostRun> settleLost(CrashEvidence &evidence, kernel::Instant now,
                                kernel::WallTime wallNow);
/// The request ran to its end, so it crashes nobody.
void noteRan(CrashEvidence &evidence, const poison::Fingerprint &fingerprint,
             kernel::WallTime wallNow);

/// The request's answer is on its way.
void noteProgress(CrashEvidence &evidence, const poison::Fingerprint &fingerprint);
/// The request ended without an answer, so its caller may send it again anywhere.
void noteUnanswered(CrashEvidence &evidence, const poison::Fingerprint &fingerprint);

/// Crashes at which the request ran, lost runs included.
int countCrashes(const CrashEvidence &evidence, const poison::Fingerprint &fingerprint);
/// Whether the request must not be sent any more.
bool crashesUpstreams(const CrashEvidence &evidence, const poison::Fingerprint &fingerprint);
/// Requests that are refused for their crashes.
std::size_t countRefused(const CrashEvidence &evidence);

/// Takes in what another daemon saw; true if some of it was new.
bool joinCrashes(CrashEvidence &evidence, const poison::PoisonBook &seen);
/// Takes in what this daemon's process before saw.
void adoptCrashes(CrashEvidence &evidence, const poison::PoisonBook &seen);
/// Forgets what is too old.
void expireCrashes(CrashEvidence &evidence, kernel::WallTime wallNow);

/// Whether this daemon's own evidence should go to the others now.
bool isShareDue(CrashEvidence &evidence, kernel::Instant now);
/// The evidence to share; it counts as shared from now on.
poison::PoisonBook takeShare(CrashEvidence &evidence, kernel::Instant now);

} // namespace acaciasail::forwarding
