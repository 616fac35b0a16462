#include "daemon/daemon.h"
#include "daemon/modules.h"
#include "http/http.h"

namespace acaciasail::daemon {

kernel::Module loopModule()
{
    kernel::Module module;
    module.name = names::loop;
    module.init = [](kernel::ServiceRegistry &services) -> kernel::Result<void> {
        const auto loop = std::make_shared<http::EventLoop>();
        BOOST_LEAF_CHECK(services.add(names::loop, loop));
        return services.add(names::client, std::make_shared<http::Client>(*loop));
    };
    module.shutdown = [](kernel::ServiceRegistry &services) {
        services.remove(names::client);
        services.remove(names::loop);
    };
    return module;
}

} // namespace acaciasail::daemon
