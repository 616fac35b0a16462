#pragma once

#include <memory>
#include <string>

#include "gateway/internal/apierror.h"
#include "gateway/internal/authentication.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/idempotencyclaim.h"
#include "http/http.h"

namespace acaciasail::gateway {

/// A validated call of an application service (an HTTP service that is not a model) by a caller.
struct ServiceCall
{
    kernel::RequestId id;
    table::ServiceRow service;
    kernel::IdempotencyKey idempotencyKey;
    /// The call must not be sent more than once.
    bool nonIdempotent = false;
    kernel::Instant deadline;
    /// Path and query that the service gets. They are the caller's own: the normalised path has its
    /// escaped characters decoded, so it isn't one that could be sent.
    std::string target;
    http::ServerRequest request;
};

/// Reads and validates a call of an application service; the path is "/services/NAME/...".
/// Errors: ServiceUnknown, ServiceNotAllowed, InvalidField.
kernel::Result<ServiceCall> readServiceCall(const http::ServerRequest &request,
                                            const kernel::RequestId &id, const Identity &identity,
                                            const table::Snapshot &snapshot, kernel::Instant now);

/// Processes one call of an application service: claims the idempotency key, waits for admission,
/// runs the call, settles the bill and sends the answer.
class ServiceFlow : public std::enable_shared_from_this<ServiceFlow>
{
public:
    ServiceFlow(GatewayContext &context, Identity identity, ServiceCall call, table::Rank rank,
                std::shared_ptr<http::Responder> responder);

    void start();

private:
    void acquireClaim();
    void requestAdmission();
    void onAdmissionDecision(const admission::AdmissionDecision &decision);
    void run();
    void onEnd(const upstreams::JobResult &result);
    void settle();
    void sendAnswer();
    void fail(const ApiError &error);
    void onCallerDisconnected();
    void finish(const ApiError &error);
    ledger::BillRecord makeBill() const;

    GatewayContext &m_context;
    Identity m_identity;
    ServiceCall m_call;
    table::Rank m_rank;
    std::shared_ptr<http::Responder> m_responder;
    std::shared_ptr<ServiceFlow> m_self;
    kernel::Instant m_arrived;
    poison::Fingerprint m_fingerprint;
    IdempotencyClaim m_claim;
    std::unique_ptr<upstreams::Job> m_job;
    http::ClientHead m_head;
    std::string m_body;
    kernel::UpstreamId m_upstream;
    bool m_admitted = false;
    bool m_finished = false;
};

} // namespace acaciasail::gateway
