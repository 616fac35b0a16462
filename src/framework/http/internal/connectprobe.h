#pragma once

#include <memory>

#include "http/internal/client.h"
#include "http/internal/idleconnections.h"

namespace acaciasail::http {

/// Opens a connection without a request and keeps it for the next one; see Client::connect().
class ConnectProbe : public Exchange
{
public:
    ConnectProbe(const kernel::Scheduler &scheduler, std::shared_ptr<IdleConnections> idle,
                 kernel::Endpoint endpoint, kernel::Callback<kernel::Done> callback);
    ConnectProbe(const ConnectProbe &) = delete;
    ConnectProbe &operator=(const ConnectProbe &) = delete;

    /// Begins; the callback comes later in any case.
    void begin(EventLoop &loop, kernel::Duration timeout);

private:
    static void onConnect(h2o_socket_t *socket, const char *error);
    void fail(kernel::ResultCode code, std::string_view why);
    void failLater(std::string why);

    const kernel::Scheduler &m_scheduler;
    std::shared_ptr<IdleConnections> m_idle;
    kernel::Endpoint m_endpoint;
    kernel::Callback<kernel::Done> m_callback;
    SocketPtr m_socket;
    kernel::Timer m_timer;
};

} // namespace acaciasail::http
