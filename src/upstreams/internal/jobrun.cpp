#include "upstreams/internal/jobrun.h"

#include <utility>

#include "upstreams/internal/engineevent.h"

namespace acaciasail::upstreams {

using kernel::Completion;
using kernel::ResultCode;
using kernel::RunState;

JobRun::JobRun(RunContext &context, JobSpec spec, JobHandlers handlers)
    : m_context(context)
    , m_spec(std::move(spec))
    , m_handlers(std::move(handlers))
    , m_assembler(m_spec.request.str(), m_handlers.onText)
{}

void JobRun::start()
{
    depositRetry(m_context.budget);
    if (unclearedCrashes(m_context.poison, m_spec.fingerprint) >= poison::poisonCrashThreshold) {
        kernel::logEvent(kernel::EventId::PoisonRefused,
                         { { "request", m_spec.request }, { "fingerprint", m_spec.fingerprint } });
        refuse({ ResultCode::PoisonRefused, "the request crashed the upstreams that ran it" });
        return;
    }
    const kernel::Duration timeLeft = m_spec.deadline - m_context.scheduler->now();
    if (timeLeft <= kernel::Duration::zero()) {
        refuse({ ResultCode::DeadlinePassed, "the deadline has passed" });
        return;
    }
    m_deadlineTimer = kernel::Timer(*m_context.scheduler, timeLeft, [this] { handleDeadline(); });
    startAttempt();
}

void JobRun::cancel()
{
    if (m_ended)
        return;
    m_ended = true;
    m_deadlineTimer.cancel();
    m_endTimer.cancel();
    endAttempt(ResultCode::Cancelled, false);
    m_context.destroyLater(std::move(m_exchange));
}

AttemptContext JobRun::attemptContext() const
{
    AttemptContext context;
    context.attempt = m_result.attempts + 1;
    context.exclude = m_failedUpstreams;
    context.suspect
        = m_isolateNextAttempt || unclearedCrashes(m_context.poison, m_spec.fingerprint) > 0;
    const auto upstreamsOfSuspects = upstreamsWithSuspects(m_context.inFlight);
    if (!context.suspect) {
        context.avoid = upstreamsOfSuspects;
        return context;
    }
    const auto forbiddenUpstreams
        = m_isolateNextAttempt ? busyUpstreams(m_context.inFlight) : upstreamsOfSuspects;
    context.exclude.insert(context.exclude.end(), forbiddenUpstreams.begin(),
                           forbiddenUpstreams.end());
    return context;
}

void JobRun::startAttempt()
{
    const AttemptContext context = attemptContext();
    Completion<Target> target = m_spec.chooseTarget(context);
    if (!target.ok()) {
        if (m_result.attempts == 0)
            refuse(target.error());
        else
            endLater();
        return;
    }
    ++m_result.attempts;
    m_result.upstream = target.value().upstream;
    m_attempt.emplace();
    m_attempt->id = m_spec.request.str() + "." + std::to_string(m_result.attempts) + "."
                    + std::to_string(kernel::uniformBelow(m_context.random, 1U << 31U));
    m_attempt->target = target.value();
    m_attempt->startedAt = m_context.scheduler->now();
    m_attempt->suspect = context.suspect;
    addAttempt(m_context.inFlight, m_attempt->target.upstream, m_attempt->suspect);
    m_assembler.startAttempt(m_attempt->id);
    send(m_attempt->target);
}

void JobRun::send(const Target &target)
{
    std::optional<std::string> body = m_spec.body;
    if (streamed()) {
        const std::int64_t tokens = m_assembler.deliveredTokens();
        body = resumeBody(m_spec.body, tokens, m_assembler.deliveredText());
        if (tokens > 0) {
            kernel::logEvent(kernel::EventId::StreamResumed, { { "request", m_spec.request },
                                                               { "upstream", target.upstream },
                                                               { "tokens", tokens } });
        }
    }
    if (!body) {
        endAttempt(ResultCode::MalformedJson, false);
        refuse({ ResultCode::MalformedJson, "the request body is not a JSON object" });
        return;
    }
    m_exchange = m_context.send(clientRequest(target, std::move(*body)), exchangeHandlers());
}

http::ClientRequest JobRun::clientRequest(const Target &target, std::string body) const
{
    http::ClientRequest request;
    request.endpoint = target.endpoint;
    request.method = m_spec.method;
    request.path = m_spec.path;
    request.headers = m_spec.headers;
    request.headers.push_back({ "x-request-id", m_spec.request.str() });
    request.headers.push_back({ "x-attempt-id", m_attempt->id });
    if (m_spec.kind == JobKind::Completion)
        request.headers.push_back({ "content-type", "application/json" });
    request.body = std::move(body);
    request.connectTimeout = m_context.options.connectTimeout;
    request.idleTimeout = m_context.options.idleTimeout;
    return request;
}

http::ClientHandlers JobRun::exchangeHandlers()
{
    // A late response to an attempt that has ended is ignored: by then the run has been destroyed
    // or is at another attempt.
    const std::string id = m_attempt->id;
    const auto lockIfCurrent = [weak = weak_from_this(), id]() -> std::shared_ptr<JobRun> {
        auto run = weak.lock();
        if (!run || run->m_ended || !run->m_attempt || run->m_attempt->id != id)
            return nullptr;
        return run;
    };
    http::ClientHandlers handlers;
    handlers.onSent = [lockIfCurrent] {
        if (const auto run = lockIfCurrent())
            run->m_attempt->sent = true;
    };
    handlers.onHead = [lockIfCurrent](const http::ClientHead &head) {
        if (const auto run = lockIfCurrent())
            run->handleHead(head);
    };
    handlers.onBody = [lockIfCurrent](std::string_view piece) {
        if (const auto run = lockIfCurrent())
            run->handleBody(piece);
    };
    handlers.onEnd
        = [lockIfCurrent, id, context = &m_context](const Completion<kernel::Done> &end) {
              if (const auto run = lockIfCurrent())
                  run->handleEnd(end);
              else
                  context->endDraining(id);
          };
    return handlers;
}

RunState JobRun::attemptRunState() const
{
    if (!m_attempt || !m_attempt->sent)
        return RunState::NotRun;
    return m_attempt->head ? RunState::Ran : RunState::Unknown;
}

void JobRun::attemptFailed(ResultCode code, RunState state, std::string message)
{
    m_result.code = code;
    m_result.runState = combineRunStates(m_result.runState, state);
    m_result.message = std::move(message);
    m_attempt->runState = state;
    m_context.destroyLater(std::move(m_exchange));
    const bool connectionLost
        = code == ResultCode::UpstreamBroken || code == ResultCode::UpstreamTimeout;
    if (!m_attempt->sent || !connectionLost) {
        decideFollowUp(code, false);
        return;
    }
    const std::string id = m_attempt->id;
    m_context.probe(m_attempt->target, [weak = weak_from_this(), id, code](bool crashed) {
        const auto run = weak.lock();
        if (run && !run->m_ended && run->m_attempt && run->m_attempt->id == id)
            run->decideFollowUp(code, crashed);
    });
}

void JobRun::recordUpstreamCrash()
{
    const kernel::UpstreamId &upstream = m_attempt->target.upstream;
    recordCrash(m_context.poison, m_spec.fingerprint, upstream, m_context.scheduler->wallNow());
    kernel::logEvent(kernel::EventId::PoisonSuspected, { { "request", m_spec.request },
                                                         { "fingerprint", m_spec.fingerprint },
                                                         { "upstream", upstream } });
    if (m_context.hooks.onPoisonChanged)
        m_context.hooks.onPoisonChanged();
}

void JobRun::decideFollowUp(ResultCode code, bool crashed)
{
    if (crashed && !m_spec.fingerprint.empty())
        recordUpstreamCrash();
    FailedAttempt failed;
    failed.code = code;
    failed.runState = m_attempt->runState;
    failed.crashed = crashed;
    failed.responseStarted = m_responseStarted;
    failed.attempt = m_result.attempts;
    failed.maxAttempts = m_context.options.maxAttempts;
    failed.idempotent = m_spec.idempotent;
    failed.timeLeft = m_spec.deadline - m_context.scheduler->now();
    failed.unclearedCrashes = unclearedCrashes(m_context.poison, m_spec.fingerprint);
    const RetryDecision decision = decideRetry(failed, m_context.budget);
    kernel::logEvent(kernel::EventId::AttemptFailed,
                     { { "request", m_spec.request },
                       { "attempt", m_result.attempts },
                       { "upstream", m_attempt->target.upstream },
                       { "code", kernel::toNumber(code) },
                       { "run", kernel::toString(failed.runState) },
                       { "crashed", crashed },
                       { "retry", decision.followUp == FollowUp::Retry
                                      || decision.followUp == FollowUp::RetryIsolated },
                       { "reason", decision.reason },
                       { "detail", m_result.message } });
    m_failedUpstreams.push_back(m_attempt->target.upstream);
    endAttempt(code, crashed);
    applyDecision(decision);
}

void JobRun::applyDecision(const RetryDecision &decision)
{
    switch (decision.followUp) {
    case FollowUp::Retry:
    case FollowUp::RetryIsolated:
        m_isolateNextAttempt = m_isolateNextAttempt || decision.followUp == FollowUp::RetryIsolated;
        startAttempt();
        return;
    case FollowUp::RefuseAsPoison:
        m_result.code = ResultCode::PoisonRefused;
        m_result.message = "the request crashed the upstreams that ran it";
        break;
    case FollowUp::GiveUp:
        break;
    }
    end();
}

void JobRun::handleDeadline()
{
    const auto self = shared_from_this();
    const bool sent = m_attempt && m_attempt->sent;
    m_result.runState = combineRunStates(m_result.runState, attemptRunState());
    m_result.code = sent ? ResultCode::UpstreamTimeout : ResultCode::DeadlinePassed;
    m_result.message = "the deadline passed";
    endAttempt(m_result.code, false);
    end();
}

void JobRun::succeed()
{
    m_result.code = ResultCode::Ok;
    m_result.runState = RunState::Ran;
    m_result.message.clear();
    recordCompletion(m_context.poison, m_spec.fingerprint, m_context.scheduler->wallNow());
    const std::string id = m_attempt->id;
    endAttempt(ResultCode::Ok, false);
    if (m_exchange)
        m_context.drainResponse(id, std::move(m_exchange));
    end();
}

void JobRun::refuse(const kernel::Error &error)
{
    m_result.code = error.code;
    m_result.message = error.message;
    endLater();
}

void JobRun::endLater()
{
    m_endTimer = kernel::Timer(*m_context.scheduler, kernel::Duration::zero(),
                               [self = shared_from_this()] { self->end(); });
}

void JobRun::end()
{
    if (m_ended)
        return;
    m_ended = true;
    m_deadlineTimer.cancel();
    m_context.destroyLater(std::move(m_exchange));
    const bool responseTruncated = m_assembler.deliveredTokens() > 0 || m_responseStarted;
    if (m_result.code != ResultCode::Ok && m_result.code != ResultCode::PoisonRefused
        && responseTruncated)
        m_result.code = ResultCode::StreamCut;
    if (streamed()) {
        m_result.usage = m_assembler.usage();
        m_result.finishReason = m_assembler.finishReason();
    }
    const JobHandlers handlers = std::move(m_handlers);
    if (handlers.onEnd)
        handlers.onEnd(m_result);
}

void JobRun::endAttempt(ResultCode code, bool crashed)
{
    if (!m_attempt)
        return;
    removeAttempt(m_context.inFlight, m_attempt->target.upstream, m_attempt->suspect);
    AttemptReport report;
    report.upstream = m_attempt->target.upstream;
    report.code = code;
    report.crashed = crashed;
    report.total = m_context.scheduler->now() - m_attempt->startedAt;
    if (m_attempt->firstTokenAt)
        report.timeToFirstToken = *m_attempt->firstTokenAt - m_attempt->startedAt;
    m_attempt.reset();
    if (m_context.hooks.onAttemptEnd)
        m_context.hooks.onAttemptEnd(report);
}

} // namespace acaciasail::upstreams
