#include "daemon/daemon.h"

#include <memory>

#include "daemon/modules.h"

namespace acaciasail::daemon {

kernel::Result<void> runDaemon(const DaemonSettings &settings)
{
    kernel::openEventLog(settings.log);
    const kernel::ScopeGuard closeLog([] { kernel::closeEventLog(); });
    kernel::ModuleRunner runner;
    BOOST_LEAF_CHECK(
        runner.services().add(names::settings, std::make_shared<DaemonSettings>(settings)));
    BOOST_LEAF_CHECK(
        runner.init({ loopModule(), platformModule(), tableModule(), peersModule(), ledgerModule(),
                      gatewayModule(), findingsModule(), listenersModule() }));
    BOOST_LEAF_AUTO(loop, runner.services().find<http::EventLoop>(names::loop));
    loop->run();
    loop.reset();
    runner.shutdown();
    kernel::logEvent(kernel::EventId::DaemonStopped, {});
    return {};
}

} // namespace acaciasail::daemon
