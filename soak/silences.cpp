#include "silences.h"

#include <algorithm>

#include "findings.h"

namespace acaciasail::soak {

namespace {

using namespace std::chrono_literals;
using platform::testing::Arrival;
using platform::testing::StoreBehaviour;

constexpr kernel::Duration minGap = 1500ms;
constexpr kernel::Duration maxGap = 4s;
constexpr kernel::Duration maxSilence = 3500ms;
// The longest time between the end of a silence and the change that follows.
constexpr kernel::Duration maxChangeDelay = 1500ms;

// A request must not reach a runner this long after the store has accepted that the runner leaves,
// unless there was trouble at the store, the router or the path to the runner shortly before.
constexpr kernel::Duration leaveTime = 2s;

} // namespace

Silences::Silences(World &world, kernel::Random random)
    : m_world(world)
    , m_random(random)
{
    next();
}

void Silences::next()
{
    const kernel::Duration gap
        = minGap + kernel::scaled(maxGap - minGap, kernel::uniform01(m_random));
    m_next = kernel::Timer(m_world.scheduler(), gap, [this] {
        const kernel::Duration time = kernel::scaled(maxSilence, kernel::uniform01(m_random));
        switch (kernel::uniformBelow(m_random, 3)) {
        case 0:
            silenceStore(time);
            break;
        case 1:
            silenceStorePath(time);
            break;
        default:
            holdRunnerPath(time);
        }
        next();
    });
}

void Silences::silenceStore(kernel::Duration time)
{
    m_world.recordStoreTrouble(time);
    m_world.store().silenceOpenCalls();
    m_world.store().setBehaviour(StoreBehaviour::Unresponsive);
    later(time, [this] {
        m_world.store().silenceOpenCalls();
        m_world.store().setBehaviour(StoreBehaviour::Normal);
    });
    changeSoon(time, anyRunnerIndex());
}

void Silences::silenceStorePath(kernel::Duration time)
{
    const std::size_t router = kernel::uniformBelow(m_random, m_world.routers().size());
    m_world.recordStoreTrouble(time, router);
    LoopbackProxy &path = *m_world.routers()[router].storePath;
    path.setBehaviour(ProxyBehaviour::Silent);
    later(time, [&path] { path.passNewConnections(); });
    changeSoon(time, anyRunnerIndex());
}

void Silences::holdRunnerPath(kernel::Duration time)
{
    const std::size_t index = anyRunnerIndex();
    const RunnerPlace &runner = *m_world.runners()[index];
    m_world.recordUnplanned("path to " + runner.id + " holds bytes", time);
    m_world.recordPathTrouble(runner.id, time);
    runner.path->setBehaviour(ProxyBehaviour::Held);
    later(time, [this, id = runner.id] {
        if (RunnerPlace *place = m_world.findRunner(id))
            place->path->setBehaviour(ProxyBehaviour::Pass);
    });
    changeSoon(time, index);
}

void Silences::changeSoon(kernel::Duration after, std::size_t leavingRunner)
{
    const kernel::Duration delay
        = after + kernel::scaled(maxChangeDelay, kernel::uniform01(m_random));
    if (kernel::uniformBelow(m_random, 4) == 0) {
        later(delay, [this] { m_world.configure(!m_world.extraRoute()); });
        return;
    }
    later(delay,
          [this, id = m_world.runners()[leavingRunner]->id] { m_world.registerLeaving(id); });
}

void Silences::later(kernel::Duration delay, std::function<void()> function)
{
    m_timers.emplace_back(m_world.scheduler(), delay, std::move(function));
}

std::size_t Silences::anyRunnerIndex()
{
    return kernel::uniformBelow(m_random, m_world.runners().size());
}

void judgeRegisteredLeaving(const Record &record, std::vector<std::string> &broken)
{
    Findings late("no request reaches a runner 2 s after its registration says that it leaves",
                  broken);
    const AskedById byId = indexById(record);
    for (const auto &[runner, since] : record.registeredLeaving) {
        const auto arrivals = record.arrivals.find(runner);
        if (arrivals == record.arrivals.end())
            continue;
        for (const Arrival &arrival : arrivals->second) {
            const auto asked = byId.find(arrival.request);
            if (asked == byId.end() || arrival.time <= since + leaveTime
                || isExcused(record, runner, *asked->second, arrival.time))
                continue;
            late.add(asked->second->id + " at router " + std::to_string(asked->second->router)
                     + " reached " + runner + " "
                     + std::to_string(kernel::toMilliseconds(arrival.time - since)) + " ms after");
        }
    }
}

} // namespace acaciasail::soak
