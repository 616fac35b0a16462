#include "evacuations.h"

#include <algorithm>
#include <array>

#include "findings.h"

namespace acaciasail::soak {

namespace {

using namespace std::chrono_literals;
using platform::testing::Arrival;

// Gap from the end of an evacuation and of its runners' cold time to the next evacuation.
constexpr kernel::Duration minGap = 1s;
constexpr kernel::Duration maxGap = 4s;
constexpr kernel::Duration minTime = 3s;
constexpr kernel::Duration maxTime = 5s;
constexpr kernel::Duration firstDelay = 500ms;
constexpr std::ptrdiff_t minRunnersElsewhere = 2;

// Routers must obey an evacuation from this long after the store has accepted it.
constexpr kernel::Duration evacuationTime = 2s;
// Requests that a cold runner may get within the window: this factor times its limit, plus the
// slack.
constexpr kernel::Duration coldWindow = 1s;
constexpr double coldFactor = 1.5;
constexpr double coldSlack = 5;

const std::vector<Arrival> &arrivalsAt(const Record &record, const std::string &runner)
{
    static const std::vector<Arrival> none;
    const auto found = record.arrivals.find(runner);
    return found == record.arrivals.end() ? none : found->second;
}

std::string describe(const std::string &runner, kernel::Instant at)
{
    return runner + " at " + std::to_string(kernel::toMilliseconds(at.time_since_epoch())) + " ms";
}

} // namespace

Evacuations::Evacuations(World &world, kernel::Random random)
    : m_world(world)
    , m_random(random)
{
    m_next = kernel::Timer(m_world.scheduler(), firstDelay, [this] { next(); });
}

void Evacuations::next()
{
    const std::string dataCentre = kernel::uniformBelow(m_random, 2) == 0 ? "z" : "z2";
    const kernel::Duration time
        = minTime + kernel::scaled(maxTime - minTime, kernel::uniform01(m_random));
    kernel::Duration gap = minGap + kernel::scaled(maxGap - minGap, kernel::uniform01(m_random));
    if (mayEvacuate(dataCentre)) {
        m_world.evacuate(dataCentre, time);
        gap += time + coldTime;
    }
    m_next = kernel::Timer(m_world.scheduler(), gap, [this] { next(); });
}

bool Evacuations::mayEvacuate(const std::string &dataCentre) const
{
    return std::ranges::all_of(std::array{ "desk", "engines" }, [&](const char *service) {
        return std::ranges::count_if(m_world.runners(),
                                     [&](const auto &runner) {
                                         return runner->service == service
                                                && runner->dataCentre != dataCentre
                                                && !runner->leaving;
                                     })
               >= minRunnersElsewhere;
    });
}

void judgeEvacuations(const Record &record, std::vector<std::string> &broken)
{
    Findings late("no request reaches an evacuated data centre 2 s after the evacuation", broken);
    const AskedById byId = indexById(record);
    for (const NamedPeriod &evacuation : record.evacuations) {
        for (const auto &[runner, dataCentre] : record.dataCentreOfRunner) {
            if (dataCentre != evacuation.name)
                continue;
            for (const Arrival &arrival : arrivalsAt(record, runner)) {
                const auto asked = byId.find(arrival.request);
                if (asked != byId.end() && arrival.time > evacuation.from + evacuationTime
                    && arrival.time < evacuation.to
                    && !isExcused(record, runner, *asked->second, arrival.time))
                    late.add(asked->second->id + " at router "
                             + std::to_string(asked->second->router) + " reached "
                             + describe(runner, arrival.time));
            }
        }
    }
}

void judgeColdRunners(const Record &record, std::vector<std::string> &broken)
{
    Findings tooMany("a cold runner gets no more requests than it bears", broken);
    const AskedById byId = indexById(record);
    for (const NamedPeriod &cold : record.coldTimes) {
        std::vector<kernel::Instant> times;
        for (const Arrival &arrival : arrivalsAt(record, cold.name)) {
            const auto asked = byId.find(arrival.request);
            if (asked != byId.end() && arrival.time >= cold.from && arrival.time < cold.to
                && !isExcused(record, cold.name, *asked->second, arrival.time))
                times.push_back(arrival.time);
        }
        for (const kernel::Instant start : times) {
            const auto count = std::ranges::count_if(times, [&](kernel::Instant time) {
                return time >= start && time < start + coldWindow;
            });
            if (static_cast<double>(count) > coldFactor * coldPerSecond + coldSlack)
                tooMany.add(std::to_string(count) + " within a second at "
                            + describe(cold.name, start));
        }
    }
}

} // namespace acaciasail::soak
