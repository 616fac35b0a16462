#include "faults.h"

#include <algorithm>
#include <array>

namespace acaciasail::soak {

namespace {

using namespace std::chrono_literals;
using platform::testing::RunnerBehaviour;
using platform::testing::StoreBehaviour;

constexpr kernel::Duration shortestGap = 50ms;
constexpr kernel::Duration longestGap = 900ms;
constexpr kernel::Duration gapInTurn = 700ms;
constexpr std::size_t mostReplaced = 3;

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
    m_next = kernel::Timer(m_world.scheduler(), between(shortestGap, longestGap), [this] {
        // A third of what happens is planned work, so that both overlap.
        if (m_plannedOnly || kernel::uniformBelow(m_random, 3) == 0)
            planned(kernel::uniformBelow(m_random, 6));
        else
            unplanned(kernel::uniformBelow(m_random, 10));
        next();
    });
}

void Faults::planned(std::uint64_t die)
{
    switch (die) {
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
    if (leaving < mostReplaced)
        m_world.replaceRunner(anyRunnerIndex());
}

void Faults::unplanned(std::uint64_t die)
{
    switch (die) {
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
        spoilRunner();
        return;
    case 5:
        spoilRunnerPath();
        return;
    case 6:
        spoilStore();
        return;
    case 7:
        spoilService();
        return;
    case 8:
        limitRunner();
        return;
    default:
        spoilStorePath();
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

void Faults::spoilRunner()
{
    RunnerPlace &runner = anyRunner();
    RunnerBehaviour &behaviour = runner.standin->behaviour();
    const auto every = static_cast<int>(1 + kernel::uniformBelow(m_random, 4));
    switch (kernel::uniformBelow(m_random, 4)) {
    case 0:
        behaviour.resetEvery = every;
        break;
    case 1:
        behaviour.refuseEvery = every;
        break;
    case 2:
        behaviour.failEvery = every;
        break;
    default:
        behaviour.work *= 20;
    }
    const kernel::Duration time = between(500ms, 2s);
    m_world.noteUnplanned("runner " + runner.id + " misbehaves", time);
    later(time, [this, id = runner.id] { mend(id); });
}

// All runners of a service refuse or break at once, so that each request would be sent again.
void Faults::spoilService()
{
    const std::string service = anyRunner().service;
    const bool refuse = kernel::uniformBelow(m_random, 2) == 0;
    const kernel::Duration time = between(1s, 3s);
    m_world.noteUnplanned("all of " + service + " misbehave", time);
    for (const auto &one : m_world.runners()) {
        if (one->service != service)
            continue;
        RunnerBehaviour &behaviour = one->standin->behaviour();
        (refuse ? behaviour.refuseEvery : behaviour.failEvery) = 1;
        later(time, [this, id = one->id] { mend(id); });
    }
}

// The other runners take the rest, so that a limit alone disturbs no request.
void Faults::limitRunner()
{
    static constexpr std::array limits{ "0", "0.5", "1.4", "3" };
    m_world.limitRunner(anyRunnerIndex(), limits[kernel::uniformBelow(m_random, limits.size())],
                        between(5s, 12s));
}

void Faults::mend(const std::string &runner)
{
    for (const auto &one : m_world.runners()) {
        if (one->id != runner)
            continue;
        RunnerBehaviour good;
        good.eventsPerStream = one->standin->behaviour().eventsPerStream;
        good.work = World::workTime();
        good.crashBodyPrefix = crashingBody;
        good.limitPerSecond = one->standin->behaviour().limitPerSecond;
        good.announcesLeaving = one->standin->behaviour().announcesLeaving;
        good.retryAfterSeconds = one->standin->behaviour().retryAfterSeconds;
        one->standin->behaviour() = good;
    }
}

void Faults::spoilRunnerPath()
{
    RunnerPlace &runner = anyRunner();
    const auto die = kernel::uniformBelow(m_random, 4);
    if (die == 0) {
        m_world.noteUnplanned("path to " + runner.id + " reset", {});
        m_world.notePathTrouble(runner.id, {});
        runner.path->resetConnections();
        return;
    }
    const ProxyBehaviour behaviour = die == 1   ? ProxyBehaviour::Slow
                                     : die == 2 ? ProxyBehaviour::OneWay
                                                : ProxyBehaviour::Silent;
    const kernel::Duration time = between(300ms, 2s);
    m_world.noteUnplanned("path to " + runner.id + " spoilt", time);
    m_world.notePathTrouble(runner.id, time);
    runner.path->setBehaviour(behaviour);
    later(time, [this, id = runner.id] {
        for (const auto &one : m_world.runners()) {
            if (one->id == id)
                one->path->setBehaviour(ProxyBehaviour::Pass);
        }
    });
}

// The store's faults alone excuse nothing for requests; they are noted for configurations.
void Faults::spoilStore()
{
    const auto die = kernel::uniformBelow(m_random, 5);
    if (die == 0) {
        m_world.noteStoreTrouble({});
        m_world.store().dropHistory();
        return;
    }
    const kernel::Duration time = between(300ms, 3s);
    m_world.noteStoreTrouble(time);
    if (die == 1) {
        m_world.store().setDropWriteResponses(true);
        later(time, [this] { m_world.store().setDropWriteResponses(false); });
        return;
    }
    m_world.store().setBehaviour(die == 2   ? StoreBehaviour::Unavailable
                                 : die == 3 ? StoreBehaviour::Unresponsive
                                            : StoreBehaviour::ResetsConnections);
    later(time, [this] { m_world.store().setBehaviour(StoreBehaviour::Normal); });
}

void Faults::spoilStorePath()
{
    const std::size_t number = anyRouter();
    const kernel::Duration time = between(300ms, 3s);
    m_world.noteStoreTrouble(time, number);
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
