#pragma once

#include <string_view>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// Reason for which one attempt gave no response for the caller.
enum class AttemptFailure {
    /// The connection failed, and nothing was sent.
    NotSent,
    /// The upstream states that it did not run the request.
    Refused,
    /// The address now belongs to another upstream, which did not run the request.
    WrongUpstream,
    /// The request was sent, then the connection was reset, closed or cut.
    Lost,
    /// The request was sent, and the inactivity timeout expired.
    Silent,
    /// The bytes received are not a valid response to this request.
    InvalidResponse,
    /// The complete response states a failure of the upstream.
    ServerError,
};

std::string_view toString(AttemptFailure failure);

/// State of a request's attempts so far.
///
/// A refused attempt restores the value that `mayHaveRun` had before it. Otherwise `mayHaveRun`
/// never returns to false: from then on no response may state that the request did not run.
struct AttemptState
{
    RequestKind kind = RequestKind::Unsafe;
    bool resumable = false;
    int maxAttempts = 1;
    /// Number of upstreams that the request was sent to.
    int sent = 0;
    bool mayHaveRun = false;
    /// The head of a response was sent to the caller.
    bool responseStarted = false;
};

/// Records that the request was sent to an upstream.
void recordSent(AttemptState &state);
/// Records that the upstream of the last attempt stated that it did not run the request.
/// `mayHaveRunBefore` is the value of `mayHaveRun` before that attempt.
void recordRefused(AttemptState &state, bool mayHaveRunBefore);

/// Returns whether the request may be retried, according to its kind and the number of its
/// attempts.
bool mayRetry(const AttemptState &state);

/// Reason for which a request finishes without an upstream's response.
enum class EndReason {
    /// No upstream can accept the request now.
    NoCapacity,
    TimedOut,
    /// All attempts failed.
    Failed,
};

/// Returns the status of a request that finishes without an upstream's response: 503 promises that
/// the request did not run, 502 and 504 promise nothing. No other code chooses between these
/// statuses.
int finalStatus(const AttemptState &state, EndReason reason);

} // namespace acaciasail::forwarding
