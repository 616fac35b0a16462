#include "configurationcheck.h"

#include <algorithm>

#include "platform/testing/wireforms.h"

namespace acaciasail::soak {

namespace {

constexpr kernel::Duration interval = std::chrono::milliseconds(700);
constexpr kernel::Duration requestTimeout = std::chrono::seconds(2);
// Time within which a router that reaches the store must apply a change.
constexpr kernel::Duration bound = std::chrono::seconds(5);

} // namespace

ConfigurationCheck::ConfigurationCheck(http::EventLoop &loop, World &world, kernel::Random random)
    : m_loop(loop)
    , m_world(world)
    , m_client(loop)
    , m_random(random)
{
    check();
}

void ConfigurationCheck::check()
{
    const std::size_t router = kernel::uniformBelow(m_random, m_world.routers().size());
    if (mustKnow(router))
        ask(router);
    m_next = kernel::Timer(m_loop.scheduler(), interval, [this] { check(); });
}

bool ConfigurationCheck::mustKnow(std::size_t router) const
{
    const kernel::Instant since = m_loop.scheduler().now() - bound;
    if (m_world.configuredAt() > since)
        return false;
    const auto touches = [&](const Disturbance &one) {
        return (!one.router || *one.router == router) && one.to >= since;
    };
    const Record &record = m_world.record();
    return std::ranges::none_of(record.storeTrouble, touches)
           && std::ranges::none_of(record.unplanned, touches)
           && std::ranges::none_of(record.planned, touches);
}

void ConfigurationCheck::ask(std::size_t router)
{
    http::ClientRequest request = platform::testing::makeCallerRequest(
        m_world.routers()[router].callers, "/extra/x", "c" + std::to_string(++m_lastRequest),
        requestTimeout);
    request.maxIdle = {};
    const int expected = m_world.extraRoute() ? 200 : 404;
    const kernel::Instant configuredAt = m_world.configuredAt();
    m_client.fetch(
        request, [this, alive = std::weak_ptr<bool>(m_alive), router, expected,
                  configuredAt](const kernel::Completion<http::ClientResponse> &outcome) {
            if (alive.expired() || !outcome.ok() || configuredAt != m_world.configuredAt()
                || outcome.value().head.status == expected || !mustKnow(router))
                return;
            m_world.record().broken.push_back("a configuration is in force after 5 s: router "
                                              + std::to_string(router) + " answered "
                                              + std::to_string(outcome.value().head.status)
                                              + " where " + std::to_string(expected) + " is right");
        });
}

} // namespace acaciasail::soak
