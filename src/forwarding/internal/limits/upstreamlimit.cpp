#include "forwarding/internal/limits/upstreamlimit.h"

#include <algorithm>
#include <utility>

namespace acaciasail::forwarding {

namespace {

// A request that is sent late may bring the next one forward by this fraction of the interval.
constexpr double maxCatchUp = 0.5;

kernel::Duration intervalOf(double perSecond)
{
    return kernel::fromSeconds(1 / perSecond);
}

} // namespace

std::string_view toString(LimitChange change)
{
    switch (change) {
    case LimitChange::Named:
        return "named";
    case LimitChange::Changed:
        return "changed";
    case LimitChange::Ended:
        return "ended";
    case LimitChange::None:
        break;
    }
    return "none";
}

LimitChange recordLimit(std::optional<UpstreamLimit> &limit, std::optional<double> perSecond,
                        kernel::Instant sentAt, kernel::Instant now)
{
    if (!perSecond) {
        if (!limit || sentAt <= limit->namedAt)
            return LimitChange::None;
        limit.reset();
        return LimitChange::Ended;
    }
    if (!limit) {
        limit = { *perSecond, now };
        return LimitChange::Named;
    }
    const bool changed = limit->perSecond != *perSecond;
    limit = { *perSecond, now };
    return changed ? LimitChange::Changed : LimitChange::None;
}

bool setPace(std::optional<RequestPace> &pace, double perSecond, kernel::Instant now,
             kernel::Random &random)
{
    if (pace && pace->perSecond == perSecond)
        return false;
    RequestPace next = pace.value_or(RequestPace{});
    next.perSecond = perSecond;
    next.nextAt = kernel::Instant::max();
    if (perSecond > 0) {
        const kernel::Duration interval = intervalOf(perSecond);
        next.nextAt = now + kernel::scaled(interval, kernel::uniform01(random));
        if (next.lastSentAt)
            next.nextAt = std::max(next.nextAt, *next.lastSentAt + interval);
    }
    pace = next;
    return true;
}

void restartPace(std::optional<RequestPace> &pace, kernel::Instant now, kernel::Random &random)
{
    if (!pace)
        return;
    const double perSecond = std::exchange(pace->perSecond, 0);
    setPace(pace, perSecond, now, random);
}

bool isPaceBehind(const RequestPace &pace, kernel::Instant now)
{
    return pace.perSecond > 0
           && now >= pace.nextAt + kernel::scaled(intervalOf(pace.perSecond), maxCatchUp);
}

void recordPacedRequest(RequestPace &pace, kernel::Instant now)
{
    if (pace.perSecond <= 0)
        return;
    const kernel::Duration interval = intervalOf(pace.perSecond);
    pace.lastSentAt = now;
    pace.nextAt = std::max(pace.nextAt, now - kernel::scaled(interval, maxCatchUp)) + interval;
}

} // namespace acaciasail::forwarding
