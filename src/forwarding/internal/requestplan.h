#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "forwarding/internal/state.h"

namespace acaciasail::forwarding {

/// What is decided of a request when it arrives. One that is refused has what was found until then.
struct RequestPlan
{
    std::shared_ptr<const Configuration> configuration;
    Route route;
    kernel::WorkspaceId workspace;
    int rank = 0;
    kernel::ServiceName service;
    /// What the request shares with others, so that they gain from the same upstream; may be empty.
    std::string session;
    std::string firstModel;
    Lane lane = Lane::Any;
    /// Mean work of the service's recent requests.
    double usualWork = 0;
    poison::Fingerprint fingerprint;
};

/// Why a request is not sent to any upstream.
struct Refusal
{
    int status = 0;
    std::string_view reason;
    /// Zero where coming again won't help.
    kernel::Duration retryAfter{};
};

/// Checks a request against the configuration in force and fills its plan; gives the refusal if it
/// can't be served.
std::optional<Refusal> planRequest(ForwardingState &state, const Request &request,
                                   RequestPlan &plan);

} // namespace acaciasail::forwarding
