#include "daemon/daemon.h"
#include "daemon/modules.h"
#include "externals/externals.h"
#include "http/http.h"

namespace acaciasail::daemon {

kernel::Module platformModule()
{
    kernel::Module module;
    module.name = names::platform;
    module.init = [](kernel::ServiceRegistry &services) -> kernel::Result<void> {
        BOOST_LEAF_AUTO(settings, services.find<DaemonSettings>(names::settings));
        BOOST_LEAF_AUTO(loop, services.find<http::EventLoop>(names::loop));
        BOOST_LEAF_AUTO(client, services.find<http::Client>(names::client));
        externals::PlatformOptions options;
        options.endpoint = settings->platform;
        return services.add(names::platform,
                            std::make_shared<externals::Platform>(
                                externals::makePlatform(*client, loop->scheduler(), options)));
    };
    module.shutdown = [](kernel::ServiceRegistry &services) { services.remove(names::platform); };
    return module;
}

} // namespace acaciasail::daemon
