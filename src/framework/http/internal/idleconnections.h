#pragma once

#include <list>
#include <map>
#include <memory>

#include "http/internal/h2oheaders.h"
#include "kernel/kernel.h"

namespace acaciasail::http {

/// Closes a socket when its owner goes.
struct SocketCloser
{
    void operator()(h2o_socket_t *socket) const
    {
        socket->data = nullptr;
        h2o_socket_close(socket);
    }
};
using SocketPtr = std::unique_ptr<h2o_socket_t, SocketCloser>;

/// A client's connections that wait for their next request. Bytes or an end that come meanwhile
/// belong to no request, so either closes the connection.
class IdleConnections
{
public:
    explicit IdleConnections(const kernel::Scheduler &scheduler)
        : m_scheduler(scheduler)
    {}
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

    /// Keeps a connection for at most that long.
    void put(const kernel::Endpoint &endpoint, SocketPtr socket, kernel::Duration keepFor);
    /// The connection that was used last, if it was idle for less than the time given.
    SocketPtr take(const kernel::Endpoint &endpoint, kernel::Duration maxIdle);

private:
    struct Idle
    {
        IdleConnections *owner;
        kernel::Endpoint endpoint;
        SocketPtr socket;
        kernel::Instant since;
        kernel::Instant keepUntil;
    };

    void drop(const Idle &idle);

    const kernel::Scheduler &m_scheduler;
    std::map<kernel::Endpoint, std::list<Idle>> m_idle;
};

} // namespace acaciasail::http
