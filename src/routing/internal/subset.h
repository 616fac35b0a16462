#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::routing {

/// Returns the subset of upstreams to which one router sends. The router monitors, probes and
/// connects to these upstreams only.
///
/// Each upstream selects its routers by rendezvous hashing: as many as give each router about
/// `size` upstreams, and at least `minRoutersPerUpstream`. So each upstream is covered, all routers
/// compute the same result without communication, and a router that joins or leaves changes only
/// its own assignments. `routers` must contain `self`. The result is in the order of `upstreams`.
std::vector<kernel::UpstreamId> subsetOf(std::span<const kernel::UpstreamId> upstreams,
                                         const kernel::VmId &self, std::size_t size,
                                         std::span<const kernel::VmId> routers);

/// Minimum number of routers that each upstream is assigned to, so that the upstream stays covered
/// when one of them is lost.
constexpr std::size_t minRoutersPerUpstream = 2;

} // namespace acaciasail::routing
