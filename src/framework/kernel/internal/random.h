#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace acaciasail::kernel {

/// The random numbers that a decision takes as an argument; a fixed seed gives the same decisions.
using Random = std::mt19937_64;

/// A number in [0, 1).
inline double uniform01(Random &random)
{
    constexpr int mantissaBits = 53;
    return static_cast<double>(random() >> (64 - mantissaBits)) * 0x1.0p-53;
}

/// A number in [0, bound); bound must be above 0.
inline std::uint64_t uniformBelow(Random &random, std::uint64_t bound)
{
    return random() % bound;
}

/// A random id of 32 hexadecimal digits, with the given prefix.
std::string randomId(Random &random, const std::string &prefix);

/// A generator seeded from the system, for daemons.
Random systemRandom();

} // namespace acaciasail::kernel
