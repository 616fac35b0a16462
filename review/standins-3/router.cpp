#include "router.h"

#include <csignal>
#include <fstream>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *program = "target/bin/acaciasail-router";
constexpr Milliseconds pollTime{ 20 };

int freePort()
{
    int port = 0;
    const Socket socket = listenOnLoopback(port);
    return port;
}

std::string address(int port)
{
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
}

} // namespace

RouterProcess::RouterProcess(const std::string &folder, const std::string &name, int storePort)
    : m_callersPort(freePort())
    , m_readinessPort(freePort())
{
    const std::string settings = folder + "/" + name + ".toml";
    std::ofstream(settings) << "[router]\nvm = \"" << name
                            << "\"\ndata_centre = \"zone-a\"\nmemory_mb = 390\n"
                               "max_descriptors = 6150\n[callers]\nlisten = "
                            << address(m_callersPort)
                            << "[readiness]\nlisten = " << address(m_readinessPort)
                            << "[metrics]\nlisten = " << address(freePort())
                            << "[store]\naddress = " << address(storePort)
                            << "max_age_ms = 3000\n[upstreams]\nleave_ms = 2000\n[evacuations]\n"
                               "[retries]\nratio = 0.9\nslack = 58\nwindow_s = 10\n[models]\n"
                               "escalate_below = 50\nescalate_below_for_answer = 35\n"
                               "[stop]\ntimeout_s = 8\n";
    const std::string output = folder + "/" + name + ".log";
    m_pid = fork();
    if (m_pid != 0)
        return;
    // The router ends with this process, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(program, program, "--settings", settings.c_str(), nullptr);
    _exit(127);
}

RouterProcess::~RouterProcess()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void RouterProcess::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool RouterProcess::waitForEnd(Milliseconds atMost)
{
    const auto until = Clock::now() + atMost;
    while (Clock::now() < until) {
        if (waitpid(m_pid, nullptr, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        std::this_thread::sleep_for(pollTime);
    }
    return false;
}

bool RouterProcess::isReady(Milliseconds atMost) const
{
    const auto until = Clock::now() + atMost;
    const Socket socket = connectTo(m_readinessPort, atMost);
    if (!socket.isOpen()
        || !sendAll(socket, "GET /acaciasail/readyz HTTP/1.1\r\nhost: ready\r\n\r\n"))
        return false;
    MessageReader reader(socket);
    const auto response = reader.readMessage(true, until);
    return response && response->head.status() == 200;
}

bool RouterProcess::waitUntilReady(Milliseconds atMost) const
{
    const auto until = Clock::now() + atMost;
    while (Clock::now() < until) {
        if (isReady(Milliseconds(500)))
            return true;
        std::this_thread::sleep_for(pollTime);
    }
    return false;
}

} // namespace review
