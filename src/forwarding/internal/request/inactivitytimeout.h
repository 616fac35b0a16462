#pragma once

#include <map>
#include <string>
#include <utility>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// Exponentially weighted moving averages of a repeatedly measured time and of its absolute
/// deviation.
struct LatencyEstimate
{
    double meanSeconds = 0;
    double meanDeviationSeconds = 0;
    int samples = 0;
};

/// Latency estimates of upstreams, by route and model.
struct LatencyEstimates
{
    using Key = std::pair<RouteName, std::string>;
    std::map<Key, LatencyEstimate> firstByte;
    std::map<Key, LatencyEstimate> betweenEvents;
};

/// Records one measured time.
void recordTime(LatencyEstimate &estimate, kernel::Duration took);

/// Lower and upper bound of an inactivity timeout.
struct TimeoutBounds
{
    kernel::Duration lower{};
    kernel::Duration upper{};
};

/// Returns the inactivity timeout that follows from an estimate. The timeout lies well above the
/// mean, so that load alone does not cause retries; it is the upper bound while too few times were
/// recorded.
kernel::Duration timeoutFromEstimate(const LatencyEstimate *estimate, const TimeoutBounds &bounds);

/// Returns the inactivity timeout of an upstream, after which the request is retried elsewhere if
/// it may be retried. `afterFirstEvent` tells whether the first event of the stream has been
/// received.
kernel::Duration inactivityTimeout(const LatencyEstimates &estimates, const Route &route,
                                   const std::string &model, bool afterFirstEvent,
                                   kernel::Duration timeLeft);

} // namespace acaciasail::forwarding
