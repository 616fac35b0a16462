#pragma once

#include <functional>
#include <map>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Work that one router, or several routers together, have in flight at upstreams.
struct WorkReport
{
    /// Expected time that an upstream of usual speed still needs for the requests, in milliseconds,
    /// by upstream process (see processIdOf()). Upstreams without work are left out.
    std::map<kernel::UpstreamId, double> remainingMs;

    friend bool operator==(const WorkReport &, const WorkReport &) = default;
};

/// Passes this router's report on to the other routers. They answer with the sum of their own
/// reports, which reaches Forwarder::setOthersWork().
using WorkReportSharer = std::function<void(const WorkReport &own)>;

} // namespace acaciasail::forwarding
