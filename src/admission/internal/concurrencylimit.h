#pragma once

#include <cstdint>

#include "kernel/kernel.h"

namespace acaciasail::admission {

/// Classifies how a run at an upstream ended, as input to overload control.
enum class RunOutcome {
    Succeeded,
    /// The upstream refused the run as overloaded, or the run timed out.
    Overloaded,
    /// The run failed for a reason unrelated to load, or was cancelled.
    Ignored,
};

/// Settings of the adaptive concurrency limit of an upstream.
struct ConcurrencyLimitConfig
{
    double initialLimit = 4;
    double minLimit = 1;
    double maxLimit = 512;
    /// Ratio of measured to unloaded latency at which the upstream counts as fully loaded.
    double latencyTolerance = 1.5;
    /// Number of finished runs after which a window ends and the limit is updated.
    int samplesPerWindow = 16;
    /// Maximum duration of a window.
    kernel::Duration maxWindowDuration = std::chrono::seconds(5);
    /// Factor by which the limit is multiplied after a window with overloads.
    double backoffFactor = 0.8;
    /// Number of windows between two probes. A probe lowers the limit to measure the unloaded
    /// latency.
    int windowsBetweenProbes = 64;
    /// Fraction of the limit that may be used during a probe.
    double probeFraction = 0.4;
};

/// The purpose of the current window.
enum class LimitPhase {
    /// The limit is adapted to the measured latency.
    Normal,
    /// A probe is due, and the runs that were started at the full limit are finishing.
    Draining,
    /// The unloaded latency is measured at a lowered limit.
    Probing,
};

/// Adaptive concurrency limit of one upstream, derived from the latency of its runs.
///
/// The latency must be a measure that does not depend on the length of the answer, such as the time
/// to first token or the time per token.
struct ConcurrencyLimit
{
    /// Limit outside of probes, or 0 until the first window has ended. Use limitOf to read the
    /// limit that applies now.
    double limit = 0;
    std::int64_t running = 0;
    /// Maximum number of concurrent requests in the current window.
    std::int64_t peakRunning = 0;
    /// Estimated latency of the idle upstream in seconds; 0 until the first window has ended.
    double unloadedLatencySeconds = 0;
    /// Sum of the latencies of the successful runs in the current window, in seconds.
    double windowLatencySumSeconds = 0;
    LimitPhase phase = LimitPhase::Normal;
    int windowsSinceProbe = 0;
    int windowSamples = 0;
    int windowOverloads = 0;
    kernel::Instant windowStart;
};

/// Returns the maximum number of requests that should run concurrently at the upstream.
std::int64_t limitOf(const ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config);

/// Records the start of a run.
void recordRunStart(ConcurrencyLimit &limit, kernel::Instant now);

/// Records the end of a run, and updates the limit if the current window ends with this run.
void recordRunEnd(ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config,
                  kernel::Duration latency, RunOutcome outcome, kernel::Instant now);

} // namespace acaciasail::admission
