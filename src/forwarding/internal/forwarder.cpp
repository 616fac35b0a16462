#include "forwarding/internal/forwarder.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "forwarding/internal/limits/requestlimits.h"
#include "forwarding/internal/request/requestplan.h"
#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

namespace {

constexpr kernel::Duration tickInterval = std::chrono::milliseconds(100);
// Interval at which the shares of limited upstreams are computed anew.
constexpr kernel::Duration limitsApplyInterval = std::chrono::milliseconds(500);
constexpr kernel::Duration workShareInterval = std::chrono::milliseconds(250);
// A report on work in flight is repeated after this time even if it is unchanged, because the other
// routers' work comes in the response to it.
constexpr kernel::Duration workRepeatInterval = std::chrono::seconds(1);
// Interval at which the capacities of the services' queues are recomputed.
constexpr kernel::Duration capacityUpdateInterval = std::chrono::milliseconds(500);
// Minimum interval between writes of the same roll-out step.
constexpr kernel::Duration rolloutWriteInterval = std::chrono::milliseconds(500);
// Routers request the same step one after the other, so that usually only one of them writes.
constexpr kernel::Duration rolloutWriteStagger = std::chrono::milliseconds(15);
// Number of different delays; each router's delay follows from a hash of its VM and the service.
constexpr std::uint64_t rolloutWriteDelaySteps = 20;

// Number of consecutive failed probes before requests in progress are retried elsewhere.
constexpr int failedProbesToRetryElsewhere = 2;
// If this many upstreams of one data centre become unreachable within this time, all of its
// upstreams are probed.
constexpr int unreachableToProbeDataCentre = 2;
constexpr kernel::Duration unreachableWindow = std::chrono::seconds(2);

kernel::Duration rolloutWriteDelay(const kernel::VmId &vm, const kernel::ServiceName &service)
{
    const std::uint64_t hash = kernel::hash64(vm.str(), kernel::hash64(service.str()));
    return rolloutWriteStagger * static_cast<int>(hash % rolloutWriteDelaySteps);
}

void logConfiguration(const Directory &directory, DirectoryChange change)
{
    kernel::logEvent(kernel::EventId::ConfigurationApplied,
                     { { "number", directory.configuration->number },
                       { "revision", directory.configurationRevision },
                       { "change", toString(change) },
                       { "routes", directory.configuration->routes.size() },
                       { "workspaces", directory.configuration->workspaces.size() } });
}

void logEvacuation(const kernel::DataCentreId &dataCentre, bool evacuated)
{
    kernel::logEvent(kernel::EventId::EvacuationChanged,
                     { { "data_centre", dataCentre }, { "evacuated", evacuated } });
}

void logUpstream(const kernel::UpstreamId &id, DirectoryChange change, const Upstream *upstream)
{
    kernel::logEvent(kernel::EventId::UpstreamRegistration,
                     { { "upstream", id },
                       { "change", toString(change) },
                       { "service", upstream != nullptr ? upstream->service.str() : "" },
                       { "version", upstream != nullptr ? upstream->version.str() : "" },
                       { "draining", upstream != nullptr && upstream->draining } });
}

} // namespace

Forwarder::Forwarder(const kernel::Scheduler &scheduler, ForwarderCallbacks callbacks,
                     ForwardingOptions options, kernel::Random random)
    : m_state{ .scheduler = scheduler,
               .options = std::move(options),
               .wire = std::move(callbacks.wire),
               .send = std::move(callbacks.send),
               .readLoad = std::move(callbacks.readLoad),
               .random = random }
    , m_connect(std::move(callbacks.connect))
    , m_writeRollout(std::move(callbacks.writeRollout))
    , m_shareCrashes(std::move(callbacks.shareCrashEvidence))
    , m_publishLimitReport(std::move(callbacks.publishLimitReport))
    , m_removeLimitReport(std::move(callbacks.removeLimitReport))
    , m_shareWork(std::move(callbacks.shareWork))
    , m_onConfiguration(std::move(callbacks.onConfiguration))
{
    m_state.limitSharing
        = makeLimitSharing(m_state.options.vm, m_state.random(), m_publishLimitReport != nullptr);
    m_state.directory.evacuationsKnown = !m_state.options.followsEvacuations;
    armTick();
}

Forwarder::~Forwarder() = default;

void Forwarder::handle(Request request, std::shared_ptr<http::Responder> responder)
{
    const auto job = std::make_shared<Job>(m_state, std::move(request), std::move(responder),
                                           [this](const Job *done) { onJobDone(done); });
    m_jobs.emplace(job.get(), job);
    job->start();
}

bool Forwarder::accepts(const Request &request) const
{
    return !refuseByHead(m_state, request);
}

void Forwarder::onJobDone(const Job *job)
{
    m_jobs.erase(job);
    // A released request may end at once and call this function again, so a timer releases the next
    // ones.
    if (countQueued(m_state.queues) > 0)
        m_releaseTimer
            = kernel::Timer(m_state.scheduler, kernel::Duration::zero(), [this] { releaseJobs(); });
}

void Forwarder::releaseJobs()
{
    for (const auto &released : releaseQueued(m_state.queues, m_state.scheduler.now())) {
        // A request may have ended since it was released.
        const auto job = m_state.queues.waiting.extract(released.ask.request);
        if (!job.empty())
            job.mapped()(released);
    }
}

void Forwarder::reviewQueues()
{
    const kernel::Instant now = m_state.scheduler.now();
    if (now - m_capacitiesUpdatedAt >= capacityUpdateInterval) {
        m_capacitiesUpdatedAt = now;
        updateQueueCapacities(m_state);
    }
    if (countQueued(m_state.queues) > 0)
        releaseJobs();
}

void Forwarder::setConfiguration(std::shared_ptr<const Configuration> configuration,
                                 kernel::Revision revision)
{
    const DirectoryChange change = putConfiguration(m_state.directory, std::move(configuration),
                                                    revision, m_state.scheduler.now());
    if (change == DirectoryChange::None)
        return;
    logConfiguration(m_state.directory, change);
    if (change == DirectoryChange::Stale)
        return;
    m_state.tightestObjectives = tightestObjectives(*m_state.directory.configuration);
    applyLimits(m_state);
    if (m_onConfiguration)
        m_onConfiguration(*m_state.directory.configuration);
}

void Forwarder::setUpstreams(const std::vector<Upstream> &upstreams)
{
    const std::vector<ListedChange> changes
        = replaceUpstreams(m_state.directory, upstreams, m_state.scheduler.now());
    for (const Upstream &upstream : upstreams)
        recordProcessStart(upstream);
    logListedChanges(changes);
    kernel::logEvent(kernel::EventId::UpstreamsListed, { { "upstreams", upstreams.size() } });
    pruneRecords();
}

void Forwarder::logListedChanges(const std::vector<ListedChange> &changes) const
{
    for (const ListedChange &listed : changes) {
        const auto known = m_state.directory.upstreams.find(listed.upstream);
        const bool isKnown = known != m_state.directory.upstreams.end();
        logUpstream(listed.upstream, listed.change, isKnown ? &known->second.entry : nullptr);
    }
}

void Forwarder::setUpstream(const Upstream &upstream)
{
    const DirectoryChange change = putUpstream(m_state.directory, upstream);
    recordProcessStart(upstream);
    if (change != DirectoryChange::None)
        logUpstream(upstream.id, change, &upstream);
}

// A process that restarted under the same id has none of its predecessor's state.
void Forwarder::recordProcessStart(const Upstream &upstream)
{
    const auto [at, added] = m_state.records.try_emplace(upstream.id);
    UpstreamRecord &record = at->second;
    if (record.startedAtMs == upstream.startedAtMs) {
        recordRegisteredCold(m_state, upstream);
        return;
    }
    if (!added) {
        // The requests that ran at the previous process were lost with it.
        recordUpstreamGone(m_state.crashes, upstream.id, m_state.scheduler.now());
        recordUpstreamAlive(m_state.crashes, upstream.id, m_state.scheduler.wallNow());
    }
    record = {};
    record.startedAtMs = upstream.startedAtMs;
    recordRegisteredCold(m_state, upstream);
}

void Forwarder::dropUpstream(const kernel::UpstreamId &id)
{
    const DirectoryChange change = removeUpstream(m_state.directory, id, m_state.scheduler.now());
    logUpstream(id, change, nullptr);
    pruneRecords();
}

void Forwarder::setRollout(const Rollout &rollout)
{
    const DirectoryChange change = putRollout(m_state.directory, rollout);
    if (change == DirectoryChange::Stale)
        return;
    kernel::logEvent(kernel::EventId::RolloutAdvanced,
                     { { "service", rollout.service },
                       { "target", rollout.target },
                       { "state", toString(rollout.state) },
                       { "share_permille", rollout.sharePermille },
                       { "doubters", rollout.doubts.size() },
                       { "revision", rollout.position.revision } });
    // The requested step may have lost the race against this change, so it may be requested again
    // at once.
    m_rolloutWriteDueAt.erase(rollout.service);
    reviewRollouts();
}

void Forwarder::dropRollout(const kernel::ServiceName &service)
{
    removeRollout(m_state.directory, service);
    m_state.rolloutEvidence.erase(service);
    kernel::logEvent(kernel::EventId::RolloutAdvanced,
                     { { "service", service }, { "state", "removed" } });
}

void Forwarder::setEvacuated(std::set<kernel::DataCentreId> dataCentres)
{
    if (m_state.directory.evacuationsKnown && dataCentres == m_state.directory.evacuated)
        return;
    std::set<kernel::DataCentreId> started;
    std::ranges::set_difference(dataCentres, m_state.directory.evacuated,
                                std::inserter(started, started.end()));
    const auto ended = replaceEvacuated(m_state.directory, std::move(dataCentres));
    for (const kernel::DataCentreId &dataCentre : started)
        logEvacuation(dataCentre, true);
    for (const kernel::DataCentreId &dataCentre : ended) {
        logEvacuation(dataCentre, false);
        recordColdDataCentre(m_state, dataCentre);
    }
}

void Forwarder::startEvacuation(const kernel::DataCentreId &dataCentre)
{
    std::set<kernel::DataCentreId> evacuated = m_state.directory.evacuated;
    evacuated.insert(dataCentre);
    setEvacuated(std::move(evacuated));
}

void Forwarder::endEvacuation(const kernel::DataCentreId &dataCentre)
{
    std::set<kernel::DataCentreId> evacuated = m_state.directory.evacuated;
    evacuated.erase(dataCentre);
    setEvacuated(std::move(evacuated));
}

void Forwarder::setStoreReachable(bool reachable)
{
    if (reachable && markStoreReachable(m_state.directory, m_state.scheduler.now()))
        kernel::logEvent(kernel::EventId::StoreUp, {});
    if (!reachable && markStoreUnreachable(m_state.directory))
        kernel::logEvent(kernel::EventId::StoreDown, {});
}

void Forwarder::setOptions(const ForwardingOptions &options)
{
    m_state.options = options;
}

void Forwarder::setExitDeadline(kernel::Instant end, bool onlyReadyRouter)
{
    m_state.exitDeadline = end;
    m_state.isOnlyRouter = onlyReadyRouter;
}

void Forwarder::endRequestsWithoutResponse()
{
    for (const std::shared_ptr<Job> &job : copyJobs())
        job->onExit();
}

void Forwarder::armTick()
{
    m_tick = kernel::Timer(m_state.scheduler, tickInterval, [this] { tick(); });
}

void Forwarder::tick()
{
    for (const kernel::UpstreamId &id : removeExpired(m_state.directory, m_state.scheduler.now()))
        logUpstream(id, DirectoryChange::Removed, nullptr);
    probeUnreachable();
    reviewCrashes();
    reviewLimits();
    shareWork();
    reviewQueues();
    reviewRollouts();
    armTick();
}

void Forwarder::reviewLimits()
{
    const kernel::Instant now = m_state.scheduler.now();
    LimitSharing &sharing = m_state.limitSharing;
    if (m_publishLimitReport) {
        for (const kernel::VmId &vm : expireRouters(sharing, now))
            m_removeLimitReport(vm);
        if (const auto report = takeDueReport(sharing, namedLimits(m_state), now))
            m_publishLimitReport(*report);
    }
    if (now - m_limitsAppliedAt < limitsApplyInterval)
        return;
    m_limitsAppliedAt = now;
    applyLimits(m_state);
}

void Forwarder::shareWork()
{
    const kernel::Instant now = m_state.scheduler.now();
    if (!m_shareWork || now - m_workSharedAt < workShareInterval)
        return;
    WorkReport report = ownWork(m_state);
    const bool isRepeatDue
        = !report.remainingMs.empty() && now - m_workSharedAt >= workRepeatInterval;
    if (report == m_sharedWork && !isRepeatDue)
        return;
    m_workSharedAt = now;
    m_sharedWork = std::move(report);
    m_shareWork(m_sharedWork);
}

void Forwarder::setOthersWork(const WorkReport &report)
{
    applyOthersWork(m_state, report);
}

void Forwarder::setLimitReports(const std::map<kernel::VmId, LimitReport> &reports)
{
    onLimitsEnded(replaceReports(m_state.limitSharing, reports, m_state.scheduler.now()));
}

void Forwarder::setLimitReport(const kernel::VmId &vm, const LimitReport &report)
{
    onLimitsEnded(recordReport(m_state.limitSharing, vm, report, m_state.scheduler.now()));
}

void Forwarder::dropLimitReport(const kernel::VmId &vm)
{
    removeReport(m_state.limitSharing, vm);
}

void Forwarder::onLimitsEnded(const std::vector<kernel::UpstreamId> &processes)
{
    endNamedLimits(m_state, processes);
    applyLimits(m_state);
}

// Returns a copy, because ending a request changes the set.
std::vector<std::shared_ptr<Job>> Forwarder::copyJobs() const
{
    std::vector<std::shared_ptr<Job>> jobs;
    jobs.reserve(m_jobs.size());
    for (const auto &[key, job] : m_jobs)
        jobs.push_back(job);
    return jobs;
}

void Forwarder::reviewRollouts()
{
    for (auto &[service, rollout] : m_state.directory.rollouts)
        reviewRollout(rollout);
}

void Forwarder::reviewRollout(Rollout &rollout)
{
    const kernel::Instant now = m_state.scheduler.now();
    RolloutEvidence &evidence = m_state.rolloutEvidence[rollout.service];
    if (evidence.target != rollout.target) {
        evidence = {};
        evidence.target = rollout.target;
        evidence.rolloutStartedAt = now;
        evidence.shareSince = now;
        if (rollout.startedAt) {
            // A router that starts during a roll-out uses the wall clock, which may have jumped.
            const kernel::Duration age = m_state.scheduler.wallNow() - *rollout.startedAt;
            evidence.rolloutStartedAt -= clampAgeToShare(rollout, age);
        }
    }
    if (evidence.sharePermille != rollout.sharePermille) {
        evidence.sharePermille = rollout.sharePermille;
        evidence.shareSince = now;
    }
    const bool open
        = rollout.state == RolloutState::Ordered || rollout.state == RolloutState::Running;
    const bool rejectedByOwnEvidence = open && isTargetWorse(evidence);
    if (open && !evidence.targetRejected
        && (rejectedByOwnEvidence || isRejectedByDoubts(rollout))) {
        evidence.targetRejected = true;
        kernel::logEvent(kernel::EventId::RolloutHalted,
                         { { "service", rollout.service },
                           { "target", rollout.target },
                           { "doubters", rollout.doubts.size() },
                           { "bad", evidence.newTotal.bad },
                           { "answers", evidence.newTotal.total() },
                           { "old_bad", evidence.oldTotal.bad },
                           { "old_answers", evidence.oldTotal.total() } });
    }
    const auto [newUpstreams, oldUpstreams] = countByVersion(m_state.directory, rollout);
    auto step = nextStep(rollout, evidence, m_state.options.vm, newUpstreams, oldUpstreams, now);
    if (!step && rollout.progressLost)
        step = RolloutStep{ rollout.state, rollout.sharePermille, rollout.doubts };
    kernel::Instant &writeDueAt = m_rolloutWriteDueAt[rollout.service];
    if (!step) {
        writeDueAt = {};
        return;
    }
    if (writeDueAt == kernel::Instant{} && !rejectedByOwnEvidence)
        writeDueAt = now + rolloutWriteDelay(m_state.options.vm, rollout.service);
    if (now < writeDueAt)
        return;
    writeDueAt = now + rolloutWriteInterval;
    m_writeRollout(rollout, *step);
}

bool Forwarder::isRejectedByDoubts(const Rollout &rollout) const
{
    return rejectedByDoubts(rollout.doubts, countCanaries(m_state.directory, rollout));
}

// Probes the upstreams that could not be reached or have sent nothing for a while, so that no
// request is needed to find out whether they can be reached.
void Forwarder::probeUnreachable()
{
    const kernel::Instant now = m_state.scheduler.now();
    std::set<kernel::UpstreamId> due = std::exchange(m_state.upstreamsToProbe, {});
    for (const auto &[id, record] : m_state.records) {
        if (record.unreachable && record.probeAt <= now)
            due.insert(id);
    }
    for (const kernel::UpstreamId &id : due) {
        const auto known = m_state.directory.upstreams.find(id);
        if (known != m_state.directory.upstreams.end() && !m_probes.contains(id))
            probe(id, known->second.entry.endpoint);
    }
}

void Forwarder::probe(const kernel::UpstreamId &id, const kernel::Endpoint &endpoint)
{
    m_probes[id] = m_connect(endpoint, connectTimeout(m_state),
                             [this, id](const kernel::Completion<kernel::Done> &outcome) {
                                 onProbeFinished(id, outcome);
                             });
}

void Forwarder::onProbeFinished(const kernel::UpstreamId &id,
                                const kernel::Completion<kernel::Done> &outcome)
{
    const auto probe = std::move(m_probes[id]);
    m_probes.erase(id);
    if (!outcome.ok()) {
        recordUpstreamGone(m_state.crashes, id, m_state.scheduler.now());
        onProbeFailed(id, outcome.error().code);
        return;
    }
    recordUpstreamAlive(m_state.crashes, id, m_state.scheduler.wallNow());
    if (const auto process = registeredProcess(m_state.directory, id))
        recordReached(m_state.crashes.suspected, *process, m_state.scheduler.now());
    const auto record = m_state.records.find(id);
    if (record == m_state.records.end() || !record->second.unreachable)
        return;
    const auto known = m_state.directory.upstreams.find(id);
    if (known != m_state.directory.upstreams.end())
        recordColdReturn(m_state, known->second.entry);
    markReachable(record->second, m_state.scheduler.now());
    kernel::logEvent(kernel::EventId::UpstreamReturned, { { "upstream", id } });
}

void Forwarder::onProbeFailed(const kernel::UpstreamId &id, kernel::ResultCode code)
{
    const auto known = m_state.directory.upstreams.find(id);
    if (known == m_state.directory.upstreams.end())
        return;
    UpstreamRecord &record = m_state.records[id];
    if (markUnreachable(record, m_state.scheduler.now())) {
        kernel::logEvent(kernel::EventId::UpstreamEjected,
                         { { "upstream", id },
                           { "service", known->second.entry.service },
                           { "request", "" },
                           { "ejections", record.ejections } });
        if (code == kernel::ResultCode::UpstreamTimeout)
            probeDataCentreIfSeveralUnreachable(known->second.entry.dataCentre);
    }
    // A refused connection is sufficient evidence; a connect that timed out may be a lost packet.
    if (code == kernel::ResultCode::UpstreamTimeout
        && record.failedProbes < failedProbesToRetryElsewhere)
        return;
    for (const std::shared_ptr<Job> &job : copyJobs())
        job->onUnreachable(id);
}

// Several upstreams that become unreachable at once may be cut off together with their whole data
// centre.
void Forwarder::probeDataCentreIfSeveralUnreachable(const kernel::DataCentreId &dataCentre)
{
    const kernel::Instant now = m_state.scheduler.now();
    UnreachableUpstreams &recentlyUnreachable = m_unreachableByDataCentre[dataCentre];
    if (now - recentlyUnreachable.since > unreachableWindow)
        recentlyUnreachable = { now, 0 };
    if (++recentlyUnreachable.upstreams != unreachableToProbeDataCentre)
        return;
    for (const auto &[id, known] : m_state.directory.upstreams) {
        if (known.entry.dataCentre == dataCentre && !m_state.records[id].unreachable)
            m_state.upstreamsToProbe.insert(id);
    }
}

// Removes the records of upstreams that are gone and idle.
void Forwarder::pruneRecords()
{
    const kernel::Instant now = m_state.scheduler.now();
    std::erase_if(m_state.records, [&](const auto &item) {
        return item.second.inFlight == 0 && !hasActiveNotices(item.second.notices, now)
               && !m_state.directory.upstreams.contains(item.first);
    });
}

} // namespace acaciasail::forwarding
