#include "forwarding/internal/engineload.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// A request that waits shows that the engine has no room: it counts as so many that run.
constexpr double queuedWeight = 3;
// Requests by which another engine must have less to do than the preferred one.
constexpr double preferenceMargin = 1.5;
// Weight of the newest report in the usual load.
constexpr double usualDecay = 0.05;
// Requests above the usual load that are no reason to ask another engine.
constexpr double roomyExcess = 1;
// An engine whose memory is used above this part puts requests back.
constexpr double memoryFullPart = 0.9;
constexpr double memoryFullLoad = 12;

double loadOf(const EngineLoad &load)
{
    const double requests = load.running + queuedWeight * load.queued;
    const bool full = load.memoryTotal > 0
                      && static_cast<double>(load.memoryUsed)
                             > memoryFullPart * static_cast<double>(load.memoryTotal);
    return requests + (full ? memoryFullLoad : 0);
}

double loadOf(const AskedEngine &engine)
{
    return std::max(loadOf(*engine.load), static_cast<double>(engine.ownInFlight));
}

} // namespace

void noteLoad(UsualLoad &usual, const EngineLoad &load)
{
    usual.requests += usualDecay * (loadOf(load) - usual.requests);
}

bool isRoomy(const UsualLoad &usual, const EngineLoad &load)
{
    return loadOf(load) <= usual.requests + roomyExcess;
}

std::size_t chooseByLoad(const std::vector<AskedEngine> &engines)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (!engines[i].load)
            continue;
        if (!best || loadOf(engines[i]) < loadOf(engines[*best]) - preferenceMargin)
            best = i;
    }
    return best.value_or(0);
}

} // namespace acaciasail::forwarding
