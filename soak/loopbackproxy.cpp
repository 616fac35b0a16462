#include "loopbackproxy.h"

#include <array>
#include <deque>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include "http/internal/address.h"
#include "http/internal/h2oheaders.h"

namespace acaciasail::soak {

namespace {

constexpr kernel::Duration slowDelay = std::chrono::milliseconds(40);
// Held bytes arrive this long after the path is back, as senders repeat them less and less often.
constexpr kernel::Duration heldDelay = std::chrono::milliseconds(3200);
constexpr kernel::Duration unacknowledgedLimit = std::chrono::milliseconds(3000);

// Closes a connection with a TCP reset, as a restarted machine does.
void resetSocket(h2o_socket_t *socket)
{
    const linger atOnce{ 1, 0 };
    setsockopt(h2o_socket_get_fd(socket), SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
    socket->data = nullptr;
    h2o_socket_close(socket);
}

// Returns the bytes, with a fault in the head if they begin with one.
std::string breakHead(std::string bytes, std::size_t fault)
{
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr std::array lines{ "X Broken: a\r\n",
                                "X-Broken : a\r\n",
                                "X\x01"
                                "Broken: a\r\n",
                                ": a\r\n",
                                "Content-Length : 3\r\n",
                                "X-Broken: a\r\n Content-Length: 3\r\n",
                                "X-Broken: a\nb: c\r\n",
                                "Transfer-Encoding: gzip\r\n" };
    constexpr std::array statuses{ "000", "0200", " 200", "20" };
    const std::size_t line = bytes.find("\r\n");
    if (!bytes.starts_with(version) || line == std::string::npos)
        return bytes;
    const std::size_t way = fault % (lines.size() + statuses.size());
    if (way < lines.size())
        bytes.insert(line + 2, lines[way]);
    else
        bytes.replace(version.size(), 3, statuses[way - lines.size()]);
    return bytes;
}

} // namespace

// A client's connection and the connection to the server that it is forwarded to.
class LoopbackProxy::Link
{
public:
    Link(LoopbackProxy &proxy, h2o_socket_t *client)
        : m_proxy(proxy)
    {
        m_ends[0].socket = client;
        client->data = this;
        h2o_socket_read_start(client, &onRead);
    }
    ~Link()
    {
        for (End &end : m_ends) {
            if (end.socket != nullptr)
                resetSocket(end.socket);
        }
    }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    // Starts to connect to the server; returns whether that was possible.
    bool connect()
    {
        auto address = kernel::capture([this] { return http::toSocketAddress(m_proxy.m_target); });
        if (!address)
            return false;
        h2o_socket_t *server = h2o_socket_connect(
            m_proxy.m_loop.native(), address.value().get(), address.value().length,
            [](h2o_socket_t *socket, const char *error) {
                if (auto *link = static_cast<Link *>(socket->data))
                    link->onConnected(error);
            });
        if (server == nullptr)
            return false;
        m_ends[1].socket = server;
        server->data = this;
        return true;
    }

    bool hasLostBytes() const { return m_lostBytes && !m_deaf; }

    // Drops all bytes from now on if some were dropped before.
    void stayDeaf() { m_deaf = m_lostBytes; }

    // Delivers the bytes that were held, after a delay.
    void release()
    {
        for (const std::size_t to : { 0U, 1U }) {
            m_ends[to].timer
                = kernel::Timer(m_proxy.m_loop.scheduler(), heldDelay, [this, to] { pump(to); });
        }
    }

private:
    // Bytes that wait to be sent to one side.
    struct End
    {
        h2o_socket_t *socket = nullptr;
        bool connected = true;
        bool closing = false;
        std::deque<std::string> queue;
        std::string writing;
        kernel::Timer timer;
    };

    void onConnected(const char *error)
    {
        if (error != nullptr) {
            m_proxy.forget(this);
            return;
        }
        m_serverConnected = true;
        h2o_socket_read_start(m_ends[1].socket, &onRead);
        pump(1);
    }

    static void onRead(h2o_socket_t *socket, const char *error)
    {
        auto *link = static_cast<Link *>(socket->data);
        if (link == nullptr)
            return;
        const std::size_t from = link->m_ends[0].socket == socket ? 0 : 1;
        link->take(from, socket, error);
    }

    void take(std::size_t from, h2o_socket_t *socket, const char *error)
    {
        const std::size_t to = 1 - from;
        if (socket->input->size > 0) {
            if (loses(from))
                m_lostBytes = true;
            else
                m_ends[to].queue.push_back(
                    forwarded(from, { socket->input->bytes, socket->input->size }));
            h2o_buffer_consume(&socket->input, socket->input->size);
        }
        if (error != nullptr) {
            h2o_socket_read_stop(socket);
            // While bytes are dropped, a close is dropped as well.
            if (loses(from)) {
                m_lostBytes = true;
                return;
            }
            if (error != h2o_socket_error_closed) {
                m_proxy.forget(this);
                return;
            }
            m_ends[to].closing = true;
        }
        schedule(to);
    }

    std::string forwarded(std::size_t from, std::string bytes)
    {
        if (from == 0 || m_proxy.m_behaviour != ProxyBehaviour::BreaksHeads)
            return bytes;
        return breakHead(std::move(bytes), m_proxy.m_brokenHeads++);
    }

    bool loses(std::size_t from) const
    {
        return m_deaf || m_proxy.m_behaviour == ProxyBehaviour::Silent
               || (m_proxy.m_behaviour == ProxyBehaviour::OneWay && from == 1);
    }

    void schedule(std::size_t to)
    {
        if (m_proxy.m_behaviour == ProxyBehaviour::Held) {
            if (to == 1 && !m_ends[to].queue.empty())
                limitHolding();
            return;
        }
        if (m_proxy.m_behaviour != ProxyBehaviour::Slow) {
            pump(to);
            return;
        }
        m_ends[to].timer
            = kernel::Timer(m_proxy.m_loop.scheduler(), slowDelay, [this, to] { pump(to); });
    }

    // The routers let the system end a connection whose bytes nobody acknowledges for this long. A
    // proxy acknowledges them at once, so it ends the connection instead. Bytes of a connection
    // that was closed in good order are delivered all the same.
    void limitHolding()
    {
        if (std::exchange(m_holding, true))
            return;
        m_holdingLimit = kernel::Timer(m_proxy.m_loop.scheduler(), unacknowledgedLimit, [this] {
            if (!m_ends[1].closing)
                m_proxy.forget(this);
        });
    }

    void pump(std::size_t to)
    {
        End &end = m_ends[to];
        const bool held = m_proxy.m_behaviour == ProxyBehaviour::Held;
        if (held || !end.writing.empty() || end.socket == nullptr
            || (to == 1 && !m_serverConnected))
            return;
        if (end.queue.empty()) {
            if (end.closing)
                closeOrderly();
            return;
        }
        if (to == 1) {
            m_holding = false;
            m_holdingLimit.cancel();
        }
        end.writing = std::move(end.queue.front());
        end.queue.pop_front();
        h2o_iovec_t buffer = h2o_iovec_init(end.writing.data(), end.writing.size());
        h2o_socket_write(end.socket, &buffer, 1, [](h2o_socket_t *socket, const char *error) {
            auto *link = static_cast<Link *>(socket->data);
            if (link == nullptr)
                return;
            const std::size_t written = link->m_ends[0].socket == socket ? 0 : 1;
            link->m_ends[written].writing.clear();
            if (error != nullptr)
                link->m_proxy.forget(link);
            else
                link->pump(written);
        });
    }

    void closeOrderly()
    {
        for (End &end : m_ends) {
            h2o_socket_t *socket = std::exchange(end.socket, nullptr);
            socket->data = nullptr;
            h2o_socket_close(socket);
        }
        m_proxy.forget(this);
    }

    LoopbackProxy &m_proxy;
    // The client, then the server.
    std::array<End, 2> m_ends;
    bool m_serverConnected = false;
    bool m_lostBytes = false;
    bool m_deaf = false;
    bool m_holding = false;
    kernel::Timer m_holdingLimit;
};

LoopbackProxy::LoopbackProxy(http::EventLoop &loop, kernel::Endpoint target)
    : m_loop(loop)
    , m_target(std::move(target))
{
    auto fd = kernel::capture([] { return http::openListener({ "127.0.0.1", 0 }); });
    if (!fd.ok())
        throw std::runtime_error(fd.error().message);
    http::SocketAddress bound;
    bound.length = sizeof bound.storage;
    getsockname(fd.value(), bound.get(), &bound.length);
    m_endpoint = http::toEndpoint(bound);
    m_listener = h2o_evloop_socket_create(m_loop.native(), fd.value(), H2O_SOCKET_FLAG_DONT_READ);
    m_listener->data = this;
    h2o_socket_read_start(m_listener, [](h2o_socket_t *socket, const char *error) {
        if (error == nullptr)
            static_cast<LoopbackProxy *>(socket->data)->accept();
    });
}

LoopbackProxy::~LoopbackProxy()
{
    stopListening();
}

void LoopbackProxy::stopListening()
{
    if (m_listener != nullptr)
        h2o_socket_close(std::exchange(m_listener, nullptr));
}

void LoopbackProxy::accept()
{
    while (h2o_socket_t *client = h2o_evloop_socket_accept(m_listener)) {
        auto link = std::make_unique<Link>(*this, client);
        if (link->connect())
            m_links.emplace(link.get(), std::move(link));
    }
}

void LoopbackProxy::forget(Link *link)
{
    m_links.erase(link);
}

void LoopbackProxy::setBehaviour(ProxyBehaviour behaviour)
{
    if (behaviour != m_behaviour)
        std::erase_if(m_links, [](const auto &item) { return item.first->hasLostBytes(); });
    const bool releases = std::exchange(m_behaviour, behaviour) == ProxyBehaviour::Held;
    if (releases && behaviour != ProxyBehaviour::Held) {
        for (const auto &[link, owner] : m_links)
            link->release();
    }
}

void LoopbackProxy::passNewConnections()
{
    for (const auto &[link, owner] : m_links)
        link->stayDeaf();
    m_behaviour = ProxyBehaviour::Pass;
}

void LoopbackProxy::resetConnections()
{
    m_links.clear();
}

} // namespace acaciasail::soak
