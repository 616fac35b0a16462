#pragma once

#include <string>
#include <vector>

#include <sys/types.h>

namespace acaciasail::soak {

/// A process that the soak started; it is killed when its owner goes.
class ChildProcess
{
public:
    /// Starts a program with its standard output and error appended to a file. Throws
    /// std::runtime_error when it can't be started.
    ChildProcess(const std::vector<std::string> &command, const std::string &outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    /// Sends a signal, if the process has not ended.
    void signal(int number);
    /// Takes in whether the process has ended.
    bool running();
    /// How it ended: "exit 0", "signal 9"; empty while it runs.
    const std::string &ending() const { return m_ending; }

private:
    pid_t m_pid = 0;
    std::string m_ending;
};

} // namespace acaciasail::soak
