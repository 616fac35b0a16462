#include "gateway/internal/idempotencyclaim.h"

#include <utility>

namespace acaciasail::gateway {

namespace {

constexpr kernel::Duration runningRetryAfter = std::chrono::seconds(1);

ApiError refusalOf(ledger::ClaimOutcome outcome)
{
    if (outcome == ledger::ClaimOutcome::KeyReused) {
        return makeApiError(kernel::ResultCode::IdempotencyKeyReused,
                            "the idempotency key was already used with a different request");
    }
    if (outcome == ledger::ClaimOutcome::Running) {
        ApiError error = makeApiError(kernel::ResultCode::ClaimRunning,
                                      "a request with this idempotency key is in progress");
        error.retryAfter = runningRetryAfter;
        return error;
    }
    return makeApiError(kernel::ResultCode::ClaimOutcomeUnknown,
                        "an earlier request with this idempotency key may have run");
}

} // namespace

void IdempotencyClaim::acquire(GatewayContext &context, const Identity &identity,
                               const kernel::RequestId &request, const kernel::IdempotencyKey &key,
                               const std::string &fingerprint, ClaimCallbacks callbacks)
{
    ledger::ClaimRequest claim;
    claim.workspace = identity.workspace.id;
    claim.caller = identity.caller.id;
    claim.key = key;
    claim.fingerprint = fingerprint;
    claim.request = request;
    context.ports.claims.acquire(claim, [this, request, callbacks = std::move(callbacks)](
                                            const kernel::Completion<ledger::ClaimResult> &result) {
        const bool granted = result.ok() && result.value().outcome == ledger::ClaimOutcome::Granted;
        kernel::logEvent(
            granted ? kernel::EventId::ClaimGranted : kernel::EventId::ClaimRefused,
            { { "request", request },
              { "code", result.ok() ? 0 : kernel::toNumber(result.error().code) },
              { "outcome", result.ok() ? static_cast<int>(result.value().outcome) : -1 } });
        if (!result.ok()) {
            callbacks.onRefused(makeApiError(result.error()));
        } else if (granted) {
            m_handle = result.value().handle;
            callbacks.onGranted();
        } else if (result.value().outcome == ledger::ClaimOutcome::Answered) {
            callbacks.onAnswered(result.value().answer);
        } else {
            callbacks.onRefused(refusalOf(result.value().outcome));
        }
    });
}

void IdempotencyClaim::resolve(GatewayContext &context, const ApiError &outcome,
                               const ledger::HeldAnswer &answer)
{
    const auto handle = std::exchange(m_handle, std::nullopt);
    if (!handle)
        return;
    if (outcome.code == kernel::ResultCode::Ok)
        context.ports.claims.complete(*handle, answer);
    else if (outcome.runState == kernel::RunState::NotRun)
        context.ports.claims.release(*handle);
    else
        context.ports.claims.abandon(*handle);
}

} // namespace acaciasail::gateway
