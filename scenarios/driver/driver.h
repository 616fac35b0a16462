#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http/http.h"
#include "kernel/kernel.h"
#include "scenario.h"

namespace acaciasail::scenarios {

/// What became of one sending of a request.
struct Sending
{
    std::string request;
    std::string key;
    std::string traffic;
    bool billed = true;
    bool ended = false;
    int status = 0;
    std::string runState;
    /// The whole answer came, and it is the one to this request.
    bool answered = false;
    /// An answer that claims to be whole and is not right.
    bool wrong = false;
    bool replayed = false;
    std::string version;
    kernel::Duration firstByte{};
    kernel::Duration total{};
};

/// The processes that a scenario runs against.
struct Fleet
{
    /// Callers' addresses and process ids of the daemons, in order of their numbers.
    std::vector<kernel::Endpoint> daemons;
    std::vector<int> processes;
    kernel::Endpoint platform;
    kernel::Endpoint control;
};

/// Everything that happened in a scenario.
struct Outcome
{
    std::vector<Sending> sendings;
    /// The stand-ins' record and the objects of bills, as JSON texts.
    std::string record;
    std::string bills;
    std::vector<std::string> problems;
};

/// Runs a scenario's traffic and steps, waits for all answers, and reads what the stand-ins saw.
Outcome runScenario(const Scenario &scenario, const Fleet &fleet, std::uint64_t seed);

/// The figures of an outcome by name.
std::map<std::string, double> figuresOf(const Scenario &scenario, const Outcome &outcome);

} // namespace acaciasail::scenarios
