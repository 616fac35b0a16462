#pragma once

#include "world.h"

namespace acaciasail::soak {

/// Asks routers for a route that configurations add and remove, and notes those that go by an old
/// configuration for too long.
class ConfigurationCheck
{
public:
    ConfigurationCheck(http::EventLoop &loop, World &world, kernel::Random random);
    ConfigurationCheck(const ConfigurationCheck &) = delete;
    ConfigurationCheck &operator=(const ConfigurationCheck &) = delete;

private:
    void check();
    /// Whether the router must know the newest configuration by now.
    bool mustKnow(std::size_t router) const;
    void ask(std::size_t router);

    http::EventLoop &m_loop;
    World &m_world;
    http::Client m_client;
    kernel::Random m_random;
    int m_lastRequest = 0;
    /// Gone with this object, which requests in progress may outlive.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    kernel::Timer m_next;
};

} // namespace acaciasail::soak
