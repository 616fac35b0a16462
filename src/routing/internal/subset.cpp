#include "routing/internal/subset.h"

#include <algorithm>
#include <cstdint>

namespace acaciasail::routing {

namespace {

// Mixes two hashes into the score of a pair with the finalizer of MurmurHash3.
std::uint64_t mixHashes(std::uint64_t upstream, std::uint64_t router)
{
    std::uint64_t value = upstream ^ (router * 0x9e3779b97f4a7c15ULL);
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

// Returns whether fewer than `routersPerUpstream` routers have a higher score for the upstream than
// this router.
bool isAssigned(std::uint64_t upstream, std::uint64_t self, std::span<const std::uint64_t> routers,
                std::size_t routersPerUpstream)
{
    const std::uint64_t own = mixHashes(upstream, self);
    std::size_t higher = 0;
    for (const std::uint64_t router : routers) {
        if (mixHashes(upstream, router) > own && ++higher >= routersPerUpstream)
            return false;
    }
    return true;
}

} // namespace

std::vector<kernel::UpstreamId> subsetOf(std::span<const kernel::UpstreamId> upstreams,
                                         const kernel::VmId &self, std::size_t size,
                                         std::span<const kernel::VmId> routers)
{
    if (upstreams.size() <= size || routers.size() <= minRoutersPerUpstream)
        return { upstreams.begin(), upstreams.end() };
    const std::size_t neededRouters
        = (size * routers.size() + upstreams.size() - 1) / upstreams.size();
    const std::size_t routersPerUpstream = std::max(neededRouters, minRoutersPerUpstream);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(routers.size());
    for (const kernel::VmId &router : routers)
        hashes.push_back(kernel::hash64(router.str()));
    const std::uint64_t own = kernel::hash64(self.str());
    std::vector<kernel::UpstreamId> subset;
    for (const kernel::UpstreamId &upstream : upstreams) {
        if (isAssigned(kernel::hash64(upstream.str()), own, hashes, routersPerUpstream))
            subset.push_back(upstream);
    }
    return subset;
}

} // namespace acaciasail::routing
