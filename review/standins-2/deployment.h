#pragma once

#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "store.h"
#include "wire.h"

namespace review {

/// A temporary folder, which the destructor removes with its files.
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// Writes lines with the time since the start to record.txt of a case.
class Record
{
public:
    explicit Record(const std::string &file);

    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

/// A router process, started with the command of the deploy file and with settings as its template
/// gives them for a small machine.
class Router
{
public:
    Router(const TemporaryFolder &folder, const std::string &name, const std::string &zone,
           int storePort);
    /// Kills the process.
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    int port() const { return m_port; }
    int readinessPort() const { return m_readinessPort; }
    /// Waits until the router says that it is ready; returns whether it did.
    bool waitUntilReady(std::chrono::seconds atMost) const;
    void signal(int number) const;
    /// Returns whether the process still runs.
    bool isRunning();
    /// Returns how the process ended, such as "exit 0" or "signal 11"; empty while it runs.
    const std::string &ending() const { return m_ending; }

    /// Returns the most memory that the running process has had, in megabytes.
    int peakMemoryMb() const;

private:
    pid_t m_pid = 0;
    std::string m_ending;
    int m_port = 0;
    int m_readinessPort = 0;
};

/// A route of the configuration.
struct Route
{
    std::string name;
    std::string kind;
    std::string service;
    int timeoutMs = 0;
    int maxAttempts = 1;
};

constexpr const char *host = "ficu95.example";
constexpr const char *apiKey = "n2ctnfzs989anu6wsjnb";
constexpr const char *tenant = "hule930";
constexpr int maxBodyBytes = 4194304;

/// Returns the spec of a configuration with these routes, each with the path prefix /NAME/.
nlohmann::json makeConfiguration(int version, const std::vector<Route> &routes);
/// Returns the spec of a runner's entry.
nlohmann::json makeRunnerEntry(const std::string &service, int port, const std::string &zone,
                               int slots, int seq, std::int64_t born = 1760000000000);
/// Returns whether the script plays the disruption: unless TROUBLE is 0.
bool isTroubleOn();
/// Returns the fields of a consumer's request.
std::vector<std::pair<std::string, std::string>> makeRequestHeaders(const std::string &id,
                                                                    int timeoutMs);

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

} // namespace review
