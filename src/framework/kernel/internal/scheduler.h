#pragma once

#include <cstdint>
#include <functional>
#include <utility>

#include "kernel/internal/units.h"

namespace acaciasail::kernel {

/// Handle of a pending timer; 0 is none.
using TimerId = std::uint64_t;

/// The process's one loop as seen by the libraries: time and timers.
///
/// A daemon fills it from the event loop, a test from ManualScheduler. All calls and all timers
/// run on the loop's thread.
struct Scheduler
{
    /// Monotonic time.
    std::function<Instant()> now;
    /// Time of day, for records that people and other processes read.
    std::function<WallTime()> wallNow;
    /// Runs a function once, after the delay; a delay of zero runs it on the next turn.
    std::function<TimerId(Duration, std::function<void()>)> startTimer;
    /// Forgets a pending timer; unknown and finished ones are ignored.
    std::function<void(TimerId)> cancelTimer;
};

/// A timer that is cancelled when its owner goes.
class Timer
{
public:
    Timer() = default;
    Timer(const Scheduler &scheduler, Duration delay, std::function<void()> function)
        : m_scheduler(&scheduler)
        , m_id(scheduler.startTimer(delay, std::move(function)))
    {}
    Timer(Timer &&other) noexcept
        : m_scheduler(std::exchange(other.m_scheduler, nullptr))
        , m_id(std::exchange(other.m_id, 0))
    {}
    Timer &operator=(Timer &&other) noexcept
    {
        if (this != &other) {
            cancel();
            m_scheduler = std::exchange(other.m_scheduler, nullptr);
            m_id = std::exchange(other.m_id, 0);
        }
        return *this;
    }
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;
    ~Timer() { cancel(); }

    void cancel()
    {
        if (m_scheduler != nullptr && m_id != 0)
            m_scheduler->cancelTimer(m_id);
        m_id = 0;
    }

private:
    const Scheduler *m_scheduler = nullptr;
    TimerId m_id = 0;
};

} // namespace acaciasail::kernel
