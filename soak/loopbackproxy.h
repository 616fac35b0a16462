#pragma once

#include <memory>
#include <unordered_map>

#include "http/http.h"
#include "kernel/kernel.h"

struct st_h2o_socket_t;

namespace acaciasail::soak {

/// How a proxy treats the bytes of its connections.
enum class ProxyBehaviour {
    Pass,
    /// Each piece is passed on later.
    Slow,
    /// What the server sends is lost; what the client sends arrives.
    OneWay,
    /// What either side sends is lost, and new connections are taken and hang.
    Silent,
};

/// Passes on the connections of one listening address on the loopback to another address.
class LoopbackProxy
{
public:
    LoopbackProxy(http::EventLoop &loop, kernel::Endpoint target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    const kernel::Endpoint &endpoint() const { return m_endpoint; }
    /// Connections that have lost bytes are reset when the behaviour changes.
    void setBehaviour(ProxyBehaviour behaviour);
    /// Resets all connections.
    void resetConnections();

private:
    class Link;
    void accept();
    void forget(Link *link);

    http::EventLoop &m_loop;
    kernel::Endpoint m_target;
    kernel::Endpoint m_endpoint;
    ProxyBehaviour m_behaviour = ProxyBehaviour::Pass;
    st_h2o_socket_t *m_listener = nullptr;
    std::unordered_map<Link *, std::unique_ptr<Link>> m_links;
};

} // namespace acaciasail::soak
