#include "listener.h"

#include <utility>

namespace acaciasail::standins {

namespace {

constexpr kernel::Duration reopenRetry = std::chrono::milliseconds(50);

} // namespace

Listener::Listener(http::EventLoop &loop, kernel::Endpoint endpoint, http::RequestHandler handler)
    : m_loop(&loop)
    , m_endpoint(std::move(endpoint))
    , m_handler(std::move(handler))
{}

kernel::Completion<kernel::Done> Listener::open()
{
    auto opened = kernel::capture(
        [this] { return http::Server::listen(*m_loop, { .listen = m_endpoint }, m_handler); });
    if (!opened.ok())
        return opened.error();
    m_server = std::move(opened.value());
    m_endpoint = m_server->endpoint();
    return kernel::Done{};
}

void Listener::crash(kernel::Duration downTime,
                     std::vector<std::shared_ptr<http::Responder>> unanswered)
{
    // Not at once: the server may be running one of its handlers.
    m_closing = kernel::Timer(m_loop->scheduler(), {}, [this, unanswered = std::move(unanswered)] {
        for (const auto &responder : unanswered)
            responder->abort();
        m_server = nullptr;
    });
    m_opening = kernel::Timer(m_loop->scheduler(), downTime, [this] { reopen(); });
}

void Listener::reopen()
{
    m_server = nullptr;
    if (!open().ok())
        m_opening = kernel::Timer(m_loop->scheduler(), reopenRetry, [this] { reopen(); });
}

} // namespace acaciasail::standins
