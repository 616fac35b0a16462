#pragma once

#include <string_view>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// Returns the route of the host with the longest prefix that matches the path; nullptr if no route
/// matches. The host's case and port and the target's query are ignored.
const Route *matchRoute(const Configuration &configuration, std::string_view host,
                        std::string_view target);

/// Returns the workspace that a key belongs to; nullptr if the key is unknown.
const Workspace *findWorkspaceByKey(const Configuration &configuration, std::string_view key);

/// Selects the service for one request of the route by weight, for a `point` in [0, 1).
const kernel::ServiceName *pickService(const Route &route, double point);

/// Maps a text to a point in [0, 1) that is the same on every router.
double hashToUnitInterval(std::string_view text);

} // namespace acaciasail::forwarding
