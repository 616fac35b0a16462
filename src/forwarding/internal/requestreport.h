#pragma once

#include <string>
#include <string_view>

#include "forwarding/internal/requestplan.h"

namespace acaciasail::forwarding {

/// How a request ended.
struct RequestEnd
{
    /// 0 where the caller got no whole answer.
    int status = 0;
    std::string_view outcome;
    /// The last one that it was sent to.
    std::string upstream;
    std::string model;
    int sends = 0;
    bool mayHaveRun = false;
    /// Zero where there was none.
    kernel::Instant firstByteAt{};
};

/// Counts and logs the end of a request.
void reportFinish(ForwardingState &state, const Request &request, const RequestPlan &plan,
                  const RequestEnd &end);

/// Counts and logs that an upstream crashed while it ran a request.
void logPoisonSuspected(ForwardingState &state, const LostRun &run);

/// Counts and logs that an upstream says that it leaves, or that it wants no requests for a while.
void logUpstreamLeaving(ForwardingState &state, const Request &request,
                        const kernel::UpstreamId &upstream);
void logUpstreamRests(ForwardingState &state, const Request &request,
                      const kernel::UpstreamId &upstream);

/// Logs that a request is not sent for the crashes that it was at.
void logPoisonRefused(const ForwardingState &state, const Request &request,
                      const RequestPlan &plan);

} // namespace acaciasail::forwarding
