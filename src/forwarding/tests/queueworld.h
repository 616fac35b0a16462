#pragma once

#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "forwarding/forwarding.h"

namespace acaciasail::forwarding {

/// Rule by which the routers of a QueueWorld select upstreams.
enum class PlacementRule {
    /// The affinity key, bounded by the router's own work.
    Affinity,
    /// The earliest expected finish.
    Finish,
    /// The earliest actual finish at any upstream: the best that a rule can reach.
    Perfect,
};

struct QueueWorldOptions
{
    PlacementRule rule = PlacementRule::Finish;
    int routers = 1;
    int upstreams = 32;
    int sessions = 300;
    double arrivalsPerSecond = 100;
    double seconds = 20;
    std::uint64_t seed = 1;
    /// Interval at which each router reports its work and receives the sum of the others' newest
    /// reports.
    double shareSeconds = 0.25;
    /// Factor by which upstream 0 is slower from one third of the time on.
    double slowdown = 1;
};

struct QueueWorldResult
{
    int requests = 0;
    int inTime = 0;
    double readMs = 0;
    /// Work of the busiest upstream relative to the mean, in milliseconds of usual speed.
    double busiestShare = 0;
    /// Part of the estimates that were within twice the actual time.
    double estimatesWithinTwice = 0;
    /// Work that upstream 0 got in the last third of the time, relative to the mean.
    double firstUpstreamShareAtEnd = 0;

    double shareInTime() const { return requests > 0 ? double(inTime) / requests : 0; }
    double meanReadMs() const { return requests > 0 ? readMs / requests : 0; }
};

/// Plays requests of uneven cost and sessions of uneven traffic at upstreams of uneven speed. Each
/// upstream reads one prompt after the other and keeps the last sessions that it has read.
QueueWorldResult playQueueWorld(const QueueWorldOptions &options);

} // namespace acaciasail::forwarding
