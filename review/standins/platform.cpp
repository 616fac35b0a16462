#include "platform.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::string_view objectsPath = "/acaciasail/objects/";
constexpr std::string_view statusSuffix = "/status";
constexpr double reportInterval = 1.2;
constexpr int httpOk = 200;
constexpr int httpCreated = 201;
constexpr int httpBadRequest = 400;
constexpr int httpNotFound = 404;
constexpr int httpConflict = 409;
constexpr int httpMisdirected = 421;

std::chrono::steady_clock::time_point startTime()
{
    static const auto start = std::chrono::steady_clock::now();
    return start;
}

std::string answer(int status, const Json &body)
{
    return formatResponse(status, { { "Content-Type", "application/json" } }, body.dump());
}

std::int64_t queryNumber(const std::string &query, const std::string &name, std::int64_t missing)
{
    const std::size_t at = ("&" + query).find("&" + name + "=");
    return at == std::string::npos ? missing : std::atoll(query.c_str() + at + name.size() + 1);
}

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

double elapsed()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime()).count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void sleepUntil(double seconds)
{
    std::this_thread::sleep_until(startTime()
                                  + std::chrono::duration_cast<std::chrono::nanoseconds>(
                                      std::chrono::duration<double>(seconds)));
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed;
    m_file.precision(3);
    m_file << elapsed() << " " << line << std::endl;
}

void Record::add(std::initializer_list<std::string_view> parts)
{
    std::string line;
    for (const std::string_view part : parts)
        line += part;
    add(line);
}

Store::Store()
{
    m_port = startServer([this](const HttpRequest &request, Connection &connection) {
        return handle(request, connection);
    });
}

void Store::change(const std::string &kind, Json object, bool removed)
{
    const std::string name = object["Metadata"]["Name"];
    object["Metadata"]["Revision"] = ++m_revision;
    m_history.push_back({ m_revision, kind, { { "Removed", removed }, { "Object", object } } });
    if (removed)
        m_objects[kind].erase(name);
    else
        m_objects[kind][name] = std::move(object);
    m_changed.notify_all();
}

void Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard lock(m_mutex);
    auto &objects = m_objects[kind];
    Json object = objects.contains(name) ? objects[name]
                                         : Json{ { "Metadata",
                                                   { { "Name", name },
                                                     { "Created", m_revision + 1 },
                                                     { "Finalizers", Json::array() },
                                                     { "Deleting", false } } },
                                                 { "Status", nullptr } };
    object["Spec"] = spec;
    change(kind, std::move(object), false);
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    if (m_objects[kind].contains(name))
        change(kind, m_objects[kind][name], true);
}

Json Store::status(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects[kind].find(name);
    return found == m_objects[kind].end() ? Json() : found->second["Status"];
}

std::string Store::list(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    Json items = Json::array();
    for (const auto &[name, object] : m_objects[kind])
        items.push_back(object);
    return answer(httpOk,
                  { { "Items", items }, { "HasMore", false }, { "StoreRevision", m_revision } });
}

std::string Store::watch(const std::string &kind, const std::string &query)
{
    const std::int64_t after = queryNumber(query, "Watch", 0);
    std::unique_lock lock(m_mutex);
    Json events = Json::array();
    const auto collect = [&] {
        for (const Event &event : m_history) {
            if (event.kind == kind && event.revision > after)
                events.push_back(event.body);
        }
        return !events.empty();
    };
    m_changed.wait_for(lock, std::chrono::milliseconds(queryNumber(query, "WaitMs", 0)), collect);
    return answer(httpOk, { { "events", events }, { "StoreRevision", m_revision } });
}

std::string Store::write(const HttpRequest &request, const std::string &kind, std::string name)
{
    Json body = Json::parse(request.body.empty() ? "{}" : request.body, nullptr, false);
    const bool isStatus = name.ends_with(statusSuffix);
    if (isStatus)
        name.resize(name.size() - statusSuffix.size());
    const bool isCreate = request.method() == "POST";
    if (isCreate)
        name = body["Metadata"]["Name"];
    const std::lock_guard lock(m_mutex);
    auto &objects = m_objects[kind];
    const auto found = objects.find(name);
    if (isCreate != (found == objects.end()))
        return answer(isCreate ? httpConflict : httpNotFound, Json::object());
    if (isCreate) {
        change(kind, std::move(body), false);
        return answer(httpCreated, objects[name]);
    }
    Json object = found->second;
    const std::size_t query = request.target().find('?');
    const std::int64_t condition
        = query != std::string::npos
              ? queryNumber(request.target().substr(query + 1), "Revision", 0)
              : body.value("/Metadata/Revision"_json_pointer, std::int64_t{ 0 });
    if (condition != 0 && condition != object["Metadata"]["Revision"])
        return answer(httpConflict, object);
    const bool isRemoval = request.method() == "DELETE";
    const char *member = isStatus ? "Status" : "Spec";
    if (!isRemoval && object[member] == body[member])
        return answer(httpOk, object);
    if (!isRemoval)
        object[member] = body[member];
    change(kind, object, isRemoval);
    return answer(httpOk, isRemoval ? object : objects[name]);
}

bool Store::handle(const HttpRequest &request, Connection &connection)
{
    std::string path = request.target();
    const std::size_t question = std::min(path.find('?'), path.size());
    const std::string query = question < path.size() ? path.substr(question + 1) : "";
    path.resize(question);
    if (!path.starts_with(objectsPath))
        return connection.write(answer(httpNotFound, Json::object()));
    path.erase(0, objectsPath.size());
    const std::size_t slash = std::min(path.find('/'), path.size());
    const std::string kind = path.substr(0, slash);
    const std::string name = slash < path.size() ? path.substr(slash + 1) : "";
    if (request.method() != "GET")
        return connection.write(write(request, kind, name));
    const bool isWatch = query.find("Watch=") != std::string::npos;
    return connection.write(isWatch ? watch(kind, query) : list(kind));
}

Runner::Runner(Store &store, Record &record, std::string id, std::string service,
               std::string version, Work work)
    : m_store(store)
    , m_record(record)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_version(std::move(version))
    , m_work(std::move(work))
    , m_bornMs(nowMs())
{
    m_port = startServer([this](const HttpRequest &request, Connection &connection) {
        return handle(request, connection);
    });
    std::thread([this] { report(); }).detach();
}

void Runner::report()
{
    for (int number = 1;; ++number) {
        m_store.put("servers", m_id,
                    { { "Service", m_service },
                      { "Address", address(m_port) },
                      { "Zone", "zone-a" },
                      { "Version", m_version },
                      { "Slots", 64 },
                      { "State", "ready" },
                      { "ColdLeftMs", 0 },
                      { "Seq", number },
                      { "born", m_bornMs } });
        sleepFor(reportInterval);
    }
}

Headers Runner::answerHeaders(const HttpRequest &request) const
{
    return { { "X-Attempt-Id", request.head.value("x-attempt-id") },
             { "X-Response-Stamp", "stamp-" + m_id } };
}

bool Runner::handle(const HttpRequest &request, Connection &connection)
{
    const std::string expected = request.head.value("x-expect-instance");
    if (!expected.empty() && expected != m_id)
        return connection.write(formatResponse(httpMisdirected, { { "X-Instance-Id", m_id } }, ""));
    if (request.head.value("x-attempt-id").empty())
        return connection.write(formatResponse(httpBadRequest, { { "X-Not-Run", "1" } }, ""));
    m_record.add("runner " + m_id + " (" + m_version + ") runs "
                 + request.head.value("x-attempt-id"));
    return m_work(*this, request, connection);
}

Router::Router(const Store &store, const std::string &settingsFolder, const std::string &name,
               const std::string &zone)
    : m_settingsFile(settingsFolder + "/" + name + ".toml")
    , m_logFile(settingsFolder + "/" + name + ".log")
    , m_callersPort(findFreePort())
    , m_readinessPort(findFreePort())
    , m_metricsPort(findFreePort())
{
    // deploy/router.toml.template, filled in with the bounds of the small sites.
    std::ofstream(m_settingsFile) << "[router]\nvm = \"" << name << "\"\ndata_centre = \"" << zone
                                  << "\"\n[callers]\nlisten = \"" << address(m_callersPort)
                                  << "\"\n[readiness]\nlisten = \"" << address(m_readinessPort)
                                  << "\"\n[metrics]\nlisten = \"" << address(m_metricsPort)
                                  << "\"\n[store]\naddress = \"" << address(store.port())
                                  << "\"\nmax_age_ms = 3000\n[upstreams]\nleave_ms = 2000\n"
                                  << "[retries]\nratio = 0.9\nslack = 58\nwindow_s = 10\n"
                                  << "[models]\nescalate_below = 50\n"
                                  << "escalate_below_for_answer = 35\n[stop]\ntimeout_s = 8\n";
}

Router::~Router()
{
    stop();
}

void Router::stop()
{
    if (hasEnded())
        return;
    signal(SIGKILL);
    waitpid(std::exchange(m_process, 0), nullptr, 0);
}

void Router::start()
{
    m_process = fork();
    if (m_process != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl("target/bin/acaciasail-router", "acaciasail-router", "--settings", m_settingsFile.c_str(),
          nullptr);
    _exit(2);
}

void Router::signal(int number) const
{
    kill(m_process, number);
}

bool Router::hasEnded()
{
    if (m_process <= 0 || waitpid(m_process, nullptr, WNOHANG) == 0)
        return m_process <= 0;
    m_process = 0;
    return true;
}

bool Router::isReady() const
{
    constexpr int readinessTimeoutMs = 500;
    auto connection = Connection::connect(m_readinessPort);
    if (!connection)
        return false;
    connection->setReadTimeout(readinessTimeoutMs);
    connection->write(formatRequest("GET", "/acaciasail/readyz", { { "Host", "router" } }));
    return readResponse(*connection).status == httpOk;
}

bool Router::waitUntilReady(double seconds) const
{
    constexpr double pause = 0.1;
    for (const double end = elapsed() + seconds; elapsed() < end; sleepFor(pause)) {
        if (isReady())
            return true;
    }
    return false;
}

Json makeRoute(const std::string &prefix, const std::string &kind, const std::string &service,
               int timeoutMs, int targetLatencyMs)
{
    return { { "Name", "r-" + prefix.substr(1, prefix.size() - 2) },
             { "Host", "shop.example" },
             { "PathPrefix", prefix },
             { "Kind", kind },
             { "TimeoutMs", timeoutMs },
             { "TargetLatencyMs", targetLatencyMs },
             { "Priority", 0 },
             { "Service", service },
             { "MaxAttempts", 1 },
             { "Anonymous", true },
             { "Sticky", false },
             { "Resumable", false },
             { "GapTargetMs", 1200 } };
}

Json makeConfiguration(int version, const Json &routes, const std::vector<std::string> &services)
{
    Json list = Json::array();
    for (const std::string &service : services) {
        list.push_back({ { "Name", service },
                         { "HealthPath", "/healthz" },
                         { "MaxConns", 370 },
                         { "Protocol", "h1" },
                         { "Tls", false } });
    }
    return { { "Version", version },
             { "Routes", routes },
             { "Services", list },
             { "Limits",
               { { "MaxHeaderBytes", 16384 },
                 { "MaxBodyBytes", 4194304 },
                 { "HeaderTimeoutMs", 3000 },
                 { "IdleTimeoutMs", 15000 } } } };
}

Outcome readResponse(Connection &connection)
{
    Outcome outcome;
    if (const auto head = connection.readHead()) {
        outcome.status = std::atoi(head->word(1).c_str());
        std::string body;
        outcome.complete = connection.readBody(*head, body);
        outcome.bodyBytes = body.size();
    }
    outcome.endedAt = elapsed();
    return outcome;
}

} // namespace review
