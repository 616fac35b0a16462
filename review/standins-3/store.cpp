#include "store.h"

#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

namespace review {

namespace {

using Json = nlohmann::json;

constexpr std::string_view objectsPath = "/acaciasail/objects/";
constexpr std::size_t pageObjects = 500;
constexpr std::chrono::hours connectionTime{ 1 };
constexpr int notFound = 404;
constexpr int conflict = 409;

std::string percentDecode(const std::string &text)
{
    constexpr int hexadecimal = 16;
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(
                std::strtol(text.substr(i + 1, 2).c_str(), nullptr, hexadecimal));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::string quoted(const std::string &text)
{
    return Json(text).dump();
}

} // namespace

Store::Store()
    : m_listener(listenOnLoopback(m_port))
    , m_acceptor([this] { serve(); })
{}

Store::~Store()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
    shutDown(m_listener);
    m_acceptor.join();
    for (std::thread &thread : m_threads)
        thread.join();
}

void Store::serve()
{
    while (true) {
        Socket socket = acceptFrom(m_listener);
        if (!socket.isOpen())
            return;
        m_threads.emplace_back([this, connection = std::move(socket)]() mutable {
            serveConnection(std::move(connection));
        });
    }
}

void Store::serveConnection(Socket socket)
{
    MessageReader reader(socket);
    while (true) {
        const auto request = reader.readMessage(false, Clock::now() + connectionTime);
        if (!request || !request->complete)
            return;
        const Answer result = answer(*request);
        const std::string head = "HTTP/1.1 " + std::to_string(result.status)
                                 + " Answer\r\ncontent-type: application/json\r\nstore-era: 1\r\n"
                                   "content-length: "
                                 + std::to_string(result.body.size()) + "\r\n\r\n";
        if (!sendAll(socket, head + result.body))
            return;
    }
}

std::size_t Store::calls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls;
}

std::string Store::textOf(const std::string &name, const Object &object)
{
    return R"({"Metadata":{"Name":)" + quoted(name) + R"(,"Revision":)"
           + std::to_string(object.revision)
           + R"(,"Created":1,"Finalizers":[],"Deleting":false},"Spec":)" + object.spec
           + R"(,"Status":)" + object.status + "}";
}

void Store::change(const std::string &kind, const std::string &name, bool removed)
{
    Object &object = m_objects[kind][name];
    object.revision = ++m_revision;
    m_events.push_back({ m_revision, kind,
                         std::string(R"({"Removed":)") + (removed ? "true" : "false")
                             + R"(,"Object":)" + textOf(name, object) + "}" });
    if (removed)
        m_objects[kind].erase(name);
    m_changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const std::string &specText)
{
    const std::lock_guard lock(m_mutex);
    m_objects[kind][name].spec = specText;
    change(kind, name, false);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    if (m_objects[kind].contains(name))
        change(kind, name, true);
}

Store::Answer Store::answer(const Message &request)
{
    const std::string target = request.head.target();
    std::string path = target.substr(0, target.find('?'));
    {
        const std::lock_guard lock(m_mutex);
        ++m_calls;
    }
    if (!path.starts_with(objectsPath))
        return { notFound, "{}" };
    path.erase(0, objectsPath.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    const bool isStatus = name.ends_with("/status");
    if (isStatus)
        name.erase(name.rfind('/'));
    name = percentDecode(name);
    const std::string method = request.head.method();
    if (method == "DELETE")
        return erase(kind, name, queryParameter(target, "Revision"));
    if (method != "GET")
        return write(method, kind, name, isStatus, request.body);
    if (const auto after = queryParameter(target, "Watch"))
        return watch(
            kind, std::atoll(after->c_str()),
            Milliseconds(std::atoll(queryParameter(target, "WaitMs").value_or("0").c_str())));
    return list(kind, percentDecode(queryParameter(target, "After").value_or("")));
}

Store::Answer Store::list(const std::string &kind, const std::string &after)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    std::size_t count = 0;
    bool hasMore = false;
    const auto &objects = m_objects[kind];
    for (auto object = objects.upper_bound(after); object != objects.end(); ++object) {
        if (count++ == pageObjects) {
            hasMore = true;
            break;
        }
        items += (items.empty() ? "" : ",") + textOf(object->first, object->second);
    }
    return { 200, R"({"Items":[)" + items + R"(],"HasMore":)" + (hasMore ? "true" : "false")
                      + R"(,"StoreRevision":)" + std::to_string(m_revision) + "}" };
}

Store::Answer Store::watch(const std::string &kind, std::int64_t after, Milliseconds wait)
{
    const auto until = Clock::now() + wait;
    std::unique_lock lock(m_mutex);
    std::string events;
    const auto collect = [&] {
        for (const Event &event : m_events) {
            if (event.kind == kind && event.revision > after)
                events += (events.empty() ? "" : ",") + event.text;
        }
        return m_stopped || !events.empty();
    };
    m_changed.wait_until(lock, until, collect);
    return { 200, R"({"events":[)" + events + R"(],"StoreRevision":)" + std::to_string(m_revision)
                      + "}" };
}

Store::Answer Store::write(const std::string &method, const std::string &kind,
                           const std::string &name, bool isStatus, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return { 400, "{}" };
    const Json metadata = json.value("Metadata", Json::object());
    const std::string key = method == "POST" ? metadata.value("Name", "") : name;
    const std::lock_guard lock(m_mutex);
    auto &objects = m_objects[kind];
    const auto found = objects.find(key);
    if (method == "POST" && found != objects.end())
        return { conflict, textOf(key, found->second) };
    if (method == "PUT" && found == objects.end())
        return { notFound, "{}" };
    if (method == "PUT" && metadata.contains("Revision")
        && metadata["Revision"] != found->second.revision)
        return { conflict, textOf(key, found->second) };
    Object &object = objects[key];
    (isStatus ? object.status : object.spec)
        = json.value(isStatus ? "Status" : "Spec", Json()).dump();
    change(kind, key, false);
    return { 200, textOf(key, object) };
}

Store::Answer Store::erase(const std::string &kind, const std::string &name,
                           const std::optional<std::string> &revision)
{
    const std::lock_guard lock(m_mutex);
    auto &objects = m_objects[kind];
    const auto found = objects.find(name);
    if (found == objects.end())
        return { notFound, "{}" };
    if (revision && std::atoll(revision->c_str()) != found->second.revision)
        return { conflict, textOf(name, found->second) };
    change(kind, name, true);
    return { 200, "{}" };
}

} // namespace review
