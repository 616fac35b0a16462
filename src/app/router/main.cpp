// The router for deployments whose routes, keys and roll-outs are in the platform's store.
// Usage: acaciasail-router --settings FILE [--check-settings]

#include <csignal>

#include "commandline/commandline.h"
#include "router/router.h"
#include "router/routersettings.h"

using namespace acaciasail;

int main(int argc, const char **argv)
{
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
