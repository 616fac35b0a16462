#include "commandline/commandline.h"

#include <cstdlib>
#include <iostream>
#include <memory>

#include <popt.h>

namespace acaciasail::app {

namespace {

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
bool readOptions(const std::string &name, int argc, const char **argv, Options &options)
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
        poptGetContext(name.c_str(), argc, argv, table, 0));
    const int result = poptGetNextOpt(context.get());
    const char *stray = poptGetArg(context.get());
    const kernel::ScopeGuard freeFile([&] { std::free(file); });
    if (result < -1 || stray != nullptr) {
        std::cerr << name << ": "
                  << (stray != nullptr ? "unexpected argument" : poptStrerror(result)) << ": "
                  << (stray != nullptr ? stray : poptBadOption(context.get(), 0)) << "\n";
        return false;
    }
    options = { file != nullptr ? file : "", check != 0, version != 0 };
    if (options.settingsFile.empty() && !options.version) {
        std::cerr << name << ": --settings FILE is missing\n";
        return false;
    }
    return true;
}

int checkAndRun(const DaemonProgram &program, const Options &options)
{
    const auto mistakes = kernel::capture([&] { return program.check(options.settingsFile); });
    if (!mistakes.ok()) {
        std::cerr << mistakes.error().message << "\n";
        return exitUsage;
    }
    for (const settings::Mistake &mistake : mistakes.value())
        std::cerr << settings::toString(mistake) << "\n";
    if (!mistakes.value().empty())
        return exitUsage;
    if (options.checkOnly) {
        std::cout << options.settingsFile << ": settings are correct\n";
        return exitOk;
    }
    const auto ended = kernel::capture([&] { return program.run(options.settingsFile); });
    if (ended.ok())
        return exitOk;
    std::cerr << program.name << ": " << ended.error().message << "\n";
    return exitFailed;
}

} // namespace

int daemonMain(const DaemonProgram &program, int argc, const char **argv)
{
    Options options;
    if (!readOptions(program.name, argc, argv, options))
        return exitUsage;
    if (options.version) {
        std::cout << program.name << " 0.1.0\n";
        return exitOk;
    }
    return checkAndRun(program, options);
}

} // namespace acaciasail::app
