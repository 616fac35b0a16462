#pragma once

#include <string>

#include <sys/types.h>

#include "wire.h"

namespace review {

/// A router of the deploy file as a separate process, with settings as the deploy file's template
/// gives them for a small deployment.
class RouterProcess
{
public:
    /// The folder takes the settings and the output; the names of several routers must differ.
    RouterProcess(const std::string &folder, const std::string &name, int storePort);
    ~RouterProcess();
    RouterProcess(const RouterProcess &) = delete;
    RouterProcess &operator=(const RouterProcess &) = delete;

    int port() const { return m_callersPort; }
    pid_t pid() const { return m_pid; }
    void signal(int number) const;
    /// Waits for the process to end by itself.
    bool waitForEnd(Milliseconds atMost);
    /// Returns whether the router says within the time that it is ready.
    bool waitUntilReady(Milliseconds atMost) const;
    /// Returns whether the router answers a question for its readiness within the time with 200.
    bool isReady(Milliseconds atMost) const;

private:
    pid_t m_pid = -1;
    int m_callersPort = 0;
    int m_readinessPort = 0;
};

} // namespace review
