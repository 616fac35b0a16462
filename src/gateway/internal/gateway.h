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

struct GatewayContext;

/// Serves the requests that callers send to a daemon.
class Gateway
{
public:
    Gateway(const kernel::Scheduler &scheduler, upstreams::HttpSender sender,
            GatewayOptions options, GatewayCallbacks ports, kernel::Random random);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /// Handles one request of a caller.
    void handle(const http::ServerRequest &request,
                const std::shared_ptr<http::Responder> &responder);

    /// Starts to share limits with the other daemons.
    void shareLimits(const wire::Transport &transport, const wire::PeersView &peers);
    /// Updates the list of the fleet's daemons, which includes this one.
    void setDaemons(std::vector<kernel::VmId> daemons);
    /// Records ratings of answers, oldest first; the list may be empty.
    void recordRatings(const std::vector<externals::Rating> &ratings);
    /// Records the evidence (errors, latencies and ratings) that another daemon has collected for a
    /// roll-out.
    void recordEvidence(const routing::DecodedEvidence &evidence);
    const routing::RolloutEvidenceStore &rollouts() const;
    upstreams::Dispatcher &dispatcher();

    /// Refuses new requests from now on. Requests in progress continue.
    void startDrain();

    GatewayContext &context() { return *m_context; }

private:
    void updateCapacities();
    void handleChat(const http::ServerRequest &request, const kernel::RequestId &id,
                    const std::shared_ptr<http::Responder> &responder);
    void handleService(const http::ServerRequest &request, const kernel::RequestId &id,
                       const std::shared_ptr<http::Responder> &responder);
    void handleModels(const http::ServerRequest &request, const kernel::RequestId &id,
                      http::Responder &responder);
    void refuse(http::Responder &responder, const kernel::Error &error,
                const kernel::RequestId &id);

    std::unique_ptr<GatewayContext> m_context;
};

/// Returns the body of an error response that the HTTP server sends by itself, such as 400 or 413.
std::string serverErrorBody(int status);

} // namespace acaciasail::gateway
