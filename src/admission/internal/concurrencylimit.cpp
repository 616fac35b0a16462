#include "admission/internal/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::admission {

namespace {

/// Lower bound of the factor by which the latency of one window can reduce the limit.
constexpr double minGradient = 0.5;
/// Weight of the newest window in the exponentially weighted moving average of the limit.
constexpr double limitSmoothing = 0.3;
/// Fraction of the limit that must have been in use before the limit may grow.
constexpr double minUseToGrow = 0.8;

double currentLimit(const ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config)
{
    return limit.limit > 0 ? limit.limit : config.initialLimit;
}

/// Updates the unloaded latency. A probe replaces the estimate; any other window can only lower it,
/// because the latency of a loaded upstream does not show the latency of an idle one.
void updateUnloadedLatency(ConcurrencyLimit &limit, double latency)
{
    const bool lower = limit.unloadedLatencySeconds <= 0 || latency < limit.unloadedLatencySeconds;
    if (lower || limit.phase == LimitPhase::Probing)
        limit.unloadedLatencySeconds = latency;
}

void advancePhase(ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config)
{
    switch (limit.phase) {
    case LimitPhase::Normal:
        if (++limit.windowsSinceProbe >= config.windowsBetweenProbes)
            limit.phase = LimitPhase::Draining;
        return;
    case LimitPhase::Draining:
        if (limit.running <= limitOf(limit, config))
            limit.phase = LimitPhase::Probing;
        return;
    case LimitPhase::Probing:
        limit.phase = LimitPhase::Normal;
        limit.windowsSinceProbe = 0;
        return;
    }
}

/// Returns the limit after a window of runs.
double nextLimit(const ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config,
                 double latency)
{
    const double current = currentLimit(limit, config);
    if (limit.windowOverloads > 0)
        return current * config.backoffFactor;
    const double gradient
        = config.latencyTolerance * limit.unloadedLatencySeconds / std::max(latency, 1e-9);
    if (gradient >= 1 && static_cast<double>(limit.peakRunning) < current * minUseToGrow)
        return current;
    // The square root of the limit is added as room to grow: it is relatively large for small
    // limits, which need it, and relatively small for large limits, which do not.
    const double target = current * std::clamp(gradient, minGradient, 1.0);
    return current + limitSmoothing * (target + std::sqrt(current) - current);
}

void closeWindow(ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config, kernel::Instant now)
{
    const double latency
        = limit.windowSamples > 0 ? limit.windowLatencySumSeconds / limit.windowSamples : 0;
    if (limit.windowSamples > 0)
        updateUnloadedLatency(limit, latency);
    if (limit.phase == LimitPhase::Normal || limit.windowOverloads > 0) {
        limit.limit
            = std::clamp(nextLimit(limit, config, latency), config.minLimit, config.maxLimit);
    }
    advancePhase(limit, config);
    limit.windowLatencySumSeconds = 0;
    limit.windowSamples = 0;
    limit.windowOverloads = 0;
    limit.peakRunning = limit.running;
    limit.windowStart = now;
}

} // namespace

std::int64_t limitOf(const ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config)
{
    const double fraction = limit.phase == LimitPhase::Normal ? 1 : config.probeFraction;
    return std::max<std::int64_t>(
        1, static_cast<std::int64_t>(currentLimit(limit, config) * fraction));
}

void recordRunStart(ConcurrencyLimit &limit, kernel::Instant now)
{
    if (limit.windowSamples == 0 && limit.windowOverloads == 0 && limit.running == 0)
        limit.windowStart = now;
    ++limit.running;
    limit.peakRunning = std::max(limit.peakRunning, limit.running);
}

void recordRunEnd(ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config,
                  kernel::Duration latency, RunOutcome outcome, kernel::Instant now)
{
    limit.running = std::max<std::int64_t>(0, limit.running - 1);
    if (outcome == RunOutcome::Ignored)
        return;
    if (outcome == RunOutcome::Overloaded) {
        ++limit.windowOverloads;
    } else {
        limit.windowLatencySumSeconds += kernel::toSeconds(latency);
        ++limit.windowSamples;
    }
    const int samples = limit.windowSamples + limit.windowOverloads;
    if (samples >= config.samplesPerWindow || now - limit.windowStart >= config.maxWindowDuration)
        closeWindow(limit, config, now);
}

} // namespace acaciasail::admission
