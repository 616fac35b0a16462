#include "forwarding/internal/request/attemptstate.h"

namespace acaciasail::forwarding {

namespace {

constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

} // namespace

std::string_view toString(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return "not_sent";
    case AttemptFailure::Refused:
        return "refused";
    case AttemptFailure::WrongUpstream:
        return "wrong_upstream";
    case AttemptFailure::Lost:
        return "lost";
    case AttemptFailure::Silent:
        return "silent";
    case AttemptFailure::InvalidResponse:
        return "garbled";
    case AttemptFailure::ServerError:
        break;
    }
    return "server_error";
}

void recordSent(AttemptState &state)
{
    ++state.sent;
    state.mayHaveRun = true;
}

void recordRefused(AttemptState &state, bool mayHaveRunBefore)
{
    state.mayHaveRun = mayHaveRunBefore;
}

bool mayRetry(const AttemptState &state)
{
    if (state.sent >= state.maxAttempts)
        return false;
    if (!state.mayHaveRun)
        return true;
    switch (state.kind) {
    case RequestKind::Safe:
        return !state.responseStarted;
    case RequestKind::Streaming:
        return state.resumable;
    case RequestKind::Unsafe:
        break;
    }
    return false;
}

int finalStatus(const AttemptState &state, EndReason reason)
{
    if (reason == EndReason::TimedOut)
        return gatewayTimeout;
    return state.mayHaveRun ? badGateway : unavailable;
}

} // namespace acaciasail::forwarding
