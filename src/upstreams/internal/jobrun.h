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

/// State and services that a dispatcher shares with its job runs.
struct RunContext
{
    const kernel::Scheduler *scheduler = nullptr;
    HttpSender send;
    DispatcherOptions options;
    DispatcherHooks hooks;
    RetryBudget budget;
    poison::PoisonEvidenceSet poison;
    InFlightTable inFlight;
    kernel::Random random;
    /// Probes an upstream and reports whether it crashed, which means that it accepts no
    /// connections any more.
    std::function<void(const Target &, std::function<void(bool crashed)>)> probe;
    /// Keeps an exchange until its response has ended, so that its connection can be reused.
    std::function<void(const std::string &attemptId, std::unique_ptr<http::Exchange>)>
        drainResponse;
    std::function<void(const std::string &attemptId)> endDraining;
    /// Destroys an exchange on the next turn of the event loop, outside its own handlers.
    std::function<void(std::unique_ptr<http::Exchange>)> destroyLater;
};

/// State of the attempt in flight.
struct AttemptState
{
    std::string id;
    Target target;
    kernel::Instant startedAt;
    /// The request was running at an upstream when that upstream crashed.
    bool suspect = false;
    bool sent = false;
    std::optional<http::ClientHead> head;
    std::optional<kernel::Instant> firstTokenAt;
    SseParser sse;
    std::string body;
    /// Set to the reason when the response violates the protocol.
    const char *protocolViolation = nullptr;
    /// Whether the request ran, set when the attempt has failed.
    kernel::RunState runState = kernel::RunState::Unknown;
};

/// Runs one job over all its attempts.
class JobRun : public std::enable_shared_from_this<JobRun>
{
public:
    JobRun(RunContext &context, JobSpec spec, JobHandlers handlers);

    void start();
    /// Ends the attempt in flight without calling any handler.
    void cancel();

private:
    void startAttempt();
    AttemptContext attemptContext() const;
    void send(const Target &target);
    http::ClientHandlers exchangeHandlers();
    http::ClientRequest clientRequest(const Target &target, std::string body) const;

    void handleHead(const http::ClientHead &head);
    void handleBody(std::string_view piece);
    void handleStreamPiece(std::string_view piece);
    void handleEvent(std::string_view data);
    void handleEnd(const kernel::Completion<kernel::Done> &end);
    void handleCompleteResponse();
    void handleErrorResponse();
    void endAsRefused(const std::string &message);
    void recordFirstToken();

    kernel::RunState attemptRunState() const;
    void attemptFailed(kernel::ResultCode code, kernel::RunState state, std::string message);
    void recordUpstreamCrash();
    void decideFollowUp(kernel::ResultCode code, bool crashed);
    void applyDecision(const RetryDecision &decision);
    void succeed();
    void refuse(const kernel::Error &error);
    void endLater();
    void end();
    void endAttempt(kernel::ResultCode code, bool crashed);
    void handleDeadline();
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
    /// The next attempt must run at an upstream that has no other attempt of this router in flight.
    bool m_isolateNextAttempt = false;
    /// Part of the response has gone to the caller, and no other attempt can continue it.
    bool m_responseStarted = false;
    bool m_ended = false;
};

} // namespace acaciasail::upstreams
