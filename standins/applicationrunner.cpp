#include "applicationrunner.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace acaciasail::standins {

namespace {

constexpr std::string_view servicesPath = "/services/";

} // namespace

ApplicationRunner::ApplicationRunner(http::EventLoop &loop, const StandinSettings &settings,
                                     Record &record, const ApplicationRunnerSettings &own)
    : m_scheduler(&loop.scheduler())
    , m_settings(&settings)
    , m_record(&record)
    , m_own(own)
    , m_listener(loop, own.listen,
                 [this](const http::ServerRequest &request, const ResponderPtr &responder) {
                     handle(request, responder);
                 })
{}

void ApplicationRunner::handle(const http::ServerRequest &request, const ResponderPtr &responder)
{
    const std::string rest = request.path.starts_with(servicesPath)
                                 ? request.path.substr(servicesPath.size())
                                 : std::string();
    const std::string service = rest.substr(0, rest.find('/'));
    if (std::ranges::find(m_own.services, service) == m_own.services.end()) {
        sendError(responder, 404, "service_not_found");
        return;
    }
    const auto record = std::make_shared<RunRecord>();
    RunRecord &run = *record;
    run.request = headerOf(request, "x-request-id");
    run.attempt = headerOf(request, "x-attempt-id");
    run.idempotencyKey = headerOf(request, "idempotency-key");
    run.upstream = m_own.id;
    run.version = service;
    m_record->runs.push_back(record);
    if (request.body.find(m_settings->poison) != std::string::npos) {
        run.outcome = "crashed";
        m_listener.crash(m_settings->crashTime, { responder });
        return;
    }
    const kernel::Duration delay = m_own.delay + m_faults.delay;
    if (delay.count() == 0) {
        answer(run, request.path, responder);
        return;
    }
    m_scheduler->startTimer(delay, [this, record, path = request.path, responder] {
        answer(*record, path, responder);
    });
}

void ApplicationRunner::answer(RunRecord &run, const std::string &path,
                               const ResponderPtr &responder)
{
    run.outcome = "finished";
    if (m_faults.loseReplies > 0) {
        --m_faults.loseReplies;
        loseReply(responder);
        return;
    }
    if (m_faults.errors > 0) {
        --m_faults.errors;
        run.outcome = "failed";
        sendError(responder, 500, "internal");
        return;
    }
    const nlohmann::json body = { { "service", run.version },
                                  { "path", path },
                                  { "request", run.request },
                                  { "idempotency_key", run.idempotencyKey } };
    responder->send(
        200,
        { jsonHeaders.front(), { "x-request-id", run.request }, { "x-attempt-id", run.attempt } },
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace acaciasail::standins
