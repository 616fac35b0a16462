// The router for deployments whose routes, keys and roll-outs are in the platform's store.
// Usage: acaciasail-router --settings FILE [--check-settings]

#include <csignal>

#include <malloc.h>

#include "commandline/commandline.h"
#include "router/router.h"
#include "router/routersettings.h"

using namespace acaciasail;

// Returns large buffers to the system as soon as they are freed.
static void releaseLargeBuffers()
{
    constexpr int largeBytes = 64 << 10;
    mallopt(M_MMAP_THRESHOLD, largeBytes);
    mallopt(M_TRIM_THRESHOLD, 4 * largeBytes);
}

int main(int argc, const char **argv)
{
    releaseLargeBuffers();
    // A SIGHUP that arrives before the settings are read needs no reload, as they are read anyway.
    std::signal(SIGHUP, SIG_IGN);
    router::RouterSettings settings;
    app::DaemonProgram program;
    program.name = "acaciasail-router";
    program.check = [&](const std::string &file) -> kernel::Result<std::vector<settings::Mistake>> {
        BOOST_LEAF_AUTO(checked, router::readRouterSettings(file));
        settings = checked.settings;
        return checked.mistakes;
    };
    program.run = [&](const std::string &file) { return router::runRouter(settings, file); };
    return app::daemonMain(program, argc, argv);
}
