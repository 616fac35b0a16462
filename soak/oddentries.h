#pragma once

#include <vector>

#include "platform/testing/oddnames.h"
#include "world.h"

namespace acaciasail::soak {

/// Another writer, which puts entries under names of its own beside those that the routers use, and
/// removes them some time later. Some stand in each list throughout. None names anything to
/// use, so nothing that is promised depends on them.
class OddEntries
{
public:
    OddEntries(World &world, kernel::Random random);
    OddEntries(const OddEntries &) = delete;
    OddEntries &operator=(const OddEntries &) = delete;

private:
    void next();
    std::string drawName();

    World &m_world;
    kernel::Random m_random;
    std::vector<platform::testing::OddName> m_names = platform::testing::oddNames();
    std::vector<kernel::Timer> m_removals;
    kernel::Timer m_next;
};

} // namespace acaciasail::soak
