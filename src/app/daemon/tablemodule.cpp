#include "daemon/daemon.h"
#include "daemon/modules.h"
#include "externals/externals.h"
#include "http/http.h"
#include "table/table.h"

namespace acaciasail::daemon {

kernel::Module tableModule()
{
    kernel::Module module;
    module.name = names::table;
    module.init = [](kernel::ServiceRegistry &services) -> kernel::Result<void> {
        BOOST_LEAF_AUTO(settings, services.find<DaemonSettings>(names::settings));
        BOOST_LEAF_AUTO(loop, services.find<http::EventLoop>(names::loop));
        BOOST_LEAF_AUTO(platform, services.find<externals::Platform>(names::platform));
        const auto table = std::make_shared<table::TableStore>(loop->scheduler());
        table::WatcherOptions options;
        options.seed = kernel::hash64(settings->vm.str());
        const auto watcher = std::make_shared<table::TableWatcher>(
            platform->objects, loop->scheduler(), *table, options);
        BOOST_LEAF_CHECK(services.add(names::table, table));
        return services.add(names::tableWatcher, watcher);
    };
    module.shutdown = [](kernel::ServiceRegistry &services) {
        services.remove(names::tableWatcher);
        services.remove(names::table);
    };
    return module;
}

} // namespace acaciasail::daemon
