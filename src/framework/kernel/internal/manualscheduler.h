#pragma once

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "kernel/internal/scheduler.h"

namespace acaciasail::kernel {

/// A clock and timers that move only when a test or a bench says so.
///
/// Timers due at the same time run in the order in which they were started.
class ManualScheduler
{
public:
    ManualScheduler();
    ManualScheduler(const ManualScheduler &) = delete;
    ManualScheduler &operator=(const ManualScheduler &) = delete;

    /// The interface for the libraries; valid as long as this object.
    const Scheduler &scheduler() const { return m_scheduler; }

    Instant now() const { return m_now; }

    /// Moves time on and runs each timer that falls due, in order of its due time.
    void advance(Duration span);

    /// Runs the timers that are due now, without moving time.
    void runDue() { advance(Duration::zero()); }

    /// Number of timers that wait.
    std::size_t pending() const { return m_timers.size(); }

private:
    using Key = std::pair<Instant, TimerId>;

    TimerId start(Duration delay, std::function<void()> function);
    void cancel(TimerId id);

    Instant m_now{};
    TimerId m_lastId = 0;
    std::map<Key, std::function<void()>> m_timers;
    std::unordered_map<TimerId, Key> m_keys;
    Scheduler m_scheduler;
};

} // namespace acaciasail::kernel
