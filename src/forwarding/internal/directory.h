#pragma once

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// An upstream that is known, and whether its registration still stands.
struct KnownUpstream
{
    Upstream entry;
    /// The registration went while the store was away or had just come back; the upstream counts as
    /// there until this time.
    std::optional<kernel::Instant> missingUntil;
};

/// What a daemon believes of configuration, upstreams and roll-outs, and how sure it may be.
struct Directory
{
    std::shared_ptr<const Configuration> configuration;
    kernel::Revision configurationRevision;
    kernel::Instant configuredAt{};
    bool upstreamsKnown = false;
    std::map<kernel::UpstreamId, KnownUpstream> upstreams;
    std::map<kernel::ServiceName, Rollout> rollouts;
    /// The registrations can't be followed now.
    bool storeAway = false;
    /// Since when they can be followed again.
    kernel::Instant storeBackSince{};
};

/// Registrations that lapsed while the store was away return within this time, if they live.
constexpr kernel::Duration registrationGrace = std::chrono::milliseconds(2200);

/// What a change did, for the log.
enum class DirectoryChange {
    None,
    Added,
    Changed,
    /// Goes at once.
    Removed,
    /// Goes unless it comes back in time.
    RemovalDeferred,
    /// Older than what is known.
    Stale,
};

std::string_view toString(DirectoryChange change);

/// Takes a configuration unless a newer one is in force; never goes back.
DirectoryChange putConfiguration(Directory &directory,
                                 std::shared_ptr<const Configuration> configuration,
                                 kernel::Revision revision, kernel::Instant now);

DirectoryChange putUpstream(Directory &directory, const Upstream &upstream);
/// A registration is gone.
DirectoryChange removeUpstream(Directory &directory, const kernel::UpstreamId &id,
                               kernel::Instant now);
/// All registrations, as read at once; those that are not among them are gone.
void replaceUpstreams(Directory &directory, const std::vector<Upstream> &upstreams,
                      kernel::Instant now);
/// Forgets the missing upstreams whose time is over; returns their ids.
std::vector<kernel::UpstreamId> expireMissing(Directory &directory, kernel::Instant now);

/// Takes what is newer of a roll-out.
DirectoryChange putRollout(Directory &directory, const Rollout &rollout);
void removeRollout(Directory &directory, const kernel::ServiceName &service);

/// The store can't be followed; true if it could before.
bool noteStoreAway(Directory &directory);
/// The store can be followed; true if it could not before.
bool noteStoreBack(Directory &directory, kernel::Instant now);

/// Whether requests can be served: a configuration and the upstreams are known.
bool canServe(const Directory &directory);

} // namespace acaciasail::forwarding
