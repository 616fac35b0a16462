#pragma once

#include "http/internal/server.h"

namespace acaciasail::http {

/// Writes one whole response straight to a connection whose request isn't read to its end, and then
/// ends the sending side. A response in pieces isn't possible and ends the connection.
class DirectResponder : public Responder
{
public:
    /// The descriptor must stay open until the handler returns.
    explicit DirectResponder(int descriptor)
        : m_descriptor(descriptor)
    {}

    void send(int status, const Headers &headers, std::string_view body) override;
    void start(int status, const Headers &headers) override;
    void write(std::string_view) override {}
    void finish() override {}
    void abort() override;
    std::size_t queuedBytes() const override { return 0; }
    void whenDrained(std::function<void()>) override {}
    void whenClosed(std::function<void()>) override {}
    bool closed() const override { return m_descriptor < 0; }
    bool hasCallerLeft() const override { return closed(); }
    /// Gives the descriptor up; later calls do nothing.
    void detach() { m_descriptor = -1; }

private:
    int m_descriptor;
};

} // namespace acaciasail::http
