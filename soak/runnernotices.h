#pragma once

#include "record.h"
#include "world.h"

namespace acaciasail::soak {

/// Lets runners announce in their responses that they leave, or ask for a cooldown, for a long time
/// or in a few responses only.
class RunnerNotices
{
public:
    RunnerNotices(World &world, kernel::Random random);
    RunnerNotices(const RunnerNotices &) = delete;
    RunnerNotices &operator=(const RunnerNotices &) = delete;

private:
    void next();
    void announceLeaving();
    void requestCooldown();
    std::size_t anyRunnerIndex();

    World &m_world;
    kernel::Random m_random;
    kernel::Timer m_next;
};

/// Judges whether each router kept to what runners said in the responses that it got.
void judgeNotices(const Record &record, std::vector<std::string> &broken);

} // namespace acaciasail::soak
