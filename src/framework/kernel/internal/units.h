#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <ostream>

namespace acaciasail::kernel {

/// A whole number of one unit; amounts of different units don't mix.
template<class Tag>
class Amount
{
public:
    constexpr Amount() = default;
    constexpr explicit Amount(std::int64_t value)
        : m_value(value)
    {}

    constexpr std::int64_t count() const { return m_value; }

    constexpr Amount &operator+=(Amount other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr Amount &operator-=(Amount other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr Amount operator+(Amount a, Amount b) { return Amount(a.m_value + b.m_value); }
    friend constexpr Amount operator-(Amount a, Amount b) { return Amount(a.m_value - b.m_value); }
    friend constexpr Amount operator*(Amount a, std::int64_t n) { return Amount(a.m_value * n); }
    friend constexpr bool operator==(Amount, Amount) = default;
    friend constexpr auto operator<=>(Amount, Amount) = default; // NOLINT(modernize-use-nullptr)
    friend std::ostream &operator<<(std::ostream &stream, Amount amount)
    {
        return stream << amount.m_value;
    }

private:
    std::int64_t m_value = 0;
};

/// Tokens of a model, read or generated.
using Tokens = Amount<struct TokensTag>;
/// A millionth of the billing currency's unit.
using MicroCurrency = Amount<struct MicroCurrencyTag>;
/// Revision of an object in the platform's store; it only grows within one history of the store.
using Revision = Amount<struct RevisionTag>;
/// Number of one history of the platform's store. A store that is restored from an older copy
/// starts a new history, with a larger number, and gives out again the revisions that the copy
/// lacks.
using Epoch = Amount<struct EpochTag>;
/// Fencing number of a lease; a later holder has a larger one.
using Fencing = Amount<struct FencingTag>;

/// A point in the store's histories. Revisions of different histories say nothing about each other,
/// so the history goes first.
struct StorePosition
{
    Epoch epoch;
    Revision revision;

    friend constexpr bool operator==(const StorePosition &, const StorePosition &) = default;
    friend constexpr auto operator<=>(const StorePosition &, const StorePosition &) = default;
    friend std::ostream &operator<<(std::ostream &stream, const StorePosition &position)
    {
        return stream << position.epoch << '.' << position.revision;
    }
};

/// A span of time, in microseconds.
using Duration = std::chrono::microseconds;

struct MonotonicClockTag
{
    using duration = Duration; // NOLINT(readability-identifier-naming)
};
struct WallClockTag
{
    using duration = Duration; // NOLINT(readability-identifier-naming)
};

/// A point on a process's monotonic clock; it means nothing in another process.
using Instant = std::chrono::time_point<MonotonicClockTag, Duration>;
/// Time of day, since 1970-01-01 UTC; it may jump, so nothing is timed by it.
using WallTime = std::chrono::time_point<WallClockTag, Duration>;

/// Whole milliseconds of a duration, rounded down.
constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// Seconds of a duration, as a fraction.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// A duration from seconds, as a fraction.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// The part, or the multiple, of a time.
inline Duration scaled(Duration duration, double factor)
{
    return fromSeconds(toSeconds(duration) * factor);
}

} // namespace acaciasail::kernel
