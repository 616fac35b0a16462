#include "http/internal/idleconnections.h"

#include <utility>

namespace acaciasail::http {

namespace {

// Idle connections kept for one endpoint; further ones are closed.
constexpr std::size_t maxIdlePerEndpoint = 32;

} // namespace

void IdleConnections::put(const kernel::Endpoint &endpoint, SocketPtr socket,
                          kernel::Duration keepFor)
{
    std::list<Idle> &list = m_idle[endpoint];
    if (list.size() >= maxIdlePerEndpoint)
        list.pop_front();
    const kernel::Instant now = m_scheduler.now();
    list.push_back({ this, endpoint, std::move(socket), now, now + keepFor });
    Idle &idle = list.back();
    idle.socket->data = &idle;
    h2o_socket_read_start(idle.socket.get(), [](h2o_socket_t *sock, const char *) {
        if (auto *owner = static_cast<Idle *>(sock->data))
            owner->owner->drop(*owner);
    });
}

SocketPtr IdleConnections::take(const kernel::Endpoint &endpoint, kernel::Duration maxIdle)
{
    const auto found = m_idle.find(endpoint);
    if (found == m_idle.end())
        return nullptr;
    std::list<Idle> &list = found->second;
    const kernel::Instant now = m_scheduler.now();
    std::erase_if(list, [now](const Idle &idle) { return idle.keepUntil <= now; });
    if (list.empty() || now - list.back().since >= maxIdle)
        return nullptr;
    SocketPtr socket = std::move(list.back().socket);
    list.pop_back();
    socket->data = nullptr;
    h2o_socket_read_stop(socket.get());
    return socket;
}

void IdleConnections::drop(const Idle &idle)
{
    std::list<Idle> &list = m_idle[idle.endpoint];
    list.remove_if([&idle](const Idle &other) { return &other == &idle; });
}

} // namespace acaciasail::http
