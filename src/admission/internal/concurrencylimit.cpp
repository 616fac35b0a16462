#include "admission/internal/concurrencylimit.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::admission {

namespace {

/// Lower bound of the factor by which the latency of one window can reduce the limit.
constexpr double smallestGradient = 0.5;
/// Weight of the newest window in the exponentially weighted moving average of the limit.
constexpr double smoothing = 0.3;
/// Fraction of the limit that must have been in use before the limit may grow.
constexpr double usedEnough = 0.8;

double currentLimit(const ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config)
{
    return limit.limit > 0 ? limit.limit : config.initial;
}

/// Updates the unloaded latency. A probe replaces the estimate; any other window can only lower it,
/// because the latency of a loaded upstream does not show the latency of an idle one.
void learnUnloaded(ConcurrencyLimit &limit, double latency)
{
    const bool lower = limit.unloaded <= 0 || latency < limit.unloaded;
    if (lower || limit.phase == LimitPhase::Probing)
        limit.unloaded = latency;
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
        return current * config.backoff;
    const double gradient = config.tolerance * limit.unloaded / std::max(latency, 1e-9);
    if (gradient >= 1 && static_cast<double>(limit.mostRunning) < current * usedEnough)
        return current;
    // The square root of the limit is added as room to grow: it is relatively large for small
    // limits, which need it, and relatively small for large limits, which do not.
    const double target = current * std::clamp(gradient, smallestGradient, 1.0);
    return current + smoothing * (target + std::sqrt(current) - current);
}

void endWindow(ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config, kernel::Instant now)
{
    const double latency = limit.windowSamples > 0 ? limit.windowLatency / limit.windowSamples : 0;
    if (limit.windowSamples > 0)
        learnUnloaded(limit, latency);
    if (limit.phase == LimitPhase::Normal || limit.windowOverloads > 0) {
        limit.limit
            = std::clamp(nextLimit(limit, config, latency), config.smallest, config.largest);
    }
    advancePhase(limit, config);
    limit.windowLatency = 0;
    limit.windowSamples = 0;
    limit.windowOverloads = 0;
    limit.mostRunning = limit.running;
    limit.windowStart = now;
}

} // namespace

std::int64_t limitOf(const ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config)
{
    const double fraction = limit.phase == LimitPhase::Normal ? 1 : config.probeFraction;
    return std::max<std::int64_t>(
        1, static_cast<std::int64_t>(currentLimit(limit, config) * fraction));
}

void onStart(ConcurrencyLimit &limit, kernel::Instant now)
{
    if (limit.windowSamples == 0 && limit.windowOverloads == 0 && limit.running == 0)
        limit.windowStart = now;
    ++limit.running;
    limit.mostRunning = std::max(limit.mostRunning, limit.running);
}

void onEnd(ConcurrencyLimit &limit, const ConcurrencyLimitConfig &config, kernel::Duration latency,
           RunOutcome outcome, kernel::Instant now)
{
    limit.running = std::max<std::int64_t>(0, limit.running - 1);
    if (outcome == RunOutcome::Ignored)
        return;
    if (outcome == RunOutcome::Overloaded) {
        ++limit.windowOverloads;
    } else {
        limit.windowLatency += kernel::toSeconds(latency);
        ++limit.windowSamples;
    }
    const int samples = limit.windowSamples + limit.windowOverloads;
    if (samples >= config.samplesPerWindow || now - limit.windowStart >= config.longestWindow)
        endWindow(limit, config, now);
}

} // namespace acaciasail::admission
