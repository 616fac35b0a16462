#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// What an engine says of its load, as of some hundred milliseconds ago.
struct EngineLoad
{
    int running = 0;
    int queued = 0;
    std::int64_t memoryUsed = 0;
    std::int64_t memoryTotal = 0;
    /// The answer says that the engine leaves.
    bool leaving = false;
};

/// Asks an engine for its load; destroying the result cancels the question. Errors: those of
/// http::Client, and UpstreamProtocol where the answer can't be read.
using LoadReader = std::function<std::unique_ptr<http::Exchange>(
    const kernel::Endpoint &, kernel::Duration timeout, kernel::Callback<EngineLoad>)>;

/// What a service's engines usually say of their load: a mean with decay.
struct UsualLoad
{
    double requests = 0;
};

/// Takes in one report.
void noteLoad(UsualLoad &usual, const EngineLoad &load);

/// Whether an engine has no more to do than is usual, so that no other needs to be asked.
bool isRoomy(const UsualLoad &usual, const EngineLoad &load);

/// One of the upstreams that were asked, in the order of preference.
struct AskedEngine
{
    /// None where it didn't answer in time.
    std::optional<EngineLoad> load;
    /// Requests that this daemon has there, which the report may not count yet.
    int ownInFlight = 0;
};

/// The engine to use: the first, which has most of the prompt in its memory, unless another one has
/// far less to do. Those that didn't answer come last.
std::size_t chooseByLoad(const std::vector<AskedEngine> &engines);

} // namespace acaciasail::forwarding
