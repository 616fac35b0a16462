#pragma once

#include <map>

#include "listener.h"
#include "record.h"
#include "replies.h"
#include "standinsettings.h"

namespace acaciasail::standins {

/// Faults of one application runner; counts run down.
struct ApplicationFaults
{
    /// Calls that run and whose reply is lost.
    int loseReplies = 0;
    /// Calls that fail with 500 after they ran.
    int errors = 0;
    kernel::Duration delay{};
};

/// A plain service that runs each call that it gets, and counts them.
class ApplicationRunner
{
public:
    ApplicationRunner(http::EventLoop &loop, const StandinSettings &settings, Record &record,
                      const ApplicationRunnerSettings &own);

    kernel::Completion<kernel::Done> open() { return m_listener.open(); }
    void crash(kernel::Duration downTime) { m_listener.crash(downTime, {}); }
    ApplicationFaults &faults() { return m_faults; }
    const std::string &id() const { return m_own.id; }
    const kernel::Endpoint &endpoint() const { return m_listener.endpoint(); }

private:
    void handle(const http::ServerRequest &request, const ResponderPtr &responder);
    void answer(RunRecord &run, const std::string &path, const ResponderPtr &responder);

    const kernel::Scheduler *m_scheduler;
    const StandinSettings *m_settings;
    Record *m_record;
    ApplicationRunnerSettings m_own;
    ApplicationFaults m_faults;
    Listener m_listener;
};

} // namespace acaciasail::standins
