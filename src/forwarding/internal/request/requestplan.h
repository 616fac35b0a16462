#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "forwarding/internal/state.h"

namespace acaciasail::forwarding {

/// Decisions made when a request arrives. The plan of a refused request holds what was determined
/// before the refusal.
struct RequestPlan
{
    std::shared_ptr<const Configuration> configuration;
    Route route;
    kernel::WorkspaceId workspace;
    /// The workspace's rank, or the route's if the workspace has none.
    int effectiveRank = 0;
    kernel::ServiceName service;
    /// Affinity key of the request: requests with equal keys share an upstream's prompt cache. May
    /// be empty.
    std::string affinityKey;
    /// Parts of the prompt that other requests may share: all but the last.
    std::vector<PromptPartKey> sharedParts;
    std::string firstModel;
    Lane lane = Lane::Any;
    /// Mean work of the service's recent requests, in units of one prompt token.
    double meanWork = 0;
    poison::Fingerprint fingerprint;
};

/// Reason for which a request is not sent to any upstream.
struct Refusal
{
    int status = 0;
    std::string_view reason;
    /// Zero if a retry would not help.
    kernel::Duration retryAfter{};
};

/// Returns the refusal of a request that follows from its head alone, such as an unknown route.
std::optional<Refusal> refuseByHead(const ForwardingState &state, const Request &request);

/// Checks a request against the configuration in force and fills its plan; returns the refusal if
/// the request can't be served.
std::optional<Refusal> planRequest(ForwardingState &state, const Request &request,
                                   RequestPlan &plan);

} // namespace acaciasail::forwarding
