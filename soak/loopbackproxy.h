#pragma once

#include <memory>
#include <unordered_map>

#include "http/http.h"
#include "kernel/kernel.h"

struct st_h2o_socket_t;

namespace acaciasail::soak {

/// How a proxy forwards the bytes of its connections.
enum class ProxyBehaviour {
    Pass,
    /// Bytes are forwarded with a delay.
    Slow,
    /// Bytes from the server are dropped; bytes from the client are forwarded.
    OneWay,
    /// Bytes of both directions are dropped; new connections are accepted and stay silent.
    Silent,
    /// Bytes of both directions are kept, and delivered some time after the behaviour changes. A
    /// client that resets its connection takes its bytes back.
    Held,
    /// The head of each answer that begins a piece of the server's bytes is changed into one that
    /// the grammar of HTTP/1.1 doesn't allow; the way changes from answer to answer.
    BreaksHeads,
};

/// Forwards the connections to a loopback address to another address.
class LoopbackProxy
{
public:
    LoopbackProxy(http::EventLoop &loop, kernel::Endpoint target);
    ~LoopbackProxy();
    LoopbackProxy(const LoopbackProxy &) = delete;
    LoopbackProxy &operator=(const LoopbackProxy &) = delete;

    const kernel::Endpoint &endpoint() const { return m_endpoint; }
    /// Sets the behaviour. Connections that have dropped bytes are reset.
    void setBehaviour(ProxyBehaviour behaviour);
    /// Forwards new connections. Those that have dropped bytes are not reset, and stay silent for
    /// good.
    void passNewConnections();
    /// Refuses new connections from now on; those that are open stay.
    void stopListening();
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
    std::size_t m_brokenHeads = 0;
    st_h2o_socket_t *m_listener = nullptr;
    std::unordered_map<Link *, std::unique_ptr<Link>> m_links;
};

} // namespace acaciasail::soak
