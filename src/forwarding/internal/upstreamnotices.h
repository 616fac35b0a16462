#pragma once

#include <optional>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Notices that an upstream gave in its responses. They apply to this router whatever the
/// registrations say, and end with the upstream's process.
struct UpstreamNotices
{
    /// Time at which the upstream first announced that it is leaving.
    std::optional<kernel::Instant> leavingSince;
    /// Time from which the upstream gets no requests at all.
    kernel::Instant unavailableFrom{};
    /// End of the cooldown that the upstream asked for.
    kernel::Instant cooldownUntil{};
};

/// States whether an upstream may get new requests.
enum class Availability {
    Available,
    /// The upstream gets requests only if no other upstream can take them.
    LastResort,
    Unavailable,
};

Availability availabilityOf(const UpstreamNotices &notices, kernel::Instant now);

/// Records that the upstream announced that it is leaving; from the first announcement on it serves
/// for `leaveTime`. Returns whether the announcement is new.
bool recordLeaving(UpstreamNotices &notices, kernel::Instant now, kernel::Duration leaveTime);

/// Records the cooldown that the upstream asked for. Jitter extends the cooldown a little, so that
/// routers do not return at the same time; an implausibly long cooldown is cut to the upper bound.
void recordCooldown(UpstreamNotices &notices, kernel::Instant now, kernel::Duration requested,
                    kernel::Random &random);

/// Returns whether one of the notices still applies.
bool hasActiveNotices(const UpstreamNotices &notices, kernel::Instant now);

} // namespace acaciasail::forwarding
