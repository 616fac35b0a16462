#pragma once

#include <functional>
#include <memory>

#include "kernel/kernel.h"

struct st_h2o_evloop_t;

namespace acaciasail::http {

/// The process's event loop, with its clock and timers.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Time and timers on this loop; valid as long as this object.
    const kernel::Scheduler &scheduler() const;

    /// Runs until stop() is called.
    void run();
    /// Waits for events at most that long, and handles them; for tests.
    void runOnce(kernel::Duration atMost);
    /// Runs until the condition holds or the time is over; tells which. For tests and tools.
    bool runUntil(const std::function<bool()> &condition, kernel::Duration atMost);
    /// Calls the function once, at the end of the current turn or of the next one.
    void atTurnEnd(std::function<void()> function);
    /// Ends run() after the current turn; may be called from a signal handler.
    void stop();

    /// Calls the function on the loop after the process got one of SIGTERM and SIGINT.
    void onTerminate(std::function<void()> function);
    /// Calls the function on the loop after the process got SIGHUP.
    void onReload(std::function<void()> function);

    /// The h2o loop; for the libraries that put their own sockets on it.
    st_h2o_evloop_t *native() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciasail::http
