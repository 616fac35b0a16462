#pragma once

#include <optional>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::ctl {

/// Exit codes of the tool; docs/operators/CLI.md explains them.
enum class ExitCode {
    Ok = 0,
    Refused = 1,
    Usage = 2,
    Unreachable = 3,
    OutcomeUnknown = 4,
};

/// The exit code of an error.
ExitCode exitCodeOf(kernel::ResultCode code);

/// What the command line says.
struct CtlOptions
{
    std::optional<kernel::Endpoint> platform;
    /// Admin addresses.
    std::vector<kernel::Endpoint> daemons;
    bool json = false;
    /// Show what an import would do, and write nothing.
    bool dryRun = false;
    /// An import also deletes the rows that its file lacks.
    bool prune = false;
    /// Who makes the edits.
    std::string by;
    /// Revision that a row must have to be edited.
    std::optional<kernel::Revision> revision;
    /// Command and its arguments.
    std::vector<std::string> arguments;
};

/// Reads the command line, and the settings file that it names. Errors: UsageError,
/// SettingsUnreadable, SettingsInvalid; an empty message means that help was printed.
kernel::Completion<CtlOptions> readOptions(int argc, const char **argv);

} // namespace acaciasail::ctl
