// acaciasail-soak --router PROGRAM [--seed N] [--seconds N] [--planned] [--folder DIR]: runs router
// processes under faults and checks what callers and runners see. Ends with 1 when a promise was
// broken.

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>

#include <popt.h>

#include "callers.h"
#include "configurationcheck.h"
#include "crashingrequests.h"
#include "evacuations.h"
#include "faults.h"
#include "oddentries.h"
#include "runnernotices.h"
#include "silences.h"

namespace {

using namespace acaciasail;
using namespace acaciasail::soak;
using namespace std::chrono_literals;

constexpr int exitKept = 0;
constexpr int exitBroken = 1;
constexpr int exitUsage = 2;

constexpr kernel::Duration settleTime = 2s;
constexpr kernel::Duration watchInterval = 20ms;
// Time without faults at the end: for the longest stop, the longest request and the recovery.
constexpr kernel::Duration calmTime = 12s;
constexpr std::size_t callerCount = 24;

struct Options
{
    std::string router;
    std::string folder;
    long seed = 1;
    long seconds = 20;
    bool plannedOnly = false;
};

struct PoptDeleter
{
    void operator()(poptContext_s *context) const { poptFreeContext(context); }
};

bool readOptions(int argc, const char **argv, Options &options)
{
    char *router = nullptr;
    char *folder = nullptr;
    int planned = 0;
    const poptOption table[]
        = { { "router", 'r', POPT_ARG_STRING, &router, 0, "The router's program", "PROGRAM" },
            { "folder", 'f', POPT_ARG_STRING, &folder, 0, "Where logs and settings go", "DIR" },
            { "seed", 's', POPT_ARG_LONG, &options.seed, 0, "Seed of faults and traffic", "N" },
            { "seconds", 't', POPT_ARG_LONG, &options.seconds, 0, "Time with faults", "N" },
            { "planned", 'p', POPT_ARG_NONE, &planned, 0, "Only planned work", nullptr },
            POPT_AUTOHELP POPT_TABLEEND };
    const std::unique_ptr<poptContext_s, PoptDeleter> context(
        poptGetContext("acaciasail-soak", argc, argv, table, 0));
    const int result = poptGetNextOpt(context.get());
    const kernel::ScopeGuard freeTexts([&] {
        std::free(router);
        std::free(folder);
    });
    if (result < -1 || poptPeekArg(context.get()) != nullptr || router == nullptr) {
        std::cerr << "acaciasail-soak: "
                  << (router == nullptr ? "--router PROGRAM is missing" : "wrong arguments")
                  << "\n";
        return false;
    }
    options.router = router;
    options.folder = folder != nullptr ? folder : "";
    options.plannedOnly = planned != 0;
    return true;
}

// All processes start again, in the state that the faults have left.
void killAllRouters(World &world)
{
    for (std::size_t i = 0; i < world.routers().size(); ++i)
        world.killRouter(i);
}

// Runs one seed; returns the broken promises.
std::vector<std::string> run(const Options &options)
{
    http::EventLoop loop;
    kernel::Random random(static_cast<std::uint64_t>(options.seed));
    WorldOptions worldOptions;
    worldOptions.routerProgram = options.router;
    worldOptions.folder = options.folder;
    World world(loop, worldOptions);
    kernel::Timer watching;
    std::function<void()> watch = [&] {
        world.watchRouters();
        watching = kernel::Timer(loop.scheduler(), watchInterval, watch);
    };
    watch();
    const auto play = [&](kernel::Duration time) { loop.runUntil([] { return false; }, time); };
    Callers callers(loop, world, callerCount, kernel::Random(random()));
    const ConfigurationCheck configurations(loop, world, kernel::Random(random()));
    play(settleTime);
    {
        Faults faults(world, kernel::Random(random()), options.plannedOnly);
        std::optional<CrashingRequests> crashing;
        if (!options.plannedOnly)
            crashing.emplace(loop, world, kernel::Random(random()));
        std::optional<RunnerNotices> notices;
        if (!options.plannedOnly)
            notices.emplace(world, kernel::Random(random()));
        std::optional<Silences> silences;
        if (!options.plannedOnly)
            silences.emplace(world, kernel::Random(random()));
        std::optional<Evacuations> evacuations(std::in_place, world, kernel::Random(random()));
        const OddEntries oddEntries(world, kernel::Random(random()));
        play(std::chrono::seconds(options.seconds));
        faults.stop();
        evacuations.reset();
        notices.reset();
        if (!options.plannedOnly)
            killAllRouters(world);
        play(calmTime);
        for (std::size_t i = 0; i < world.routers().size(); ++i) {
            if (!callers.isReady(i))
                world.record().broken.push_back("each router is ready after a calm time: router "
                                                + std::to_string(i));
        }
    }
    callers.stop();
    if (!loop.runUntil([&] { return callers.inProgress() == 0; }, calmTime))
        world.record().broken.push_back("each request ends");
    world.finish();
    std::vector<std::string> broken = judge(world.record(), { repeatRatio, repeatSlack });
    std::cout << "seed " << options.seed << ": " << world.record().asked.size() << " requests, "
              << world.record().unplanned.size() << " unplanned and "
              << world.record().planned.size() << " planned events, " << broken.size()
              << " findings\n";
    return broken;
}

} // namespace

int main(int argc, const char **argv)
{
    Options options;
    if (!readOptions(argc, argv, options))
        return exitUsage;
    if (options.folder.empty()) {
        options.folder = (std::filesystem::temp_directory_path()
                          / ("acaciasail-soak-" + std::to_string(options.seed)))
                             .string();
    }
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    try {
        const std::vector<std::string> broken = run(options);
        for (const std::string &line : broken)
            std::cout << "  broken: " << line << "\n";
        if (broken.empty())
            return exitKept;
        std::cout << "  logs of the routers: " << options.folder << "\n";
        return exitBroken;
    } catch (const std::exception &error) {
        std::cerr << "acaciasail-soak: " << error.what() << "\n";
        return exitUsage;
    }
}
