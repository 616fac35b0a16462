#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "forwarding/internal/answerreview.h"
#include "forwarding/internal/attemptstate.h"
#include "forwarding/internal/eventsplitter.h"
#include "forwarding/internal/requestplan.h"
#include "forwarding/internal/state.h"

namespace acaciasail::forwarding {

/// An attempt with less time than this is not worth its send.
constexpr kernel::Duration minAttemptTime = std::chrono::milliseconds(20);

/// One request from its arrival to its answer's end.
class Job : public std::enable_shared_from_this<Job>
{
public:
    /// `onDone` is called once, last.
    Job(ForwardingState &state, Request request, std::shared_ptr<http::Responder> responder,
        std::function<void(const Job *)> onDone);
    Job(const Job &) = delete;
    Job &operator=(const Job &) = delete;

    void start();

    /// The upstream can't be reached: a request that waits there in silence goes elsewhere, if it
    /// may.
    void onUnreachable(const kernel::UpstreamId &upstream);

    /// More is known of requests that crash upstreams: one of them that has no answer yet is ended.
    void onCrashEvidence();

private:
    // What was decided of the attempt in progress.
    struct Attempt
    {
        kernel::UpstreamId upstream;
        kernel::UpstreamId process;
        kernel::Endpoint endpoint;
        SoftwareVersion version;
        AnswerReview review;
        std::string model;
        double work = 1;
        kernel::Instant begun{};
        kernel::Instant lastActivity{};
        bool sent = false;
        bool ranBefore = false;
        // The request was at a crash before.
        bool suspect = false;
        std::optional<AnswerHead> head;
        std::string body;
        bool firstByteSeen = false;
    };

    // One engine that is asked for its load. Its registration may go meanwhile.
    struct LoadQuestion
    {
        Upstream upstream;
        ChoiceReason reason = ChoiceReason::None;
        std::optional<EngineLoad> load;
    };

    kernel::Instant now() const { return m_state.scheduler.now(); }
    kernel::Duration timeLeft() const;
    kernel::Duration silenceAllowed() const;

    VersionChoice versionForSession() const;
    void tryNext();
    std::vector<UpstreamChoice> chooseAmong(const std::vector<const Upstream *> &candidates,
                                            UpstreamQuery query);
    // How many of the engines that come into question are asked for their load; 1 for none.
    std::size_t enginesToAsk(std::size_t candidates) const;
    // Asks one engine after the other until one is roomy, then begins at the best of them.
    void askLoads(const std::vector<UpstreamChoice> &choices);
    void askNext();
    void onLoad(const kernel::Completion<EngineLoad> &outcome);
    void beginAtLeastLoaded();
    void begin(const UpstreamChoice &choice);
    void onSent();
    void onHead(const http::ClientHead &clientHead);
    void onBody(std::string_view piece);
    void onEvent(const StreamEvent &event);
    void noteEvent();
    void holdBack();
    void onExchangeEnd(const kernel::Completion<kernel::Done> &outcome);
    void onAnswerComplete();
    bool escalate();
    void deliverWhole();
    void startAnswer();
    void noteFirstByte();

    void failAttempt(AttemptFailure failure, std::string_view detail);
    void closeAttempt(RunOutcome outcome);
    // Takes in what the upstream of the attempt in progress says of itself.
    void noteNotices(const AnswerHead &head);
    // Takes an attempt that ended without an answer into the evidence on crashes.
    void noteCrashOf(RunOutcome outcome);
    // Takes the attempt in progress into the evidence of a roll-out, if there is one.
    void review(void (*step)(AnswerReview &, RolloutEvidence &, kernel::Instant));
    void armReview();
    void onSilence();
    void moveOn(std::string_view why);
    void armReachCheck(kernel::Duration delay);
    void onReachCheck();
    void noteSilence(kernel::Duration silent);
    void watchSilence();
    void armSilence(kernel::Duration delay);
    void onDeadline();
    void onCallerGone();

    void refuse(int status, std::string_view reason, kernel::Duration retryAfter);
    void endWithout(EndReason reason, std::string_view why);
    void finish(int status, std::string_view outcome);

    ForwardingState &m_state;
    Request m_request;
    std::shared_ptr<http::Responder> m_responder;
    std::function<void(const Job *)> m_onDone;
    RequestPlan m_plan;
    kernel::Instant m_end{};
    kernel::Timer m_deadline;
    kernel::Timer m_silence;
    kernel::Timer m_reachCheck;
    kernel::Timer m_review;
    AttemptState m_attempts;
    std::set<kernel::UpstreamId> m_tried;
    std::optional<Attempt> m_attempt;
    std::vector<LoadQuestion> m_questions;
    std::size_t m_asked = 0;
    std::unique_ptr<http::Exchange> m_question;
    std::unique_ptr<http::Exchange> m_exchange;
    EventSplitter m_splitter;
    std::optional<std::string> m_lastEventId;
    std::string m_model;
    std::string m_lastUpstream;
    kernel::Instant m_firstByteAt{};
    // Attempts that reached nobody.
    int m_unreached = 0;
    // The budget gave a repeat that was not sent yet.
    bool m_repeatTaken = false;
    bool m_escalated = false;
    bool m_done = false;
};

} // namespace acaciasail::forwarding
