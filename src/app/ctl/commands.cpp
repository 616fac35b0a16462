#include "ctl/commands.h"

namespace acaciasail::ctl {

ExitCode runCommand(Session &session)
{
    const std::vector<std::string> &arguments = session.options().arguments;
    const std::string &command = arguments.front();
    const std::size_t count = arguments.size();
    if (command == "table")
        return runTableCommand(session);
    if (command == "status" && count == 1)
        return runStatus(session);
    if (command == "explain" && count == 2)
        return runExplain(session);
    if (command == "sessions" && count == 1)
        return runSessions(session);
    if (command == "drain" && count == 1)
        return runDrain(session);
    if (command == "bills" && count == 1)
        return runBills(session);
    return session.fail({ kernel::ResultCode::UsageError, "no command \"" + command + "\" with "
                                                              + std::to_string(count - 1)
                                                              + " arguments; see --help" });
}

} // namespace acaciasail::ctl
