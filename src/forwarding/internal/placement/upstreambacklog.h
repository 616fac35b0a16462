#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Work of one request in flight, in milliseconds of an upstream of usual speed.
struct WorkInFlight
{
    std::uint64_t number = 0;
    /// Time to read the part of the prompt that is not cached.
    double readMs = 0;
    /// Upstream time that the output takes up.
    double outputWorkMs = 0;
    /// Expected time from the first event to the last.
    double outputMs = 0;
    /// Expected time to the first event at this upstream.
    double expectedFirstMs = 0;
    kernel::Instant startedAt{};
    std::optional<kernel::Instant> firstEventAt;
};

/// What a router knows of the work that an upstream still has to do, and of its speed.
struct UpstreamBacklog
{
    std::vector<WorkInFlight> own;
    /// Other routers' remaining work as they last reported it.
    double othersMs = 0;
    kernel::Instant othersAt{};
    /// Remaining work of all routers that follows from the upstream's own load report.
    double reportedMs = 0;
    kernel::Instant reportedAt{};
    /// Logarithm of the upstream's speed relative to the usual one, as of `speedAt`.
    double logSpeed = 0;
    kernel::Instant speedAt{};
};

/// Adds the work of a request that starts at the upstream.
void startWork(UpstreamBacklog &backlog, const WorkInFlight &work);
/// Records that the first event has arrived, after `actualMs`; `expectedWorkMs` is the time that
/// the work ahead of the request and its own reading would take at usual speed.
void recordFirstEventOf(UpstreamBacklog &backlog, std::uint64_t number, double expectedWorkMs,
                        double actualMs, kernel::Instant now);
/// Removes the work of a request that ended. Has no effect if the work is not known, because the
/// upstream's process was replaced.
void finishWork(UpstreamBacklog &backlog, std::uint64_t number);

/// Records the remaining work of all routers that follows from the upstream's own load report.
void recordReportedWork(UpstreamBacklog &backlog, double ms, kernel::Instant now);

/// Returns this router's remaining work at the upstream.
double ownRemainingMs(const UpstreamBacklog &backlog, kernel::Instant now);
/// Returns the remaining work of all routers. What others have reported fades with its age.
double remainingMs(const UpstreamBacklog &backlog, kernel::Instant now);

/// Returns the upstream's speed relative to the usual one. What was learned fades with time, and a
/// request that waits much longer than expected counts at once.
double speedOf(const UpstreamBacklog &backlog, kernel::Instant now);

} // namespace acaciasail::forwarding
