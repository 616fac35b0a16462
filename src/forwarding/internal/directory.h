#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// A known upstream, and whether its registration still exists.
struct KnownUpstream
{
    Upstream entry;
    /// Set if the registration disappeared while the store was unreachable or had just become
    /// reachable again. The upstream counts as registered until this time.
    std::optional<kernel::Instant> removalDueAt;
};

/// A router's view of configuration, upstreams and roll-outs, and of how current this view is.
struct Directory
{
    std::shared_ptr<const Configuration> configuration;
    kernel::Revision configurationRevision;
    kernel::Instant configuredAt{};
    bool upstreamsKnown = false;
    std::map<kernel::UpstreamId, KnownUpstream> upstreams;
    std::map<kernel::ServiceName, Rollout> rollouts;
    /// Versions that were rolled back. Their upstreams get no requests for as long as they are
    /// registered, also once another roll-out is ordered.
    std::map<kernel::ServiceName, std::set<SoftwareVersion>> rejectedVersions;
    /// Data centres whose upstreams get no requests, by the operators' order.
    std::set<kernel::DataCentreId> evacuated;
    /// Whether the evacuations are known; always true in a router that does not follow them.
    bool evacuationsKnown = true;
    /// The store of configuration, registrations and roll-outs is unreachable, so this router
    /// does not learn of their changes.
    bool storeUnreachable = false;
    /// Time since which the store has been reachable again.
    kernel::Instant storeReachableSince{};
};

/// Grace period for registrations that expired while the store was unreachable; a live upstream
/// registers again within this time.
constexpr kernel::Duration registrationGracePeriod = std::chrono::milliseconds(2200);

/// Effect of a change, for the log.
enum class DirectoryChange {
    None,
    Added,
    Changed,
    /// The entry was removed at once.
    Removed,
    /// The entry is removed unless the upstream registers again in time.
    RemovalDeferred,
    /// The change is older than the known entry.
    Stale,
};

std::string_view toString(DirectoryChange change);

/// Puts a configuration into force unless the same or a newer one already is.
DirectoryChange putConfiguration(Directory &directory,
                                 std::shared_ptr<const Configuration> configuration,
                                 kernel::Revision revision, kernel::Instant now);

/// Stores a registration; it no longer counts as removed.
DirectoryChange putUpstream(Directory &directory, const Upstream &upstream);
/// Handles the removal of a registration.
DirectoryChange removeUpstream(Directory &directory, const kernel::UpstreamId &id,
                               kernel::Instant now);
/// One upstream whose registration a list changed.
struct ListedChange
{
    kernel::UpstreamId upstream;
    DirectoryChange change = DirectoryChange::None;
};

/// Replaces the registrations by a complete list; upstreams that the list does not contain count as
/// removed. Returns what changed.
std::vector<ListedChange>
replaceUpstreams(Directory &directory, const std::vector<Upstream> &upstreams, kernel::Instant now);
/// Removes the upstreams whose grace period has expired, and returns their ids.
std::vector<kernel::UpstreamId> removeExpired(Directory &directory, kernel::Instant now);

/// Stores a roll-out unless the same or a later position is known. The roll-out's target no longer
/// counts as rejected, and the target of the one before does if it was rolled back. Progress that
/// the store has lost with an epoch stays.
DirectoryChange putRollout(Directory &directory, const Rollout &rollout);
void removeRollout(Directory &directory, const kernel::ServiceName &service);

/// Replaces the evacuated data centres by a complete list. Returns those that were evacuated before
/// and no longer are.
std::set<kernel::DataCentreId> replaceEvacuated(Directory &directory,
                                                std::set<kernel::DataCentreId> evacuated);

/// Marks the store as unreachable; returns true if it was reachable before.
bool markStoreUnreachable(Directory &directory);
/// Marks the store as reachable; returns true if it was unreachable before.
bool markStoreReachable(Directory &directory, kernel::Instant now);

/// Returns whether requests can be served, that is, whether a configuration, the upstreams and the
/// evacuations are known.
bool canServe(const Directory &directory);

} // namespace acaciasail::forwarding
