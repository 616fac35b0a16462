#include "wire/internal/http2transport.h"

#include <unordered_map>
#include <utility>

#include <openssl/ssl.h>
#include <openssl/x509_vfy.h>
#include <sys/socket.h>

#include "wire/internal/h2oheaders.h"
#include "wire/internal/peerlink.h"
#include "wire/internal/serverconnection.h"

namespace acaciasail::wire {

struct Http2Transport::Impl
{
    Impl(http::EventLoop &loop, TransportOptions options)
        : context{ loop, std::move(options), {}, nullptr, nullptr, {} }
    {}
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;
    ~Impl()
    {
        if (listener != nullptr)
            h2o_socket_close(listener);
    }

    kernel::Result<void> loadTls();
    void listenOn(int fd);
    void accept();
    PeerLink &linkTo(const kernel::Endpoint &endpoint);

    TransportContext context;
    kernel::Endpoint endpoint;
    h2o_socket_t *listener = nullptr;
    std::unordered_map<std::uint64_t, std::unique_ptr<ServerConnection>> accepted;
    std::uint64_t lastAccepted = 0;
    std::unordered_map<kernel::Endpoint, std::unique_ptr<PeerLink>> links;
    std::shared_ptr<bool> token = std::make_shared<bool>(true);
};

kernel::Result<void> Http2Transport::Impl::loadTls()
{
    const http::TlsFiles &files = *context.options.tls;
    if (files.authorityFile.empty())
        return kernel::fail(kernel::ResultCode::TlsFailed,
                            "peers need an authority to check each other's certificates");
    auto client = http::loadClientTls(files);
    if (!client)
        return client.error();
    auto server = http::loadServerTls(files);
    if (!server)
        return server.error();
    for (SSL_CTX *loaded : { client->get(), server->get() })
        X509_VERIFY_PARAM_set1_host(SSL_CTX_get0_param(loaded), peerCertificateName, 0);
    // The server's session tickets would carry no certificate of the client.
    SSL_CTX_set_session_cache_mode(server->get(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_options(server->get(), SSL_OP_NO_TICKET);
    SSL_CTX_set_num_tickets(server->get(), 0);
    context.clientTls = std::move(client.value());
    context.serverTls = std::move(server.value());
    return {};
}

void Http2Transport::Impl::listenOn(int fd)
{
    http::SocketAddress bound;
    bound.length = sizeof bound.storage;
    getsockname(fd, bound.get(), &bound.length);
    endpoint = http::toEndpoint(bound);
    listener = h2o_evloop_socket_create(context.loop.native(), fd, H2O_SOCKET_FLAG_DONT_READ);
    listener->data = this;
    h2o_socket_read_start(listener, [](h2o_socket_t *socket, const char *error) {
        if (error == nullptr)
            static_cast<Impl *>(socket->data)->accept();
    });
}

void Http2Transport::Impl::accept()
{
    constexpr int maxAcceptsPerTurn = 64;
    for (int i = 0; i < maxAcceptsPerTurn; ++i) {
        h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr)
            return;
        if (accepted.size() >= context.options.maxConnections) {
            h2o_socket_close(socket);
            continue;
        }
        ++context.traffic.connectionsAccepted;
        const std::uint64_t id = ++lastAccepted;
        // The connection is within its own call when it ends, so it is freed on the next turn.
        const auto onGone = [this, id] {
            context.loop.scheduler().startTimer(kernel::Duration::zero(),
                                                [this, id, alive = std::weak_ptr<bool>(token)] {
                                                    if (!alive.expired())
                                                        accepted.erase(id);
                                                });
        };
        accepted.emplace(id, std::make_unique<ServerConnection>(context, socket, onGone));
    }
}

PeerLink &Http2Transport::Impl::linkTo(const kernel::Endpoint &peer)
{
    const auto found = links.find(peer);
    if (found != links.end())
        return *found->second;
    // Peers come and go; what belonged to the ones that went is dropped when a new one comes.
    std::erase_if(links, [](const auto &item) { return item.second->unused(); });
    return *links.emplace(peer, std::make_unique<PeerLink>(context, peer)).first->second;
}

Http2Transport::Http2Transport(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{}

Http2Transport::~Http2Transport() = default;

kernel::Result<std::unique_ptr<Http2Transport>> Http2Transport::listen(http::EventLoop &loop,
                                                                       TransportOptions options)
{
    auto impl = std::make_unique<Impl>(loop, std::move(options));
    if (impl->context.options.tls) {
        auto loaded = impl->loadTls();
        if (!loaded)
            return loaded.error();
    }
    auto fd = http::openListener(impl->context.options.listen);
    if (!fd)
        return fd.error();
    impl->listenOn(fd.value());
    return std::unique_ptr<Http2Transport>(new Http2Transport(std::move(impl)));
}

Transport Http2Transport::transport()
{
    Transport transport;
    transport.call
        = [impl = m_impl.get()](const kernel::Endpoint &to, Message message,
                                kernel::Duration timeout, kernel::Callback<std::string> callback) {
              impl->linkTo(to).call(std::move(message), timeout, std::move(callback));
          };
    transport.handle = [impl = m_impl.get()](const std::string &method, MessageHandler handler) {
        impl->context.handlers[method] = std::move(handler);
    };
    return transport;
}

kernel::Endpoint Http2Transport::endpoint() const
{
    return m_impl->endpoint;
}

const TransportTraffic &Http2Transport::traffic() const
{
    return m_impl->context.traffic;
}

std::size_t Http2Transport::connections() const
{
    std::size_t count = m_impl->accepted.size();
    for (const auto &[peer, link] : m_impl->links)
        count += link->connected() ? 1 : 0;
    return count;
}

} // namespace acaciasail::wire
