#pragma once

#include <optional>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// What an upstream says of itself in its answers. It binds this daemon whatever the registrations
/// say, and goes with the upstream's process.
struct UpstreamNotices
{
    /// It said that it leaves.
    std::optional<kernel::Instant> leavingSince;
    /// From then on it gets no request at all.
    kernel::Instant closedFrom{};
    /// It wants no request before this time.
    kernel::Instant restUntil{};
};

/// Whether an upstream may get new requests.
enum class Openness {
    Open,
    /// Only where no other can take them.
    LastResort,
    Closed,
};

Openness opennessOf(const UpstreamNotices &notices, kernel::Instant now);

/// It says that it leaves, and serves for `leaveTime` from the first time on; true if that is new.
bool noteLeaving(UpstreamNotices &notices, kernel::Instant now, kernel::Duration leaveTime);

/// It wants no requests for the time that it said. The rest lasts a little longer, so that daemons
/// do not return together; one without sense is cut to the longest.
void noteRest(UpstreamNotices &notices, kernel::Instant now, kernel::Duration said,
              kernel::Random &random);

/// Whether something of it still binds.
bool binds(const UpstreamNotices &notices, kernel::Instant now);

} // namespace acaciasail::forwarding
