#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "forwarding/internal/request/attemptstate.h"
#include "forwarding/internal/request/eventsplitter.h"
#include "forwarding/internal/request/requestplan.h"
#include "forwarding/internal/rollouts/responsereview.h"
#include "forwarding/internal/state.h"

namespace acaciasail::forwarding {

/// Minimum time that must be left to start an attempt.
constexpr kernel::Duration minAttemptTime = std::chrono::milliseconds(20);

/// Handles one request from its arrival to the end of its response.
class Job : public std::enable_shared_from_this<Job>
{
public:
    /// Calls `onDone` once, as the last action.
    Job(ForwardingState &state, Request request, std::shared_ptr<http::Responder> responder,
        std::function<void(const Job *)> onDone);
    Job(const Job &) = delete;
    Job &operator=(const Job &) = delete;

    void start();

    /// Handles that the upstream is unreachable: if the request waits there without any activity
    /// and may be retried, it is retried elsewhere.
    void onUnreachable(const kernel::UpstreamId &upstream);

    /// Handles new evidence on poison requests: ends this request if the evidence shows that it
    /// crashes upstreams and no response has started yet.
    void onCrashEvidence();

    /// Handles that the process is about to exit: ends this request unless its response has
    /// started.
    void onExit();

private:
    // State of the attempt in progress.
    struct Attempt
    {
        // Number of the attempt within its request.
        int number = 0;
        kernel::UpstreamId upstream;
        kernel::UpstreamId process;
        kernel::Endpoint endpoint;
        SoftwareVersion version;
        ResponseReview review;
        std::string model;
        // Expected work in units of one prompt token; 1 without a model.
        double work = 1;
        // Number of the work in flight at the upstream; 0 without a model.
        std::uint64_t workNumber = 0;
        ExpectedFinish expected;
        bool firstEventRecorded = false;
        // Expected tokens in the engine's memory.
        std::int64_t tokens = 0;
        kernel::Instant startedAt{};
        kernel::Instant lastActivity{};
        bool sent = false;
        // Value of AttemptState::mayHaveRun before this attempt.
        bool mayHaveRunBefore = false;
        // An upstream crashed earlier while it ran this request.
        bool suspect = false;
        std::optional<ResponseHead> head;
        std::string body;
        // Only the end of the connection ends the response.
        bool endsWithConnection = false;
        bool firstByteSeen = false;
        kernel::Instant firstEventAt{};
        // The response went on long enough to show, with some or with full certainty, that no part
        // of the prompt crashes upstreams.
        bool likelySound = false;
        bool provenSound = false;
    };

    // Response of a small model that is set aside while a larger model is asked.
    struct KeptResponse
    {
        Attempt attempt;
        std::unique_ptr<http::Exchange> exchange;
        // What was received of the body.
        std::string bytes;
        bool isComplete = false;
    };

    // One load query. Holds a copy of the upstream, because its registration may disappear
    // meanwhile.
    struct LoadQuery
    {
        Upstream upstream;
        ChoiceReason reason = ChoiceReason::None;
        std::optional<EngineLoad> load;
    };

    kernel::Instant now() const { return m_state.scheduler.now(); }
    kernel::Duration timeLeft() const;
    kernel::Duration currentInactivityTimeout() const;

    std::optional<StreamEventId> lastReceivedEventId() const;
    VersionChoice versionForSession() const;
    bool isAnyUpstreamAvailable() const;
    // Starts the request, or lets it wait in the queue of its service.
    void startWhenAdmitted();
    void onReleased(const admission::ReleasedRequest &released);
    void refuseAdmission(const admission::AdmissionDecision &decision, kernel::Duration waited);
    void leaveServiceQueue();
    bool waitForFullUpstreams();
    std::optional<kernel::Duration> roomDelay() const;
    bool waitForRoom(std::string_view reason);
    std::vector<const Upstream *> allowedCandidates(VersionChoice version) const;
    // Expected tokens that the request will occupy in an engine's memory at its end.
    std::int64_t memoryNeed() const;
    std::set<kernel::UpstreamId>
    upstreamsWithoutRoom(const std::vector<const Upstream *> &candidates) const;
    void startNextAttempt();
    std::vector<UpstreamChoice> selectUpstreams(const std::vector<const Upstream *> &candidates,
                                                UpstreamQuery query);
    void removeLimitedFromLoadQueries(std::vector<UpstreamChoice> &choices) const;
    // Returns the number of candidate engines to query for their load; 1 if no engine is to be
    // queried.
    std::size_t enginesToQuery(std::size_t candidates) const;
    // Queries one engine after the other until one has spare capacity, then starts the attempt at
    // the best of them.
    void queryLoads(const std::vector<UpstreamChoice> &choices);
    void queryNextLoad();
    void onLoad(const kernel::Completion<EngineLoad> &outcome);
    void startAtLeastLoaded();
    std::size_t earliestFinish(const std::vector<LoadQuery> &queries) const;
    Attempt makeAttempt(const Upstream &upstream) const;
    AttemptContext makeAttemptContext(const Upstream &upstream) const;
    void logChoice(const UpstreamChoice &choice) const;
    CostKey costKey() const;
    // Computes the request's cost for the model in use.
    void estimateCost();
    ExpectedFinish expectedFinishAt(const Upstream &upstream) const;
    void startWorkAt(const Upstream &upstream);
    // Records the time to the first event of the attempt in progress, once.
    void recordFirstEventTime();
    void recordOutput();
    void finishWorkInFlight(const Attempt &attempt, UpstreamRecord &record, AttemptOutcome outcome);
    void startAttempt(const UpstreamChoice &choice);
    // Ends the request if its caller has closed the connection; returns whether it did.
    bool endIfCallerLeft();
    // Returns whether the process was held up between the start of the attempt and its connection.
    bool wasHeldUp() const;
    void restartAttempt();
    void onSent();
    void onHead(const http::ClientHead &clientHead);
    void onBody(std::string_view piece);
    EventUse onEvent(const StreamEvent &event);
    void recordEvent();
    void recordWriting();
    // Returns whether the response is a stream whose events are checked one by one.
    bool isCheckedStream() const;
    void passOnBuffer();
    void applyBackpressure();
    void onExchangeEnd(const kernel::Completion<kernel::Done> &outcome);
    void onResponseComplete();
    bool escalate();
    ExpectedFirstEvents expectedFirstEvents() const;
    void recordModelTime();
    void keepResponse(kernel::Instant latestStart);
    // Returns whether the response of the attempt with this number is kept.
    bool isKept(int attempt) const;
    void onKeptBody(std::string_view piece);
    void onKeptEnd(const kernel::Completion<kernel::Done> &outcome);
    void onKeptResponseDue();
    void passOnKeptResponse(std::string_view reason);
    void dropKeptResponse(AttemptOutcome outcome);
    void dropIncompleteKeptResponse();
    void deliverResponse();
    void startResponse();
    void recordFirstByte();

    void failAttempt(AttemptFailure failure, std::string_view detail);
    void finishAttempt(AttemptOutcome outcome);
    void stopAttemptTimers();
    void recordOutcome(const Attempt &attempt, AttemptOutcome outcome);
    // Records the notices that the upstream of the attempt in progress gave in its response.
    void recordNotices(const ResponseHead &head);
    void recordNamedLimit(const ResponseHead &head);
    void updateLimit(const Upstream &upstream, std::optional<double> perSecond,
                     kernel::Instant sentAt);
    bool isUpstreamLeaving(const kernel::UpstreamId &upstream) const;
    // Returns whether upstreams crash when they run the request.
    bool isPoison() const;
    // Returns whether the request must not be sent, or not once more.
    bool isRefused() const;
    // Makes the request a trial of a part of its prompt if one is due; returns whether it is one.
    bool startTrial();
    // Waits for the end of a trial of a part of its prompt; returns whether the request waits.
    bool waitForTrial();
    // Records an attempt that finished without a response as evidence on crashes.
    void recordPossibleCrash(const Attempt &attempt, AttemptOutcome outcome);
    void recordCompleteResponse();
    void recordLost(const Attempt &attempt, bool mayBeComplete);
    // Adds the attempt in progress to the evidence of a roll-out, if there is one.
    void review(void (*update)(ResponseReview &, RolloutEvidence &, kernel::Instant));
    void armReview();
    void onInactivityTimeout();
    void retryElsewhere(std::string_view detail);
    void armReachabilityCheck(kernel::Duration delay);
    void onReachabilityCheck();
    void recordInactivity(kernel::Duration inactiveTime);
    void armInactivityTimers();
    void armInactivityTimer(kernel::Duration delay);
    void onDeadline();
    void onCallerGone();

    void refuse(int status, std::string_view reason, kernel::Duration retryAfter);
    void finishWithoutResponse(EndReason reason, std::string_view outcome);
    void finish(int status, std::string_view outcome);

    ForwardingState &m_state;
    Request m_request;
    std::shared_ptr<http::Responder> m_responder;
    std::function<void(const Job *)> m_onDone;
    RequestPlan m_plan;
    kernel::Instant m_responseDeadline{};
    kernel::Timer m_deadlineTimer;
    kernel::Timer m_inactivityTimer;
    kernel::Timer m_reachabilityTimer;
    kernel::Timer m_reviewTimer;
    AttemptState m_attempts;
    std::set<kernel::UpstreamId> m_triedUpstreams;
    // Upstreams that the request was sent to.
    std::set<kernel::UpstreamId> m_sentUpstreams;
    // Id in the queue of the service; empty if the request is not in it.
    kernel::RequestId m_ticket;
    kernel::Timer m_roomTimer;
    // Number of times that the request waited for room at upstreams.
    int m_waitsForRoom = 0;
    std::optional<Attempt> m_attempt;
    std::vector<LoadQuery> m_loadQueries;
    std::size_t m_finishedLoadQueries = 0;
    kernel::Instant m_loadQueryStartedAt{};
    std::unique_ptr<http::Exchange> m_loadExchange;
    std::unique_ptr<http::Exchange> m_exchange;
    std::optional<KeptResponse> m_kept;
    kernel::Timer m_keptTimer;
    EventSplitter m_splitter;
    // Id of the last event that was sent to the caller.
    std::optional<StreamEventId> m_lastEventId;
    EventFault m_eventFault = EventFault::None;
    std::string m_model;
    FinishQuery m_finish;
    CostRates m_rates;
    // Expected and actual time from the start of the last attempt to the first event; -1 if there
    // is none.
    double m_expectedFirstMs = -1;
    double m_actualFirstMs = -1;
    std::string m_lastUpstream;
    kernel::Instant m_firstByteAt{};
    int m_lastAttemptNumber = 0;
    // Number of attempts whose connection failed.
    int m_failedConnects = 0;
    // A retry was taken from the budget and was not sent yet.
    bool m_retryReserved = false;
    // An attempt was started anew because the process was held up.
    bool m_restarted = false;
    bool m_escalated = false;
    // Set if the request is sent to try a blamed part of its prompt.
    std::optional<PartTrial> m_trial;
    bool m_done = false;
};

} // namespace acaciasail::forwarding
