#include "oddentries.h"

#include <array>

namespace acaciasail::soak {

namespace {

using namespace std::chrono_literals;

constexpr kernel::Duration minGap = 100ms;
constexpr kernel::Duration maxGap = 600ms;
constexpr kernel::Duration minTime = 500ms;
constexpr kernel::Duration maxTime = 4s;
constexpr int standingEntries = 3;
// Small pages, so that any entry may be the last one of its page.
constexpr std::size_t pageObjects = 2;
// An evacuation of a data centre that doesn't exist, under any name, changes nothing.
constexpr std::array kinds{ "servers",      "config",       "rollouts",
                            "crashreports", "limitreports", "evacuations" };

const nlohmann::json foreignSpec{ { "Service", 7 }, { "Note", "of another writer" } };

} // namespace

OddEntries::OddEntries(World &world, kernel::Random random)
    : m_world(world)
    , m_random(random)
{
    m_world.store().setPageObjects(pageObjects);
    for (const char *kind : kinds) {
        for (int i = 0; i < standingEntries; ++i)
            m_world.putEntry(kind, drawName(), foreignSpec);
    }
    next();
}

void OddEntries::next()
{
    const std::string kind = kinds[kernel::uniformBelow(m_random, kinds.size())];
    const std::string name = drawName();
    const auto drawTime = [this](kernel::Duration least, kernel::Duration most) {
        return least + kernel::scaled(most - least, kernel::uniform01(m_random));
    };
    m_world.putEntry(kind, name, foreignSpec);
    m_removals.emplace_back(m_world.scheduler(), drawTime(minTime, maxTime),
                            [this, kind, name] { m_world.removeEntry(kind, name); });
    m_next = kernel::Timer(m_world.scheduler(), drawTime(minGap, maxGap), [this] { next(); });
}

// Returns an odd name after a letter, so that it may stand anywhere in a list. None starts with z,
// as the names of the data centres do.
std::string OddEntries::drawName()
{
    constexpr std::uint64_t letters = 25;
    const char first = static_cast<char>('a' + kernel::uniformBelow(m_random, letters));
    return first + m_names[kernel::uniformBelow(m_random, m_names.size())].name;
}

} // namespace acaciasail::soak
