#include "forwarding/internal/forwarder.h"

#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

// This file holds the parts of Forwarder that join and review the evidence on crashes.

void Forwarder::mergeCrashEvidence(const kernel::VmId &from, const CrashReport &received)
{
    recordReporter(m_state.crashes.parts, from, received.parts);
    if (!forwarding::mergeCrashEvidence(m_state.crashes, received, m_state.scheduler.now()))
        return;
    reviewBlamedParts();
    kernel::logEvent(kernel::EventId::PoisonReported,
                     { { "from", from },
                       { "requests", received.requests.evidence.size() },
                       { "prompt_parts", received.parts.size() },
                       { "refused", countRefusedRequests(m_state.crashes) } });
    endCrashingRequests();
}

void Forwarder::restoreCrashEvidence(const CrashReport &restored)
{
    forwarding::restoreCrashEvidence(m_state.crashes, restored, m_state.scheduler.now());
    reviewBlamedParts();
    endCrashingRequests();
}

void Forwarder::reviewCrashes()
{
    const kernel::Instant now = m_state.scheduler.now();
    const kernel::WallTime wallNow = m_state.scheduler.wallNow();
    for (const LostRun &run : classifyLostRuns(m_state.crashes, now, wallNow)) {
        logPoisonSuspected(m_state, run);
        endCrashingRequests();
    }
    reviewSuspectedProcesses();
    reviewBlamedParts();
    if (!m_shareCrashes || !isShareDue(m_state.crashes, now))
        return;
    expireCrashEvidence(m_state.crashes, now, wallNow);
    m_shareCrashes(takeEvidenceToShare(m_state.crashes, now));
}

// Takes back the crashes of upstreams that turn out to be the same processes as before.
void Forwarder::reviewSuspectedProcesses()
{
    SuspectedProcesses &suspected = m_state.crashes.suspected;
    if (m_state.directory.storeUnreachable) {
        restartConfirmations(suspected);
        return;
    }
    const SuspicionReview review = reviewSuspicions(
        suspected,
        [this](const kernel::UpstreamId &id) { return registeredProcess(m_state.directory, id); },
        m_state.scheduler.now());
    for (const kernel::UpstreamId &process : review.alive) {
        recordProcessAlive(m_state.crashes, process, m_state.scheduler.wallNow());
        kernel::logEvent(kernel::EventId::CrashDisproved,
                         { { "upstream", upstreamOfProcess(process) }, { "process", process } });
    }
    // Those that can't be reached are probed in any case; probes of all routers are a load, so they
    // are for what is refused.
    for (const kernel::UpstreamId &process : review.toProbe) {
        const kernel::UpstreamId id = upstreamOfProcess(process);
        const auto record = m_state.records.find(id);
        const bool isUnreachable = record != m_state.records.end() && record->second.unreachable;
        if (!isUnreachable && m_state.crashes.parts.blamed.processes.contains(process))
            m_state.upstreamsToProbe.insert(id);
    }
}

void Forwarder::reviewBlamedParts()
{
    const BlameChange change = updateBlame(m_state.crashes.parts);
    recordBlame(m_state.crashes.parts, change.blamed, m_state.scheduler.now());
    logBlamedParts(m_state, change);
    if (!change.blamed.empty())
        endCrashingRequests();
}

// Ends the requests that wait for an upstream and would crash it.
void Forwarder::endCrashingRequests()
{
    for (const std::shared_ptr<Job> &job : copyJobs())
        job->onCrashEvidence();
}

} // namespace acaciasail::forwarding
