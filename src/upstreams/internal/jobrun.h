#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "upstreams/internal/dispatcher.h"
#include "upstreams/internal/inflight.h"
#include "upstreams/internal/sseparser.h"
#include "upstreams/internal/streamassembler.h"

namespace acaciasail::upstreams {

/// What a job's run uses of its dispatcher.
struct RunContext
{
    const kernel::Scheduler *scheduler = nullptr;
    HttpSender send;
    DispatcherOptions options;
    DispatcherHooks hooks;
    RetryBudget budget;
    poison::PoisonBook poison;
    InFlightTable inFlight;
    kernel::Random random;
    /// Finds out whether an upstream crashed: it takes no connection any more.
    std::function<void(const Target &, std::function<void(bool crashed)>)> probe;
    /// Keeps an exchange until its answer's end, so that the connection is used again.
    std::function<void(const std::string &attemptId, std::unique_ptr<http::Exchange>)> linger;
    std::function<void(const std::string &attemptId)> endLinger;
    /// Destroys an exchange on the next turn, outside of its own handlers.
    std::function<void(std::unique_ptr<http::Exchange>)> destroyLater;
};

/// State of the attempt in progress.
struct AttemptState
{
    std::string id;
    Target target;
    kernel::Instant startedAt;
    /// The request was running at an upstream when it crashed.
    bool suspect = false;
    bool sent = false;
    std::optional<http::ClientHead> head;
    std::optional<kernel::Instant> firstTokenAt;
    SseParser sse;
    std::string body;
    /// Set when the answer breaks the protocol.
    const char *violation = nullptr;
    /// What is known of the run once it failed.
    kernel::RunState failedState = kernel::RunState::Unknown;
};

/// The state of one job over its attempts.
class JobRun : public std::enable_shared_from_this<JobRun>
{
public:
    JobRun(RunContext &context, JobSpec spec, JobHandlers handlers);

    void start();
    /// Ends the attempt in progress without a word to the handlers.
    void cancel();

private:
    void startAttempt();
    AttemptContext attemptContext() const;
    void send(const Target &target);
    http::ClientHandlers exchangeHandlers();
    http::ClientRequest clientRequest(const Target &target, std::string body) const;

    void takeHead(const http::ClientHead &head);
    void takeBody(std::string_view piece);
    void takeStreamPiece(std::string_view piece);
    void takeEvent(std::string_view data);
    void takeEnd(const kernel::Completion<kernel::Done> &end);
    void takeWholeAnswer();
    void takeErrorAnswer();
    void refusedByEngine(const std::string &message);
    void noteFirstToken();

    kernel::RunState attemptRunState() const;
    void attemptFailed(kernel::ResultCode code, kernel::RunState state, std::string message);
    void noteCrashedUpstream();
    void decideFollowUp(kernel::ResultCode code, bool crashed);
    void follow(const RetryDecision &decision);
    void succeed();
    void refuse(const kernel::Error &error);
    void endLater();
    void end();
    void endAttempt(kernel::ResultCode code, bool crashed);
    void deadlinePassed();
    bool streamed() const { return m_spec.kind == JobKind::Completion && m_spec.stream; }

    RunContext &m_context;
    JobSpec m_spec;
    JobHandlers m_handlers;
    StreamAssembler m_assembler;
    JobResult m_result;
    std::vector<kernel::UpstreamId> m_failedUpstreams;
    std::optional<AttemptState> m_attempt;
    std::unique_ptr<http::Exchange> m_exchange;
    kernel::Timer m_deadlineTimer;
    kernel::Timer m_endTimer;
    /// The next attempt may share its upstream with nothing else of this daemon.
    bool m_alone = false;
    /// Some of the answer went to the caller, and no attempt can go on with it.
    bool m_answerBegun = false;
    bool m_ended = false;
};

} // namespace acaciasail::upstreams
