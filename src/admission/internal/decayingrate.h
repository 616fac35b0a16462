#pragma once

#include <cmath>

#include "kernel/kernel.h"

namespace acaciasail::admission {

/// Exponentially decaying estimate of a rate per second.
struct DecayingRate
{
    /// Time constant of the decay.
    kernel::Duration timeConstant = std::chrono::seconds(5);
    /// Decayed sum of the recorded amounts at the time `updatedAt`.
    double decayedSum = 0;
    kernel::Instant updatedAt;
};

/// Returns the rate per second at a point in time.
inline double rateAt(const DecayingRate &rate, kernel::Instant now)
{
    const double timeConstant = kernel::toSeconds(rate.timeConstant);
    const double age = kernel::toSeconds(now - rate.updatedAt);
    return rate.decayedSum * std::exp(-std::max(age, 0.0) / timeConstant) / timeConstant;
}

/// Records an amount at a point in time.
inline void addToRate(DecayingRate &rate, double amount, kernel::Instant now)
{
    rate.decayedSum = rateAt(rate, now) * kernel::toSeconds(rate.timeConstant) + amount;
    rate.updatedAt = std::max(rate.updatedAt, now);
}

} // namespace acaciasail::admission
