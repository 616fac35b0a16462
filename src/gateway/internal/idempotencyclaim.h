#pragma once

#include <functional>
#include <optional>
#include <string>

#include "gateway/internal/apierror.h"
#include "gateway/internal/authentication.h"
#include "gateway/internal/gatewaycontext.h"

namespace acaciasail::gateway {

/// Callbacks for the result of a claim request. Exactly one of them is called.
struct ClaimCallbacks
{
    /// The request may run; no other request with the same key is running.
    std::function<void()> onGranted;
    /// An earlier request with the same key has finished with this answer.
    std::function<void(const ledger::HeldAnswer &)> onAnswered;
    std::function<void(const ApiError &)> onRefused;
};

/// Manages the claim of a request on its idempotency key.
class IdempotencyClaim
{
public:
    /// Requests the claim on a key. `fingerprint` identifies the content of the request, so that a
    /// key that is reused for another request is detected.
    void acquire(GatewayContext &context, const Identity &identity,
                 const kernel::RequestId &request, const kernel::IdempotencyKey &key,
                 const std::string &fingerprint, ClaimCallbacks callbacks);

    /// Ends a granted claim: completes it with the answer, releases it if the request certainly did
    /// not run, or abandons it if the outcome is unknown. Does nothing if no claim was granted.
    void resolve(GatewayContext &context, const ApiError &outcome,
                 const ledger::HeldAnswer &answer);

private:
    std::optional<ledger::ClaimHandle> m_handle;
};

} // namespace acaciasail::gateway
