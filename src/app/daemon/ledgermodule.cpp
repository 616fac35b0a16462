#include "daemon/daemon.h"
#include "daemon/modules.h"
#include "externals/externals.h"
#include "http/http.h"
#include "ledger/ledger.h"
#include "peers/peers.h"
#include "wire/wire.h"

namespace acaciasail::daemon {

kernel::Module ledgerModule()
{
    kernel::Module module;
    module.name = names::bills;
    module.init = [](kernel::ServiceRegistry &services) -> kernel::Result<void> {
        BOOST_LEAF_AUTO(loop, services.find<http::EventLoop>(names::loop));
        BOOST_LEAF_AUTO(platform, services.find<externals::Platform>(names::platform));
        BOOST_LEAF_AUTO(transport, services.find<wire::Http2Transport>(names::transport));
        BOOST_LEAF_AUTO(peers, services.find<peers::Peers>(names::peers));
        kernel::Random random = kernel::systemRandom();
        ledger::LedgerEnvironment environment;
        environment.scheduler = &loop->scheduler();
        environment.transport = transport->transport();
        environment.peers = peers->view();
        environment.store = platform->objects;
        environment.boot = kernel::randomId(random, "");
        BOOST_LEAF_CHECK(services.add(
            names::bills, std::make_shared<ledger::Bills>(environment, ledger::BillOptions{})));
        return services.add(names::claims,
                            std::make_shared<ledger::Claims>(environment, ledger::ClaimOptions{}));
    };
    module.shutdown = [](kernel::ServiceRegistry &services) {
        services.remove(names::claims);
        services.remove(names::bills);
    };
    return module;
}

} // namespace acaciasail::daemon
