#include "gateway/internal/claimticket.h"

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

void ClaimTicket::ask(Core &core, const Identity &identity, const kernel::RequestId &request,
                      const kernel::IdempotencyKey &key, const std::string &fingerprint,
                      ClaimReceiver receiver)
{
    ledger::ClaimRequest claim;
    claim.workspace = identity.workspace.id;
    claim.caller = identity.caller.id;
    claim.key = key;
    claim.fingerprint = fingerprint;
    claim.request = request;
    core.ports.claims.ask(claim, [this, request, receiver = std::move(receiver)](
                                     const kernel::Completion<ledger::ClaimResult> &result) {
        const bool granted = result.ok() && result.value().outcome == ledger::ClaimOutcome::Granted;
        kernel::logEvent(
            granted ? kernel::EventId::ClaimGranted : kernel::EventId::ClaimRefused,
            { { "request", request },
              { "code", result.ok() ? 0 : kernel::toNumber(result.error().code) },
              { "outcome", result.ok() ? static_cast<int>(result.value().outcome) : -1 } });
        if (!result.ok()) {
            receiver.onRefused(makeApiError(result.error()));
        } else if (granted) {
            m_handle = result.value().handle;
            receiver.onGranted();
        } else if (result.value().outcome == ledger::ClaimOutcome::Answered) {
            receiver.onAnswered(result.value().answer);
        } else {
            receiver.onRefused(refusalOf(result.value().outcome));
        }
    });
}

void ClaimTicket::end(Core &core, const ApiError &outcome, const ledger::HeldAnswer &answer)
{
    const auto handle = std::exchange(m_handle, std::nullopt);
    if (!handle)
        return;
    if (outcome.code == kernel::ResultCode::Ok)
        core.ports.claims.complete(*handle, answer);
    else if (outcome.runState == kernel::RunState::NotRun)
        core.ports.claims.release(*handle);
    else
        core.ports.claims.abandon(*handle);
}

} // namespace acaciasail::gateway
