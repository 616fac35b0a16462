#include <cstdlib>
#include <iostream>
#include <memory>

#include <popt.h>

#include "world.h"

using namespace acaciasail;

namespace {

constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitUsage = 2;

struct PoptCloser
{
    void operator()(poptContext context) const { poptFreeContext(context); }
};

// Reads --settings FILE; empty after a mistake, which was reported.
std::string settingsFile(int argc, const char **argv)
{
    char *file = nullptr;
    const poptOption options[]
        = { { "settings", 's', POPT_ARG_STRING, &file, 0, "settings of the stand-ins", "FILE" },
            POPT_AUTOHELP POPT_TABLEEND };
    const std::unique_ptr<std::remove_pointer_t<poptContext>, PoptCloser> context(
        poptGetContext("acaciasail-standins", argc, argv, options, 0));
    const int result = poptGetNextOpt(context.get());
    const std::unique_ptr<char, void (*)(void *)> owned(file, std::free);
    if (result < -1) {
        std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(result) << "\n";
        return {};
    }
    if (file == nullptr) {
        poptPrintUsage(context.get(), stderr, 0);
        return {};
    }
    return file;
}

int run(const std::string &file)
{
    const auto settings = standins::readSettings(file);
    if (!settings.ok()) {
        std::cerr << settings.error().message << "\n";
        return exitUsage;
    }
    http::EventLoop loop;
    standins::World world(loop, settings.value());
    const auto opened = world.open();
    if (!opened.ok()) {
        std::cerr << opened.error().message << "\n";
        return exitFailed;
    }
    std::cout << "platform " << kernel::toString(world.platformEndpoint()) << "\ncontrol "
              << kernel::toString(world.controlEndpoint()) << std::endl;
    loop.onTerminate([&loop] { loop.stop(); });
    loop.run();
    return exitOk;
}

} // namespace

int main(int argc, const char **argv)
{
    const std::string file = settingsFile(argc, argv);
    return file.empty() ? exitUsage : run(file);
}
