#include "childprocess.h"

#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace acaciasail::soak {

namespace {

constexpr int logMode = 0644;

// Redirections of a new process's standard descriptors.
class FileActions
{
public:
    explicit FileActions(const std::string &outputFile)
    {
        posix_spawn_file_actions_init(&m_actions);
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, outputFile.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, logMode);
        posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
    }
    ~FileActions() { posix_spawn_file_actions_destroy(&m_actions); }
    FileActions(const FileActions &) = delete;
    FileActions &operator=(const FileActions &) = delete;

    const posix_spawn_file_actions_t *get() const { return &m_actions; }

private:
    posix_spawn_file_actions_t m_actions{};
};

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &command, const std::string &outputFile)
{
    const FileActions actions(outputFile);
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &argument : command)
        arguments.push_back(const_cast<char *>(argument.c_str()));
    arguments.push_back(nullptr);
    const int error = posix_spawn(&m_pid, command.front().c_str(), actions.get(), nullptr,
                                  arguments.data(), environ);
    if (error != 0)
        throw std::runtime_error("cannot start " + command.front() + ": " + std::strerror(error));
}

ChildProcess::~ChildProcess()
{
    if (!running())
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void ChildProcess::signal(int number)
{
    if (running())
        kill(m_pid, number);
}

bool ChildProcess::hasDefaultAction(int number) const
{
    // Both lines hold a name of this length and a hexadecimal mask of signals.
    constexpr std::size_t nameLength = 7;
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::uint64_t handled = 0;
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("SigIgn:") || line.starts_with("SigCgt:"))
            handled |= std::stoull(line.substr(nameLength), nullptr, 16);
    }
    return (handled >> (number - 1) & 1U) == 0;
}

bool ChildProcess::running()
{
    if (!m_ending.empty())
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_ending = WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                                 : "signal " + std::to_string(WTERMSIG(status));
    return false;
}

} // namespace acaciasail::soak
