#pragma once

#include <string_view>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// How one attempt at an upstream ended without an answer for the caller.
enum class AttemptFailure {
    /// No connection; nothing was sent.
    NotSent,
    /// The upstream states that it did not run the request.
    Refused,
    /// Another upstream has the address; it did not run the request.
    WrongUpstream,
    /// Sent, then reset, closed or cut.
    Lost,
    /// Sent, and nothing came for far longer than usual.
    Silent,
    /// Bytes that are no answer to this request.
    Garbled,
    /// A whole answer that states a failure of the upstream.
    ServerError,
};

std::string_view toString(AttemptFailure failure);

/// What is known of a request's run at the upstreams so far.
///
/// `mayHaveRun` never goes back: from then on no answer may state that the request did not run.
struct AttemptState
{
    RequestKind kind = RequestKind::Unsafe;
    bool resumable = false;
    int maxAttempts = 1;
    /// Upstreams to which the request went out.
    int sent = 0;
    bool mayHaveRun = false;
    /// The head of an answer went to the caller.
    bool answerBegun = false;
};

/// The request goes out to an upstream.
void noteSent(AttemptState &state);
/// The upstream stated that the attempt just sent did not run.
void noteRefused(AttemptState &state, bool ranBefore);

/// Whether the request may be sent again, as far as its kind and its attempts allow.
bool mayRepeat(const AttemptState &state);

/// Why a request ends without an upstream's answer.
enum class EndReason {
    /// Nobody can take it now.
    NoCapacity,
    TimedOut,
    /// Its attempts failed.
    Failed,
};

/// The status with which such a request ends: 503 promises that it did not run, 502 and 504
/// promise nothing. The one place where that is decided.
int finalStatus(const AttemptState &state, EndReason reason);

} // namespace acaciasail::forwarding
