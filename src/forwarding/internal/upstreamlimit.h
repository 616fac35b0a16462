#pragma once

#include <optional>
#include <string_view>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Rate limit that an upstream named in its responses to this router.
struct UpstreamLimit
{
    /// Requests per second that the upstream accepts from all routers together.
    double perSecond = 0;
    /// Time of the last response that named the limit.
    kernel::Instant namedAt{};
};

/// Effect of a response on the rate limit.
enum class LimitChange {
    None,
    Named,
    Changed,
    Ended,
};

std::string_view toString(LimitChange change);

/// Records the limit that a response names, in requests per second. A response that names no limit
/// ends it only if its request was sent after the limit was last named, because responses to
/// earlier requests may arrive late.
LimitChange recordLimit(std::optional<UpstreamLimit> &limit, std::optional<double> perSecond,
                        kernel::Instant sentAt, kernel::Instant now);

} // namespace acaciasail::forwarding
