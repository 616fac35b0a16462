#pragma once

#include "ctl/session.h"

namespace acaciasail::ctl {

/// Runs the command that the options name.
ExitCode runCommand(Session &session);

/// `table ...`
ExitCode runTableCommand(Session &session);
/// `table diff|import|export ...`
ExitCode runDiff(Session &session);
ExitCode runImport(Session &session);
ExitCode runExport(Session &session);
/// `status`, `explain ID`, `sessions`, `drain`
ExitCode runStatus(Session &session);
ExitCode runExplain(Session &session);
ExitCode runSessions(Session &session);
ExitCode runDrain(Session &session);
/// `bills`
ExitCode runBills(Session &session);

} // namespace acaciasail::ctl
