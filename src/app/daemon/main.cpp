// The daemon: acaciasaild --settings FILE [--check-settings]

#include "commandline/commandline.h"
#include "daemon/daemon.h"
#include "daemon/daemonsettings.h"

using namespace acaciasail;

int main(int argc, const char **argv)
{
    daemon::DaemonSettings settings;
    app::DaemonProgram program;
    program.name = "acaciasaild";
    program.check = [&](const std::string &file) -> kernel::Result<std::vector<settings::Mistake>> {
        BOOST_LEAF_AUTO(checked, daemon::readDaemonSettings(file));
        settings = checked.settings;
        return checked.mistakes;
    };
    program.run = [&](const std::string &) { return daemon::runDaemon(settings); };
    return app::daemonMain(program, argc, argv);
}
