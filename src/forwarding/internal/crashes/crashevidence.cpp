#include "forwarding/internal/crashes/crashevidence.h"

#include <algorithm>
#include <set>
#include <utility>

#include "forwarding/internal/crashes/evidencetimes.h"

namespace acaciasail::forwarding {

namespace {

// Maximum number of requests that are tracked, and of requests that are shared with other routers.
constexpr std::size_t maxTrackedRequests = 1024;
constexpr std::size_t maxSharedRequests = 64;
constexpr std::size_t maxLostRuns = 1024;
// Number of crashes from which a request is refused. Two may be a coincidence where upstreams also
// fail for other reasons.
constexpr int crashesToRefuse = 3;
// A request with this many crashes is shared at once.
constexpr int crashesToShareAtOnce = 2;
// Time after which a lost run counts as a crash if no probe has found its upstream alive; a live
// upstream answers far sooner.
constexpr kernel::Duration lostRunTimeout = std::chrono::seconds(2);
// Upstreams that disappear within this time of each other may have a common cause.
constexpr kernel::Duration commonCauseWindow = std::chrono::milliseconds(500);
constexpr std::ptrdiff_t minUpstreamsOfCommonCause = 3;
constexpr kernel::Duration goneUpstreamRetention = std::chrono::minutes(1);
// A request that gets no response from another upstream within this time is shared.
constexpr kernel::Duration pendingEvidenceTimeout = std::chrono::seconds(1);
constexpr kernel::Duration shareInterval = std::chrono::seconds(1);
constexpr std::size_t maxAliveProcesses = 256;

void movePendingToOwn(CrashEvidence &evidence, const poison::Fingerprint &fingerprint)
{
    auto pending = evidence.pending.extract(fingerprint);
    if (pending.empty())
        return;
    poison::PoisonEvidenceSet evidenceToMerge;
    evidenceToMerge.evidence[fingerprint] = std::move(pending.mapped().evidence);
    poison::merge(evidence.own, evidenceToMerge);
    evidence.hasUnsharedEvidence = true;
}

void moveOverdueToOwn(CrashEvidence &evidence, kernel::Instant now)
{
    std::vector<poison::Fingerprint> overdue;
    for (const auto &[fingerprint, pending] : evidence.pending) {
        if (!pending.hasProgress && now - pending.since >= pendingEvidenceTimeout)
            overdue.push_back(fingerprint);
    }
    for (const poison::Fingerprint &fingerprint : overdue)
        movePendingToOwn(evidence, fingerprint);
}

// Returns whether several upstreams disappeared at about the same time as this run's upstream, and
// the request may have crashed fewer than half as many upstreams as disappeared.
bool hasCommonCause(const CrashEvidence &evidence, const LostRun &run)
{
    const auto disappearedCount = std::ranges::count_if(evidence.gone, [&](const auto &item) {
        return std::chrono::abs(item.second.since - *run.goneAt) <= commonCauseWindow;
    });
    const std::ptrdiff_t crashesOfRequest = countCrashes(evidence, run.fingerprint);
    return disappearedCount >= minUpstreamsOfCommonCause && 2 * crashesOfRequest < disappearedCount;
}

bool isCommonCauseWindowOver(const LostRun &run, kernel::Instant now)
{
    return run.goneAt && now - *run.goneAt >= commonCauseWindow;
}

void recordCrash(CrashEvidence &evidence, const LostRun &run, kernel::Instant now,
                 kernel::WallTime wallNow)
{
    recordSuspicion(evidence.suspected, run.process, now);
    const kernel::WallTime at = toWholeMilliseconds(wallNow);
    evidence.known.capacity = maxTrackedRequests;
    evidence.own.capacity = maxTrackedRequests;
    poison::recordCrash(evidence.known, run.fingerprint, run.process, at);
    const auto [pending, first] = evidence.pending.try_emplace(run.fingerprint);
    if (first)
        pending->second.since = run.lostAt;
    pending->second.evidence.crashTimes[run.process].insert(at);
    if (!first || run.unanswered || evidence.own.evidence.contains(run.fingerprint)
        || poison::unclearedCrashes(evidence.known, run.fingerprint) >= crashesToShareAtOnce
        || evidence.pending.size() > maxTrackedRequests)
        movePendingToOwn(evidence, run.fingerprint);
}

// A common cause of several crashes is no reason to drop evidence on parts: only all evidence of
// all routers shows whether a part explains them.
void recordCrashesOfParts(CrashEvidence &evidence, kernel::Instant now, kernel::WallTime wallNow)
{
    for (LostRun &run : evidence.lost) {
        if (!run.goneAt || std::exchange(run.countsForParts, true) || run.sharedParts.empty())
            continue;
        recordSuspicion(evidence.suspected, run.process, now);
        const kernel::WallTime crashedAt = wallNow - (now - run.lostAt);
        recordPartCrash(evidence.parts,
                        { run.sharedParts, run.fingerprint, run.process, crashedAt }, now);
    }
}

void recordSuspicions(SuspectedProcesses &suspected, const CrashReport &report, kernel::Instant now)
{
    for (const auto &[fingerprint, request] : report.requests.evidence) {
        for (const auto &[process, times] : request.crashTimes)
            recordSuspicion(suspected, process, now);
    }
    for (const auto &[key, part] : report.parts) {
        for (const auto &[process, time] : part.crashes)
            recordSuspicion(suspected, process, now);
    }
}

// What follows from the news that a process was alive.
enum class AliveChange {
    /// It was known.
    None,
    Applied,
    /// This router had reported a crash of the process and takes it back.
    TakenBack,
};

AliveChange mergeAlive(CrashEvidence &evidence, const kernel::UpstreamId &process,
                       kernel::WallTime at)
{
    const auto [known, added] = evidence.alive.try_emplace(process, at);
    if (!added && known->second >= at)
        return AliveChange::None;
    known->second = at;
    evidence.suspected.processes.erase(process);
    poison::dropCrashes(evidence.known, process, at);
    for (auto &[fingerprint, pending] : evidence.pending)
        pending.evidence.crashTimes.erase(process);
    const bool hadReportedRequest = poison::dropCrashes(evidence.own, process, at);
    const bool hadReportedPart = recordProcessAlive(evidence.parts, process, at);
    if (!hadReportedRequest && !hadReportedPart)
        return AliveChange::Applied;
    evidence.hasUnsharedEvidence = true;
    return AliveChange::TakenBack;
}

// Returns whether any of the times was new.
bool mergeAliveTimes(CrashEvidence &evidence, const AliveTimes &times)
{
    bool isNew = false;
    for (const auto &[process, at] : times)
        isNew |= mergeAlive(evidence, process, at) != AliveChange::None;
    return isNew;
}

// Returns the report without what is known to be no crash.
CrashReport withoutDisprovedCrashes(CrashReport report, const AliveTimes &alive)
{
    for (const auto &[process, until] : alive) {
        poison::dropCrashes(report.requests, process, until);
        dropCrash(report.parts, process, until);
    }
    return report;
}

// Merges a report that withoutDisprovedCrashes() returned; returns whether any of it was new.
bool mergeCrashes(CrashEvidence &evidence, const CrashReport &report, kernel::Instant now)
{
    evidence.known.capacity = maxTrackedRequests;
    recordSuspicions(evidence.suspected, report, now);
    const bool hasNewRequests = poison::merge(evidence.known, report.requests);
    return mergeReceivedParts(evidence.parts, report.parts) || hasNewRequests;
}

void expireAlive(AliveTimes &alive, kernel::WallTime wallNow)
{
    std::erase_if(alive, [wallNow](const auto &item) {
        return wallNow - item.second > poison::evidenceLifetime;
    });
    keepNewest(alive, maxAliveProcesses);
}

} // namespace

kernel::UpstreamId processIdOf(const Upstream &upstream)
{
    return kernel::UpstreamId(upstream.id.str() + "@" + std::to_string(upstream.startedAtMs));
}

void recordLostRun(CrashEvidence &evidence, LostRun run)
{
    const auto gone = evidence.gone.find(run.upstream);
    if (gone != evidence.gone.end() && !gone->second.returned) {
        // The upstream had disappeared before the request was sent to it.
        if (gone->second.since <= run.startedAt)
            return;
        run.goneAt = gone->second.since;
    }
    if (evidence.lost.size() >= maxLostRuns)
        evidence.lost.erase(evidence.lost.begin());
    evidence.lost.push_back(std::move(run));
}

void recordUpstreamGone(CrashEvidence &evidence, const kernel::UpstreamId &upstream,
                        kernel::Instant now)
{
    const auto [gone, first] = evidence.gone.try_emplace(upstream, GoneUpstream{ now });
    if (!first && !gone->second.returned)
        return;
    gone->second = { now };
    recordUnreached(evidence.suspected, upstream);
    for (LostRun &run : evidence.lost) {
        if (run.upstream == upstream && !run.goneAt)
            run.goneAt = now;
    }
}

void recordUpstreamAlive(CrashEvidence &evidence, const kernel::UpstreamId &upstream,
                         kernel::WallTime wallNow)
{
    std::vector<LostRun> complete;
    std::erase_if(evidence.lost, [&](const LostRun &run) {
        if (run.upstream != upstream || run.goneAt)
            return false;
        if (run.mayBeComplete)
            complete.push_back(run);
        return true;
    });
    for (const LostRun &run : complete)
        recordCompletedRun(evidence, run.fingerprint, run.sharedParts, wallNow);
    const auto gone = evidence.gone.find(upstream);
    if (gone != evidence.gone.end())
        gone->second.returned = true;
}

std::vector<LostRun> classifyLostRuns(CrashEvidence &evidence, kernel::Instant now,
                                      kernel::WallTime wallNow)
{
    for (LostRun &run : evidence.lost) {
        if (!run.goneAt && !run.mayBeComplete && now - run.lostAt >= lostRunTimeout)
            run.goneAt = run.lostAt;
    }
    std::erase_if(evidence.lost, [&](const LostRun &run) {
        return run.mayBeComplete && !run.goneAt && now - run.lostAt >= lostRunTimeout;
    });
    recordCrashesOfParts(evidence, now, wallNow);
    std::vector<LostRun> crashed;
    std::ranges::copy_if(evidence.lost, std::back_inserter(crashed), [&](const LostRun &run) {
        return isCommonCauseWindowOver(run, now) && !hasCommonCause(evidence, run);
    });
    std::erase_if(evidence.lost,
                  [&](const LostRun &run) { return isCommonCauseWindowOver(run, now); });
    for (const LostRun &run : crashed)
        recordCrash(evidence, run, now, wallNow);
    std::erase_if(evidence.gone, [&](const auto &item) {
        return now - item.second.since >= goneUpstreamRetention;
    });
    return crashed;
}

void recordCompletedRun(CrashEvidence &evidence, const poison::Fingerprint &fingerprint,
                        const std::vector<PromptPartKey> &sharedParts, kernel::WallTime wallNow)
{
    recordPartsCompleted(evidence.parts, sharedParts, wallNow);
    std::erase_if(evidence.lost,
                  [&](const LostRun &run) { return run.fingerprint == fingerprint; });
    if (poison::unclearedCrashes(evidence.known, fingerprint) == 0)
        return;
    poison::PoisonEvidenceSet completion;
    completion.evidence[fingerprint].completedAt = toWholeMilliseconds(wallNow);
    poison::merge(evidence.known, completion);
    // The other routers have not received pending evidence, so they need no correction.
    if (evidence.pending.erase(fingerprint) > 0 && !evidence.own.evidence.contains(fingerprint))
        return;
    poison::merge(evidence.own, completion);
    evidence.hasUnsharedEvidence = true;
}

void recordProgress(CrashEvidence &evidence, const poison::Fingerprint &fingerprint)
{
    const auto pending = evidence.pending.find(fingerprint);
    if (pending != evidence.pending.end())
        pending->second.hasProgress = true;
}

void recordUnanswered(CrashEvidence &evidence, const poison::Fingerprint &fingerprint)
{
    for (LostRun &run : evidence.lost)
        run.unanswered = run.unanswered || run.fingerprint == fingerprint;
    movePendingToOwn(evidence, fingerprint);
}

int countCrashes(const CrashEvidence &evidence, const poison::Fingerprint &fingerprint)
{
    const std::set<kernel::UpstreamId> &explained = evidence.parts.blamed.processes;
    std::set<kernel::UpstreamId> lost;
    for (const LostRun &run : evidence.lost) {
        const bool mayBeCrash = run.goneAt || !run.mayBeComplete;
        if (run.fingerprint == fingerprint && mayBeCrash && !explained.contains(run.process))
            lost.insert(run.process);
    }
    const auto known = evidence.known.evidence.find(fingerprint);
    if (known == evidence.known.evidence.end())
        return static_cast<int>(lost.size());
    poison::PoisonEvidence unexplained = known->second;
    std::erase_if(unexplained.crashTimes,
                  [&](const auto &item) { return explained.contains(item.first); });
    // A crash that another router has shared is not counted twice.
    std::erase_if(lost, [&](const kernel::UpstreamId &process) {
        return unexplained.crashTimes.contains(process);
    });
    return poison::unclearedCrashes(unexplained) + static_cast<int>(lost.size());
}

bool crashesUpstreams(const CrashEvidence &evidence, const poison::Fingerprint &fingerprint,
                      const std::vector<PromptPartKey> &sharedParts)
{
    return countCrashes(evidence, fingerprint) >= crashesToRefuse
           || findBlamedPart(evidence.parts, sharedParts).has_value();
}

std::optional<PromptPartKey> partToTry(const CrashEvidence &evidence,
                                       const poison::Fingerprint &fingerprint,
                                       const std::vector<PromptPartKey> &sharedParts,
                                       const kernel::VmId &self, kernel::Instant now,
                                       kernel::WallTime wallNow)
{
    if (countCrashes(evidence, fingerprint) >= crashesToRefuse)
        return std::nullopt;
    return partToTry(evidence.parts, sharedParts, self, now, wallNow);
}

bool isTrialUnderWay(const CrashEvidence &evidence, const poison::Fingerprint &fingerprint,
                     const std::vector<PromptPartKey> &sharedParts)
{
    return countCrashes(evidence, fingerprint) < crashesToRefuse
           && isTrialUnderWay(evidence.parts, sharedParts);
}

std::size_t countRefusedRequests(const CrashEvidence &evidence)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(evidence.known.evidence, [&](const auto &entry) {
            return countCrashes(evidence, entry.first) >= crashesToRefuse;
        }));
}

void recordProcessAlive(CrashEvidence &evidence, const kernel::UpstreamId &process,
                        kernel::WallTime wallNow)
{
    const kernel::WallTime at = toWholeMilliseconds(wallNow);
    if (mergeAlive(evidence, process, at) == AliveChange::TakenBack)
        evidence.ownAlive[process] = at;
}

bool mergeCrashEvidence(CrashEvidence &evidence, const CrashReport &received, kernel::Instant now)
{
    const bool hasNewAlive = mergeAliveTimes(evidence, received.alive);
    return mergeCrashes(evidence, withoutDisprovedCrashes(received, evidence.alive), now)
           || hasNewAlive;
}

void restoreCrashEvidence(CrashEvidence &evidence, const CrashReport &restored, kernel::Instant now)
{
    evidence.own.capacity = maxTrackedRequests;
    // A report that was shared before this one was read lacks its evidence.
    const bool lacksRequests
        = std::ranges::any_of(restored.requests.evidence, [&](const auto &item) {
              return !evidence.own.evidence.contains(item.first);
          });
    const bool lacksParts = std::ranges::any_of(
        restored.parts, [&](const auto &item) { return !evidence.parts.own.contains(item.first); });
    if ((lacksRequests || lacksParts) && evidence.sharedAt != kernel::Instant{})
        evidence.hasUnsharedEvidence = true;
    mergeAliveTimes(evidence, restored.alive);
    const CrashReport report = withoutDisprovedCrashes(restored, evidence.alive);
    mergeCrashes(evidence, report, now);
    evidence.ownAlive.insert(report.alive.begin(), report.alive.end());
    poison::merge(evidence.own, report.requests);
    mergePartEvidence(evidence.parts.own, report.parts);
}

void expireCrashEvidence(CrashEvidence &evidence, kernel::Instant now, kernel::WallTime wallNow)
{
    expireSuspicions(evidence.suspected, now);
    expireAlive(evidence.alive, wallNow);
    expireAlive(evidence.ownAlive, wallNow);
    poison::expire(evidence.known, wallNow);
    poison::expire(evidence.own, wallNow);
    expireParts(evidence.parts, wallNow);
}

bool hasEvidenceToShare(const CrashEvidence &evidence)
{
    return evidence.hasUnsharedEvidence || !evidence.lost.empty() || !evidence.pending.empty()
           || evidence.parts.hasUnsharedEvidence || !evidence.parts.pending.empty();
}

bool isShareDue(CrashEvidence &evidence, kernel::Instant now)
{
    moveOverdueToOwn(evidence, now);
    const bool hasUnsharedParts = isPartShareDue(evidence.parts, now);
    return (evidence.hasUnsharedEvidence || hasUnsharedParts)
           && now - evidence.sharedAt >= shareInterval;
}

CrashReport takeEvidenceToShare(CrashEvidence &evidence, kernel::Instant now)
{
    evidence.hasUnsharedEvidence = false;
    evidence.sharedAt = now;
    return { poison::mostImportantEvidence(evidence.own, maxSharedRequests),
             takePartsToShare(evidence.parts), evidence.ownAlive };
}

} // namespace acaciasail::forwarding
