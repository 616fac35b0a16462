#include "forwarding/internal/request/job.h"

#include <utility>

#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

// This file holds the parts of Job that wait: for the load reports of engines, and for late
// responses.

namespace {

// Maximum number of engines that are queried for their load before one is chosen.
constexpr std::size_t maxQueriedEngines = 3;
// With fewer upstreams, a router's own requests show well enough which upstreams are busy.
constexpr std::size_t minEnginesForQueries = 24;
// Minimum saturation to query engines: while they are idle, the benefit does not cover the cost of
// the queries.
constexpr double minSaturationForQueries = 0.2;
// Time without activity after which the upstream's reachability is checked, and the interval of
// further checks.
constexpr kernel::Duration reachabilityCheckDelay = std::chrono::milliseconds(300);
constexpr kernel::Duration reachabilityCheckInterval = std::chrono::seconds(1);
// Interval at which responses in progress are reviewed while a roll-out runs.
constexpr kernel::Duration reviewInterval = std::chrono::milliseconds(250);

} // namespace

std::size_t Job::enginesToQuery(std::size_t candidates) const
{
    if (!m_request.work || !m_state.readLoad || candidates < minEnginesForQueries
        || knowsOthersWork(m_state))
        return 1;
    const auto lateRequestRates = m_state.lateRequestRates.find(m_plan.service);
    if (lateRequestRates == m_state.lateRequestRates.end()
        || saturation(lateRequestRates->second) < minSaturationForQueries)
        return 1;
    const bool heavy = m_escalated || expectedWork(*m_request.work) >= m_plan.meanWork;
    return heavy ? maxQueriedEngines : 1;
}

void Job::queryLoads(const std::vector<UpstreamChoice> &choices)
{
    m_loadQueries.clear();
    m_finishedLoadQueries = 0;
    for (const UpstreamChoice &choice : choices)
        m_loadQueries.push_back({ *choice.upstream, choice.reason, std::nullopt });
    queryNextLoad();
}

void Job::queryNextLoad()
{
    m_loadQueryStartedAt = now();
    m_loadExchange = m_state.readLoad(
        m_loadQueries[m_finishedLoadQueries].upstream.endpoint, connectTimeout(m_state),
        [this](const kernel::Completion<EngineLoad> &outcome) { onLoad(outcome); });
}

void Job::onLoad(const kernel::Completion<EngineLoad> &outcome)
{
    const auto self = shared_from_this();
    const auto finishedExchange = std::move(m_loadExchange);
    LoadQuery &query = m_loadQueries[m_finishedLoadQueries++];
    bool hasCapacity = false;
    if (outcome.ok()) {
        query.load = outcome.value();
        UpstreamNotices &notices = m_state.records[query.upstream.id].notices;
        if (query.load->leaving && recordLeaving(notices, now(), m_state.options.leaveTime))
            logUpstreamLeaving(m_state, m_request, query.upstream.id);
        if (query.load->limitPerSecond)
            updateLimit(query.upstream, query.load->limitPerSecond, m_loadQueryStartedAt);
        AverageLoad &average = m_state.averageLoads[m_plan.service];
        hasCapacity = hasSpareCapacity(average, *query.load);
        recordLoad(average, *query.load);
        recordReportedWork(m_state.records[query.upstream.id].backlog,
                           promptsAhead(*query.load)
                               * m_state.costEstimates.services[m_plan.service].meanReadMs,
                           now());
    } else {
        m_state.upstreamsToProbe.insert(query.upstream.id);
    }
    if (hasCapacity || m_finishedLoadQueries == m_loadQueries.size())
        startAtLeastLoaded();
    else
        queryNextLoad();
}

void Job::startAtLeastLoaded()
{
    std::vector<QueriedEngine> engines;
    engines.reserve(m_finishedLoadQueries);
    for (std::size_t i = 0; i < m_finishedLoadQueries; ++i) {
        engines.push_back(
            { m_loadQueries[i].load, m_state.records[m_loadQueries[i].upstream.id].inFlight });
    }
    const std::vector<LoadQuery> loadQueries = std::exchange(m_loadQueries, {});
    const bool byFinish = loadQueries.front().reason == ChoiceReason::ExpectedFinish;
    const std::size_t chosen = byFinish ? earliestFinish(loadQueries) : chooseByLoad(engines);
    const LoadQuery &best = loadQueries[chosen];
    startAttempt({ &best.upstream, chosen == 0 ? best.reason : ChoiceReason::ReportedLoad });
}

// Engines that gave no report are used last.
std::size_t Job::earliestFinish(const std::vector<LoadQuery> &queries) const
{
    std::size_t best = 0;
    double bestMs = 0;
    for (std::size_t i = 0; i < queries.size(); ++i) {
        const double ms = expectedFinishAt(queries[i].upstream).firstMs;
        if (queries[i].load && (!queries[best].load || i == best || ms < bestMs)) {
            best = i;
            bestMs = ms;
        }
    }
    return best;
}

kernel::Duration Job::currentInactivityTimeout() const
{
    return inactivityTimeout(m_state.latencyEstimates, m_plan.route, m_attempt->model,
                             m_attempt->firstByteSeen, timeLeft());
}

// Reachability is checked even if this request can't be retried: the result matters to other
// requests, and shows whether this request crashed the upstream.
void Job::armInactivityTimers()
{
    if (mayRetry(m_attempts))
        armInactivityTimer(currentInactivityTimeout());
    armReachabilityCheck(reachabilityCheckDelay);
}

void Job::armInactivityTimer(kernel::Duration delay)
{
    m_inactivityTimer = kernel::Timer(m_state.scheduler, delay, [this] { onInactivityTimeout(); });
}

void Job::onInactivityTimeout()
{
    const auto self = shared_from_this();
    if (!m_attempt)
        return;
    const kernel::Duration inactiveTime = now() - m_attempt->lastActivity;
    const kernel::Duration timeout = currentInactivityTimeout();
    if (inactiveTime < timeout) {
        armInactivityTimer(timeout - inactiveTime);
        return;
    }
    if (m_kept) {
        // The kept response is passed on if this one comes too late.
        armInactivityTimer(timeout);
        return;
    }
    if (!mayRetry(m_attempts) || timeLeft() < minAttemptTime)
        return;
    recordInactivity(inactiveTime);
    retryElsewhere("silent");
}

// If no upstream may get a retry or the budget allows none, the request keeps waiting, which is
// better than to end it.
void Job::retryElsewhere(std::string_view detail)
{
    if (!m_kept) {
        if (!isAnyUpstreamAvailable()
            || !takeRetry(m_state.retryBudgets[m_plan.service], m_state.options.retries, now())) {
            armInactivityTimer(currentInactivityTimeout());
            return;
        }
        m_retryReserved = true;
    }
    // The abandoned response counts against its version in a roll-out; otherwise a version that
    // never responds in time would not be detected.
    review(reviewAbandoned);
    failAttempt(AttemptFailure::Silent, detail);
}

// If the router stopped waiting, the true latency is unknown, and the time waited is recorded as a
// lower bound of it; otherwise the latencies of a busy service would look like those of an idle
// one.
void Job::recordInactivity(kernel::Duration inactiveTime)
{
    LatencyEstimates &estimates = m_state.latencyEstimates;
    auto &times = m_attempt->firstByteSeen ? estimates.betweenEvents : estimates.firstByte;
    recordTime(times[{ m_plan.route.name, m_attempt->model }], inactiveTime);
}

void Job::armReachabilityCheck(kernel::Duration delay)
{
    m_reachabilityTimer
        = kernel::Timer(m_state.scheduler, delay, [this] { onReachabilityCheck(); });
}

// A probe tells a slow upstream from an unreachable one long before the inactivity timeout expires.
void Job::onReachabilityCheck()
{
    if (!m_attempt || !m_exchange)
        return;
    const kernel::Duration inactiveTime = now() - m_attempt->lastActivity;
    if (inactiveTime < reachabilityCheckDelay) {
        armReachabilityCheck(reachabilityCheckDelay - inactiveTime);
        return;
    }
    m_state.upstreamsToProbe.insert(m_attempt->upstream);
    armReachabilityCheck(reachabilityCheckInterval);
}

void Job::onUnreachable(const kernel::UpstreamId &upstream)
{
    const auto self = shared_from_this();
    const bool waits = m_attempt && m_exchange && m_attempt->sent && m_attempt->upstream == upstream
                       && now() - m_attempt->lastActivity >= reachabilityCheckDelay;
    if (waits && (mayRetry(m_attempts) || m_kept) && timeLeft() >= minAttemptTime)
        retryElsewhere("unreachable");
}

void Job::review(void (*update)(ResponseReview &, RolloutEvidence &, kernel::Instant))
{
    const auto evidence = m_state.rolloutEvidence.find(m_plan.service);
    if (evidence != m_state.rolloutEvidence.end())
        update(m_attempt->review, evidence->second, now());
}

void Job::armReview()
{
    if (!m_state.rolloutEvidence.contains(m_plan.service))
        return;
    m_reviewTimer = kernel::Timer(m_state.scheduler, reviewInterval, [this] {
        review(reviewProgress);
        armReview();
    });
}

} // namespace acaciasail::forwarding
