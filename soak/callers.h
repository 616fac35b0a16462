#pragma once

#include <memory>
#include <vector>

#include "world.h"

namespace acaciasail::soak {

/// Callers that ask one request after the other on connections that they keep, each of a router
/// that says it is ready or that they have a connection to.
class Callers
{
public:
    Callers(http::EventLoop &loop, World &world, std::size_t count, kernel::Random random);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Asks nothing more; requests in progress go on.
    void stop() { m_stopped = true; }
    std::size_t inProgress() const;

private:
    class Caller;

    void checkReadiness();

    http::EventLoop &m_loop;
    World &m_world;
    http::Client m_prober;
    kernel::Random m_random;
    bool m_stopped = false;
    /// Shared with probes in progress, which may outlive the callers.
    std::shared_ptr<std::vector<bool>> m_ready;
    std::vector<std::unique_ptr<Caller>> m_callers;
    kernel::Timer m_probing;
};

} // namespace acaciasail::soak
