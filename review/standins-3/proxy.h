#pragma once

#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "wire.h"

namespace review {

/// A TCP proxy before one server. While it is cut, its connections are reset and new ones refused.
class Proxy
{
public:
    explicit Proxy(int serverPort);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    int port() const { return m_port; }
    /// Refuses new connections.
    void refuse();
    /// Resets the connections, once new ones are refused.
    void reset();
    void heal();

private:
    struct Link
    {
        Socket caller;
        Socket server;
    };

    void serve(const std::shared_ptr<Socket> &listener);
    static void pass(const Socket &from, const Socket &to);

    int m_serverPort = 0;
    int m_port = 0;
    std::mutex m_mutex;
    std::shared_ptr<Socket> m_listener;
    std::vector<std::weak_ptr<Link>> m_links;
    std::thread m_acceptor;
};

/// Cuts all links at the same moment.
void cut(const std::vector<std::unique_ptr<Proxy>> &proxies);
void heal(const std::vector<std::unique_ptr<Proxy>> &proxies);

} // namespace review
