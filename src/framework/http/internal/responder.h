#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "http/internal/h2oheaders.h"
#include "http/internal/server.h"

namespace acaciasail::http {

class CallerConnections;
struct CallerConnection;

/// Returns the standard reason phrase of a status.
const char *reasonOf(int status);

/// The answer to a request of h2o's. It stays valid when h2o has freed the request.
class H2oResponder : public Responder, public std::enable_shared_from_this<H2oResponder>
{
public:
    explicit H2oResponder(h2o_req_t *request);
    ~H2oResponder() override;
    H2oResponder(const H2oResponder &) = delete;
    H2oResponder &operator=(const H2oResponder &) = delete;

    /// Calls the function once, when the answer is finished or its caller has gone.
    void setOnEnd(std::function<void()> function) { m_onEnd = std::move(function); }
    /// Arranges to be told when h2o frees the request, which is when its last byte was sent. Until
    /// then what is held for it counts with its connection.
    void attach(std::shared_ptr<CallerConnections> connections);

    void send(int status, const Headers &headers, std::string_view body) override;
    void start(int status, const Headers &headers) override;
    void write(std::string_view piece) override;
    void finish() override;
    void abort() override;
    std::size_t queuedBytes() const override;
    std::size_t queueLimit() const override;
    void whenDrained(std::function<void()> function) override;
    void whenClosed(std::function<void()> function) override;
    bool closed() const override { return m_request == nullptr; }
    bool hasCallerLeft() const override;

    /// Whether nothing was sent since the last call; a failed write would show that the caller
    /// has gone.
    bool silentSinceLastCheck() { return m_request != nullptr && !std::exchange(m_wrote, false); }
    /// The connection's descriptor; -1 once the answer has ended.
    int descriptor() const;
    /// Ends the answer because its caller has gone.
    void callerGone();
    /// The same where h2o has not noticed; its connection is closed too. Waits where h2o is
    /// writing, for that write will fail.
    void hangUp();

private:
    struct Generator
    {
        h2o_generator_t super;
        H2oResponder *owner;
    };

    static void onProceed(h2o_generator_t *generator, h2o_req_t *request);
    static void onStop(h2o_generator_t *generator, h2o_req_t *request);
    // Lives in the memory of h2o's request.
    struct Attachment
    {
        std::weak_ptr<H2oResponder> responder;
        std::shared_ptr<CallerConnections> connections;
        std::shared_ptr<CallerConnection> connection;
        // Bytes of the request's body, and of the answer's end that h2o has copied.
        std::size_t bodyBytes;
        std::size_t endBytes;
    };

    static void onDispose(void *memory);

    void setHead(int status, const Headers &headers);
    void pump();
    // Counts what is queued now with the connection.
    void countQueue();
    void sendFinal(h2o_send_state_t state);
    void end();

    h2o_req_t *m_request;
    std::function<void()> m_onEnd;
    std::function<void()> m_onClosed;
    std::function<void()> m_onDrained;
    Generator m_generator;
    std::shared_ptr<H2oResponder> m_self;
    std::string m_queue;
    std::string m_inFlight;
    std::shared_ptr<CallerConnections> m_connections;
    std::shared_ptr<CallerConnection> m_connection;
    Attachment *m_attachment = nullptr;
    std::size_t m_countedBytes = 0;
    bool m_started = false;
    bool m_sending = false;
    bool m_finishing = false;
    bool m_aborting = false;
    bool m_wrote = false;
};

} // namespace acaciasail::http
