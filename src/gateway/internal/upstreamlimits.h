#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "admission/admission.h"
#include "gateway/internal/admitter.h"
#include "kernel/kernel.h"
#include "table/table.h"
#include "upstreams/upstreams.h"

namespace acaciasail::gateway {

/// Maintains an adaptive concurrency limit for each upstream, based on its latency, and derives the
/// pool capacities of admission control from these limits.
class UpstreamLimits
{
public:
    void recordStart(const kernel::UpstreamId &upstream, kernel::Instant now);
    void recordEnd(const upstreams::AttemptReport &report, kernel::Instant now);

    /// Returns the maximum number of requests that this daemon should run concurrently at an
    /// upstream.
    std::int64_t limitOf(const kernel::UpstreamId &upstream) const;
    /// Returns those of the given upstreams that have reached their limit at this daemon.
    std::vector<kernel::UpstreamId>
    fullUpstreams(const std::vector<kernel::UpstreamId> &upstreams) const;

    /// Sets the capacity of each pool to the sum of its upstreams' limits.
    void setCapacities(const table::Snapshot &snapshot, Admitter &admitter) const;
    /// Removes upstreams that are no longer in the table and run no requests.
    void removeMissing(const table::Snapshot &snapshot);

private:
    admission::ConcurrencyLimitConfig m_config;
    std::unordered_map<kernel::UpstreamId, admission::ConcurrencyLimit> m_limits;
};

/// Returns the pool of the requests to a model, or of the calls of an application service.
admission::PoolId poolOf(const kernel::ModelId &model);
admission::PoolId poolOf(const kernel::ServiceName &service);

} // namespace acaciasail::gateway
