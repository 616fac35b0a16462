#pragma once

#include <cmath>

#include "kernel/kernel.h"

namespace acaciasail::admission {

/// Exponentially decaying estimate of a rate per second.
struct DecayingRate
{
    /// Time constant of the decay.
    kernel::Duration window = std::chrono::seconds(5);
    /// Decayed sum of the recorded amounts at the time `at`.
    double weight = 0;
    kernel::Instant at;
};

/// Returns the rate per second at a point in time.
inline double rateAt(const DecayingRate &rate, kernel::Instant now)
{
    const double window = kernel::toSeconds(rate.window);
    const double age = kernel::toSeconds(now - rate.at);
    return rate.weight * std::exp(-std::max(age, 0.0) / window) / window;
}

/// Records an amount at a point in time.
inline void addToRate(DecayingRate &rate, double amount, kernel::Instant now)
{
    rate.weight = rateAt(rate, now) * kernel::toSeconds(rate.window) + amount;
    rate.at = std::max(rate.at, now);
}

} // namespace acaciasail::admission
