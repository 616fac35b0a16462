#include "upstreams/internal/adaptors.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace acaciasail::upstreams {

namespace {

using Json = nlohmann::json;
using kernel::Completion;
using kernel::ResultCode;

constexpr int statusOk = 200;
constexpr int statusConflict = 409;
constexpr kernel::Duration connectTimeout = std::chrono::milliseconds(500);
constexpr kernel::Duration responseTimeout = std::chrono::seconds(2);

http::ClientRequest makeRequest(const kernel::Endpoint &engine, std::string path)
{
    http::ClientRequest request;
    request.endpoint = engine;
    request.path = std::move(path);
    request.connectTimeout = connectTimeout;
    request.idleTimeout = responseTimeout;
    return request;
}

/// Parses a response's JSON with a reader function, which throws Json::exception when a field is
/// missing or has the wrong type.
template<class T, class Reader>
Completion<T> readResponse(const Completion<http::ClientResponse> &response, const Reader &reader)
{
    if (!response.ok())
        return response.error();
    const int status = response.value().head.status;
    if (status == statusConflict)
        return kernel::Error{ ResultCode::FencingRefused,
                              "the engine has seen a higher fencing number" };
    if (status != statusOk) {
        return kernel::Error{ ResultCode::UpstreamProtocol,
                              "the engine responded with status " + std::to_string(status) };
    }
    try {
        return reader(Json::parse(response.value().body));
    } catch (const Json::exception &error) {
        return kernel::Error{ ResultCode::UpstreamProtocol, error.what() };
    }
}

template<class T, class Reader>
void queryEngine(const HttpFetcher &fetch, const http::ClientRequest &request, Reader reader,
                 kernel::Callback<T> callback)
{
    fetch(request, [reader = std::move(reader), callback = std::move(callback)](
                       const Completion<http::ClientResponse> &response) {
        callback(readResponse<T>(response, reader));
    });
}

std::vector<kernel::VersionId> readVersions(const Json &list)
{
    std::vector<kernel::VersionId> versions;
    for (const Json &version : list)
        versions.emplace_back(version.get<std::string>());
    return versions;
}

std::vector<CacheEvent> readCacheEvents(const Json &list)
{
    std::vector<CacheEvent> events;
    for (const Json &json : list) {
        CacheEvent event;
        event.sequence = json.at("sequence").get<std::int64_t>();
        event.prefix = json.at("prefix").get<std::string>();
        event.kind = json.at("kind") == "evicted" ? CacheEventKind::Evicted : CacheEventKind::Added;
        events.push_back(std::move(event));
    }
    return events;
}

const char *toText(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Load:
        return "load";
    case OrderKind::Unload:
        return "unload";
    case OrderKind::ChangeRole:
        break;
    }
    return "role";
}

} // namespace

void pollLoad(const HttpFetcher &fetch, const kernel::Endpoint &engine,
              kernel::Callback<EngineLoad> callback)
{
    const auto reader = [](const Json &json) -> Completion<EngineLoad> {
        EngineLoad load;
        load.running = json.at("running").get<int>();
        load.queued = json.at("queued").get<int>();
        load.slots = json.at("slots").get<int>();
        load.age = std::chrono::milliseconds(json.at("measured_ms_ago").get<std::int64_t>());
        return load;
    };
    queryEngine<EngineLoad>(fetch, makeRequest(engine, "/v1/load"), reader, std::move(callback));
}

void pollCacheEvents(const HttpFetcher &fetch, const kernel::Endpoint &engine,
                     std::int64_t afterSequence, kernel::Callback<std::vector<CacheEvent>> callback)
{
    const auto reader = [](const Json &json) -> Completion<std::vector<CacheEvent>> {
        return readCacheEvents(json);
    };
    queryEngine<std::vector<CacheEvent>>(
        fetch, makeRequest(engine, "/v1/cache-events?after=" + std::to_string(afterSequence)),
        reader, std::move(callback));
}

void pollState(const HttpFetcher &fetch, const kernel::Endpoint &engine,
               kernel::Callback<EngineState> callback)
{
    const auto reader = [](const Json &json) -> Completion<EngineState> {
        EngineState state;
        state.versions = readVersions(json.at("versions"));
        state.loading = readVersions(json.at("loading"));
        state.role = json.at("role").get<std::string>();
        state.fencing = kernel::Fencing(json.at("fencing").get<std::int64_t>());
        return state;
    };
    queryEngine<EngineState>(fetch, makeRequest(engine, "/v1/state"), reader, std::move(callback));
}

void sendOrder(const HttpFetcher &fetch, const kernel::Endpoint &engine, const EngineOrder &order,
               kernel::Callback<bool> callback)
{
    const Json body = { { "order", order.id },
                        { "kind", toText(order.kind) },
                        { "version", order.version.str() },
                        { "role", order.role },
                        { "holder", order.leaseHolder.str() },
                        { "fencing", order.fencing.count() } };
    http::ClientRequest request = makeRequest(engine, "/v1/orders");
    request.method = "POST";
    request.headers.push_back({ "content-type", "application/json" });
    request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    const auto reader
        = [](const Json &json) -> Completion<bool> { return json.at("applied").get<bool>(); };
    queryEngine<bool>(fetch, request, reader, std::move(callback));
}

} // namespace acaciasail::upstreams
