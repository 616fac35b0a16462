#pragma once

#include <optional>

#include "forwarding/internal/limits/upstreamlimit.h"
#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// What limits the requests to an upstream: notices in its responses, which this router follows
/// even if the upstream's registration does not show them, and whether its process is cold. All of
/// it becomes void when the process ends.
struct UpstreamNotices
{
    /// Time at which the upstream first announced that it is shutting down.
    std::optional<kernel::Instant> leavingSince;
    /// Time from which the upstream gets no requests at all.
    kernel::Instant unavailableFrom{};
    /// End of the cooldown that the upstream asked for.
    kernel::Instant cooldownUntil{};
    std::optional<UpstreamLimit> limit;
    /// Time until which the upstream may be cold and gets few requests per second.
    kernel::Instant coldUntil{};
    /// Set while a limit is in force: one that the upstream named to this router or to another one,
    /// or that of a cold upstream.
    std::optional<RequestPace> pace;
};

/// States whether an upstream may get new requests.
enum class Availability {
    Available,
    /// The upstream gets requests only if no other upstream can take them.
    LastResort,
    Unavailable,
};

Availability availabilityOf(const UpstreamNotices &notices, kernel::Instant now);

/// Records that the upstream announced that it is shutting down; from the first announcement on it
/// serves for `leaveTime`. Returns whether the announcement is new.
bool recordLeaving(UpstreamNotices &notices, kernel::Instant now, kernel::Duration leaveTime);

/// Records the cooldown that the upstream asked for. Jitter extends the cooldown a little, so that
/// routers do not return at the same time; an implausibly long cooldown is cut to the upper bound.
void recordCooldown(UpstreamNotices &notices, kernel::Instant now, kernel::Duration requested,
                    kernel::Random &random);

/// Records that the upstream may be cold until this time.
void recordCold(UpstreamNotices &notices, kernel::Instant until);
/// Returns whether the upstream may be cold.
bool isCold(const UpstreamNotices &notices, kernel::Instant now);

/// Records the limit that the upstream's response to a request that was sent at `sentAt` names, in
/// requests per second; a response without a limit also ends one that only other routers reported.
LimitChange recordLimit(UpstreamNotices &notices, std::optional<double> perSecond,
                        kernel::Instant sentAt, kernel::Instant now);

/// Returns whether one of the notices still applies.
bool hasActiveNotices(const UpstreamNotices &notices, kernel::Instant now);

} // namespace acaciasail::forwarding
