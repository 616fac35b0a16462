#include "runnernotices.h"

#include <algorithm>
#include <array>
#include <cstdlib>

#include "findings.h"

namespace acaciasail::soak {

namespace {

using namespace std::chrono_literals;
using platform::testing::Arrival;
using platform::testing::RunnerStandin;

constexpr kernel::Duration minGap = 200ms;
constexpr kernel::Duration maxGap = 1200ms;
constexpr std::ptrdiff_t maxLeaving = 4;
// Some runners give a notice in a few responses only.
constexpr kernel::Duration briefly = 150ms;
constexpr kernel::Duration cooldownTime = 1s;

// A request that its caller sent this long after a router had passed on that a runner leaves must
// not reach the runner from that router.
constexpr kernel::Duration leaveTime = 2s;
// A cooldown binds a router this long after the response that asked for it. A few requests may be
// on their way.
constexpr kernel::Duration cooldownNotice = 500ms;
constexpr std::ptrdiff_t requestsInCooldown = 2;
// Trouble of a router or of the path to a runner is felt this long after its end.
constexpr kernel::Duration aftermath = 1s;

bool isPathHarmed(const Record &record, const std::string &runner, kernel::Instant from,
                  kernel::Instant to)
{
    const auto trouble = record.pathTrouble.find(runner);
    return trouble != record.pathTrouble.end()
           && std::ranges::any_of(trouble->second, [&](const Disturbance &one) {
                  return one.from <= to && one.to + aftermath >= from;
              });
}

std::string describe(const Asked &asked, const std::string &runner, kernel::Instant at)
{
    return asked.id + " at router " + std::to_string(asked.router) + " reached " + runner + " at "
           + std::to_string(kernel::toMilliseconds(at.time_since_epoch())) + " ms";
}

// Returns when each router process first passed on a response that announced the leaving.
std::map<Process, kernel::Instant> leavingPassedOn(const std::string &runner,
                                                   const std::vector<Arrival> &arrivals,
                                                   const AskedById &byId)
{
    std::map<Process, kernel::Instant> result;
    for (const Arrival &arrival : arrivals) {
        const auto asked = byId.find(arrival.request);
        if (!arrival.announcesLeaving || asked == byId.end()
            || asked->second->stamp != RunnerStandin::stamp(runner))
            continue;
        const kernel::Instant at = asked->second->headAt;
        kernel::Instant &first = result.try_emplace(processOf(*asked->second), at).first->second;
        first = std::min(first, at);
    }
    return result;
}

void judgeLeaving(const Record &record, const std::string &runner,
                  const std::vector<Arrival> &arrivals, const AskedById &byId, Findings &findings)
{
    const auto passedOn = leavingPassedOn(runner, arrivals, byId);
    for (const Arrival &arrival : arrivals) {
        const auto asked = byId.find(arrival.request);
        if (asked == byId.end())
            continue;
        const auto told = passedOn.find(processOf(*asked->second));
        if (told != passedOn.end() && asked->second->sent > told->second + leaveTime
            && !isRouterDisturbed(record, asked->second->router, told->second, arrival.time))
            findings.add(describe(*asked->second, runner, arrival.time));
    }
}

void judgeCooldown(const Record &record, const std::string &runner,
                   const std::vector<Arrival> &arrivals, const AskedById &byId, Findings &findings)
{
    for (const Arrival &refused : arrivals) {
        const auto asked = byId.find(refused.request);
        if (refused.retryAfterSeconds.empty() || asked == byId.end())
            continue;
        const kernel::Instant end
            = refused.time + kernel::fromSeconds(std::atof(refused.retryAfterSeconds.c_str()));
        const auto count = std::ranges::count_if(arrivals, [&](const Arrival &later) {
            const auto other = byId.find(later.request);
            return later.time > refused.time + cooldownNotice && later.time < end
                   && other != byId.end() && processOf(*other->second) == processOf(*asked->second)
                   && !isRouterDisturbed(record, asked->second->router, refused.time - aftermath,
                                         later.time)
                   && !isPathHarmed(record, runner, refused.time, later.time);
        });
        if (count > requestsInCooldown)
            findings.add(std::to_string(count) + " requests after the one of "
                         + describe(*asked->second, runner, refused.time));
    }
}

} // namespace

RunnerNotices::RunnerNotices(World &world, kernel::Random random)
    : m_world(world)
    , m_random(random)
{
    next();
}

void RunnerNotices::next()
{
    const kernel::Duration gap
        = minGap + kernel::scaled(maxGap - minGap, kernel::uniform01(m_random));
    m_next = kernel::Timer(m_world.scheduler(), gap, [this] {
        if (kernel::uniformBelow(m_random, 2) == 0)
            announceLeaving();
        else
            requestCooldown();
        next();
    });
}

void RunnerNotices::announceLeaving()
{
    const auto leaving
        = std::ranges::count_if(m_world.runners(), [](const auto &one) { return one->leaving; });
    const std::size_t index = anyRunnerIndex();
    const kernel::Duration time = kernel::uniformBelow(m_random, 2) == 0 ? briefly : 1h;
    if (leaving < maxLeaving)
        m_world.announceLeaving(index, time);
}

void RunnerNotices::requestCooldown()
{
    static constexpr std::array cooldowns{ "0.8", "1.5", "3", "6.25" };
    const std::size_t index = anyRunnerIndex();
    const char *cooldown = cooldowns[kernel::uniformBelow(m_random, cooldowns.size())];
    const kernel::Duration time = kernel::uniformBelow(m_random, 2) == 0 ? briefly : cooldownTime;
    m_world.requestCooldown(index, cooldown, time);
}

std::size_t RunnerNotices::anyRunnerIndex()
{
    return kernel::uniformBelow(m_random, m_world.runners().size());
}

void judgeNotices(const Record &record, std::vector<std::string> &broken)
{
    Findings leaving("a router sends nothing to a runner that told it that it leaves", broken);
    Findings cooldown("a router heeds the cooldown that a runner asked it for", broken);
    const AskedById byId = indexById(record);
    for (const auto &[runner, arrivals] : record.arrivals) {
        judgeLeaving(record, runner, arrivals, byId, leaving);
        judgeCooldown(record, runner, arrivals, byId, cooldown);
    }
}

} // namespace acaciasail::soak
