#include "deployment.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *program = "target/bin/acaciasail-router";

// The deploy file's template, filled in with the fields of a machine of the site tcjt-jury.
std::string makeSettings(const std::string &name, const std::string &zone, int port,
                         int readinessPort, int metricsPort, int storePort)
{
    const auto address
        = [](int number) { return "\"127.0.0.1:" + std::to_string(number) + "\"\n"; };
    return "[router]\nvm = \"" + name + "\"\ndata_centre = \"" + zone
           + "\"\nmemory_mb = 165\nmax_descriptors = 6150\n[callers]\nlisten = " + address(port)
           + "[readiness]\nlisten = " + address(readinessPort) + "[metrics]\nlisten = "
           + address(metricsPort) + "[store]\naddress = " + address(storePort)
           + "max_age_ms = 3000\n[upstreams]\nleave_ms = 2000\n[evacuations]\n"
             "[retries]\nratio = 0.9\nslack = 58\nwindow_s = 10\n[models]\nescalate_below = 50\n"
             "escalate_below_for_answer = 35\n[stop]\ntimeout_s = 8\n";
}

pid_t startProcess(const std::vector<std::string> &command, const std::string &outputFile)
{
    constexpr int mode = 0644;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        std::fprintf(stderr, "cannot start %s: %s\n", arguments[0], std::strerror(error));
        std::exit(exitNotRun);
    }
    return pid;
}

} // namespace

TemporaryFolder::TemporaryFolder()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr)
        std::exit(exitNotRun);
    m_path = name;
}

TemporaryFolder::~TemporaryFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

Record::Record(const std::string &file)
    : m_file(file, std::ios::trunc)
{}

void Record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    const auto elapsed = std::chrono::duration<double>(Clock::now() - m_start).count();
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%9.4f ", elapsed);
    m_file << time.data() << line << std::endl;
}

Router::Router(const TemporaryFolder &folder, const std::string &name, const std::string &zone,
               int storePort)
    : m_port(freePort())
    , m_readinessPort(freePort())
{
    const std::string file = folder.path() + "/" + name + ".toml";
    std::ofstream(file) << makeSettings(name, zone, m_port, m_readinessPort, freePort(), storePort);
    m_pid = startProcess({ program, "--settings", file }, folder.path() + "/" + name + ".log");
}

Router::~Router()
{
    if (!isRunning())
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

bool Router::waitUntilReady(std::chrono::seconds atMost) const
{
    constexpr std::chrono::milliseconds interval{ 50 };
    const Clock::time_point end = Clock::now() + atMost;
    while (Clock::now() < end) {
        Connection connection = Connection::open(m_readinessPort);
        constexpr const char *request
            = "GET /acaciasail/readyz HTTP/1.1\r\nHost: platform.example\r\n\r\n";
        if (connection.isOpen() && connection.write(request)) {
            const auto response = connection.read(end);
            if (response && response->status() == 200)
                return true;
        }
        std::this_thread::sleep_for(interval);
    }
    return false;
}

void Router::signal(int number) const
{
    kill(m_pid, number);
}

bool Router::isRunning()
{
    if (m_pid == 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_pid = 0;
    m_ending = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit " + std::to_string(WEXITSTATUS(status));
    return false;
}

int Router::peakMemoryMb() const
{
    constexpr std::string_view name = "VmHWM:";
    constexpr int kilobytes = 1024;
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name))
            return std::atoi(line.c_str() + name.size()) / kilobytes;
    }
    return 0;
}

nlohmann::json makeConfiguration(int version, const std::vector<Route> &routes)
{
    using Json = nlohmann::json;
    Json entries = Json::array();
    Json services = Json::array();
    for (const Route &route : routes) {
        entries.push_back({ { "Name", route.name },
                            { "Host", host },
                            { "PathPrefix", "/" + route.name + "/" },
                            { "Kind", route.kind },
                            { "TimeoutMs", route.timeoutMs },
                            { "TargetLatencyMs", 150 },
                            { "Priority", 2 },
                            { "Service", route.service },
                            { "MaxAttempts", route.maxAttempts },
                            { "Anonymous", false } });
        services.push_back({ { "Name", route.service },
                             { "HealthPath", "/healthz" },
                             { "MaxConns", 110 },
                             { "Protocol", "h1" },
                             { "Tls", false } });
    }
    return { { "Version", version },
             { "Routes", entries },
             { "Services", services },
             { "Limits",
               { { "MaxHeaderBytes", 16384 },
                 { "MaxBodyBytes", maxBodyBytes },
                 { "HeaderTimeoutMs", 3000 },
                 { "IdleTimeoutMs", 15000 } } },
             { "Tenants",
               { { { "Name", tenant }, { "ApiKeys", { apiKey } }, { "Priority", 1 } } } } };
}

nlohmann::json makeRunnerEntry(const std::string &service, int port, const std::string &zone,
                               int slots, int seq, std::int64_t born)
{
    return { { "Service", service }, { "Address", "127.0.0.1:" + std::to_string(port) },
             { "Zone", zone },       { "Version", "v1" },
             { "Slots", slots },     { "State", "ready" },
             { "ColdLeftMs", 0 },    { "Seq", seq },
             { "born", born } };
}

bool isTroubleOn()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

std::vector<std::pair<std::string, std::string>> makeRequestHeaders(const std::string &id,
                                                                    int timeoutMs)
{
    return { { "Host", host },
             { "X-Attempt-Id", id },
             { "X-Deadline-Ms", std::to_string(timeoutMs) },
             { "Api-Key", apiKey } };
}

} // namespace review
