#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <sys/types.h>

#include <nlohmann/json.hpp>

#include "net.h"

namespace review {

using Json = nlohmann::json;

/// Seconds since the case began.
double elapsed();
void sleepFor(double seconds);
/// Waits until this time since the case began.
void sleepUntil(double seconds);

/// Writes record.txt of a case: one line for each thing that was sent, answered or run.
class Record
{
public:
    explicit Record(const std::string &file)
        : m_file(file)
    {}
    void add(const std::string &line);
    /// Adds the line that these parts make up.
    void add(std::initializer_list<std::string_view> parts);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// The platform's store: objects with revisions, lists, watches and conditional writes. It keeps
/// its whole history.
class Store
{
public:
    Store();
    std::uint16_t port() const { return m_port; }
    /// Creates an object, or replaces its spec, as the operator or a runner does.
    void put(const std::string &kind, const std::string &name, const Json &spec);
    void remove(const std::string &kind, const std::string &name);
    /// Returns the object's status; null if there is none.
    Json status(const std::string &kind, const std::string &name);

private:
    struct Event
    {
        std::int64_t revision;
        std::string kind;
        Json body;
    };

    bool handle(const HttpRequest &request, Connection &connection);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, const std::string &query);
    std::string write(const HttpRequest &request, const std::string &kind, std::string name);
    void change(const std::string &kind, Json object, bool removed);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Json>> m_objects;
    std::vector<Event> m_history;
    std::int64_t m_revision = 1;
    std::uint16_t m_port = 0;
};

class Runner;
/// Runs one request; the runner has checked that the request is meant for it. Returns whether the
/// connection is kept.
using Work = std::function<bool(Runner &, const HttpRequest &, Connection &)>;

/// A runner that registers itself in the store and reports its status.
class Runner
{
public:
    Runner(Store &store, Record &record, std::string id, std::string service, std::string version,
           Work work);
    const std::string &id() const { return m_id; }
    const std::string &version() const { return m_version; }
    Record &record() { return m_record; }
    /// Returns the headers that prove that a response is this runner's own.
    Headers answerHeaders(const HttpRequest &request) const;

private:
    bool handle(const HttpRequest &request, Connection &connection);
    void report();

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    std::string m_version;
    Work m_work;
    std::uint16_t m_port = 0;
    std::int64_t m_bornMs = 0;
};

/// A router process, started with the command of the deploy file.
class Router
{
public:
    /// `settingsFolder` gets the settings file and the log.
    Router(const Store &store, const std::string &settingsFolder, const std::string &name,
           const std::string &zone);
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;
    ~Router();

    std::uint16_t callersPort() const { return m_callersPort; }
    void start();
    void signal(int number) const;
    /// Kills the process if it has not ended.
    void stop();
    /// Returns whether the process has ended.
    bool hasEnded();
    /// Returns the answer to the platform's question whether the router is ready.
    bool isReady() const;
    /// Waits until the router is ready; returns whether it became so in time.
    bool waitUntilReady(double seconds) const;

private:
    std::string m_settingsFile;
    std::string m_logFile;
    std::uint16_t m_callersPort;
    std::uint16_t m_readinessPort;
    std::uint16_t m_metricsPort;
    pid_t m_process = 0;
};

/// Returns a route of the host "shop.example" as the operator's configuration holds it.
Json makeRoute(const std::string &prefix, const std::string &kind, const std::string &service,
               int timeoutMs, int targetLatencyMs);
/// Returns a configuration without tenants.
Json makeConfiguration(int version, const Json &routes, const std::vector<std::string> &services);

/// What one request of a consumer led to.
struct Outcome
{
    int status = 0;
    /// The head was received, and the body to its end.
    bool complete = false;
    std::size_t bodyBytes = 0;
    double endedAt = 0;
};

/// Reads the response to a request that was sent on the connection.
Outcome readResponse(Connection &connection);

} // namespace review
