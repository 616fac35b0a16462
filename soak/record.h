#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/kernel.h"
#include "platform/testing/runnerstandin.h"

namespace acaciasail::soak {

/// Kind of a request, which determines whether it may be repeated and what its answer is.
enum class AskKind {
    Safe,
    Unsafe,
    /// A stream that may be resumed.
    Stream,
};

/// A request as its caller saw it.
struct Asked
{
    std::string id;
    AskKind kind = AskKind::Safe;
    /// Number of the router, and the number of starts of that router so far.
    std::size_t router = 0;
    int process = 0;
    kernel::Instant sent{};
    kernel::Instant ended{};
    /// 0 if no response head was received.
    int status = 0;
    kernel::Instant headAt{};
    /// The stamp of the runner that answered; empty for the router's own answers.
    std::string stamp;
    /// Whether the request was sent completely.
    bool passedOn = false;
    /// Whether the response was received completely.
    bool complete = false;
    /// Whether the bytes that came were no HTTP response.
    bool malformed = false;
    std::string body;
    std::string error;
};

/// An injected fault or planned work, with its duration.
struct Disturbance
{
    kernel::Instant from{};
    kernel::Instant to{};
    std::string what;
    /// The affected router; nothing if it affects all routers.
    std::optional<std::size_t> router;
};

/// A period during which a runner named a rate limit.
struct LimitedTime
{
    std::string runner;
    /// Requests per second, from all routers together.
    double perSecond = 0;
    kernel::Instant from{};
    kernel::Instant to{};
};

/// A period during which a data centre was evacuated, or a runner was cold.
struct NamedPeriod
{
    std::string name;
    kernel::Instant from{};
    kernel::Instant to = kernel::Instant::max();
};

/// Observations of one run, from which the promises are checked.
struct Record
{
    std::vector<Asked> asked;
    /// Number of times that each request started to run, over all runners.
    std::map<std::string, int> runs;
    std::vector<Disturbance> unplanned;
    std::vector<Disturbance> planned;
    /// Periods of faults of the store, which excuse outdated configurations only.
    std::vector<Disturbance> storeTrouble;
    /// Cumulative numbers of requests sent and of runs started, one entry per second.
    std::vector<std::pair<std::int64_t, std::int64_t>> totals;
    std::vector<LimitedTime> limited;
    /// All arrivals at each runner, by its id.
    std::map<std::string, std::vector<platform::testing::Arrival>> arrivals;
    /// Faults of the network path to each runner, by the runner's id.
    std::map<std::string, std::vector<Disturbance>> pathTrouble;
    /// When the store accepted that a runner leaves, for runners that don't announce it in their
    /// responses; by the runner's id.
    std::map<std::string, kernel::Instant> registeredLeaving;
    /// Named by the data centre; from when the store accepted the evacuation's start to its end.
    std::vector<NamedPeriod> evacuations;
    /// Named by the runner's id.
    std::vector<NamedPeriod> coldTimes;
    /// By the runner's id.
    std::map<std::string, std::string> dataCentreOfRunner;
    /// Broken promises that were found during the run.
    std::vector<std::string> broken;
};

/// A router process, by the numbers of its router and of its start.
using Process = std::pair<std::size_t, int>;
Process processOf(const Asked &asked);

using AskedById = std::map<std::string, const Asked *>;
AskedById indexById(const Record &record);

/// Returns whether a restart, a pause or another fault affected this router in the period.
bool isRouterDisturbed(const Record &record, std::size_t router, kernel::Instant from,
                       kernel::Instant to);

/// Returns whether a disturbance of the store, the router or the path to the runner excuses that a
/// request reached the runner against the state in the store.
bool isExcused(const Record &record, const std::string &runner, const Asked &asked,
               kernel::Instant at);

/// The routers' retry budget.
struct RepeatBound
{
    double ratio = 0;
    double slack = 0;
    /// Length of the window in entries of Record::totals.
    std::size_t window = 10;
};

/// Returns the broken promises of a run, one line each; docs/design/soak.md lists the promises.
std::vector<std::string> judge(const Record &record, const RepeatBound &repeats);

} // namespace acaciasail::soak
