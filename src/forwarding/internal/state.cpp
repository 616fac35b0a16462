#include "forwarding/internal/state.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::forwarding {

namespace {

constexpr double longestResponseDecay = 0.999;
// Factor by which a response may take longer than the longest recorded one.
constexpr double longestResponseMargin = 1.25;
constexpr double slowestConnectDecay = 0.995;
constexpr int connectTimeoutFactor = 10;
constexpr kernel::Duration minConnectTimeout = std::chrono::milliseconds(50);
// A request is refused during shutdown unless it will probably finish this long before the exit.
constexpr kernel::Duration exitDeadlineMargin = std::chrono::milliseconds(100);
// Reports on other routers' work come at least once a second while this router has work in flight.
constexpr kernel::Duration othersWorkValidity = std::chrono::seconds(2);
// Work in flight is reported in steps of this size, so that small changes are not sent.
constexpr double reportStepMs = 5;

} // namespace

metrics::Counter &ForwardingMetrics::requests(const std::string &route, int status)
{
    return registry.counter("acaciasail_requests_total", "Requests by route and status",
                            { { "route", route }, { "status", std::to_string(status) } });
}

metrics::Counter &ForwardingMetrics::attempts(std::string_view outcome)
{
    return registry.counter("acaciasail_attempts_total", "Failed attempts at upstreams by outcome",
                            { { "outcome", std::string(outcome) } });
}

metrics::Counter &ForwardingMetrics::refusals(std::string_view reason)
{
    return registry.counter("acaciasail_refusals_total",
                            "Requests refused without being sent to an upstream",
                            { { "reason", std::string(reason) } });
}

metrics::Counter &ForwardingMetrics::crashes()
{
    return registry.counter("acaciasail_crashed_runs_total",
                            "Requests that were running at an upstream when it crashed", {});
}

metrics::Counter &ForwardingMetrics::blamedParts()
{
    return registry.counter("acaciasail_blamed_prompt_parts_total",
                            "Parts of prompts that were found to crash upstreams", {});
}

metrics::Counter &ForwardingMetrics::notices(std::string_view kind)
{
    return registry.counter("acaciasail_upstream_notices_total",
                            "Notices that upstreams gave in their responses",
                            { { "what", std::string(kind) } });
}

metrics::Counter &ForwardingMetrics::firstEventEstimates(const std::string &route,
                                                         std::string_view error)
{
    return registry.counter("acaciasail_first_event_estimates_total",
                            "Estimates of the time to a stream's first event by their error",
                            { { "route", route }, { "error", std::string(error) } });
}

metrics::Counter &ForwardingMetrics::admissions(std::string_view outcome, std::string_view reason)
{
    return registry.counter(
        "acaciasail_admissions_total",
        "Requests that waited in the router for room at upstreams, or were "
        "refused because of it",
        { { "outcome", std::string(outcome) }, { "reason", std::string(reason) } });
}

metrics::TimeHistogram &ForwardingMetrics::queueTime()
{
    return registry.histogram("acaciasail_queue_seconds",
                              "Time that requests waited in the router for room at upstreams", {});
}

metrics::TimeHistogram &ForwardingMetrics::firstByte(const std::string &kind)
{
    return registry.histogram("acaciasail_first_byte_seconds",
                              "Time from a request's arrival to the first byte of its response",
                              { { "kind", kind } });
}

metrics::TimeHistogram &ForwardingMetrics::responseTime(const std::string &kind)
{
    return registry.histogram("acaciasail_answer_seconds",
                              "Time from a request's arrival to the end of its response",
                              { { "kind", kind } });
}

namespace {

bool isRejected(const Directory &directory, const Upstream &upstream)
{
    const auto rejected = directory.rejectedVersions.find(upstream.service);
    return rejected != directory.rejectedVersions.end()
           && rejected->second.contains(upstream.version);
}

bool isEvacuated(const Directory &directory, const Upstream &upstream)
{
    return directory.evacuated.contains(upstream.dataCentre);
}

// Like candidateUpstreams(), but with all upstreams of the target version, not only the canaries.
std::vector<const Upstream *> upstreamsOfVersion(const Directory &directory,
                                                 const kernel::ServiceName &service,
                                                 VersionChoice version)
{
    const auto rollout = directory.rollouts.find(service);
    std::vector<const Upstream *> result;
    for (const auto &[id, known] : directory.upstreams) {
        if (known.entry.service != service || known.entry.draining
            || isEvacuated(directory, known.entry) || isRejected(directory, known.entry))
            continue;
        if (rollout != directory.rollouts.end() && version != VersionChoice::Any) {
            const bool hasTargetVersion = known.entry.version == rollout->second.target;
            if (hasTargetVersion != (version == VersionChoice::New))
                continue;
        }
        result.push_back(&known.entry);
    }
    return result;
}

// Returns whether the upstream is cold and this router's share of its requests is used up.
bool isColdShareUsed(const ForwardingState &state, const Upstream &upstream)
{
    const kernel::Instant now = state.scheduler.now();
    const auto record = state.records.find(upstream.id);
    return record != state.records.end() && isCold(record->second.notices, now)
           && availabilityOf(record->second.notices, now) == Availability::Unavailable;
}

bool areColdSharesUsed(const ForwardingState &state,
                       const std::vector<const Upstream *> &candidates)
{
    return std::ranges::all_of(
        candidates, [&](const Upstream *upstream) { return isColdShareUsed(state, *upstream); });
}

} // namespace

std::optional<kernel::UpstreamId> registeredProcess(const Directory &directory,
                                                    const kernel::UpstreamId &id)
{
    const auto known = directory.upstreams.find(id);
    if (known == directory.upstreams.end() || known->second.removalDueAt
        || known->second.entry.startedAtMs == 0)
        return std::nullopt;
    return processIdOf(known->second.entry);
}

std::vector<const Upstream *> candidateUpstreams(const Directory &directory,
                                                 const kernel::ServiceName &service,
                                                 VersionChoice version)
{
    auto result = upstreamsOfVersion(directory, service, version);
    const auto rollout = directory.rollouts.find(service);
    if (rollout != directory.rollouts.end() && version == VersionChoice::New
        && rollout->second.state == RolloutState::Running)
        return selectCanaries(std::move(result), rollout->second.sharePermille);
    return result;
}

std::string_view reasonForNoUpstream(const ForwardingState &state,
                                     const kernel::ServiceName &service,
                                     const std::vector<const Upstream *> &candidates)
{
    const Directory &directory = state.directory;
    const bool evacuated = std::ranges::any_of(directory.upstreams, [&](const auto &item) {
        return item.second.entry.service == service && isEvacuated(directory, item.second.entry);
    });
    if (candidates.empty())
        return evacuated ? "evacuated" : "no_upstream";
    const bool cold = std::ranges::any_of(
        candidates, [&](const Upstream *upstream) { return isColdShareUsed(state, *upstream); });
    return cold ? "cold_share_used" : "no_upstream";
}

std::vector<const Upstream *> reachableCandidates(const ForwardingState &state,
                                                  const kernel::ServiceName &service,
                                                  VersionChoice version)
{
    auto candidates = candidateUpstreams(state.directory, service, version);
    // The requests of the target version's sessions stay with that version: if the canaries are
    // cold, others of its upstreams take them.
    if (version == VersionChoice::New && areColdSharesUsed(state, candidates))
        candidates = upstreamsOfVersion(state.directory, service, version);
    if (version == VersionChoice::Any || !state.directory.storeUnreachable)
        return candidates;
    const bool reachable = std::ranges::any_of(candidates, [&](const Upstream *upstream) {
        const auto record = state.records.find(upstream->id);
        return record == state.records.end() || !record->second.unreachable;
    });
    return reachable ? candidates
                     : candidateUpstreams(state.directory, service, VersionChoice::Any);
}

std::optional<kernel::Duration> remainingCooldown(const ForwardingState &state,
                                                  const kernel::ServiceName &service)
{
    const kernel::Instant now = state.scheduler.now();
    std::optional<kernel::Duration> shortest;
    for (const Upstream *upstream :
         candidateUpstreams(state.directory, service, VersionChoice::Any)) {
        const auto record = state.records.find(upstream->id);
        if (record == state.records.end() || record->second.notices.leavingSince
            || record->second.notices.cooldownUntil <= now)
            continue;
        const kernel::Duration cooldown = record->second.notices.cooldownUntil - now;
        shortest = std::min(shortest.value_or(cooldown), cooldown);
    }
    return shortest;
}

std::pair<int, int> countByVersion(const Directory &directory, const Rollout &rollout)
{
    std::pair<int, int> counts{ 0, 0 };
    for (const auto &[id, known] : directory.upstreams) {
        if (known.entry.service == rollout.service && !known.entry.draining
            && !isRejected(directory, known.entry) && !isEvacuated(directory, known.entry))
            ++(known.entry.version == rollout.target ? counts.first : counts.second);
    }
    return counts;
}

std::size_t countCanaries(const Directory &directory, const Rollout &rollout)
{
    std::vector<const Upstream *> target;
    for (const auto &[id, known] : directory.upstreams) {
        if (known.entry.service == rollout.service && !known.entry.draining
            && known.entry.version == rollout.target)
            target.push_back(&known.entry);
    }
    if (rollout.state == RolloutState::Running)
        target = selectCanaries(std::move(target), rollout.sharePermille);
    return target.size();
}

WorkReport ownWork(const ForwardingState &state)
{
    const kernel::Instant now = state.scheduler.now();
    std::map<kernel::ServiceName, std::size_t> upstreams;
    for (const auto &[id, known] : state.directory.upstreams)
        ++upstreams[known.entry.service];
    WorkReport report;
    for (const auto &[id, known] : state.directory.upstreams) {
        const auto record = state.records.find(id);
        if (record == state.records.end()
            || upstreams[known.entry.service] < minUpstreamsForFinishChoice)
            continue;
        const double ms = std::round(ownRemainingMs(record->second.backlog, now) / reportStepMs);
        if (ms > 0)
            report.remainingMs[processIdOf(known.entry)] = ms * reportStepMs;
    }
    return report;
}

void applyOthersWork(ForwardingState &state, const WorkReport &report)
{
    const kernel::Instant now = state.scheduler.now();
    state.othersWorkAt = now;
    for (const auto &[id, known] : state.directory.upstreams) {
        UpstreamBacklog &backlog = state.records[id].backlog;
        const auto work = report.remainingMs.find(processIdOf(known.entry));
        backlog.othersMs = work == report.remainingMs.end() ? 0 : std::max(work->second, 0.0);
        backlog.othersAt = now;
    }
}

bool knowsOthersWork(const ForwardingState &state)
{
    return state.othersWorkAt && state.scheduler.now() - *state.othersWorkAt < othersWorkValidity;
}

void updateQueueCapacities(ForwardingState &state)
{
    if (!state.directory.configuration)
        return;
    const kernel::Instant now = state.scheduler.now();
    std::map<kernel::ServiceName, std::int64_t> capacities;
    for (const auto &[name, service] : state.directory.configuration->services) {
        if (service.memoryTokens == 0)
            capacities[name] = 0;
    }
    for (const auto &[id, known] : state.directory.upstreams) {
        const auto capacity = capacities.find(known.entry.service);
        if (capacity == capacities.end() || known.entry.draining
            || isEvacuated(state.directory, known.entry)
            || isRejected(state.directory, known.entry))
            continue;
        const auto record = state.records.find(id);
        const bool isAvailable
            = record == state.records.end()
              || (!record->second.unreachable
                  && availabilityOf(record->second.notices, now) != Availability::Unavailable);
        if (isAvailable)
            capacity->second += maxInFlight(known.entry.slots);
    }
    for (const auto &[name, capacity] : capacities)
        setQueueCapacity(state.queues, name, capacity);
}

void recordConnectTime(ForwardingState &state, kernel::Duration connectTime)
{
    state.slowestConnectTime
        = std::max(kernel::scaled(state.slowestConnectTime, slowestConnectDecay), connectTime);
}

kernel::Duration connectTimeout(const ForwardingState &state)
{
    const kernel::Duration upperBound = state.options.connectTimeout;
    if (state.slowestConnectTime == kernel::Duration::zero())
        return upperBound;
    return std::min(std::max(state.slowestConnectTime * connectTimeoutFactor, minConnectTimeout),
                    upperBound);
}

void recordResponseTime(ForwardingState &state, const RouteName &route,
                        kernel::Duration responseTime)
{
    kernel::Duration &longest = state.longestResponseTimes[route];
    longest = std::max(kernel::scaled(longest, longestResponseDecay), responseTime);
}

bool canFinishBeforeExit(const ForwardingState &state, const Route &route, const Request &request)
{
    if (!state.exitDeadline)
        return true;
    kernel::Duration longest
        = std::min(route.timeout, request.callerTimeout.value_or(route.timeout));
    // If other routers serve, they take a request that might not finish in time. If this is the
    // only router, an estimate is better than a refusal, except for a stream: one that lasts longer
    // would be cut at the exit, whereas other requests still get a response.
    const auto known = state.longestResponseTimes.find(route.name);
    const bool mayEstimate = state.isOnlyRouter && route.kind != RequestKind::Streaming;
    if (mayEstimate && known != state.longestResponseTimes.end())
        longest = std::min(longest, kernel::scaled(known->second, longestResponseMargin));
    return request.arrived + longest + exitDeadlineMargin < *state.exitDeadline;
}

} // namespace acaciasail::forwarding
