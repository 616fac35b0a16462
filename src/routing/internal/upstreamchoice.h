#pragma once

#include <span>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"
#include "routing/internal/upstreampool.h"

namespace acaciasail::routing {

/// Facts about a request that the choice of an upstream needs.
struct UpstreamQuery
{
    kernel::VersionId version;
    /// Hashes of the prompt's prefixes, shortest first; empty for calls to services other than
    /// model engines.
    std::span<const PrefixHash> prefixes;
    /// Upstreams that failed this request or must not receive it.
    std::span<const kernel::UpstreamId> exclude;
    kernel::Instant now{};
};

enum class UpstreamReason {
    /// The upstream probably has the prompt's prefix in its prompt cache.
    PrefixHeld,
    /// No upstream is known to have the prefix cached. All routers send the prefix to this upstream
    /// first.
    PrefixOwner,
    /// The least loaded of a few upstreams sampled at random.
    LeastLoaded,
    /// The only candidate.
    OnlyUpstream,
    /// All usable candidates are ejected; this upstream returns first.
    EjectedIgnored,
    /// No upstream can accept the request.
    None,
};

std::string_view toString(UpstreamReason reason);

struct UpstreamDecision
{
    /// Ok or NoUpstream.
    kernel::ResultCode code = kernel::ResultCode::NoUpstream;
    kernel::UpstreamId upstream;
    UpstreamReason reason = UpstreamReason::None;

    bool ok() const { return code == kernel::ResultCode::Ok; }
};

/// Chooses an upstream among the candidates, which must be sorted by id (see
/// UpstreamPool::upstreamsByVersion). Leaving and excluded upstreams are never chosen, ejected ones
/// only if no other candidate is left.
UpstreamDecision chooseUpstream(const UpstreamPool &pool,
                                std::span<const kernel::UpstreamId> candidates,
                                const UpstreamQuery &query, kernel::Random &random);

} // namespace acaciasail::routing
