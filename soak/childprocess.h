#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace acaciasail::soak {

/// A child process, which the destructor kills.
class ChildProcess
{
public:
    /// Starts a program whose standard output and error are appended to a file. Throws
    /// std::runtime_error if it can't be started.
    ChildProcess(const std::vector<std::string> &command, const std::string &outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends a signal unless the process has exited.
    void signal(int number);
    /// Returns whether the process neither handles nor ignores the signal, as before its program
    /// has begun to run.
    bool hasDefaultAction(int number) const;
    /// Checks and returns whether the process still runs.
    bool running();
    pid_t pid() const { return m_pid; }
    /// How the process ended, such as "exit 0" or "signal 9"; empty while it runs.
    const std::string &ending() const { return m_ending; }

private:
    pid_t m_pid = 0;
    std::string m_ending;
};

} // namespace acaciasail::soak
