#pragma once

#include <memory>
#include <vector>

#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::standins {

/// A server that can crash: it closes all connections, and refuses new ones for a while.
class Listener
{
public:
    Listener(http::EventLoop &loop, kernel::Endpoint endpoint, http::RequestHandler handler);

    /// Errors: ListenFailed.
    kernel::Completion<kernel::Done> open();
    /// Closes the server on the next turn, without an answer to the given requests, and opens it
    /// again after a time.
    void crash(kernel::Duration downTime, std::vector<std::shared_ptr<http::Responder>> unanswered);
    /// The address in use; the port stays the same over a crash.
    const kernel::Endpoint &endpoint() const { return m_endpoint; }

private:
    void reopen();

    http::EventLoop *m_loop;
    kernel::Endpoint m_endpoint;
    http::RequestHandler m_handler;
    std::unique_ptr<http::Server> m_server;
    kernel::Timer m_closing;
    kernel::Timer m_opening;
};

} // namespace acaciasail::standins
