#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Load that an engine (an upstream that runs models) reports; the report is some hundred
/// milliseconds old.
struct EngineLoad
{
    int running = 0;
    int queued = 0;
    /// Used and total memory, both in the unit of the engine's report; only the ratio matters.
    std::int64_t memoryUsed = 0;
    std::int64_t memoryTotal = 0;
    /// The report states that the engine is shutting down.
    bool leaving = false;
    /// Rate limit that the report's response names: requests per second from all routers together.
    std::optional<double> limitPerSecond;
};

/// Queries an engine for its load; destroying the result cancels the query. Errors are those of
/// http::Client, and UpstreamProtocol if the response can't be parsed.
using LoadReader = std::function<std::unique_ptr<http::Exchange>(
    const kernel::Endpoint &, kernel::Duration timeout, kernel::Callback<EngineLoad>)>;

/// Exponentially weighted moving average of the load that a service's engines report.
struct AverageLoad
{
    /// Running requests, plus the weighted queued ones and the penalty for a full memory.
    double weightedRequests = 0;
};

/// Records one load report.
void recordLoad(AverageLoad &average, const EngineLoad &load);

/// Returns whether the engine's load is not far above the average, so that no other engine needs to
/// be queried.
bool hasSpareCapacity(const AverageLoad &average, const EngineLoad &load);

/// Returns the work that the report shows, as a number of prompts that have yet to be read: queued
/// requests, a part of the running ones, and a penalty for a full memory.
double promptsAhead(const EngineLoad &load);

/// An engine that was queried for its load. Engines are listed in the order of preference.
struct QueriedEngine
{
    /// Not set if the engine did not answer in time.
    std::optional<EngineLoad> load;
    /// Requests of this router in flight at the engine, which the report may not include yet.
    int ownInFlight = 0;
};

/// Selects the engine to use: the first, which has the largest part of the prompt in its cache,
/// unless the load of another engine is far lower. Engines without a report are used last.
std::size_t chooseByLoad(const std::vector<QueriedEngine> &engines);

} // namespace acaciasail::forwarding
