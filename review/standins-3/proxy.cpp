#include "proxy.h"

#include <array>
#include <utility>

#include <sys/socket.h>

namespace review {

namespace {

constexpr Milliseconds connectTime{ 1000 };

// Closing the connection after this sends a reset.
void resetOnClose(const Socket &socket)
{
    const linger now{ .l_onoff = 1, .l_linger = 0 };
    setsockopt(socket.fd(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

} // namespace

Proxy::Proxy(int serverPort)
    : m_serverPort(serverPort)
{
    heal();
}

Proxy::~Proxy()
{
    refuse();
    reset();
}

void Proxy::heal()
{
    const std::lock_guard lock(m_mutex);
    if (m_listener)
        return;
    m_listener = std::make_shared<Socket>(listenOnLoopback(m_port));
    m_acceptor = std::thread([this, listener = m_listener] { serve(listener); });
}

void Proxy::refuse()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_listener)
            return;
        shutDown(*m_listener);
        m_listener.reset();
    }
    m_acceptor.join();
}

void Proxy::reset()
{
    std::vector<std::weak_ptr<Link>> links;
    {
        const std::lock_guard lock(m_mutex);
        links = std::exchange(m_links, {});
    }
    for (const auto &weak : links) {
        if (const auto link = weak.lock()) {
            resetOnClose(link->caller);
            resetOnClose(link->server);
            shutDown(link->caller);
            shutDown(link->server);
        }
    }
}

void Proxy::serve(const std::shared_ptr<Socket> &listener)
{
    while (true) {
        Socket caller = acceptFrom(*listener);
        if (!caller.isOpen())
            return;
        auto link = std::make_shared<Link>();
        link->caller = std::move(caller);
        link->server = connectTo(m_serverPort, connectTime);
        if (!link->server.isOpen())
            continue;
        {
            const std::lock_guard lock(m_mutex);
            m_links.push_back(link);
        }
        std::thread([link] { pass(link->caller, link->server); }).detach();
        std::thread([link] { pass(link->server, link->caller); }).detach();
    }
}

// Passes bytes on until one side ends; the link's last thread closes both.
void Proxy::pass(const Socket &from, const Socket &to)
{
    constexpr std::size_t pieceBytes = 64U << 10U;
    std::array<char, pieceBytes> piece{};
    while (true) {
        const ssize_t count = recv(from.fd(), piece.data(), piece.size(), 0);
        if (count <= 0
            || !sendAll(to, std::string_view(piece.data(), static_cast<std::size_t>(count))))
            break;
    }
    shutDown(from);
    shutDown(to);
}

void cut(const std::vector<std::unique_ptr<Proxy>> &proxies)
{
    for (const auto &proxy : proxies)
        proxy->refuse();
    for (const auto &proxy : proxies)
        proxy->reset();
}

void heal(const std::vector<std::unique_ptr<Proxy>> &proxies)
{
    for (const auto &proxy : proxies)
        proxy->heal();
}

} // namespace review
