#pragma once

#include <string>
#include <string_view>

#include "forwarding/internal/request/requestplan.h"

namespace acaciasail::forwarding {

/// Summary of a finished request.
struct RequestSummary
{
    /// 0 if the caller got no complete response.
    int status = 0;
    std::string_view outcome;
    /// Last upstream that the request was sent to.
    std::string upstream;
    std::string model;
    int sends = 0;
    bool mayHaveRun = false;
    /// Zero if the caller got no first byte.
    kernel::Instant firstByteAt{};
    /// Expected and actual time from the start of the last attempt to its first event, in
    /// milliseconds; -1 if there is none.
    double expectedFirstMs = -1;
    double actualFirstMs = -1;
};

/// Returns the ids of the first of these parts, separated by commas, for a log line.
std::string listPromptParts(const std::vector<PromptPartKey> &parts);

/// Counts and logs a finished request.
void reportFinish(ForwardingState &state, const Request &request, const RequestPlan &plan,
                  const RequestSummary &summary);

/// Counts and logs that an upstream crashed while it ran a request.
void logPoisonSuspected(ForwardingState &state, const LostRun &run);

/// Counts and logs that an upstream announced that it is shutting down, or that it asked for a
/// cooldown.
void logUpstreamLeaving(ForwardingState &state, const Request &request,
                        const kernel::UpstreamId &upstream);
void logUpstreamCooldown(ForwardingState &state, const Request &request,
                         const kernel::UpstreamId &upstream);

/// Counts and logs what a response changed in the upstream's rate limit, or that the limit could
/// not be parsed.
void logUpstreamLimit(ForwardingState &state, const Request &request,
                      const kernel::UpstreamId &upstream, LimitChange change);
void logUnparsableLimit(ForwardingState &state, const Request &request,
                        const kernel::UpstreamId &upstream);

/// Counts and logs the prompt parts that are found to crash upstreams, or no longer.
void logBlamedParts(ForwardingState &state, const BlameChange &change);

/// Logs that a request is sent to try a blamed part of its prompt.
void logPartTried(const Request &request, const PromptPartKey &part);
/// Logs that a request is refused because upstreams crashed while they ran it.
void logPoisonRefused(const ForwardingState &state, const Request &request,
                      const RequestPlan &plan);

/// Logs and counts that a request waits for room at its service, starts after it waited, or is
/// refused. `waited` is the time that it waited in the queue.
void logAdmission(ForwardingState &state, const Request &request, const RequestPlan &plan,
                  const admission::AdmissionDecision &decision, kernel::Duration waited);

/// Logs and counts that a request waits for its next attempt, because upstreams have no room.
void logWaitForRoom(ForwardingState &state, const Request &request, const RequestPlan &plan,
                    std::string_view reason, kernel::Duration delay);

} // namespace acaciasail::forwarding
