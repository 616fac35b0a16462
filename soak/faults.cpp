#include "faults.h"

#include <algorithm>
#include <array>

namespace acaciasail::soak {

namespace {

using namespace std::chrono_literals;
using platform::testing::RunnerBehaviour;
using platform::testing::StoreBehaviour;

constexpr kernel::Duration minGap = 50ms;
constexpr kernel::Duration maxGap = 900ms;
constexpr kernel::Duration gapInTurn = 700ms;
constexpr std::size_t maxReplaced = 3;

} // namespace

Faults::Faults(World &world, kernel::Random random, bool plannedOnly)
    : m_world(world)
    , m_random(random)
    , m_plannedOnly(plannedOnly)
{
    next();
}

void Faults::next()
{
    m_next = kernel::Timer(m_world.scheduler(), between(minGap, maxGap), [this] {
        // A third of the events is planned work, so that faults and planned work overlap.
        if (m_plannedOnly || kernel::uniformBelow(m_random, 3) == 0)
            planned(kernel::uniformBelow(m_random, 6));
        else
            unplanned(kernel::uniformBelow(m_random, 10));
        next();
    });
}

void Faults::planned(std::uint64_t roll)
{
    switch (roll) {
    case 0:
    case 1:
        m_world.stopRouter(anyRouter());
        return;
    case 2:
        stopAllInTurn();
        return;
    case 3:
        m_world.reloadRouter(anyRouter());
        return;
    case 4:
        m_world.configure(!m_world.extraRoute());
        return;
    default:
        break;
    }
    const auto leaving = static_cast<std::size_t>(
        std::ranges::count_if(m_world.runners(), [](const auto &one) { return one->leaving; }));
    if (leaving < maxReplaced)
        m_world.replaceRunner(anyRunnerIndex());
}

void Faults::unplanned(std::uint64_t roll)
{
    switch (roll) {
    case 0:
        m_world.killRouter(anyRouter());
        return;
    case 1:
        m_world.pauseRouter(anyRouter(), between(200ms, 2s));
        return;
    case 2:
        killSeveral();
        return;
    case 3:
        m_world.killRunner(anyRunnerIndex());
        return;
    case 4:
        degradeRunner();
        return;
    case 5:
        degradeRunnerPath();
        return;
    case 6:
        degradeStore();
        return;
    case 7:
        degradeService();
        return;
    case 8:
        limitRunner();
        return;
    default:
        degradeStorePath();
    }
}

void Faults::stopAllInTurn()
{
    for (std::size_t i = 0; i < m_world.routers().size(); ++i)
        later(gapInTurn * static_cast<int>(i), [this, i] { m_world.stopRouter(i); });
}

void Faults::killSeveral()
{
    for (std::size_t i = 0; i < m_world.routers().size(); ++i) {
        if (kernel::uniformBelow(m_random, 2) == 0)
            m_world.killRouter(i);
    }
}

void Faults::degradeRunner()
{
    RunnerPlace &runner = anyRunner();
    RunnerBehaviour &behaviour = runner.standin->behaviour();
    const auto every = static_cast<int>(1 + kernel::uniformBelow(m_random, 4));
    switch (kernel::uniformBelow(m_random, 5)) {
    case 0:
        behaviour.resetEvery = every;
        break;
    case 1:
        behaviour.refuseEvery = every;
        break;
    case 2:
        behaviour.failEvery = every;
        break;
    case 3:
        behaviour.faultyEventEvery = every;
        break;
    default:
        behaviour.work *= 20;
    }
    const kernel::Duration time = between(500ms, 2s);
    m_world.recordUnplanned("runner " + runner.id + " misbehaves", time);
    later(time, [this, id = runner.id] { restoreRunner(id); });
}

// Makes all runners of a service refuse or fail at once, so that every request is a candidate for a
// retry.
void Faults::degradeService()
{
    const std::string service = anyRunner().service;
    const bool refuse = kernel::uniformBelow(m_random, 2) == 0;
    const kernel::Duration time = between(1s, 3s);
    m_world.recordUnplanned("all of " + service + " misbehave", time);
    for (const auto &one : m_world.runners()) {
        if (one->service != service)
            continue;
        RunnerBehaviour &behaviour = one->standin->behaviour();
        (refuse ? behaviour.refuseEvery : behaviour.failEvery) = 1;
        later(time, [this, id = one->id] { restoreRunner(id); });
    }
}

// A limit is not recorded as a fault: the other runners must serve the rest.
void Faults::limitRunner()
{
    static constexpr std::array limits{ "0", "0.5", "1.4", "3" };
    m_world.limitRunner(anyRunnerIndex(), limits[kernel::uniformBelow(m_random, limits.size())],
                        between(5s, 12s));
}

// Ends the faults of a runner; its notices and its limit stay.
void Faults::restoreRunner(const std::string &id)
{
    RunnerPlace *runner = m_world.findRunner(id);
    if (runner == nullptr)
        return;
    RunnerBehaviour &behaviour = runner->standin->behaviour();
    behaviour.work = World::workTime();
    behaviour.resetEvery = 0;
    behaviour.refuseEvery = 0;
    behaviour.failEvery = 0;
    behaviour.faultyEventEvery = 0;
}

void Faults::degradeRunnerPath()
{
    RunnerPlace &runner = anyRunner();
    const auto roll = kernel::uniformBelow(m_random, 5);
    if (roll == 0) {
        m_world.recordUnplanned("path to " + runner.id + " reset", {});
        m_world.recordPathTrouble(runner.id, {});
        runner.path->resetConnections();
        return;
    }
    const ProxyBehaviour behaviour = roll == 1   ? ProxyBehaviour::Slow
                                     : roll == 2 ? ProxyBehaviour::OneWay
                                     : roll == 3 ? ProxyBehaviour::Silent
                                                 : ProxyBehaviour::BreaksHeads;
    const kernel::Duration time = between(300ms, 2s);
    m_world.recordUnplanned("path to " + runner.id + " spoilt", time);
    m_world.recordPathTrouble(runner.id, time);
    runner.path->setBehaviour(behaviour);
    later(time, [this, id = runner.id] {
        if (RunnerPlace *place = m_world.findRunner(id))
            place->path->setBehaviour(ProxyBehaviour::Pass);
    });
}

// Faults of the store excuse no failed request, only outdated configurations.
void Faults::degradeStore()
{
    const auto roll = kernel::uniformBelow(m_random, 6);
    if (roll == 5) {
        m_world.restoreStore(between(50ms, 1s), between(0ms, 1s));
        return;
    }
    if (roll == 0) {
        m_world.recordStoreTrouble({});
        m_world.store().dropHistory();
        return;
    }
    const kernel::Duration time = between(300ms, 3s);
    m_world.recordStoreTrouble(time);
    if (roll == 1) {
        m_world.store().setDropWriteResponses(true);
        later(time, [this] { m_world.store().setDropWriteResponses(false); });
        return;
    }
    m_world.store().setBehaviour(roll == 2   ? StoreBehaviour::Unavailable
                                 : roll == 3 ? StoreBehaviour::Unresponsive
                                             : StoreBehaviour::ResetsConnections);
    later(time, [this] { m_world.store().setBehaviour(StoreBehaviour::Normal); });
}

void Faults::degradeStorePath()
{
    const std::size_t number = anyRouter();
    const kernel::Duration time = between(300ms, 3s);
    m_world.recordStoreTrouble(time, number);
    LoopbackProxy &path = *m_world.routers()[number].storePath;
    path.setBehaviour(kernel::uniformBelow(m_random, 2) == 0 ? ProxyBehaviour::Silent
                                                             : ProxyBehaviour::OneWay);
    later(time, [&path] { path.setBehaviour(ProxyBehaviour::Pass); });
}

std::size_t Faults::anyRouter()
{
    return kernel::uniformBelow(m_random, m_world.routers().size());
}

std::size_t Faults::anyRunnerIndex()
{
    return kernel::uniformBelow(m_random, m_world.runners().size());
}

RunnerPlace &Faults::anyRunner()
{
    return *m_world.runners()[anyRunnerIndex()];
}

void Faults::later(kernel::Duration delay, std::function<void()> function)
{
    m_timers.emplace_back(m_world.scheduler(), delay, std::move(function));
}

kernel::Duration Faults::between(kernel::Duration least, kernel::Duration most)
{
    return least + kernel::scaled(most - least, kernel::uniform01(m_random));
}

} // namespace acaciasail::soak
