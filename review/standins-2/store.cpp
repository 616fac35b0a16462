#include "store.h"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::string_view objectsPath = "/acaciasail/objects/";
constexpr std::string_view statusName = "status";
// Time for which a connection without a request is kept.
constexpr std::chrono::seconds idleTime{ 60 };
constexpr std::size_t pageSize = 500;

std::string respond(const char *status, const Json &body)
{
    return formatMessage(std::string("HTTP/1.1 ") + status,
                         { { "Content-Type", "application/json" } }, body.dump());
}

std::int64_t number(const std::map<std::string, std::string> &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::atoll(found->second.c_str());
}

// Returns the revision that a write states, if any.
std::int64_t statedRevision(const Json &sent, const std::map<std::string, std::string> &query)
{
    if (query.contains("Revision"))
        return number(query, "Revision");
    if (!sent.is_object() || !sent.contains("Metadata"))
        return 0;
    return sent["Metadata"].value("Revision", std::int64_t{ 0 });
}

} // namespace

Store::Store()
    : m_listener(std::make_unique<Listener>([this](Connection &connection) { serve(connection); }))
{}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_listener.reset();
}

void Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard lock(m_mutex);
    Json &object = m_objects[kind][name];
    if (object.is_null())
        object = { { "Metadata", { { "Name", name }, { "Finalizers", Json::array() } } },
                   { "Status", nullptr } };
    object["Spec"] = spec;
    recordChange(kind, object, false);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    auto node = m_objects[kind].extract(name);
    if (!node.empty())
        recordChange(kind, node.mapped(), true);
}

void Store::recordChange(const std::string &kind, Json &object, bool removed)
{
    constexpr std::size_t maxEvents = 10000;
    object["Metadata"]["Revision"] = ++m_revision;
    m_history.push_back({ m_revision, kind, { { "Removed", removed }, { "Object", object } } });
    if (m_history.size() > maxEvents)
        m_history.pop_front();
    m_changed.notify_all();
}

Store::Target Store::parseTarget(const std::string &text)
{
    Target target;
    std::string path = text.substr(0, text.find('?'));
    std::string query = path.size() < text.size() ? text.substr(path.size() + 1) : "";
    path.erase(0, std::min(objectsPath.size(), path.size()));
    target.kind = path.substr(0, path.find('/'));
    path.erase(0, std::min(target.kind.size() + 1, path.size()));
    target.name = path.substr(0, path.find('/'));
    path.erase(0, std::min(target.name.size() + 1, path.size()));
    target.isStatus = path == statusName;
    while (!query.empty()) {
        const std::string part = query.substr(0, query.find('&'));
        query.erase(0, std::min(part.size() + 1, query.size()));
        const std::size_t equals = std::min(part.find('='), part.size());
        target.query[part.substr(0, equals)] = part.substr(std::min(equals + 1, part.size()));
    }
    return target;
}

void Store::serve(Connection &connection)
{
    while (const auto request = connection.read(Clock::now() + idleTime)) {
        if (!connection.write(answer(*request)))
            return;
    }
}

std::string Store::answer(const Message &request)
{
    const Target target = parseTarget(request.target());
    if (request.method() != "GET")
        return write(request, target);
    return target.query.contains("Watch") ? watch(target) : list(target);
}

std::string Store::list(const Target &target)
{
    const std::lock_guard lock(m_mutex);
    const auto after = target.query.find("After");
    Json items = Json::array();
    bool hasMore = false;
    for (const auto &[name, object] : m_objects[target.kind]) {
        if (after != target.query.end() && name <= after->second)
            continue;
        hasMore = items.size() >= pageSize;
        if (hasMore)
            break;
        items.push_back(object);
    }
    return respond("200 OK",
                   { { "Items", items }, { "HasMore", hasMore }, { "StoreRevision", m_revision } });
}

Json Store::eventsAfter(const std::string &kind, std::int64_t revision) const
{
    Json events = Json::array();
    for (const Event &event : m_history) {
        if (event.revision > revision && event.kind == kind)
            events.push_back(event.body);
    }
    return events;
}

std::string Store::watch(const Target &target)
{
    const std::int64_t after = number(target.query, "Watch");
    const std::chrono::milliseconds wait(number(target.query, "WaitMs"));
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait,
                       [&] { return m_stopping || !eventsAfter(target.kind, after).empty(); });
    return respond("200 OK", { { "events", eventsAfter(target.kind, after) },
                               { "StoreRevision", m_revision } });
}

std::string Store::write(const Message &request, const Target &target)
{
    const Json sent = Json::parse(request.body, nullptr, false);
    const std::lock_guard lock(m_mutex);
    return change(target, sent, request.method());
}

std::string Store::change(const Target &target, const Json &sent, const std::string &method)
{
    auto &objects = m_objects[target.kind];
    if (method == "POST") {
        const std::string name = sent.at("Metadata").at("Name");
        if (objects.contains(name))
            return respond("409 Conflict", objects[name]);
        objects[name] = { { "Metadata", { { "Name", name }, { "Finalizers", Json::array() } } },
                          { "Spec", sent.at("Spec") },
                          { "Status", nullptr } };
        recordChange(target.kind, objects[name], false);
        return respond("201 Created", objects[name]);
    }
    const auto found = objects.find(target.name);
    if (found == objects.end())
        return respond("404 Not Found", Json::object());
    const std::int64_t stated = statedRevision(sent, target.query);
    if (stated != 0 && stated != found->second["Metadata"]["Revision"].get<std::int64_t>())
        return respond("409 Conflict", found->second);
    if (method == "DELETE") {
        auto node = objects.extract(found);
        recordChange(target.kind, node.mapped(), true);
        return respond("200 OK", node.mapped());
    }
    const char *member = target.isStatus ? "Status" : "Spec";
    if (found->second[member] != sent.at(member)) {
        found->second[member] = sent.at(member);
        recordChange(target.kind, found->second, false);
    }
    return respond("200 OK", found->second);
}

} // namespace review
