#pragma once

#include <map>
#include <memory>
#include <set>
#include <utility>

#include "forwarding/internal/crashevidence.h"
#include "forwarding/internal/directory.h"
#include "forwarding/internal/engineload.h"
#include "forwarding/internal/lanes.h"
#include "forwarding/internal/modelchoice.h"
#include "forwarding/internal/patience.h"
#include "forwarding/internal/retrybudget.h"
#include "forwarding/internal/rolloutplan.h"
#include "forwarding/internal/upstreamchoice.h"
#include "metrics/metrics.h"

namespace acaciasail::forwarding {

/// The wire form towards upstreams, which the deployment's adapter provides.
struct UpstreamWire
{
    std::function<http::ClientRequest(const Request &, const AttemptFacts &)> encode;
    std::function<AnswerHead(const http::ClientHead &)> decodeHead;
};

using HttpSender = std::function<std::unique_ptr<http::Exchange>(const http::ClientRequest &,
                                                                 http::ClientHandlers)>;

/// Opens a connection without a request; destroying the result cancels it.
using Connector = std::function<std::unique_ptr<http::Exchange>(
    const kernel::Endpoint &, kernel::Duration timeout, kernel::Callback<kernel::Done>)>;

/// Settings of the flow; docs/operators/SETTINGS.md explains each.
struct ForwardingOptions
{
    kernel::VmId vm;
    kernel::DataCentreId dataCentre;
    RetryBounds retries;
    ModelRules models;
    /// Time for which an upstream that leaves goes on serving.
    kernel::Duration leaveTime = std::chrono::seconds(2);
    /// Longest wait for a connection to an upstream.
    kernel::Duration connectTimeout = std::chrono::milliseconds(300);
};

/// Counters and times of the flow.
struct ForwardingMetrics
{
    metrics::Registry registry;

    metrics::Counter &requests(const std::string &route, int status);
    metrics::Counter &attempts(std::string_view outcome);
    metrics::Counter &refusals(std::string_view reason);
    metrics::Counter &crashes();
    metrics::Counter &notices(std::string_view what);
    metrics::TimeHistogram &firstByte(const std::string &kind);
    metrics::TimeHistogram &whole(const std::string &kind);
};

/// All that a daemon's flow knows. One loop, one thread.
struct ForwardingState
{
    const kernel::Scheduler &scheduler;
    ForwardingOptions options;
    UpstreamWire wire;
    HttpSender send;
    /// Empty where engines aren't asked for their load.
    LoadReader readLoad;
    kernel::Random random;
    /// When the process ends at the latest, once it has begun to stop taking requests.
    std::optional<kernel::Instant> endsAt;
    /// No other daemon seems to take requests meanwhile.
    bool alone = false;
    /// Longest time of each route's recent answers, with decay.
    std::map<RouteName, kernel::Duration> longestAnswers;

    Directory directory;
    UpstreamRecords records;
    /// Upstreams that have been silent for a while; whether they can be reached is to be found out.
    std::set<kernel::UpstreamId> toProbe;
    /// Longest time that a connection lately took, with decay.
    kernel::Duration slowestConnect{};
    /// Follows from the configuration in force.
    TightestObjectives tightestObjectives;
    std::map<kernel::ServiceName, LaneWork> laneWork;
    std::map<kernel::ServiceName, UsualLoad> usualLoads;
    UsualTimes usual;
    std::map<kernel::ServiceName, Punctuality> punctuality;
    std::map<kernel::ServiceName, RetryBudget> budgets;
    /// Share of failures of each service's answers, with decay.
    std::map<kernel::ServiceName, double> failureShares;
    std::map<kernel::ServiceName, RolloutEvidence> evidence;
    CrashEvidence crashes;
    /// Upstreams at which requests are in progress that were at a crash before, one entry each.
    std::multiset<kernel::UpstreamId> suspectsAt;
    ForwardingMetrics metrics;
};

/// The upstreams of a service that a request may be sent to, as far as versions and leaving go.
std::vector<const Upstream *>
candidatesOf(const Directory &directory, const kernel::ServiceName &service, VersionChoice version);

/// The same, or all versions where the store can't be followed and none of those can be reached: a
/// roll-out was then completed, or taken back, without this daemon's knowledge.
std::vector<const Upstream *> reachableCandidates(const ForwardingState &state,
                                                  const kernel::ServiceName &service,
                                                  VersionChoice version);

/// Time until the first upstream of a service that only rests takes requests again; none where none
/// rests.
std::optional<kernel::Duration> restOf(const ForwardingState &state,
                                       const kernel::ServiceName &service);

/// The ready upstreams of a roll-out's service: those of its target, and the others.
std::pair<int, int> countByVersion(const Directory &directory, const Rollout &rollout);

/// Takes in how long a connection took; none where a kept one was used.
void noteConnectTime(ForwardingState &state, kernel::Duration took);

/// The time after which a connection will not come: many times what others lately took.
kernel::Duration connectTimeout(const ForwardingState &state);

/// Takes in how long an answer took.
void noteAnswerTime(ForwardingState &state, const RouteName &route, kernel::Duration took);

/// Whether a request that comes now is sure to be answered before the process ends.
bool canFinish(const ForwardingState &state, const Route &route, kernel::Instant now);

} // namespace acaciasail::forwarding
