#include "forwarding/internal/request/job.h"

#include <utility>

#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

// This file holds the parts of Job that tell which requests and parts of prompts crash upstreams,
// and that end or hold back such requests.

namespace {

// A part of a prompt that crashes upstreams mostly does so sooner after the first event, and never
// as late as this.
constexpr kernel::Duration likelySoundWritingTime = std::chrono::milliseconds(500);
constexpr kernel::Duration soundWritingTime = std::chrono::seconds(2);
// A trial of a part shows in this time whether the part crashes upstreams.
constexpr kernel::Duration maxTrialWait = std::chrono::seconds(4);
constexpr kernel::Duration trialCheckInterval = std::chrono::milliseconds(100);

} // namespace

// A response that goes on for a while after its first event shows that the parts of its prompt were
// sound when the upstream began to write.
void Job::recordWriting()
{
    const kernel::Duration written = now() - m_attempt->firstEventAt;
    const kernel::WallTime startedAt = m_state.scheduler.wallNow() - written;
    if (written >= likelySoundWritingTime && !std::exchange(m_attempt->likelySound, true))
        recordPartsWritten(m_state.crashes.parts, m_plan.sharedParts, startedAt);
    if (written >= soundWritingTime && !std::exchange(m_attempt->provenSound, true))
        recordPartsCompleted(m_state.crashes.parts, m_plan.sharedParts, startedAt);
}

// The end of a connection ends a response without a length, and is also what a crash looks like.
void Job::recordCompleteResponse()
{
    if (m_attempt->endsWithConnection)
        recordLost(*m_attempt, true);
    else
        recordCompletedRun(m_state.crashes, m_plan.fingerprint, m_plan.sharedParts,
                           m_state.scheduler.wallNow());
}

void Job::recordLost(const Attempt &attempt, bool mayBeComplete)
{
    recordLostRun(m_state.crashes, { .request = m_request.id,
                                     .fingerprint = m_plan.fingerprint,
                                     .sharedParts = isUpstreamLeaving(attempt.upstream)
                                                        ? std::vector<PromptPartKey>()
                                                        : m_plan.sharedParts,
                                     .upstream = attempt.upstream,
                                     .process = attempt.process,
                                     .startedAt = attempt.startedAt,
                                     .lostAt = now(),
                                     .mayBeComplete = mayBeComplete });
    m_state.upstreamsToProbe.insert(attempt.upstream);
}

void Job::recordPossibleCrash(const Attempt &attempt, AttemptOutcome outcome)
{
    if (attempt.suspect)
        m_state.upstreamsWithSuspects.extract(attempt.upstream);
    const bool broken = outcome == AttemptOutcome::ConnectionBroken;
    const bool unanswered
        = outcome == AttemptOutcome::Silent || outcome == AttemptOutcome::Cancelled;
    const auto record = m_state.records.find(attempt.upstream);
    const bool unreachable = record != m_state.records.end() && record->second.unreachable;
    if (!attempt.sent || !(broken || (unanswered && unreachable)))
        return;
    recordLost(attempt, false);
}

// An upstream that leaves may exit while it still runs requests, without a crash.
bool Job::isUpstreamLeaving(const kernel::UpstreamId &upstream) const
{
    const auto record = m_state.records.find(upstream);
    const auto known = m_state.directory.upstreams.find(upstream);
    return known == m_state.directory.upstreams.end() || known->second.entry.draining
           || (record != m_state.records.end() && record->second.notices.leavingSince.has_value());
}

bool Job::isPoison() const
{
    return crashesUpstreams(m_state.crashes, m_plan.fingerprint, m_plan.sharedParts);
}

bool Job::isRefused() const
{
    return isPoison() && (!m_trial || m_trial->isSent());
}

bool Job::startTrial()
{
    if (m_trial)
        return true;
    const auto part = partToTry(m_state.crashes, m_plan.fingerprint, m_plan.sharedParts,
                                m_state.options.vm, now(), m_state.scheduler.wallNow());
    if (!part)
        return false;
    m_trial.emplace(m_state.crashes.parts, *part);
    logPartTried(m_request, *part);
    return true;
}

bool Job::waitForTrial()
{
    const bool hasTime = now() - m_request.arrived < maxTrialWait
                         && timeLeft() > minAttemptTime + trialCheckInterval;
    if (!hasTime || !isTrialUnderWay(m_state.crashes, m_plan.fingerprint, m_plan.sharedParts))
        return false;
    m_roomTimer = kernel::Timer(m_state.scheduler, trialCheckInterval, [this] {
        const auto self = shared_from_this();
        startNextAttempt();
    });
    return true;
}

void Job::onCrashEvidence()
{
    const auto self = shared_from_this();
    if (m_done || m_trial || !m_attempt || !m_exchange || m_attempt->head || !isPoison())
        return;
    logPoisonRefused(m_state, m_request, m_plan);
    finishAttempt(AttemptOutcome::Cancelled);
    finishWithoutResponse(EndReason::Failed, "crashes_upstreams");
}

} // namespace acaciasail::forwarding
