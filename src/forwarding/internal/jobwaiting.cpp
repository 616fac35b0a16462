#include "forwarding/internal/job.h"

#include <utility>

#include "forwarding/internal/requestreport.h"

namespace acaciasail::forwarding {

// This file holds the parts of Job that wait: for the load reports of engines, and for late
// responses.

namespace {

// Maximum number of engines that are queried for their load before one is chosen.
constexpr std::size_t enginesAsked = 3;
// With fewer upstreams, a router's own requests show well enough which upstreams are busy.
constexpr std::size_t minEnginesToAsk = 24;
// Minimum busyness to query engines: while they are idle, the benefit does not cover the cost of
// the queries.
constexpr double busyToAsk = 0.2;
// Time without activity after which the upstream's reachability is checked, and the interval of
// further checks.
constexpr kernel::Duration reachCheckAfter = std::chrono::milliseconds(300);
constexpr kernel::Duration reachCheckInterval = std::chrono::seconds(1);
// Interval at which responses in progress are reviewed while a roll-out runs.
constexpr kernel::Duration reviewInterval = std::chrono::milliseconds(250);

} // namespace

std::size_t Job::enginesToAsk(std::size_t candidates) const
{
    if (!m_request.work || !m_state.readLoad || candidates < minEnginesToAsk)
        return 1;
    const auto punctuality = m_state.punctuality.find(m_plan.service);
    if (punctuality == m_state.punctuality.end() || busyness(punctuality->second) < busyToAsk)
        return 1;
    const bool heavy = m_escalated || expectedWork(*m_request.work) >= m_plan.usualWork;
    return heavy ? enginesAsked : 1;
}

void Job::askLoads(const std::vector<UpstreamChoice> &choices)
{
    m_questions.clear();
    m_asked = 0;
    for (const UpstreamChoice &choice : choices)
        m_questions.push_back({ *choice.upstream, choice.reason, std::nullopt });
    askNext();
}

void Job::askNext()
{
    m_question = m_state.readLoad(
        m_questions[m_asked].upstream.endpoint, connectTimeout(m_state),
        [this](const kernel::Completion<EngineLoad> &outcome) { onLoad(outcome); });
}

void Job::onLoad(const kernel::Completion<EngineLoad> &outcome)
{
    const auto self = shared_from_this();
    const auto ended = std::move(m_question);
    LoadQuestion &question = m_questions[m_asked++];
    bool roomy = false;
    if (outcome.ok()) {
        question.load = outcome.value();
        UpstreamNotices &notices = m_state.records[question.upstream.id].notices;
        if (question.load->leaving && noteLeaving(notices, now(), m_state.options.leaveTime))
            logUpstreamLeaving(m_state, m_request, question.upstream.id);
        UsualLoad &usual = m_state.usualLoads[m_plan.service];
        roomy = isRoomy(usual, *question.load);
        noteLoad(usual, *question.load);
    } else {
        m_state.toProbe.insert(question.upstream.id);
    }
    if (roomy || m_asked == m_questions.size())
        beginAtLeastLoaded();
    else
        askNext();
}

void Job::beginAtLeastLoaded()
{
    std::vector<AskedEngine> engines;
    engines.reserve(m_asked);
    for (std::size_t i = 0; i < m_asked; ++i) {
        engines.push_back(
            { m_questions[i].load, m_state.records[m_questions[i].upstream.id].inFlight });
    }
    const std::vector<LoadQuestion> questions = std::exchange(m_questions, {});
    const std::size_t chosen = chooseByLoad(engines);
    const LoadQuestion &best = questions[chosen];
    begin({ &best.upstream, chosen == 0 ? best.reason : ChoiceReason::ReportedLoad });
}

kernel::Duration Job::silenceAllowed() const
{
    return allowedSilence(m_state.usual, m_plan.route, m_attempt->model, m_attempt->firstByteSeen,
                          timeLeft());
}

// Reachability is checked even if this request can't be retried: the result matters to other
// requests, and shows whether this request crashed the upstream.
void Job::watchSilence()
{
    if (mayRepeat(m_attempts))
        armSilence(silenceAllowed());
    armReachCheck(reachCheckAfter);
}

void Job::armSilence(kernel::Duration delay)
{
    m_silence = kernel::Timer(m_state.scheduler, delay, [this] { onSilence(); });
}

void Job::onSilence()
{
    const auto self = shared_from_this();
    if (!m_attempt)
        return;
    const kernel::Duration silent = now() - m_attempt->lastActivity;
    const kernel::Duration allowed = silenceAllowed();
    if (silent < allowed) {
        armSilence(allowed - silent);
        return;
    }
    if (!mayRepeat(m_attempts) || timeLeft() < minAttemptTime)
        return;
    noteSilence(silent);
    moveOn("silent");
}

// If the budget allows no retry, the request keeps waiting, which is better than to end it.
void Job::moveOn(std::string_view why)
{
    if (!takeRepeat(m_state.budgets[m_plan.service], m_state.options.retries, now())) {
        armSilence(silenceAllowed());
        return;
    }
    m_repeatTaken = true;
    // A version that is far too slow is detected by the responses for which the router stops
    // waiting.
    review(reviewFailure);
    failAttempt(AttemptFailure::Silent, why);
}

// A wait that was cut short is recorded with its length as a lower bound; otherwise the latencies
// of a busy service would look like those of an idle one.
void Job::noteSilence(kernel::Duration silent)
{
    UsualTimes &usual = m_state.usual;
    auto &times = m_attempt->firstByteSeen ? usual.betweenEvents : usual.firstByte;
    noteTime(times[{ m_plan.route.name, m_attempt->model }], silent);
}

void Job::armReachCheck(kernel::Duration delay)
{
    m_reachCheck = kernel::Timer(m_state.scheduler, delay, [this] { onReachCheck(); });
}

// A probe tells a slow upstream from an unreachable one long before the inactivity timeout expires.
void Job::onReachCheck()
{
    if (!m_attempt || !m_exchange)
        return;
    const kernel::Duration silent = now() - m_attempt->lastActivity;
    if (silent < reachCheckAfter) {
        armReachCheck(reachCheckAfter - silent);
        return;
    }
    m_state.toProbe.insert(m_attempt->upstream);
    armReachCheck(reachCheckInterval);
}

void Job::onUnreachable(const kernel::UpstreamId &upstream)
{
    const auto self = shared_from_this();
    const bool waits = m_attempt && m_exchange && m_attempt->sent && m_attempt->upstream == upstream
                       && now() - m_attempt->lastActivity >= reachCheckAfter;
    if (waits && mayRepeat(m_attempts) && timeLeft() >= minAttemptTime)
        moveOn("unreachable");
}

void Job::review(void (*step)(AnswerReview &, RolloutEvidence &, kernel::Instant))
{
    const auto evidence = m_state.evidence.find(m_plan.service);
    if (evidence != m_state.evidence.end())
        step(m_attempt->review, evidence->second, now());
}

void Job::armReview()
{
    if (!m_state.evidence.contains(m_plan.service))
        return;
    m_review = kernel::Timer(m_state.scheduler, reviewInterval, [this] {
        review(reviewProgress);
        armReview();
    });
}

} // namespace acaciasail::forwarding
