#pragma once

#include <deque>
#include <string>
#include <vector>

#include "world.h"

namespace acaciasail::soak {

/// Makes the store, or the path to it or to a runner, silent for a while. The connections of that
/// time stay silent for good, or deliver their bytes late; shortly after its end a runner leaves or
/// the configuration changes.
class Silences
{
public:
    Silences(World &world, kernel::Random random);
    Silences(const Silences &) = delete;
    Silences &operator=(const Silences &) = delete;

private:
    void next();
    void silenceStore(kernel::Duration time);
    void silenceStorePath(kernel::Duration time);
    void holdRunnerPath(kernel::Duration time);
    void changeSoon(kernel::Duration after, std::size_t leavingRunner);
    void later(kernel::Duration delay, std::function<void()> function);
    std::size_t anyRunnerIndex();

    World &m_world;
    kernel::Random m_random;
    // A deque, because a timer that fires may add another one.
    std::deque<kernel::Timer> m_timers;
    kernel::Timer m_next;
};

/// Adds the broken promises about runners whose registration says that they leave.
void judgeRegisteredLeaving(const Record &record, std::vector<std::string> &broken);

} // namespace acaciasail::soak
