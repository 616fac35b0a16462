#include "forwarding/internal/upstreamnotices.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// Divisor of the time for which a leaving upstream serves; a request sent later than that might
// arrive too late.
constexpr int leavePart = 2;
constexpr kernel::Duration longestRest = std::chrono::minutes(10);
// The jitter is at most this fraction of the cooldown, and at most this time.
constexpr double restSpread = 0.1;
constexpr kernel::Duration longestSpread = std::chrono::seconds(1);
// A leaving upstream has exited after this time.
constexpr kernel::Duration longestLeave = std::chrono::minutes(5);

} // namespace

Openness opennessOf(const UpstreamNotices &notices, kernel::Instant now)
{
    if (now < notices.restUntil)
        return Openness::Closed;
    if (!notices.leavingSince)
        return Openness::Open;
    return now < notices.closedFrom ? Openness::LastResort : Openness::Closed;
}

bool noteLeaving(UpstreamNotices &notices, kernel::Instant now, kernel::Duration leaveTime)
{
    if (notices.leavingSince)
        return false;
    notices.leavingSince = now;
    notices.closedFrom = now + leaveTime / leavePart;
    return true;
}

void noteRest(UpstreamNotices &notices, kernel::Instant now, kernel::Duration said,
              kernel::Random &random)
{
    const kernel::Duration rest = std::min(said, longestRest);
    const kernel::Duration spread = std::min(kernel::scaled(rest, restSpread), longestSpread);
    const kernel::Instant until = now + rest + kernel::scaled(spread, kernel::uniform01(random));
    notices.restUntil = std::max(notices.restUntil, until);
}

bool binds(const UpstreamNotices &notices, kernel::Instant now)
{
    return now < notices.restUntil
           || (notices.leavingSince && now - *notices.leavingSince < longestLeave);
}

} // namespace acaciasail::forwarding
