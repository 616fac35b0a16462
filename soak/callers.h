#pragma once

#include <memory>
#include <vector>

#include "world.h"

namespace acaciasail::soak {

/// Callers that send one request after another on persistent connections. Each uses a router that
/// reports that it is ready, or one to which it still has a connection.
class Callers
{
public:
    Callers(http::EventLoop &loop, World &world, std::size_t count, kernel::Random random);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Sends no further requests; requests in progress continue.
    void stop() { m_stopped = true; }
    std::size_t inProgress() const;
    /// Returns whether a router said when it was last asked that it is ready.
    bool isReady(std::size_t router) const { return (*m_ready)[router]; }

private:
    class Caller;

    void checkReadiness();

    http::EventLoop &m_loop;
    World &m_world;
    http::Client m_prober;
    kernel::Random m_random;
    bool m_stopped = false;
    /// Whether each router is ready. Shared with readiness checks in progress, which may outlive
    /// this object.
    std::shared_ptr<std::vector<bool>> m_ready;
    std::vector<std::unique_ptr<Caller>> m_callers;
    kernel::Timer m_probing;
};

} // namespace acaciasail::soak
