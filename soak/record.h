#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/kernel.h"
#include "platform/testing/runnerstandin.h"

namespace acaciasail::soak {

/// What a request may do, and what its answer is.
enum class AskKind {
    Safe,
    Unsafe,
    /// A stream that may be resumed.
    Stream,
};

/// One request as its caller saw it.
struct Asked
{
    std::string id;
    AskKind kind = AskKind::Safe;
    /// Number of the router, and its process's number among those of that router.
    std::size_t router = 0;
    int process = 0;
    kernel::Instant sent{};
    kernel::Instant ended{};
    /// 0 where no answer's head came.
    int status = 0;
    kernel::Instant headAt{};
    /// The stamp of the runner that answered; empty for the router's own answers.
    std::string stamp;
    /// The connection stood and the request went out.
    bool passedOn = false;
    /// The answer came to its end.
    bool complete = false;
    std::string body;
    std::string error;
};

/// A time in which something was made to go wrong.
struct Disturbance
{
    kernel::Instant from{};
    kernel::Instant to{};
    std::string what;
    /// The router that it touches; all where there is none.
    std::optional<std::size_t> router;
};

/// A time in which a runner named a rate limit.
struct LimitedTime
{
    std::string runner;
    /// Requests per second, from all routers together.
    double perSecond = 0;
    kernel::Instant from{};
    kernel::Instant to{};
    /// Times of the arrivals in this time, with the requests' ids.
    std::vector<std::pair<kernel::Instant, std::string>> arrivals;
};

/// All that a run has seen, from which the promises are judged.
struct Record
{
    std::vector<Asked> asked;
    /// Times that each request began to run, at all runners.
    std::map<std::string, int> runs;
    std::vector<Disturbance> unplanned;
    std::vector<Disturbance> planned;
    /// Times in which the store was hard to reach, which excuses old configurations only.
    std::vector<Disturbance> storeTrouble;
    /// Running totals, one entry each second: requests sent and runs begun.
    std::vector<std::pair<std::int64_t, std::int64_t>> totals;
    std::vector<LimitedTime> limited;
    /// All arrivals at each runner, by its id.
    std::map<std::string, std::vector<platform::testing::Arrival>> arrivals;
    /// Times in which the path to a runner was harmed, by the runner's id.
    std::map<std::string, std::vector<Disturbance>> pathTrouble;
    /// Promises that were found broken while the run went on.
    std::vector<std::string> broken;
};

/// Whether a restart, a pause or other trouble touched the router itself in this time.
bool isRouterDisturbed(const Record &record, std::size_t router, kernel::Instant from,
                       kernel::Instant to);

/// What the routers were told of repeats.
struct RepeatBound
{
    double ratio = 0;
    double slack = 0;
    /// Entries of Record::totals.
    std::size_t window = 10;
};

/// The broken promises of a run, one line each; docs/design/soak.md lists the promises.
std::vector<std::string> judge(const Record &record, const RepeatBound &repeats);

} // namespace acaciasail::soak
