#include "modelrunner.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace acaciasail::standins {

namespace {

using Json = nlohmann::json;

// Events that are written together when a runner needs no time for a token.
constexpr int batchTokens = 256;
// Above it a stream waits for its reader.
constexpr std::size_t maxQueuedBytes = 256U << 10U;
// A prompt whose prefix is cached takes this part of the time to its first token.
constexpr double cachedFactor = 0.3;

std::string jsonText(const std::string &text)
{
    return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

http::Headers streamHeaders(const RunRecord &run)
{
    return { { "content-type", "text/event-stream" },
             { "x-request-id", run.request },
             { "x-attempt-id", run.attempt } };
}

} // namespace

ModelRunner::ModelRunner(RunnerContext &context, const ModelRunnerSettings &settings)
    : m_context(&context)
    , m_settings(settings)
    , m_listener(*context.loop, settings.listen,
                 [this](const http::ServerRequest &request, const ResponderPtr &responder) {
                     handle(request, responder);
                 })
    , m_random(kernel::hash64(settings.id, context.settings->seed))
    , m_versions(settings.versions.begin(), settings.versions.end())
{}

void ModelRunner::crash(kernel::Duration downTime)
{
    std::vector<ResponderPtr> unanswered;
    for (const auto &[attempt, run] : m_runs) {
        run->record->outcome = "crashed";
        unanswered.push_back(run->responder);
    }
    m_runs.clear();
    m_queue.clear();
    m_running = 0;
    m_cache.clear();
    m_listener.crash(downTime, std::move(unanswered));
}

void ModelRunner::handle(const http::ServerRequest &request, const ResponderPtr &responder)
{
    constexpr std::string_view cancelPath = "/v1/requests/";
    if (request.path == "/v1/chat/completions") {
        complete(request, responder);
    } else if (request.method == "DELETE" && request.path.starts_with(cancelPath)) {
        cancel(request.path.substr(cancelPath.size()));
        sendJson(responder, 200, "{}");
    } else if (request.path == "/v1/load") {
        sendLoad(responder);
    } else if (request.path == "/v1/cache-events") {
        sendCacheEvents(request, responder);
    } else if (request.path == "/v1/state") {
        sendState(responder);
    } else if (request.path == "/v1/orders") {
        order(request, responder);
    } else {
        sendError(responder, 404, "not_found");
    }
}

void ModelRunner::complete(const http::ServerRequest &request, const ResponderPtr &responder)
{
    CompletionRequest completion = parseCompletion(request.body);
    if (!completion.valid) {
        sendError(responder, 400, "invalid_request");
        return;
    }
    const RunPtr run = makeRun(request, std::move(completion), responder);
    if (!m_versions.contains(run->request.version)) {
        refuse(run, 404, "model_not_found");
        return;
    }
    if (m_running >= m_settings.slots && static_cast<int>(m_queue.size()) >= m_settings.queue) {
        refuse(run, 503, "overloaded");
        return;
    }
    const std::string attempt = run->record->attempt;
    m_runs[attempt] = run;
    responder->whenClosed([this, attempt] { cancel(attempt); });
    m_queue.emplace(run->request.priority, run);
    startNext();
}

ModelRunner::RunPtr ModelRunner::makeRun(const http::ServerRequest &request,
                                         CompletionRequest completion,
                                         const ResponderPtr &responder)
{
    auto run = std::make_shared<Run>();
    run->mark = answerMark(completion.text);
    run->total = m_settings.answerTokens;
    if (completion.maxTokens > 0)
        run->total = std::min(run->total, completion.maxTokens);
    run->next = std::min(completion.resumeTokens, run->total);
    run->responder = responder;
    run->headers = request.headers;
    run->record = std::make_shared<RunRecord>();
    RunRecord &record = *run->record;
    record.request = headerOf(request, "x-request-id");
    record.attempt = headerOf(request, "x-attempt-id");
    if (record.attempt.empty())
        record.attempt = "attempt-" + std::to_string(m_context->record->runs.size());
    record.upstream = m_settings.id;
    record.version = completion.version;
    record.priority = completion.priority;
    record.firstToken = run->next;
    record.promptTokens = promptTokens(completion.text);
    run->eventHead = "data: {\"request\":" + jsonText(record.request)
                     + ",\"attempt\":" + jsonText(record.attempt) + ",\"token_index\":";
    run->request = std::move(completion);
    m_context->record->runs.push_back(run->record);
    return run;
}

void ModelRunner::refuse(const RunPtr &run, int status, const std::string &code)
{
    run->record->outcome = "refused";
    sendError(run->responder, status, code);
}

void ModelRunner::startNext()
{
    while (m_running < m_settings.slots && !m_queue.empty()) {
        const RunPtr run = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        ++m_running;
        run->started = true;
        start(run);
    }
}

void ModelRunner::start(const RunPtr &run)
{
    if (run->request.text.find(m_context->settings->poison) != std::string::npos) {
        crash(m_context->settings->crashTime);
        return;
    }
    const double errorRate
        = std::max(m_faults.errorRate, m_context->versions[run->request.version].errorRate);
    if (kernel::uniform01(m_random) < errorRate) {
        sendError(run->responder, 500, "internal");
        finish(run, "failed");
        return;
    }
    if (m_faults.cuts > 0) {
        --m_faults.cuts;
        run->cutAt = m_faults.cutAfterTokens;
    }
    const bool cached = touchCache(run->request.prefix);
    kernel::Duration delay = scaled(m_settings.firstTokenTime, *run);
    if (cached)
        delay = kernel::fromSeconds(kernel::toSeconds(delay) * cachedFactor);
    if (!run->request.stream) {
        delay += scaled(m_settings.tokenTime, *run) * (run->total - run->next);
        startOrLater(run, delay, &ModelRunner::answerWhole);
        return;
    }
    startOrLater(run, delay, &ModelRunner::emitFirst);
}

void ModelRunner::startOrLater(const RunPtr &run, kernel::Duration delay, Step step)
{
    if (delay.count() == 0)
        (this->*step)(run);
    else
        later(run, delay, step);
}

void ModelRunner::emitFirst(const RunPtr &run)
{
    run->responder->start(200, streamHeaders(*run->record));
    emit(run);
}

// Writes the tokens that are due, and goes on when the next one is.
void ModelRunner::emit(const RunPtr &run)
{
    const kernel::Duration tokenTime = scaled(m_settings.tokenTime, *run);
    int count = std::min(tokenTime.count() == 0 ? batchTokens : 1, run->total - run->next);
    const bool cut = run->cutAt >= 0 && run->next + count >= run->cutAt;
    if (cut)
        count = std::max(0, run->cutAt - run->next);
    emitBatch(*run, count);
    if (run->responder->closed())
        return;
    if (cut) {
        const ResponderPtr responder = run->responder;
        finish(run, "cut");
        responder->abort();
        return;
    }
    if (run->next >= run->total) {
        emitEnd(*run);
        const ResponderPtr responder = run->responder;
        finish(run, "finished");
        responder->finish();
        return;
    }
    if (run->responder->queuedBytes() > maxQueuedBytes) {
        run->responder->whenDrained(
            [this, weak = std::weak_ptr<Run>(run)] { stepIfAlive(weak, &ModelRunner::emit); });
    } else {
        later(run, tokenTime, &ModelRunner::emit);
    }
}

// The run owns its timer, so the timer must not own the run.
void ModelRunner::later(const RunPtr &run, kernel::Duration delay, Step step)
{
    const std::weak_ptr<Run> weak = run;
    run->timer = kernel::Timer(m_context->loop->scheduler(), delay,
                               [this, weak, step] { stepIfAlive(weak, step); });
}

void ModelRunner::stepIfAlive(const std::weak_ptr<Run> &weak, Step step)
{
    const RunPtr run = weak.lock();
    if (run && m_runs.contains(run->record->attempt))
        (this->*step)(run);
}

void ModelRunner::emitBatch(Run &run, int count)
{
    std::string events;
    events.reserve(static_cast<std::size_t>(count) * (run.eventHead.size() + 80));
    for (int i = 0; i < count; ++i, ++run.next) {
        events += run.eventHead;
        events += std::to_string(run.next);
        events += R"(,"choices":[{"index":0,"delta":{"content":")";
        events += answerToken(run.mark, run.next);
        events += "\"}}]}\n\n";
    }
    run.record->tokensSent += count;
    if (!events.empty())
        run.responder->write(events);
}

void ModelRunner::emitEnd(Run &run)
{
    run.responder->write(run.eventHead + std::to_string(run.total)
                         + R"(,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],)"
                         + R"("usage":{"prompt_tokens":)" + std::to_string(run.record->promptTokens)
                         + R"(,"completion_tokens":)" + std::to_string(run.total)
                         + "}}\n\ndata: [DONE]\n\n");
}

void ModelRunner::answerWhole(const RunPtr &run)
{
    RunRecord &record = *run->record;
    std::string text;
    for (; run->next < run->total; ++run->next, ++record.tokensSent)
        text += answerToken(run->mark, run->next);
    http::Headers headers = streamHeaders(record);
    headers.front().value = "application/json";
    run->responder->send(200, headers,
                         "{\"request\":" + jsonText(record.request)
                             + ",\"attempt\":" + jsonText(record.attempt)
                             + R"(,"choices":[{"index":0,"message":{"role":"assistant","content":")"
                             + text + R"("},"finish_reason":"stop"}],"usage":{"prompt_tokens":)"
                             + std::to_string(record.promptTokens) + R"(,"completion_tokens":)"
                             + std::to_string(run->total) + "}}");
    finish(run, "finished");
}

void ModelRunner::finish(const RunPtr &run, const std::string &outcome)
{
    RunRecord &record = *run->record;
    if (m_runs.erase(record.attempt) == 0)
        return;
    record.outcome = outcome;
    if (run->started)
        --m_running;
    if (outcome == "finished" && m_context->onFinished)
        m_context->onFinished(record, run->headers);
    // On the next turn, so that a queue of failing requests doesn't nest.
    if (!m_queue.empty())
        m_context->loop->scheduler().startTimer({}, [this] { startNext(); });
}

void ModelRunner::cancel(const std::string &attempt)
{
    const auto found = m_runs.find(attempt);
    if (found == m_runs.end())
        return;
    const RunPtr run = found->second;
    std::erase_if(m_queue, [&](const auto &entry) { return entry.second == run; });
    finish(run, "cancelled");
    run->timer.cancel();
}

kernel::Duration ModelRunner::scaled(kernel::Duration time, const Run &run) const
{
    const auto version = m_context->versions.find(run.request.version);
    const double factor
        = version != m_context->versions.end() ? version->second.latencyFactor : 1.0;
    return kernel::fromSeconds(kernel::toSeconds(time) * factor * m_faults.slowFactor);
}

} // namespace acaciasail::standins
