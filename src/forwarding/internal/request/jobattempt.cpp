#include "forwarding/internal/request/job.h"

#include <algorithm>
#include <utility>

#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

// This file holds the parts of Job that select an upstream and send the request to it.

namespace {

// Maximum idle time of a kept-alive connection that is reused. The peer may have closed a
// connection that was idle for longer, so the limit is lower for requests that can't be retried.
constexpr kernel::Duration maxIdleUnsafe = std::chrono::milliseconds(300);
constexpr kernel::Duration maxIdleSafe = std::chrono::seconds(5);
// The connect timeout is at most the time left divided by this number.
constexpr int connectTimeoutDivisor = 3;
// Multiple of the connect timeout after which a connection that still succeeds shows that the
// process was held up; timers fire a little late at all times.
constexpr double heldUpConnectTimeouts = 1.5;
// Number of failed connects after which a request is refused.
constexpr int maxFailedConnects = 4;

} // namespace

VersionChoice Job::versionForSession() const
{
    const auto rollout = m_state.directory.rollouts.find(m_plan.service);
    if (rollout == m_state.directory.rollouts.end())
        return VersionChoice::Any;
    const auto evidence = m_state.rolloutEvidence.find(m_plan.service);
    if (rollout->second.state != RolloutState::Completed
        && evidence != m_state.rolloutEvidence.end() && evidence->second.targetRejected
        && evidence->second.target == rollout->second.target)
        return VersionChoice::Old;
    // Requests without a session are assigned to a version by their id.
    const std::string &session
        = m_plan.affinityKey.empty() ? m_request.id.str() : m_plan.affinityKey;
    return chooseVersion(rollout->second, session);
}

void Job::startNextAttempt()
{
    if (timeLeft() < minAttemptTime) {
        onDeadline();
        return;
    }
    if (m_failedConnects >= maxFailedConnects) {
        finishWithoutResponse(EndReason::NoCapacity, "upstreams_unreachable");
        return;
    }
    if (m_attempts.sent > 0 && !m_retryReserved
        && !takeRetry(m_state.retryBudgets[m_plan.service], m_state.options.retries, now())) {
        finishWithoutResponse(EndReason::Failed, "retry_budget_spent");
        return;
    }
    m_retryReserved = m_attempts.sent > 0;
    const VersionChoice version = versionForSession();
    UpstreamQuery query;
    query.affinity = m_plan.affinityKey;
    query.work = m_request.work ? expectedWork(*m_request.work) : 1;
    query.isHeavy = query.work >= m_plan.meanWork;
    query.ownDataCentre = m_state.options.dataCentre;
    query.lane = m_plan.lane;
    query.longObjectiveFraction = longObjectiveFraction(m_state.laneWork[m_plan.service]);
    query.now = now();
    if (m_request.work) {
        estimateCost();
        if (knowsOthersWork(m_state))
            query.finish = &m_finish;
    }
    const auto candidates = allowedCandidates(version);
    const auto choices = selectUpstreams(candidates, query);
    const bool mayWait = choices.empty() && !m_kept && !upstreamsWithoutRoom(candidates).empty();
    if (mayWait && waitForRoom("no_room"))
        return;
    if (choices.empty())
        finishWithoutResponse(EndReason::NoCapacity,
                              reasonForNoUpstream(m_state, m_plan.service, candidates));
    else if (choices.size() == 1)
        startAttempt(choices.front());
    else
        queryLoads(choices);
}

// A request during which an upstream crashed is sent to an upstream that runs no other such
// request, so that the next crash shows which of the requests causes it.
std::vector<UpstreamChoice> Job::selectUpstreams(const std::vector<const Upstream *> &candidates,
                                                 UpstreamQuery query)
{
    std::set<kernel::UpstreamId> excluded = upstreamsWithoutRoom(candidates);
    excluded.insert(m_triedUpstreams.begin(), m_triedUpstreams.end());
    if (countCrashes(m_state.crashes, m_plan.fingerprint) > 0) {
        std::set<kernel::UpstreamId> withSuspects = excluded;
        withSuspects.insert(m_state.upstreamsWithSuspects.begin(),
                            m_state.upstreamsWithSuspects.end());
        query.exclude = &withSuspects;
        auto choices = chooseUpstreams(candidates, m_state.records, query, 1, m_state.random);
        if (!choices.empty())
            return choices;
    }
    query.exclude = &excluded;
    auto choices = chooseUpstreams(candidates, m_state.records, query,
                                   enginesToQuery(candidates.size()), m_state.random);
    removeLimitedFromLoadQueries(choices);
    if (choices.empty() && !m_triedUpstreams.empty()) {
        // All candidates were tried; an upstream that refused the request, or whose connection
        // failed, may accept the request now.
        excluded = upstreamsWithoutRoom(candidates);
        choices = chooseUpstreams(candidates, m_state.records, query, 1, m_state.random);
    }
    return choices;
}

// A load query counts towards a rate limit as well, so limited upstreams are not queried.
void Job::removeLimitedFromLoadQueries(std::vector<UpstreamChoice> &choices) const
{
    const auto isLimited = [&](const UpstreamChoice &choice) {
        const auto record = m_state.records.find(choice.upstream->id);
        return record != m_state.records.end() && record->second.notices.pace;
    };
    if (choices.empty())
        return;
    if (isLimited(choices.front()))
        choices.resize(1);
    else
        std::erase_if(choices, isLimited);
}

bool Job::isAnyUpstreamAvailable() const
{
    const auto candidates = reachableCandidates(m_state, m_plan.service, versionForSession());
    return std::ranges::any_of(candidates, [&](const Upstream *upstream) {
        const auto record = m_state.records.find(upstream->id);
        return record == m_state.records.end()
               || availabilityOf(record->second.notices, now()) != Availability::Unavailable;
    });
}

Job::Attempt Job::makeAttempt(const Upstream &upstream) const
{
    const auto rollout = m_state.directory.rollouts.find(m_plan.service);
    Attempt attempt;
    attempt.upstream = upstream.id;
    attempt.process = processIdOf(upstream);
    attempt.endpoint = upstream.endpoint;
    attempt.version = upstream.version;
    attempt.review.responseClass = { m_plan.route.name, m_model };
    attempt.review.upstream = upstream.id;
    attempt.review.fromTargetVersion
        = rollout != m_state.directory.rollouts.end() && rollout->second.target == upstream.version;
    attempt.review.startedAt = now();
    attempt.model = m_model;
    attempt.work = m_request.work ? expectedWork(*m_request.work) : 1;
    attempt.tokens = memoryNeed();
    attempt.startedAt = now();
    attempt.lastActivity = now();
    attempt.mayHaveRunBefore = m_attempts.mayHaveRun;
    attempt.suspect = countCrashes(m_state.crashes, m_plan.fingerprint) > 0;
    return attempt;
}

AttemptContext Job::makeAttemptContext(const Upstream &upstream) const
{
    AttemptContext context;
    context.endpoint = upstream.endpoint;
    context.upstream = upstream.id;
    context.workspace = m_plan.workspace;
    context.timeLeft = timeLeft();
    context.model = m_model;
    context.urgency = engineUrgency(m_plan.route.rank, m_plan.effectiveRank);
    context.resumeAfter = m_lastEventId;
    const bool isRetryable = m_plan.route.kind == RequestKind::Safe || m_plan.route.resumable;
    context.maxIdle = isRetryable ? maxIdleSafe : maxIdleUnsafe;
    context.connectTimeout = std::min(connectTimeout(m_state), timeLeft() / connectTimeoutDivisor);
    return context;
}

void Job::logChoice(const UpstreamChoice &choice) const
{
    const Upstream &upstream = *choice.upstream;
    const ExpectedFinish expected = expectedFinishAt(upstream);
    kernel::logEvent(kernel::EventId::UpstreamChosen,
                     { { "request", m_request.id },
                       { "route", m_plan.route.name },
                       { "upstream", upstream.id },
                       { "version", upstream.version },
                       { "model", m_model },
                       { "reason", toString(choice.reason) },
                       { "lane", toString(m_plan.lane) },
                       { "in_flight", m_state.records[upstream.id].inFlight },
                       { "expected_first_ms", expected.firstMs },
                       { "ahead_ms", expected.aheadMs },
                       { "speed", expected.speed },
                       { "send", m_attempts.sent + 1 },
                       { "session", m_plan.affinityKey },
                       { "left_ms", kernel::toMilliseconds(timeLeft()) } });
}

// A process that was held up may handle an event of an upstream, or a request itself, before the
// end of the caller's connection.
bool Job::endIfCallerLeft()
{
    if (!m_responder->hasCallerLeft())
        return false;
    const auto self = shared_from_this();
    m_responder->abort();
    onCallerGone();
    return true;
}

void Job::startAttempt(const UpstreamChoice &choice)
{
    if (endIfCallerLeft())
        return;
    if (isPoison() && !startTrial()) {
        if (waitForTrial())
            return;
        logPoisonRefused(m_state, m_request, m_plan);
        finishWithoutResponse(EndReason::Failed, "crashes_upstreams");
        return;
    }
    const Upstream &upstream = *choice.upstream;
    UpstreamRecord &record = m_state.records[upstream.id];
    // The upstream may have become unavailable or full while engines were queried for their load.
    if (availabilityOf(record.notices, now()) == Availability::Unavailable
        || upstreamsWithoutRoom({}).contains(upstream.id)) {
        startNextAttempt();
        return;
    }
    logChoice(choice);
    m_attempt = makeAttempt(upstream);
    m_attempt->number = ++m_lastAttemptNumber;
    if (m_attempt->suspect)
        m_state.upstreamsWithSuspects.insert(upstream.id);
    m_triedUpstreams.insert(upstream.id);
    m_lastUpstream = upstream.id.str();
    recordStart(record, m_attempt->work);
    startWorkAt(upstream);
    if (m_attempt->tokens > 0)
        m_state.tokensInFlight[upstream.id] += m_attempt->tokens;
    if (record.notices.pace)
        recordPacedRequest(*record.notices.pace, now());
    m_splitter.reset();
    http::ClientHandlers handlers;
    handlers.onSent = [this] { onSent(); };
    handlers.onHead = [this](const http::ClientHead &head) { onHead(head); };
    const int number = m_attempt->number;
    handlers.onBody = [this, number](std::string_view piece) {
        isKept(number) ? onKeptBody(piece) : onBody(piece);
    };
    handlers.onEnd = [this, number](const kernel::Completion<kernel::Done> &outcome) {
        isKept(number) ? onKeptEnd(outcome) : onExchangeEnd(outcome);
    };
    m_exchange = m_state.send(m_state.wire.encode(m_request, makeAttemptContext(upstream)),
                              std::move(handlers));
    armReview();
}

// A connection that took far longer than its timeout shows that the process was held up. The caller
// may have left meanwhile, and the encoded request states more time than is left.
bool Job::wasHeldUp() const
{
    const kernel::Duration limit
        = kernel::scaled(m_state.options.connectTimeout, heldUpConnectTimeouts);
    return now() - m_attempt->startedAt > limit || timeLeft() < minAttemptTime;
}

// Starts the attempt anew at any upstream; nothing was sent.
void Job::restartAttempt()
{
    const auto self = shared_from_this();
    m_restarted = true;
    m_triedUpstreams.erase(m_attempt->upstream);
    finishAttempt(AttemptOutcome::Cancelled);
    startNextAttempt();
}

void Job::onSent()
{
    if (wasHeldUp()) {
        if (endIfCallerLeft())
            return;
        // A slow process would restart the attempt again and again, so it does so once.
        if (!m_restarted || timeLeft() < minAttemptTime) {
            restartAttempt();
            return;
        }
    }
    recordSent(m_attempts);
    m_sentUpstreams.insert(m_attempt->upstream);
    recordConnectTime(m_state, now() - m_attempt->startedAt);
    m_retryReserved = false;
    m_attempt->sent = true;
    m_attempt->lastActivity = now();
    if (m_trial && !m_trial->isSent())
        m_trial->recordSent(m_state.scheduler.wallNow());
    armInactivityTimers();
}

} // namespace acaciasail::forwarding
