#include "world.h"

#include <utility>

namespace acaciasail::standins {

World::World(http::EventLoop &loop, StandinSettings settings)
    : m_loop(&loop)
    , m_settings(std::move(settings))
    , m_context{ &loop, &m_settings, &m_record, {}, {} }
    , m_objects(loop.scheduler(), m_record, m_settings.heartbeat)
    , m_services(loop.scheduler(), m_settings)
    , m_platform(loop, m_settings.platform,
                 [this](const auto &request, const auto &responder) {
                     handlePlatform(request, responder);
                 })
    , m_control(loop, m_settings.control, [this](const auto &request, const auto &responder) {
        handleControl(request, responder);
    })
{
    for (const VersionSettings &version : m_settings.versions)
        m_context.versions[version.id] = version;
    m_context.onFinished = [this](const RunRecord &run, const http::Headers &headers) {
        m_services.rate(run, headers, m_context.versions[run.version].quality);
    };
    for (const ModelRunnerSettings &runner : m_settings.models)
        m_models.push_back(std::make_unique<ModelRunner>(m_context, runner));
    for (const ApplicationRunnerSettings &runner : m_settings.applications) {
        m_applications.push_back(
            std::make_unique<ApplicationRunner>(loop, m_settings, m_record, runner));
    }
}

kernel::Completion<kernel::Done> World::open()
{
    auto opened = m_platform.open();
    if (opened.ok())
        opened = m_control.open();
    for (const auto &runner : m_models) {
        if (opened.ok())
            opened = runner->open();
    }
    for (const auto &runner : m_applications) {
        if (opened.ok())
            opened = runner->open();
    }
    return opened;
}

ModelRunner *World::findModelRunner(const std::string &id)
{
    for (const auto &runner : m_models) {
        if (runner->id() == id)
            return runner.get();
    }
    return nullptr;
}

ApplicationRunner *World::findApplicationRunner(const std::string &id)
{
    for (const auto &runner : m_applications) {
        if (runner->id() == id)
            return runner.get();
    }
    return nullptr;
}

void World::handlePlatform(const http::ServerRequest &request, const ResponderPtr &responder)
{
    if (ObjectApi::serves(request))
        m_objects.handle(request, responder);
    else
        m_services.handle(request, responder);
}

void World::handleControl(const http::ServerRequest &request, const ResponderPtr &responder)
{
    if (request.path == "/faults" && request.method == "POST") {
        const auto set = setFault(request.body);
        if (set.ok())
            sendJson(responder, 200, "{}");
        else
            sendError(responder, 400, set.error().message);
    } else if (request.path == "/record") {
        sendJson(responder, 200, formatRecord(m_record));
    } else if (request.path == "/reset" && request.method == "POST") {
        resetRecord();
        sendJson(responder, 200, "{}");
    } else {
        sendError(responder, 404, "not_found");
    }
}

void World::resetRecord()
{
    const std::int64_t openWatches = m_record.openWatches;
    m_record = {};
    m_record.openWatches = openWatches;
}

} // namespace acaciasail::standins
