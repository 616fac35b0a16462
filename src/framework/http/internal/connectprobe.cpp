#include "http/internal/connectprobe.h"

#include <utility>

#include "http/internal/address.h"
#include "http/internal/eventloop.h"
#include "http/internal/socketoptions.h"

namespace acaciasail::http {

namespace {

// A connection that a probe opened is kept for this time.
constexpr kernel::Duration keepFor = std::chrono::seconds(2);

} // namespace

ConnectProbe::ConnectProbe(const kernel::Scheduler &scheduler,
                           std::shared_ptr<IdleConnections> idle, kernel::Endpoint endpoint,
                           kernel::Callback<kernel::Done> callback)
    : m_scheduler(scheduler)
    , m_idle(std::move(idle))
    , m_endpoint(std::move(endpoint))
    , m_callback(std::move(callback))
{}

void ConnectProbe::begin(EventLoop &loop, kernel::Duration timeout)
{
    auto address = kernel::capture([&] { return toSocketAddress(m_endpoint); });
    if (!address) {
        failLater(address.error().message);
        return;
    }
    h2o_socket_t *socket = h2o_socket_connect(loop.native(), address.value().get(),
                                              address.value().length, &ConnectProbe::onConnect);
    if (socket == nullptr) {
        failLater("connect failed");
        return;
    }
    m_socket.reset(socket);
    m_socket->data = this;
    setConnectionTimeouts(h2o_socket_get_fd(socket));
    limitReceiveBuffer(h2o_socket_get_fd(socket));
    m_timer = kernel::Timer(m_scheduler, timeout, [this] {
        fail(kernel::ResultCode::UpstreamTimeout, "no connection within the time-out");
    });
}

void ConnectProbe::onConnect(h2o_socket_t *socket, const char *error)
{
    auto *probe = static_cast<ConnectProbe *>(socket->data);
    if (probe == nullptr)
        return;
    if (error != nullptr) {
        probe->fail(kernel::ResultCode::UpstreamConnectFailed, error);
        return;
    }
    probe->m_timer.cancel();
    probe->m_socket->data = nullptr;
    probe->m_idle->put(probe->m_endpoint, std::move(probe->m_socket), keepFor);
    const auto callback = std::move(probe->m_callback);
    callback(kernel::Done{});
}

// The callback may destroy the probe.
void ConnectProbe::fail(kernel::ResultCode code, std::string_view why)
{
    m_timer.cancel();
    m_socket.reset();
    const auto callback = std::move(m_callback);
    callback(kernel::Error{ code, std::string(why) });
}

void ConnectProbe::failLater(std::string why)
{
    m_timer = kernel::Timer(m_scheduler, kernel::Duration::zero(), [this, why = std::move(why)] {
        fail(kernel::ResultCode::UpstreamConnectFailed, why);
    });
}

} // namespace acaciasail::http
