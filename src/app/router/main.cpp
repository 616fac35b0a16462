// The router for deployments whose routes, keys and roll-outs the platform holds: acaciasail-router
// --settings FILE [--check-settings]

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include <popt.h>

#include "router/router.h"
#include "router/routersettings.h"

namespace {

using namespace acaciasail;

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

struct Options
{
    std::string settingsFile;
    bool checkOnly = false;
    bool version = false;
};

struct PoptDeleter
{
    void operator()(poptContext_s *context) const { poptFreeContext(context); }
};

// Reads the command line; false after a message when it is wrong.
bool readOptions(int argc, const char **argv, Options &options)
{
    char *file = nullptr;
    int check = 0;
    int version = 0;
    const poptOption table[]
        = { { "settings", 's', POPT_ARG_STRING, &file, 0, "Settings file (TOML)", "FILE" },
            { "check-settings", 'c', POPT_ARG_NONE, &check, 0, "Check the settings and end",
              nullptr },
            { "version", 'V', POPT_ARG_NONE, &version, 0, "Show the version and end", nullptr },
            POPT_AUTOHELP POPT_TABLEEND };
    const std::unique_ptr<poptContext_s, PoptDeleter> context(
        poptGetContext("acaciasail-router", argc, argv, table, 0));
    const int result = poptGetNextOpt(context.get());
    const char *stray = poptGetArg(context.get());
    const kernel::ScopeGuard freeFile([&] { std::free(file); });
    if (result < -1 || stray != nullptr) {
        std::cerr << "acaciasail-router: "
                  << (stray != nullptr ? "unexpected argument" : poptStrerror(result)) << ": "
                  << (stray != nullptr ? stray : poptBadOption(context.get(), 0)) << "\n";
        return false;
    }
    options = { file != nullptr ? file : "", check != 0, version != 0 };
    if (options.settingsFile.empty() && !options.version) {
        std::cerr << "acaciasail-router: --settings FILE is missing\n";
        return false;
    }
    return true;
}

int run(const Options &options)
{
    const auto checked
        = kernel::capture([&] { return router::readRouterSettings(options.settingsFile); });
    if (!checked.ok()) {
        std::cerr << checked.error().message << "\n";
        return exitUsage;
    }
    for (const settings::Mistake &mistake : checked.value().mistakes)
        std::cerr << settings::toString(mistake) << "\n";
    if (!checked.value().mistakes.empty())
        return exitUsage;
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": settings are correct\n";
        return exitOk;
    }
    const auto ended = kernel::capture(
        [&] { return router::runRouter(checked.value().settings, options.settingsFile); });
    if (ended.ok())
        return exitOk;
    std::cerr << "acaciasail-router: " << ended.error().message << "\n";
    return exitFailed;
}

} // namespace

int main(int argc, const char **argv)
{
    // A reload that is asked for before the settings are read is done by reading them.
    std::signal(SIGHUP, SIG_IGN);
    Options options;
    if (!readOptions(argc, argv, options))
        return exitUsage;
    if (options.version) {
        std::cout << "acaciasail-router 0.1.0\n";
        return exitOk;
    }
    return run(options);
}
