#pragma once

#include "world.h"

namespace acaciasail::soak {

/// Sends requests on a route that configurations add and remove, and records each router that
/// follows an outdated configuration for too long.
class ConfigurationCheck
{
public:
    ConfigurationCheck(http::EventLoop &loop, World &world, kernel::Random random);
    ConfigurationCheck(const ConfigurationCheck &) = delete;
    ConfigurationCheck &operator=(const ConfigurationCheck &) = delete;

private:
    void check();
    /// Returns whether the router had enough undisturbed time to apply the newest configuration.
    bool mustKnow(std::size_t router) const;
    void ask(std::size_t router);

    http::EventLoop &m_loop;
    World &m_world;
    http::Client m_client;
    kernel::Random m_random;
    int m_lastRequest = 0;
    /// Expires with this object, which requests in progress may outlive.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    kernel::Timer m_next;
};

} // namespace acaciasail::soak
