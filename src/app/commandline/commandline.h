#pragma once

#include <functional>
#include <string>
#include <vector>

#include "kernel/kernel.h"
#include "settings/settings.h"

namespace acaciasail::app {

/// What a daemon's program does with its settings file.
struct DaemonProgram
{
    /// The program's name, for messages.
    std::string name;
    /// Reads and checks the file, and keeps the settings for `run`. Errors: the file can't be read.
    std::function<kernel::Result<std::vector<settings::Mistake>>(const std::string &file)> check;
    /// Runs until it is told to stop. Errors: those of its listeners.
    std::function<kernel::Result<void>(const std::string &file)> run;
};

/// The main function of a daemon: NAME --settings FILE [--check-settings] | --version. Gives the
/// process's exit code: 0, 1 when the daemon can't run, 2 when its command line or settings are
/// wrong.
int daemonMain(const DaemonProgram &program, int argc, const char **argv);

} // namespace acaciasail::app
