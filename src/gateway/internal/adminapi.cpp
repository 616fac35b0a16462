#include "gateway/internal/adminapi.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "gateway/internal/apierror.h"
#include "gateway/internal/gatewaycontext.h"

namespace acaciasail::gateway {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::size_t maxLoggedEvents = 200;

void sendJson(http::Responder &responder, const Json &json)
{
    responder.send(200, { { "content-type", "application/json" } },
                   json.dump(-1, ' ', false, Json::error_handler_t::replace));
}

void sendText(http::Responder &responder, int status, const std::string &text)
{
    responder.send(status, { { "content-type", "text/plain; version=0.0.4" } }, text);
}

Json toJson(const DaemonStatus &status)
{
    return { { "vm", status.vm.str() },
             { "data_centre", status.dataCentre.str() },
             { "revision", status.revision.count() },
             { "rows", status.rows },
             { "rejected_rows", status.rejectedRows },
             { "peers", status.peers },
             { "in_progress", status.requestsInProgress },
             { "draining", status.draining },
             { "store", status.storeUp ? "up" : "down" },
             { "table_age_ms",
               status.tableAge.count() < 0 ? -1 : kernel::toMilliseconds(status.tableAge) },
             { "ready", status.ready } };
}

Json sessionsJson(const GatewayContext &context)
{
    Json versions = Json::object();
    const table::SnapshotPtr snapshot = context.ports.table();
    if (snapshot) {
        for (const auto &[id, row] : snapshot->versions)
            versions[id.str()] = row.state == table::VersionState::Active ? "active" : "withdrawn";
    }
    return { { "kept_in", "signed X-Session-Id of the caller" }, { "versions", versions } };
}

} // namespace

AdminApi::AdminApi(Gateway &gateway, AdminCallbacks ports)
    : m_gateway(gateway)
    , m_ports(std::move(ports))
{}

void AdminApi::handle(const http::ServerRequest &request, http::Responder &responder)
{
    if (request.path == "/healthz") {
        sendText(responder, 200, "ok\n");
    } else if (request.path == "/readyz") {
        const bool ready = m_ports.status().ready;
        sendText(responder, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    } else if (request.path == "/metrics") {
        sendText(responder, 200, m_gateway.context().metrics.text());
    } else if (request.path == "/admin/status") {
        sendJson(responder, toJson(m_ports.status()));
    } else if (request.path == "/admin/sessions") {
        sendJson(responder, sessionsJson(m_gateway.context()));
    } else if (request.path == "/admin/explain") {
        sendLoggedEvents(request, responder);
    } else if (request.path == "/admin/drain" && request.method == "POST") {
        m_ports.drain();
        sendJson(responder, { { "draining", true } });
    } else {
        sendError(responder,
                  makeApiError(kernel::ResultCode::RouteNotFound, "unknown path " + request.path),
                  {});
    }
}

void AdminApi::sendLoggedEvents(const http::ServerRequest &request, http::Responder &responder)
{
    const auto id = http::queryParameter(request.query, "request");
    if (!id || id->empty()) {
        sendError(responder,
                  makeApiError(kernel::ResultCode::InvalidField,
                               "query parameter \"request\" is missing"),
                  {});
        return;
    }
    Json events = Json::array();
    const std::string wanted = Json(*id).dump();
    for (const std::string &line : kernel::recentEvents(wanted, maxLoggedEvents)) {
        Json event = Json::parse(line, nullptr, false);
        if (event.is_object() && event.value("request", "") == *id)
            events.push_back(std::move(event));
    }
    sendJson(responder, { { "request", *id }, { "events", events } });
}

} // namespace acaciasail::gateway
