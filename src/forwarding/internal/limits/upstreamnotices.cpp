#include "forwarding/internal/limits/upstreamnotices.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// An upstream that shuts down gets requests for its leave time divided by this; a request sent
// later might arrive when the upstream no longer serves.
constexpr int leaveTimeDivisor = 2;
constexpr kernel::Duration maxCooldown = std::chrono::minutes(10);
// The jitter is at most this fraction of the cooldown, and at most this time.
constexpr double cooldownJitter = 0.1;
constexpr kernel::Duration maxCooldownJitter = std::chrono::seconds(1);
// An upstream that gave a notice this long ago, and is not registered any more, has exited.
constexpr kernel::Duration maxNoticeAge = std::chrono::minutes(5);

} // namespace

Availability availabilityOf(const UpstreamNotices &notices, kernel::Instant now)
{
    const bool paused = notices.pace && now < notices.pace->nextAt;
    if (now < notices.cooldownUntil || paused)
        return Availability::Unavailable;
    if (!notices.leavingSince)
        return Availability::Available;
    return now < notices.unavailableFrom ? Availability::LastResort : Availability::Unavailable;
}

bool recordLeaving(UpstreamNotices &notices, kernel::Instant now, kernel::Duration leaveTime)
{
    if (notices.leavingSince)
        return false;
    notices.leavingSince = now;
    notices.unavailableFrom = now + leaveTime / leaveTimeDivisor;
    return true;
}

void recordCooldown(UpstreamNotices &notices, kernel::Instant now, kernel::Duration requested,
                    kernel::Random &random)
{
    const kernel::Duration cooldown = std::min(requested, maxCooldown);
    const kernel::Duration jitter
        = std::min(kernel::scaled(cooldown, cooldownJitter), maxCooldownJitter);
    const kernel::Instant until
        = now + cooldown + kernel::scaled(jitter, kernel::uniform01(random));
    notices.cooldownUntil = std::max(notices.cooldownUntil, until);
}

void recordCold(UpstreamNotices &notices, kernel::Instant until)
{
    notices.coldUntil = std::max(notices.coldUntil, until);
}

bool isCold(const UpstreamNotices &notices, kernel::Instant now)
{
    return now < notices.coldUntil;
}

LimitChange recordLimit(UpstreamNotices &notices, std::optional<double> perSecond,
                        kernel::Instant sentAt, kernel::Instant now)
{
    const bool onlyReported = !notices.limit && notices.pace && notices.pace->namedSince;
    if (!perSecond && onlyReported)
        return sentAt > *notices.pace->namedSince ? LimitChange::Ended : LimitChange::None;
    return recordLimit(notices.limit, perSecond, sentAt, now);
}

bool hasActiveNotices(const UpstreamNotices &notices, kernel::Instant now)
{
    return now < notices.cooldownUntil || isCold(notices, now)
           || (notices.leavingSince && now - *notices.leavingSince < maxNoticeAge)
           || (notices.limit && now - notices.limit->namedAt < maxNoticeAge);
}

} // namespace acaciasail::forwarding
