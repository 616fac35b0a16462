// Cache, load and orders of a model runner.

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "modelrunner.h"

namespace acaciasail::standins {

namespace {

using Json = nlohmann::json;

constexpr std::size_t keptCacheEvents = 1024;

std::string textOf(const Json &json, const char *name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

// Puts a prefix first in the cache; tells whether it was there.
bool ModelRunner::touchCache(const std::string &prefix)
{
    const auto found = std::ranges::find(m_cache, prefix);
    const bool hit = found != m_cache.end();
    if (hit)
        m_cache.erase(found);
    else
        addCacheEvent(prefix, true);
    m_cache.push_front(prefix);
    if (static_cast<int>(m_cache.size()) > m_settings.cachePrefixes) {
        addCacheEvent(m_cache.back(), false);
        m_cache.pop_back();
    }
    return hit;
}

void ModelRunner::addCacheEvent(const std::string &prefix, bool added)
{
    ++m_cacheSequence;
    if (kernel::uniform01(m_random) < m_settings.cacheEventLoss)
        return;
    const kernel::Instant visibleAt = m_context->loop->scheduler().now() + m_settings.cacheEventLag;
    m_cacheEvents.push_back({ m_cacheSequence, prefix, added, visibleAt });
    if (m_cacheEvents.size() > keptCacheEvents)
        m_cacheEvents.pop_front();
}

void ModelRunner::sendCacheEvents(const http::ServerRequest &request,
                                  const ResponderPtr &responder) const
{
    const std::string text = http::queryParameter(request.query, "after").value_or("0");
    const std::int64_t after = std::strtoll(text.c_str(), nullptr, 10);
    const kernel::Instant now = m_context->loop->scheduler().now();
    Json events = Json::array();
    for (const CacheEvent &event : m_cacheEvents) {
        if (event.sequence > after && event.visibleAt <= now) {
            events.push_back({ { "sequence", event.sequence },
                               { "prefix", event.prefix },
                               { "kind", event.added ? "added" : "evicted" } });
        }
    }
    sendJson(responder, 200, events.dump());
}

void ModelRunner::sendLoad(const ResponderPtr &responder)
{
    const kernel::Instant now = m_context->loop->scheduler().now();
    if (now - m_loadMeasuredAt >= m_settings.loadLag) {
        m_loadMeasuredAt = now;
        m_reportedRunning = m_running;
        m_reportedQueued = static_cast<int>(m_queue.size());
    }
    const Json load = { { "running", m_reportedRunning },
                        { "queued", m_reportedQueued },
                        { "slots", m_settings.slots },
                        { "measured_ms_ago", kernel::toMilliseconds(now - m_loadMeasuredAt) } };
    sendJson(responder, 200, load.dump());
}

void ModelRunner::sendState(const ResponderPtr &responder) const
{
    Json loading = Json::array();
    for (const auto &[version, timer] : m_loading)
        loading.push_back(version);
    const Json state = { { "versions", m_versions },
                         { "loading", loading },
                         { "role", m_role },
                         { "fencing", m_fencing } };
    sendJson(responder, 200, state.dump());
}

void ModelRunner::order(const http::ServerRequest &request, const ResponderPtr &responder)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        sendError(responder, 400, "invalid_request");
        return;
    }
    OrderRecord order;
    order.order = textOf(body, "order");
    order.upstream = m_settings.id;
    order.kind = textOf(body, "kind");
    order.version = textOf(body, "version");
    order.role = textOf(body, "role");
    order.holder = textOf(body, "holder");
    order.fencing = body.value("fencing", std::int64_t{ 0 });
    const bool old = order.fencing < m_fencing;
    m_fencing = std::max(m_fencing, order.fencing);
    order.applied = !(old && m_settings.checksFencing);
    if (order.applied)
        apply(order);
    m_context->record->orders.push_back(order);
    if (!order.applied) {
        sendJson(responder, 409, Json{ { "fencing", m_fencing } }.dump());
    } else if (m_faults.loseOrderReplies > 0) {
        --m_faults.loseOrderReplies;
        loseReply(responder);
    } else {
        sendJson(responder, 200, R"({"applied":true})");
    }
}

void ModelRunner::apply(OrderRecord &order)
{
    if (order.kind == "role") {
        m_role = order.role;
    } else if (order.kind == "unload") {
        m_versions.erase(order.version);
        m_loading.erase(order.version);
    } else if (order.kind == "load" && !m_versions.contains(order.version)
               && !m_loading.contains(order.version)) {
        const std::string version = order.version;
        m_loading[version] = kernel::Timer(m_context->loop->scheduler(),
                                           m_context->versions[version].loadTime, [this, version] {
                                               m_versions.insert(version);
                                               m_loading.erase(version);
                                           });
    }
}

} // namespace acaciasail::standins
