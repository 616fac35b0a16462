#include "forwarding/internal/placement/engineload.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// Weight of a queued request relative to a running one: a queue shows that the engine has no
// capacity left.
constexpr double queuedWeight = 3;
// An engine is chosen over a preferred engine only if its load is lower by this many requests.
constexpr double preferenceMargin = 1.5;
// Weight of the newest report in the moving average.
constexpr double averageWeight = 0.05;
// Another engine is queried only if the load exceeds the average by more than this many requests.
constexpr double maxLoadAboveAverage = 1;
// An engine that uses more than this fraction of its memory preempts requests.
constexpr double memoryFullFraction = 0.9;
// Number of requests that is added to the load of an engine whose memory is full.
constexpr double memoryFullPenaltyRequests = 12;

double memoryPenalty(const EngineLoad &load)
{
    const bool full = load.memoryTotal > 0
                      && static_cast<double>(load.memoryUsed)
                             > memoryFullFraction * static_cast<double>(load.memoryTotal);
    return full ? memoryFullPenaltyRequests : 0;
}

double loadOf(const EngineLoad &load)
{
    return load.running + queuedWeight * load.queued + memoryPenalty(load);
}

double loadOf(const QueriedEngine &engine)
{
    return std::max(loadOf(*engine.load), static_cast<double>(engine.ownInFlight));
}

} // namespace

double promptsAhead(const EngineLoad &load)
{
    return load.queued + load.running / queuedWeight + memoryPenalty(load) / queuedWeight;
}

void recordLoad(AverageLoad &average, const EngineLoad &load)
{
    average.weightedRequests += averageWeight * (loadOf(load) - average.weightedRequests);
}

bool hasSpareCapacity(const AverageLoad &average, const EngineLoad &load)
{
    return loadOf(load) <= average.weightedRequests + maxLoadAboveAverage;
}

std::size_t chooseByLoad(const std::vector<QueriedEngine> &engines)
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
