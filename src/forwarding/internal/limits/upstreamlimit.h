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

/// Pace of this router's requests to an upstream with a rate limit.
struct RequestPace
{
    /// 0 if this router may send no requests.
    double perSecond = 0;
    /// The limit from which the pace was derived, in requests per second from all routers together.
    double limit = 0;
    /// Time since which the upstream has been known to name a limit, to this router or to another
    /// one; not set if the pace follows only from the limit for cold upstreams.
    std::optional<kernel::Instant> namedSince;
    /// Time of the last request since a limit has been known.
    std::optional<kernel::Instant> lastSentAt;
    /// Time from which the next request may be sent.
    kernel::Instant nextAt = kernel::Instant::max();
};

/// Sets the pace in requests per second. If it changes, the next request may be sent at a random
/// time within one interval, so that routers whose paces change together do not send together, but
/// not before an interval after the last request.
/// Returns whether the pace changed.
bool setPace(std::optional<RequestPace> &pace, double perSecond, kernel::Instant now,
             kernel::Random &random);

/// Reschedules the next request as after a change of the pace. Requests that fell due while the
/// upstream was unavailable are not caught up on, because all routers would send theirs at once.
void restartPace(std::optional<RequestPace> &pace, kernel::Instant now, kernel::Random &random);

/// Returns whether the pace falls behind: unless a request is sent now, the time without one is not
/// made up for.
bool isPaceBehind(const RequestPace &pace, kernel::Instant now);

/// Records that a request is being sent, and schedules the next one.
void recordPacedRequest(RequestPace &pace, kernel::Instant now);

} // namespace acaciasail::forwarding
