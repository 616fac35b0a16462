#include "objectapi.h"

#include <cstdlib>

#include <nlohmann/json.hpp>

namespace acaciasail::standins {

namespace {

using Json = nlohmann::json;
using kernel::ResultCode;

constexpr std::string_view objectsPath = "/objects";
constexpr std::string_view objectPath = "/objects/";
constexpr std::size_t maxValueBytes = 1U << 20U;

std::int64_t toInteger(const std::string &text)
{
    return std::strtoll(text.c_str(), nullptr, 10);
}

Json toJson(const externals::StoredObject &object)
{
    Json json = { { "key", object.key }, { "revision", object.revision.count() } };
    if (object.deleted)
        json["deleted"] = true;
    else
        json["value"] = object.value;
    return json;
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

int statusOf(ResultCode code)
{
    return code == ResultCode::ObjectNotFound ? 404 : 409;
}

std::string keyOf(const http::ServerRequest &request)
{
    return request.path.substr(objectPath.size());
}

std::string kindOf(const http::ServerRequest &request)
{
    if (request.path == "/watch")
        return "watch";
    if (request.method != "GET")
        return "write";
    return request.path == objectsPath ? "list" : "read";
}

} // namespace

ObjectApi::ObjectApi(const kernel::Scheduler &scheduler, Record &record, kernel::Duration heartbeat)
    : m_scheduler(&scheduler)
    , m_record(&record)
    , m_heartbeat(heartbeat)
    , m_heartbeatTimer(scheduler, heartbeat, [this] { sendHeartbeats(); })
{}

bool ObjectApi::serves(const http::ServerRequest &request)
{
    return request.path == objectsPath || request.path.starts_with(objectPath)
           || request.path == "/watch";
}

void ObjectApi::handle(const http::ServerRequest &request, const ResponderPtr &responder)
{
    ++m_record->objectCalls[kindOf(request)];
    if (m_faults.delay.count() == 0) {
        answer(request, responder);
        return;
    }
    m_scheduler->startTimer(m_faults.delay,
                            [this, request, responder] { answer(request, responder); });
}

void ObjectApi::answer(const http::ServerRequest &request, const ResponderPtr &responder)
{
    if (m_faults.silent) {
        m_unanswered.push_back(responder);
        return;
    }
    m_unanswered.clear();
    if (m_faults.down) {
        sendError(responder, 503, "down");
    } else if (m_faults.throttle > 0) {
        --m_faults.throttle;
        sendError(responder, 429, "too_many_calls");
    } else if (request.path == "/watch") {
        watch(request, responder);
    } else if (request.method != "GET") {
        write(request, responder);
    } else if (request.path == objectsPath) {
        list(request, responder);
    } else {
        read(keyOf(request), responder);
    }
}

void ObjectApi::read(const std::string &key, const ResponderPtr &responder) const
{
    const auto object = m_objects.read(key);
    if (object.ok())
        sendJson(responder, 200, dump(toJson(object.value())));
    else
        sendError(responder, 404, "not_found");
}

void ObjectApi::list(const http::ServerRequest &request, const ResponderPtr &responder)
{
    const std::string prefix = http::queryParameter(request.query, "prefix").value_or("");
    const bool stale = m_faults.staleLists > 0;
    m_faults.staleLists -= stale ? 1 : 0;
    const externals::ObjectList list
        = stale ? m_objects.listAt(prefix, m_faults.staleRevision) : m_objects.list(prefix);
    Json json = { { "objects", Json::array() }, { "revision", list.revision.count() } };
    for (const externals::StoredObject &object : list.objects)
        json["objects"].push_back(toJson(object));
    sendJson(responder, 200, dump(json));
}

void ObjectApi::write(const http::ServerRequest &request, const ResponderPtr &responder)
{
    if (request.body.size() > maxValueBytes) {
        sendError(responder, 413, "value_too_large");
        return;
    }
    const auto written = runWrite(request);
    deliver();
    if (written.ok() && m_faults.loseReplies > 0) {
        --m_faults.loseReplies;
        loseReply(responder);
    } else if (written.ok()) {
        sendJson(responder, 200, dump({ { "revision", written.value().count() } }));
    } else {
        const auto object = m_objects.read(keyOf(request));
        const std::int64_t revision = object.ok() ? object.value().revision.count() : 0;
        sendJson(responder, statusOf(written.error().code), dump({ { "revision", revision } }));
    }
}

kernel::Completion<kernel::Revision> ObjectApi::runWrite(const http::ServerRequest &request)
{
    const std::string key = keyOf(request);
    if (headerOf(request, "if-none-match") == "*")
        return m_objects.create(key, request.body);
    const kernel::Revision expected(toInteger(headerOf(request, "if-match")));
    if (request.method == "DELETE")
        return m_objects.remove(key, expected);
    return m_objects.update(key, request.body, expected);
}

void ObjectApi::watch(const http::ServerRequest &request, const ResponderPtr &responder)
{
    const std::string prefix = http::queryParameter(request.query, "prefix").value_or("");
    const kernel::Revision after(
        toInteger(http::queryParameter(request.query, "after").value_or("0")));
    if (!m_objects.changes(prefix, after).ok()) {
        sendError(responder, 410, "compacted");
        return;
    }
    const auto entry = m_watches.insert(m_watches.end(), { responder, prefix, after });
    ++m_record->openWatches;
    responder->start(200, jsonHeaders);
    responder->write("\n");
    deliverTo(*entry);
}

void ObjectApi::deliver()
{
    if (m_faults.silent || m_faults.down)
        return;
    for (Watch &watch : m_watches)
        deliverTo(watch);
}

void ObjectApi::deliverTo(Watch &watch) const
{
    const auto changes = m_objects.changes(watch.prefix, watch.delivered);
    if (!changes.ok()) {
        watch.responder->finish();
        return;
    }
    for (const externals::StoredObject &change : changes.value()) {
        watch.delivered = change.revision;
        watch.responder->write(dump(toJson(change)) + "\n");
    }
}

void ObjectApi::sendHeartbeats()
{
    m_heartbeatTimer = kernel::Timer(*m_scheduler, m_heartbeat, [this] { sendHeartbeats(); });
    std::erase_if(m_watches, [](const Watch &watch) { return watch.responder->closed(); });
    m_record->openWatches = static_cast<std::int64_t>(m_watches.size());
    if (m_faults.silent)
        return;
    if (m_faults.down) {
        breakWatches();
        return;
    }
    for (Watch &watch : m_watches) {
        deliverTo(watch);
        watch.responder->write("\n");
    }
}

void ObjectApi::breakWatches()
{
    for (Watch &watch : m_watches)
        watch.responder->abort();
    m_watches.clear();
    m_record->openWatches = 0;
}

} // namespace acaciasail::standins
