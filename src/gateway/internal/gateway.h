#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gateway/internal/options.h"
#include "http/http.h"
#include "kernel/kernel.h"
#include "upstreams/upstreams.h"
#include "wire/wire.h"

namespace acaciasail::gateway {

struct Core;

/// All that a daemon does for its callers.
class Gateway
{
public:
    Gateway(const kernel::Scheduler &scheduler, upstreams::HttpSender sender,
            GatewayOptions options, GatewayPorts ports, kernel::Random random);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Handles one request of a caller.
    void handle(const http::ServerRequest &request,
                const std::shared_ptr<http::Responder> &responder);

    /// Shares limits with the other daemons from here on.
    void shareLimits(const wire::Transport &transport, const wire::PeersView &peers);
    /// The daemons of the fleet, this one among them.
    void daemonsChanged(std::vector<kernel::VmId> daemons);
    /// Ratings of answers, oldest first; may be empty.
    void noteRatings(const std::vector<externals::Rating> &ratings);
    /// Another daemon's evidence on a roll-out.
    void noteEvidence(const routing::DecodedEvidence &evidence);
    const routing::RolloutBook &rollouts() const;
    upstreams::Dispatcher &dispatcher();

    /// From here on new work is refused; what is in progress goes on.
    void beginDrain();

    Core &core() { return *m_core; }

private:
    void followCapacities();
    void handleChat(const http::ServerRequest &request, const kernel::RequestId &id,
                    const std::shared_ptr<http::Responder> &responder);
    void handleService(const http::ServerRequest &request, const kernel::RequestId &id,
                       const std::shared_ptr<http::Responder> &responder);
    void handleModels(const http::ServerRequest &request, const kernel::RequestId &id,
                      http::Responder &responder);
    void refuse(http::Responder &responder, const kernel::Error &error,
                const kernel::RequestId &id);

    std::unique_ptr<Core> m_core;
};

/// The body of the errors that the server answers by itself, such as 400 and 413.
std::string serverErrorBody(int status);

} // namespace acaciasail::gateway
