#pragma once

#include <map>
#include <string>
#include <utility>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// Exponentially weighted moving averages of a repeatedly measured time and of its absolute
/// deviation.
struct UsualTime
{
    double seconds = 0;
    double deviation = 0;
    int seen = 0;
};

/// Latency estimates of upstreams, by route and model.
struct UsualTimes
{
    using Key = std::pair<RouteName, std::string>;
    std::map<Key, UsualTime> firstByte;
    std::map<Key, UsualTime> betweenEvents;
};

/// Records one measured time.
void noteTime(UsualTime &usual, kernel::Duration took);

/// Lower and upper bound of an inactivity timeout.
struct PatienceBounds
{
    kernel::Duration least{};
    kernel::Duration most{};
};

/// Returns the inactivity timeout that follows from an estimate. The timeout lies well above the
/// mean, so that load alone does not cause retries; it is the upper bound while too few times were
/// recorded.
kernel::Duration patienceFor(const UsualTime *usual, const PatienceBounds &bounds);

/// Returns the inactivity timeout of an upstream, after which the request is retried elsewhere if
/// it may be retried. `midway` tells whether the first event of the stream has been received.
kernel::Duration allowedSilence(const UsualTimes &usual, const Route &route,
                                const std::string &model, bool midway, kernel::Duration timeLeft);

} // namespace acaciasail::forwarding
