#include "forwarding/internal/upstreamlimit.h"

namespace acaciasail::forwarding {

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

} // namespace acaciasail::forwarding
