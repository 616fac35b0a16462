// acaciasail-scenarios [--list] [--seed N] [--report FILE] [fleet options] FILE...

#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>

#include <popt.h>

#include "driver.h"
#include "settings/settings.h"

namespace {

using namespace acaciasail;
using namespace acaciasail::scenarios;

constexpr int exitOk = 0;
constexpr int exitMissed = 1;
constexpr int exitUsage = 2;

struct Options
{
    bool list = false;
    std::uint64_t seed = 1;
    std::string report;
    Fleet fleet;
    std::vector<std::string> files;
};

struct PoptDeleter
{
    void operator()(poptContext_s *context) const { poptFreeContext(context); }
};

enum OptionValue {
    DaemonOption = 1,
    ProcessOption,
    PlatformOption,
    ControlOption,
    ReportOption,
};

bool takeOption(int value, const std::string &text, Options &options)
{
    if (value == ReportOption) {
        options.report = text;
        return true;
    }
    if (value == ProcessOption) {
        options.fleet.processes.push_back(std::atoi(text.c_str()));
        return true;
    }
    const auto endpoint = settings::parseEndpoint(text);
    if (!endpoint)
        return false;
    if (value == DaemonOption)
        options.fleet.daemons.push_back(*endpoint);
    else if (value == PlatformOption)
        options.fleet.platform = *endpoint;
    else
        options.fleet.control = *endpoint;
    return true;
}

bool readOptions(int argc, const char **argv, Options &options)
{
    int list = 0;
    long seed = 1;
    const poptOption table[]
        = { { "list", 'l', POPT_ARG_NONE, &list, 0, "Show names and expectations only", nullptr },
            { "seed", 0, POPT_ARG_LONG, &seed, 0, "Seed", "N" },
            { "report", 0, POPT_ARG_STRING, nullptr, ReportOption, "File for all figures", "FILE" },
            { "daemon", 0, POPT_ARG_STRING, nullptr, DaemonOption, "Callers' address", "IP:PORT" },
            { "process", 0, POPT_ARG_STRING, nullptr, ProcessOption, "Daemon's process", "PID" },
            { "platform", 0, POPT_ARG_STRING, nullptr, PlatformOption, "Stand-ins' platform",
              "IP:PORT" },
            { "control", 0, POPT_ARG_STRING, nullptr, ControlOption, "Stand-ins' control",
              "IP:PORT" },
            POPT_AUTOHELP POPT_TABLEEND };
    const std::unique_ptr<poptContext_s, PoptDeleter> context(
        poptGetContext("acaciasail-scenarios", argc, argv, table, 0));
    int value = 0;
    while ((value = poptGetNextOpt(context.get())) > 0) {
        char *argument = poptGetOptArg(context.get());
        const std::string text(argument);
        std::free(argument);
        if (!takeOption(value, text, options))
            return false;
    }
    while (const char *file = poptGetArg(context.get()))
        options.files.emplace_back(file);
    options.list = list != 0;
    options.seed = static_cast<std::uint64_t>(seed);
    return value == -1 && !options.files.empty();
}

// Prints one row an expectation; gives the number of misses.
int check(const Scenario &scenario, const std::map<std::string, double> &figures)
{
    int misses = 0;
    for (const Expectation &expectation : scenario.expectations) {
        const auto figure = figures.find(expectation.figure);
        // A version that ran nothing has no figure of its runs.
        const bool known = figure != figures.end()
                           || expectation.figure.find("runs_of_version.") != std::string::npos;
        const double value = figure != figures.end() ? figure->second : 0;
        const bool held
            = known
              && (expectation.atMost ? value <= expectation.bound : value >= expectation.bound);
        misses += held ? 0 : 1;
        std::cout << (held ? "ok    " : "MISS  ") << std::left << std::setw(34) << scenario.name
                  << std::setw(28) << expectation.figure << (expectation.atMost ? " <= " : " >= ")
                  << std::setw(8) << expectation.bound
                  << (known ? std::to_string(value) : "no such figure") << "\n";
    }
    return misses;
}

int runAll(const Options &options)
{
    int misses = 0;
    std::ofstream report;
    if (!options.report.empty())
        report.open(options.report);
    for (const std::string &file : options.files) {
        const auto scenario = kernel::capture([&] { return readScenario(file); });
        if (!scenario.ok()) {
            std::cerr << scenario.error().message << "\n";
            return exitUsage;
        }
        if (options.list) {
            std::cout << scenario.value().deployment << "\t" << scenario.value().name << "\n";
            continue;
        }
        const Outcome outcome = runScenario(scenario.value(), options.fleet, options.seed);
        for (const std::string &problem : outcome.problems)
            std::cerr << scenario.value().name << ": " << problem << "\n";
        const auto figures = figuresOf(scenario.value(), outcome);
        for (const auto &[name, value] : figures)
            report << scenario.value().name << "\t" << name << "\t" << value << "\n";
        misses += check(scenario.value(), figures);
    }
    return misses == 0 ? exitOk : exitMissed;
}

} // namespace

int main(int argc, const char **argv)
{
    Options options;
    if (!readOptions(argc, argv, options)) {
        std::cerr << "acaciasail-scenarios: wrong command line; see --help\n";
        return exitUsage;
    }
    return runAll(options);
}
