#pragma once

#include <map>
#include <memory>
#include <set>
#include <utility>

#include "forwarding/internal/crashes/crashevidence.h"
#include "forwarding/internal/directory.h"
#include "forwarding/internal/limits/limitsharing.h"
#include "forwarding/internal/limits/retrybudget.h"
#include "forwarding/internal/placement/costestimate.h"
#include "forwarding/internal/placement/engineload.h"
#include "forwarding/internal/placement/finishchoice.h"
#include "forwarding/internal/placement/firsteventestimate.h"
#include "forwarding/internal/placement/lanes.h"
#include "forwarding/internal/placement/modelchoice.h"
#include "forwarding/internal/placement/promptholders.h"
#include "forwarding/internal/placement/upstreamchoice.h"
#include "forwarding/internal/placement/workreport.h"
#include "forwarding/internal/queueing/servicequeue.h"
#include "forwarding/internal/request/inactivitytimeout.h"
#include "forwarding/internal/rollouts/rolloutplan.h"
#include "metrics/metrics.h"

namespace acaciasail::forwarding {

/// Encodes requests for upstreams and decodes their responses; the deployment's adapter provides
/// both.
struct UpstreamWireFormat
{
    std::function<http::ClientRequest(const Request &, const AttemptContext &)> encode;
    std::function<ResponseHead(const http::ClientHead &)> decodeHead;
};

using HttpSender = std::function<std::unique_ptr<http::Exchange>(const http::ClientRequest &,
                                                                 http::ClientHandlers)>;

/// Opens a connection without sending a request; destroying the result cancels it.
using Connector = std::function<std::unique_ptr<http::Exchange>(
    const kernel::Endpoint &, kernel::Duration timeout, kernel::Callback<kernel::Done>)>;

/// Settings of the forwarder; docs/operators/SETTINGS.md explains each.
struct ForwardingOptions
{
    kernel::VmId vm;
    kernel::DataCentreId dataCentre;
    RetryLimits retries;
    ModelRules models;
    /// Time for which an upstream that shuts down keeps serving.
    kernel::Duration leaveTime = std::chrono::seconds(2);
    /// Upper bound of the timeout for connecting to an upstream.
    kernel::Duration connectTimeout = std::chrono::milliseconds(300);
    /// The operators may evacuate data centres, so no request is served before the evacuations are
    /// known.
    bool followsEvacuations = false;
};

/// Counters and histograms of the forwarder.
struct ForwardingMetrics
{
    metrics::Registry registry;

    metrics::Counter &requests(const std::string &route, int status);
    metrics::Counter &attempts(std::string_view outcome);
    metrics::Counter &refusals(std::string_view reason);
    metrics::Counter &crashes();
    metrics::Counter &blamedParts();
    metrics::Counter &notices(std::string_view kind);
    metrics::Counter &firstEventEstimates(const std::string &route, std::string_view error);
    metrics::Counter &admissions(std::string_view outcome, std::string_view reason);
    metrics::TimeHistogram &queueTime();
    metrics::TimeHistogram &firstByte(const std::string &kind);
    metrics::TimeHistogram &responseTime(const std::string &kind);
};

/// Complete state of a router's forwarder. All access is from the thread of one event loop.
struct ForwardingState
{
    const kernel::Scheduler &scheduler;
    ForwardingOptions options;
    UpstreamWireFormat wire;
    HttpSender send;
    /// Empty if the router does not query engines for their load.
    LoadReader readLoad;
    kernel::Random random;
    /// Deadline by which the process exits; set once shutdown has started.
    std::optional<kernel::Instant> exitDeadline;
    /// Whether callers can reach no other router during this router's shutdown.
    bool isOnlyRouter = false;
    /// Decaying maximum of the response times of each route.
    std::map<RouteName, kernel::Duration> longestResponseTimes;

    Directory directory;
    UpstreamRecords records;
    /// Upstreams whose reachability must be probed, because they have sent nothing for a while.
    std::set<kernel::UpstreamId> upstreamsToProbe;
    /// Decaying maximum of recent connect times.
    kernel::Duration slowestConnectTime{};
    /// Computed from the configuration in force.
    TightestObjectives tightestObjectives;
    std::map<kernel::ServiceName, LaneWork> laneWork;
    std::map<kernel::ServiceName, AverageLoad> averageLoads;
    CostEstimates costEstimates;
    SentPrompts sentPrompts;
    /// Number of the newest work in flight; see WorkInFlight.
    std::uint64_t lastWorkNumber = 0;
    /// Time of the newest report on other routers' work; not set before the first.
    std::optional<kernel::Instant> othersWorkAt;
    LatencyEstimates latencyEstimates;
    FirstEventEstimates firstEventEstimates;
    std::map<kernel::ServiceName, LateRequestRate> lateRequestRates;
    std::map<kernel::ServiceName, RetryBudget> retryBudgets;
    ServiceQueues queues;
    /// Expected tokens in memory of this router's requests in flight, by engine: those of the
    /// prompts and the output limits. Engines without such requests have no entry.
    std::map<kernel::UpstreamId, std::int64_t> tokensInFlight;
    /// Exponentially weighted moving average of each service's failure rate.
    std::map<kernel::ServiceName, double> failureRates;
    std::map<kernel::ServiceName, RolloutEvidence> rolloutEvidence;
    CrashEvidence crashes;
    LimitSharing limitSharing;
    /// Time up to which refused callers were told to come back, because of rate limits.
    std::map<kernel::ServiceName, kernel::Instant> retriesReservedUntil;
    /// Upstreams that run suspected poison requests, with one entry per request. A request is
    /// suspected if an upstream crashed earlier while running it.
    std::multiset<kernel::UpstreamId> upstreamsWithSuspects;
    ForwardingMetrics metrics;
};

/// Returns the reason, as logged, why none of a service's candidates could be selected.
std::string_view reasonForNoUpstream(const ForwardingState &state,
                                     const kernel::ServiceName &service,
                                     const std::vector<const Upstream *> &candidates);

/// Returns the id of the process that is registered for the upstream, as processIdOf() does;
/// nothing if its registration may be gone, or doesn't tell the start time that sets it apart from
/// its successor.
std::optional<kernel::UpstreamId> registeredProcess(const Directory &directory,
                                                    const kernel::UpstreamId &id);

/// Returns the upstreams of a service that a request may be sent to, according to their versions,
/// their drain states and the evacuated data centres.
std::vector<const Upstream *> candidateUpstreams(const Directory &directory,
                                                 const kernel::ServiceName &service,
                                                 VersionChoice version);

/// Returns candidateUpstreams(), or the upstreams of all versions if the store is unreachable and
/// none of those candidates can be reached: in that case the roll-out was completed or rolled back
/// without this router's knowledge.
std::vector<const Upstream *> reachableCandidates(const ForwardingState &state,
                                                  const kernel::ServiceName &service,
                                                  VersionChoice version);

/// Returns the time until the first upstream that is in cooldown and not shutting down accepts
/// requests again; nothing if there is no such upstream.
std::optional<kernel::Duration> remainingCooldown(const ForwardingState &state,
                                                  const kernel::ServiceName &service);

/// Recomputes how many of this router's requests the upstreams of each plain service take together.
/// Those that drain, are evacuated, unreachable or unavailable take none.
void updateQueueCapacities(ForwardingState &state);

/// Returns the number of ready upstreams of the roll-out's service that are not evacuated and not
/// of a rejected version: first those of the target version, then the others.
std::pair<int, int> countByVersion(const Directory &directory, const Rollout &rollout);

/// Returns the number of upstreams that get the target version's requests at the present share.
/// Evacuated ones count, because they got requests earlier: without them, bad responses of a few
/// other upstreams would be enough to reject the version.
std::size_t countCanaries(const Directory &directory, const Rollout &rollout);

/// Returns this router's remaining work at the upstreams of services with at least
/// minUpstreamsForFinishChoice upstreams.
WorkReport ownWork(const ForwardingState &state);

/// Replaces the other routers' remaining work by this report.
void applyOthersWork(ForwardingState &state, const WorkReport &report);

/// Returns whether a recent report on other routers' work is known, so that upstreams need not be
/// queried for their load.
bool knowsOthersWork(const ForwardingState &state);

/// Records the time that a connect took; 0 if a kept-alive connection was used.
void recordConnectTime(ForwardingState &state, kernel::Duration connectTime);

/// Returns the connect timeout: a multiple of the slowest recent connect time.
kernel::Duration connectTimeout(const ForwardingState &state);

/// Records the time that a response took.
void recordResponseTime(ForwardingState &state, const RouteName &route,
                        kernel::Duration responseTime);

/// Returns whether a request that arrives now will finish before the process exits.
bool canFinishBeforeExit(const ForwardingState &state, const Route &route, const Request &request);

} // namespace acaciasail::forwarding
