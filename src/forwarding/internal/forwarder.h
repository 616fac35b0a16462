#pragma once

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

#include "forwarding/internal/request/job.h"
#include "forwarding/internal/state.h"

namespace acaciasail::forwarding {

/// Requests an update of a roll-out's status, conditional on the revision that the decision was
/// based on. The outcome shows in the roll-out's next change.
using RolloutWriter = std::function<void(const Rollout &rollout, const RolloutStep &step)>;

/// Shares this router's evidence on poison requests with the other routers.
using CrashSharer = std::function<void(const CrashReport &own)>;

/// Number of upstreams of one data centre that became unreachable since a point in time.
struct UnreachableUpstreams
{
    kernel::Instant since{};
    int upstreams = 0;
};

/// Functions through which the forwarder acts on its environment; the deployment's adapter provides
/// them.
struct ForwarderCallbacks
{
    HttpSender send;
    Connector connect;
    /// May be empty: engines are then chosen without load reports.
    LoadReader readLoad;
    UpstreamWireFormat wire;
    RolloutWriter writeRollout;
    /// May be empty: each router then uses only its own evidence on crashes.
    CrashSharer shareCrashEvidence;
    /// May be empty: this router then acts as if it were the only one.
    LimitReportPublisher publishLimitReport;
    /// May be empty if `publishLimitReport` is.
    LimitReportRemover removeLimitReport;
    /// May be empty: this router then knows only its own work in flight.
    WorkReportSharer shareWork;
    /// Called when a configuration comes into force.
    std::function<void(const Configuration &)> onConfiguration;
};

/// Receives requests and updates of the deployment's state, and gives each request a response.
class Forwarder
{
public:
    Forwarder(const kernel::Scheduler &scheduler, ForwarderCallbacks callbacks,
              ForwardingOptions options, kernel::Random random);
    ~Forwarder();
    Forwarder(const Forwarder &) = delete;
    Forwarder &operator=(const Forwarder &) = delete;

    void handle(Request request, std::shared_ptr<http::Responder> responder);
    /// Returns whether the route and the key of a request are valid; its body is not looked at.
    bool accepts(const Request &request) const;

    void setConfiguration(std::shared_ptr<const Configuration> configuration,
                          kernel::Revision revision);
    void setUpstreams(const std::vector<Upstream> &upstreams);
    void setUpstream(const Upstream &upstream);
    void dropUpstream(const kernel::UpstreamId &id);
    void setRollout(const Rollout &rollout);
    void dropRollout(const kernel::ServiceName &service);
    /// Replaces the evacuated data centres by a complete list; their upstreams get no new requests.
    void setEvacuated(std::set<kernel::DataCentreId> dataCentres);
    void startEvacuation(const kernel::DataCentreId &dataCentre);
    void endEvacuation(const kernel::DataCentreId &dataCentre);
    void setStoreReachable(bool reachable);
    /// Merges another router's evidence on poison requests and prompt parts.
    void mergeCrashEvidence(const kernel::VmId &from, const CrashReport &received);
    /// Restores the evidence on poison requests and prompt parts that the router on this VM
    /// recorded before it restarted.
    void restoreCrashEvidence(const CrashReport &restored);

    /// Replaces the routers' reports on rate limits by a complete list, which includes this
    /// router's own report if it has been published.
    void setLimitReports(const std::map<kernel::VmId, LimitReport> &reports);
    /// Records one router's report on rate limits.
    void setLimitReport(const kernel::VmId &vm, const LimitReport &report);
    void dropLimitReport(const kernel::VmId &vm);
    /// Replaces the other routers' work in flight.
    void setOthersWork(const WorkReport &report);

    /// Refuses new requests that might still run at `end`; requests in progress continue.
    /// `onlyReadyRouter` tells that callers can reach no other router until this one is back.
    void setExitDeadline(kernel::Instant end, bool onlyReadyRouter);
    /// Ends the requests whose callers have not received any of a response, with one that says so.
    /// The process is about to exit; without this, their connections would end without a response.
    void endRequestsWithoutResponse();
    /// Changes the settings that can change at run time.
    void setOptions(const ForwardingOptions &options);

    bool canServe() const { return forwarding::canServe(m_state.directory); }
    std::size_t inProgress() const { return m_jobs.size(); }
    /// Returns whether the other routers have yet to be told of crashes that this router has seen.
    bool hasCrashesToShare() const { return m_shareCrashes && hasEvidenceToShare(m_state.crashes); }
    const ForwardingState &state() const { return m_state; }
    metrics::Registry &metrics() { return m_state.metrics.registry; }
    const metrics::Registry &metrics() const { return m_state.metrics.registry; }

private:
    void tick();
    void armTick();
    void reviewRollouts();
    void reviewRollout(Rollout &rollout);
    bool isRejectedByDoubts(const Rollout &rollout) const;
    void reviewCrashes();
    void reviewSuspectedProcesses();
    void reviewBlamedParts();
    void reviewLimits();
    void shareWork();
    void reviewQueues();
    void releaseJobs();
    void onJobDone(const Job *job);
    void onLimitsEnded(const std::vector<kernel::UpstreamId> &processes);
    void endCrashingRequests();
    std::vector<std::shared_ptr<Job>> copyJobs() const;
    void probeUnreachable();
    void probe(const kernel::UpstreamId &id, const kernel::Endpoint &endpoint);
    void onProbeFinished(const kernel::UpstreamId &id,
                         const kernel::Completion<kernel::Done> &outcome);
    void onProbeFailed(const kernel::UpstreamId &id, kernel::ResultCode code);
    void probeDataCentreIfSeveralUnreachable(const kernel::DataCentreId &dataCentre);
    void logListedChanges(const std::vector<ListedChange> &changes) const;
    void recordProcessStart(const Upstream &upstream);
    void pruneRecords();

    ForwardingState m_state;
    Connector m_connect;
    std::map<kernel::UpstreamId, std::unique_ptr<http::Exchange>> m_probes;
    // Recently unreachable upstreams of each data centre.
    std::map<kernel::DataCentreId, UnreachableUpstreams> m_unreachableByDataCentre;
    RolloutWriter m_writeRollout;
    CrashSharer m_shareCrashes;
    LimitReportPublisher m_publishLimitReport;
    LimitReportRemover m_removeLimitReport;
    kernel::Instant m_limitsAppliedAt{};
    WorkReportSharer m_shareWork;
    WorkReport m_sharedWork;
    kernel::Instant m_workSharedAt{};
    kernel::Instant m_capacitiesUpdatedAt{};
    kernel::Timer m_releaseTimer;
    std::function<void(const Configuration &)> m_onConfiguration;
    std::unordered_map<const Job *, std::shared_ptr<Job>> m_jobs;
    std::map<kernel::ServiceName, kernel::Instant> m_rolloutWriteDueAt;
    kernel::Timer m_tick;
};

} // namespace acaciasail::forwarding
