#pragma once

#include <string_view>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// The route of a host whose prefix is the longest that begins the path; nullptr if none does.
/// The host's case and port do not matter, and the path's query is no part of it.
const Route *matchRoute(const Configuration &configuration, std::string_view host,
                        std::string_view target);

/// The workspace that holds a key; nullptr if none does.
const Workspace *findWorkspace(const Configuration &configuration, std::string_view key);

/// The service of one request of the route; `point` in [0, 1) divides the traffic by weight.
const kernel::ServiceName *pickService(const Route &route, double point);

/// A point in [0, 1) that follows from the text alone, the same on every daemon.
double pointOf(std::string_view text);

} // namespace acaciasail::forwarding
