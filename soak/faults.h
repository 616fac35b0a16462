#pragma once

#include <vector>

#include "world.h"

namespace acaciasail::soak {

/// Injects faults, restarts and changes in a seeded order; they come in series and overlap.
class Faults
{
public:
    /// If `plannedOnly` is set, only planned work of operators happens.
    Faults(World &world, kernel::Random random, bool plannedOnly);
    Faults(const Faults &) = delete;
    Faults &operator=(const Faults &) = delete;

    /// Injects no further faults; those in progress end by themselves.
    void stop() { m_next.cancel(); }

private:
    void next();
    void planned(std::uint64_t roll);
    void unplanned(std::uint64_t roll);
    void stopAllInTurn();
    void killSeveral();
    void degradeRunner();
    void degradeService();
    void limitRunner();
    void restoreRunner(const std::string &id);
    void degradeRunnerPath();
    void degradeStore();
    void degradeStorePath();
    std::size_t anyRouter();
    RunnerPlace &anyRunner();
    std::size_t anyRunnerIndex();
    void later(kernel::Duration delay, std::function<void()> function);
    /// Returns a random duration between the two.
    kernel::Duration between(kernel::Duration least, kernel::Duration most);

    World &m_world;
    kernel::Random m_random;
    bool m_plannedOnly;
    std::vector<kernel::Timer> m_timers;
    kernel::Timer m_next;
};

} // namespace acaciasail::soak
