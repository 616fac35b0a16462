#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/internal/limits/upstreamnotices.h"
#include "forwarding/internal/placement/lanes.h"
#include "forwarding/internal/placement/upstreambacklog.h"
#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

struct FinishQuery;

/// What a router has recorded about one upstream from its own requests.
struct UpstreamRecord
{
    int inFlight = 0;
    /// Expected work of the requests in flight, in the unit of UpstreamQuery::work.
    double workInFlight = 0;
    /// Exponentially weighted moving average of the upstream's failure rate.
    double failureRate = 0;
    /// Number of finished requests that `failureRate` covers. Both are reset when the upstream is
    /// ejected because of a failed request.
    int requestsInFailureRate = 0;
    int consecutiveFailures = 0;
    /// Number of ejections since the last good response. The upstream is ejected when it becomes
    /// avoided or unreachable because of failures.
    int ejections = 0;
    /// A connection failed or broke. Probes tell when the upstream can be reached again.
    bool unreachable = false;
    kernel::Instant probeAt{};
    /// Time since which the upstream has been unreachable, if it is.
    kernel::Instant unreachableSince{};
    /// Number of consecutive failed probes.
    int failedProbes = 0;
    /// Until this time the upstream gets requests only if no other upstream can take them.
    kernel::Instant avoidUntil{};
    UpstreamNotices notices;
    UpstreamBacklog backlog;
    /// Value of Upstream::coldFor that was applied last; a registration that is read again must not
    /// start that time anew.
    kernel::Duration appliedColdTime{};
    /// Start time of the upstream process that this record is about.
    std::int64_t startedAtMs = 0;
};

using UpstreamRecords = std::map<kernel::UpstreamId, UpstreamRecord>;

/// Properties of a request that the selection of an upstream depends on.
struct UpstreamQuery
{
    /// Key by which requests are sent to the same upstream, so that they share its prompt cache;
    /// empty for services that run no model.
    std::string_view affinity;
    /// Expected work of the request in units of one prompt token; 1 for services that run no model.
    double work = 1;
    /// The request is at least as much work as the mean one of its service.
    bool isHeavy = false;
    kernel::DataCentreId ownDataCentre;
    Lane lane = Lane::Any;
    /// Fraction of the upstreams that serve requests with long latency objectives.
    double longObjectiveFraction = 0;
    /// Cost of the request, if it runs a model. With many upstreams, the expected finish that
    /// follows from it decides.
    const FinishQuery *finish = nullptr;
    /// Upstreams that must not be selected, such as those already tried.
    const std::set<kernel::UpstreamId> *exclude = nullptr;
    kernel::Instant now{};
};

enum class ChoiceReason {
    /// First upstream with capacity in the rendezvous-hash order of the affinity key.
    Affinity,
    /// No upstream was selected by affinity key or data centre, because all of those carry too much
    /// work; the one with the least work was selected.
    LeastLoaded,
    /// The request is expected to get its first event there earliest.
    ExpectedFinish,
    /// The upstream reports a lower load than the upstream that would be selected otherwise.
    ReportedLoad,
    /// The upstream is in the router's data centre and has capacity.
    Near,
    /// The upstream has a rate limit, which allows the request.
    Limited,
    /// Every remaining candidate is avoided.
    AvoidanceIgnored,
    None,
};

std::string_view toString(ChoiceReason reason);

struct UpstreamChoice
{
    const Upstream *upstream = nullptr;
    ChoiceReason reason = ChoiceReason::None;
};

/// Selects an upstream among the candidates. Avoided upstreams are selected only if no other is
/// left; excluded upstreams and those that their own notices make unavailable are never selected.
UpstreamChoice chooseUpstream(const std::vector<const Upstream *> &candidates,
                              const UpstreamRecords &records, const UpstreamQuery &query,
                              kernel::Random &random);

/// Selects up to `maxCount` different upstreams, the best first.
std::vector<UpstreamChoice> chooseUpstreams(const std::vector<const Upstream *> &candidates,
                                            const UpstreamRecords &records, UpstreamQuery query,
                                            std::size_t maxCount, kernel::Random &random);

/// Records that a request was sent to the upstream.
void recordStart(UpstreamRecord &record, double work);

enum class AttemptOutcome {
    Succeeded,
    Failed,
    /// The connection failed or broke, so the process may be gone.
    ConnectionBroken,
    /// Another process has the address.
    AddressTaken,
    /// The inactivity timeout expired.
    Silent,
    /// The upstream refused the request because of its load.
    Overloaded,
    /// The router or the caller cancelled the request, which tells nothing about the upstream.
    Cancelled,
};

/// Records that a request at the upstream finished. Returns whether the upstream is avoided from
/// now on.
bool recordFinish(UpstreamRecord &record, AttemptOutcome outcome, double work,
                  double serviceFailureRate, kernel::Instant now);

/// Records that a probe of the upstream failed, so that it counts as unreachable; returns whether
/// it counted as reachable before.
bool markUnreachable(UpstreamRecord &record, kernel::Instant now);
/// Records that a connection to the upstream succeeded, so that the upstream may get requests
/// again.
void markReachable(UpstreamRecord &record, kernel::Instant now);
/// Records that a probe failed and schedules the next one with backoff.
void recordFailedProbe(UpstreamRecord &record, kernel::Instant now);

} // namespace acaciasail::forwarding
