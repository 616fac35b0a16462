#include "http/internal/client.h"

#include <algorithm>
#include <cctype>
#include <utility>
#include <vector>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "http/internal/address.h"
#include "http/internal/answerparser.h"
#include "http/internal/connectprobe.h"
#include "http/internal/h2oheaders.h"
#include "http/internal/idleconnections.h"
#include "http/internal/socketoptions.h"

namespace acaciasail::http {

namespace {

// Longest time for which a request whose answer is complete may still be on its way.
constexpr kernel::Duration lingerTime = std::chrono::seconds(1);
// Part of an upstream's advertised idle time for which its connection is kept.
constexpr double keptPartOfKeepAlive = 0.5;

std::string formatHead(const ClientRequest &request)
{
    const std::string host
        = request.host.empty() ? kernel::toString(request.endpoint) : request.host;
    std::string head = request.method + " " + request.path + " HTTP/1.1\r\nhost: " + host + "\r\n";
    for (const Header &header : request.headers)
        head += header.name + ": " + header.value + "\r\n";
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT")
        head += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    return head + "\r\n";
}

bool isOneWord(std::string_view text)
{
    return !hasControlByte(text) && text.find_first_of(" \t") == std::string_view::npos;
}

// Returns whether a request's head would be read as it was meant: no part of it ends its line, or
// the part of the line that it stands in.
bool isSendable(const ClientRequest &request)
{
    return isOneWord(request.method) && isOneWord(request.path) && isOneWord(request.host)
           && std::ranges::all_of(request.headers, [](const Header &header) {
                  return isOneWord(header.name) && header.name.find(':') == std::string::npos
                         && !hasControlByte(header.value);
              });
}

// The idle time that an upstream states in Keep-Alive, if any.
std::optional<kernel::Duration> advertisedIdleTime(const Headers &headers)
{
    constexpr std::string_view parameter = "timeout=";
    const auto value = findHeader(headers, "keep-alive");
    if (!value)
        return std::nullopt;
    const std::size_t at = value->find(parameter);
    if (at == std::string_view::npos)
        return std::nullopt;
    return std::chrono::seconds(
        std::atoi(std::string(value->substr(at + parameter.size())).c_str()));
}

// One request in progress. Its owner holds it through a handle; callbacks hold it while they run.
class ExchangeState : public std::enable_shared_from_this<ExchangeState>
{
public:
    ExchangeState(EventLoop &loop, std::shared_ptr<IdleConnections> idle,
                  const ClientRequest &request, ClientHandlers handlers)
        : m_loop(loop)
        , m_idle(std::move(idle))
        , m_endpoint(request.endpoint)
        , m_handlers(std::move(handlers))
        , m_connectTimeout(request.connectTimeout)
        , m_idleTimeout(request.idleTimeout)
        , m_totalTimeout(request.totalTimeout)
        , m_maxIdle(request.maxIdle)
        , m_echoedHeader(request.echoedHeader)
        , m_bytes(formatHead(request) + request.body)
        , m_parser(request.method == "HEAD", { [this](const ClientHead &head) { onHead(head); },
                                               [this](std::string_view piece) { onBody(piece); } })
    {
        if (!m_echoedHeader.empty())
            m_echoedValue = findHeader(request.headers, m_echoedHeader).value_or("");
    }
    ExchangeState(const ExchangeState &) = delete;
    ExchangeState &operator=(const ExchangeState &) = delete;

    // Begins on a kept connection or opens one; tells whether one was opened.
    bool begin(SocketAddress address)
    {
        m_socket = m_idle->take(m_endpoint, m_maxIdle);
        if (m_socket) {
            // The owner gets its handle before the first callback.
            m_timer
                = kernel::Timer(scheduler(), kernel::Duration::zero(), [this] { sendRequest(); });
            return false;
        }
        m_timer = kernel::Timer(scheduler(), m_connectTimeout, [this] {
            end(kernel::Error{ kernel::ResultCode::UpstreamConnectFailed,
                               "no connection within the time-out" });
        });
        h2o_socket_t *socket
            = h2o_socket_connect(m_loop.native(), address.get(), address.length, &onConnect);
        if (socket == nullptr) {
            m_timer = kernel::Timer(scheduler(), kernel::Duration::zero(), [this] {
                end(kernel::Error{ kernel::ResultCode::UpstreamConnectFailed, "connect failed" });
            });
            return true;
        }
        m_socket.reset(socket);
        m_socket->data = this;
        setConnectionTimeouts(h2o_socket_get_fd(socket));
        limitReceiveBuffer(h2o_socket_get_fd(socket));
        return true;
    }

    // Ends the exchange for its owner; no handler is called any more.
    void abandon()
    {
        m_ended = true;
        m_timer.cancel();
        m_totalTimer.cancel();
        letGo();
    }

    void pauseReading(bool pause)
    {
        if (m_ended || !m_socket || !m_sent || pause == m_paused)
            return;
        m_paused = pause;
        if (pause)
            h2o_socket_read_stop(m_socket.get());
        else
            h2o_socket_read_start(m_socket.get(), &onRead);
    }

private:
    const kernel::Scheduler &scheduler() const { return m_loop.scheduler(); }

    static void onConnect(h2o_socket_t *socket, const char *error)
    {
        auto *raw = static_cast<ExchangeState *>(socket->data);
        if (raw == nullptr)
            return;
        const auto self = raw->shared_from_this();
        if (error != nullptr)
            self->end(kernel::Error{ kernel::ResultCode::UpstreamConnectFailed, error });
        else
            self->sendRequest();
    }

    void sendRequest()
    {
        const auto self = shared_from_this();
        m_sent = true;
        m_lastActivity = scheduler().now();
        startIdleTimer(m_idleTimeout);
        if (m_totalTimeout > kernel::Duration::zero())
            m_totalTimer = kernel::Timer(scheduler(), m_totalTimeout, [this] { onTimeOut(); });
        m_inCallback = true;
        if (m_handlers.onSent)
            m_handlers.onSent();
        m_inCallback = false;
        if (m_ended) {
            letGo();
            return;
        }
        m_socket->data = this;
        m_writing = true;
        h2o_iovec_t buffer = h2o_iovec_init(m_bytes.data(), m_bytes.size());
        h2o_socket_write(m_socket.get(), &buffer, 1, &onWritten);
        // The answer may come before the request is read whole.
        if (m_socket)
            h2o_socket_read_start(m_socket.get(), &onRead);
    }

    static void onWritten(h2o_socket_t *socket, const char *error)
    {
        auto *raw = static_cast<ExchangeState *>(socket->data);
        if (raw == nullptr)
            return;
        const auto self = raw->shared_from_this();
        self->m_writing = false;
        if (self->m_lingering) {
            self->endLinger(error == nullptr);
            return;
        }
        // What has arrived is still read; it may be a whole answer.
        if (error != nullptr)
            self->m_writeFailed = true;
    }

    static void onRead(h2o_socket_t *socket, const char *error)
    {
        auto *raw = static_cast<ExchangeState *>(socket->data);
        if (raw == nullptr)
            return;
        const auto self = raw->shared_from_this();
        self->m_lastActivity = self->scheduler().now();
        self->onInput(error);
    }

    void onInput(const char *error)
    {
        h2o_buffer_t *&input = m_socket->input;
        if (input->size > 0) {
            const AnswerParser::State state = parse({ input->bytes, input->size });
            if (m_ended)
                return;
            const bool extraBytes = m_parser.consumed() < input->size;
            h2o_buffer_consume(&input, input->size);
            if (state != AnswerParser::State::Reading) {
                finish(state, extraBytes || error != nullptr);
                return;
            }
        }
        if (error != nullptr)
            onInputEnd(error);
    }

    // Only an orderly end completes an answer without a length; a reset cuts it. A write that fails
    // takes the connection's error, and the reads after it report an orderly end.
    void onInputEnd(const char *error)
    {
        const bool reportedOrderly = error == h2o_socket_error_closed;
        // The result of the write comes first, and this end is reported once more.
        if (reportedOrderly && m_writing && isClosedBothWays(h2o_socket_get_fd(m_socket.get())))
            return;
        if (reportedOrderly && m_writeFailed) {
            end(kernel::Error{ kernel::ResultCode::UpstreamBroken,
                               "the connection broke while the request was being sent" });
            return;
        }
        if (reportedOrderly && m_headSeen) {
            m_inCallback = true;
            const AnswerParser::State state = m_parser.endOfInput();
            m_inCallback = false;
            if (m_ended) {
                letGo();
                return;
            }
            if (state == AnswerParser::State::Complete) {
                finish(state, true);
                return;
            }
        }
        end(kernel::Error{ kernel::ResultCode::UpstreamBroken, error });
    }

    void finish(AnswerParser::State state, bool connectionSpent)
    {
        if (state == AnswerParser::State::Malformed) {
            end(kernel::Error{ kernel::ResultCode::UpstreamProtocol,
                               "the answer is malformed: " + m_parser.fault() });
            return;
        }
        m_complete = true;
        if (!connectionSpent && m_parser.keepAlive()) {
            if (m_writing)
                linger();
            else
                keepConnection();
        }
        end(kernel::Done{});
    }

    // The answer came before the loop told that the request was written; the connection can be kept
    // once it tells. One whose upstream leaves the request unread is closed.
    void linger()
    {
        h2o_socket_read_stop(m_socket.get());
        m_lingering = shared_from_this();
    }

    void endLinger(bool keep)
    {
        const auto self = std::move(m_lingering);
        m_timer.cancel();
        if (keep)
            keepConnection();
        m_socket.reset();
    }

    void keepConnection()
    {
        m_socket->data = nullptr;
        h2o_socket_read_stop(m_socket.get());
        m_idle->put(m_endpoint, std::move(m_socket), m_keepFor);
    }

    void onHead(const ClientHead &head)
    {
        m_headSeen = true;
        if (!m_echoedHeader.empty()
            && findHeader(head.headers, m_echoedHeader).value_or("") != m_echoedValue) {
            end(kernel::Error{ kernel::ResultCode::UpstreamProtocol,
                               "the answer belongs to another request" });
            return;
        }
        if (const auto idleTime = advertisedIdleTime(head.headers)) {
            m_keepFor
                = std::chrono::duration_cast<kernel::Duration>(*idleTime * keptPartOfKeepAlive);
        }
        if (m_handlers.onHead && !m_ended)
            m_handlers.onHead(head);
    }

    void onBody(std::string_view piece)
    {
        if (m_handlers.onBody && !m_ended)
            m_handlers.onBody(piece);
    }

    void startIdleTimer(kernel::Duration delay)
    {
        m_timer = kernel::Timer(scheduler(), delay, [this] { onIdleTimer(); });
    }

    // Activity only notes its time; the timer finds out here whether the silence was long enough.
    void onIdleTimer()
    {
        const kernel::Duration silence = scheduler().now() - m_lastActivity;
        if (silence < m_idleTimeout) {
            startIdleTimer(m_idleTimeout - silence);
            return;
        }
        onTimeOut();
    }

    void onTimeOut()
    {
        const auto self = shared_from_this();
        end({ kernel::Error{ kernel::ResultCode::UpstreamTimeout,
                             "no answer within the time-out" } });
    }

    // Frees the connection and the handlers, but not while a handler runs or the parser reads from
    // the connection's buffer.
    void letGo()
    {
        if (m_inCallback)
            return;
        if (m_lingering)
            m_timer = kernel::Timer(scheduler(), lingerTime, [this] { endLinger(false); });
        else
            closeConnection();
        m_handlers = {};
    }

    // Bytes of a request that was given up must not arrive after a partition has healed, when its
    // upstream may be leaving; an orderly end would still deliver them.
    void closeConnection()
    {
        if (m_socket && !m_complete)
            resetOnClose(h2o_socket_get_fd(m_socket.get()));
        m_socket.reset();
    }

    AnswerParser::State parse(std::string_view bytes)
    {
        m_inCallback = true;
        const AnswerParser::State state = m_parser.feed(bytes);
        m_inCallback = false;
        if (m_ended)
            letGo();
        return state;
    }

    // Lets go of the connection and tells the owner.
    void end(kernel::Completion<kernel::Done> outcome)
    {
        if (m_ended)
            return;
        const auto self = shared_from_this();
        m_ended = true;
        m_timer.cancel();
        m_totalTimer.cancel();
        const auto onEnd = std::move(m_handlers.onEnd);
        letGo();
        if (onEnd)
            onEnd(std::move(outcome));
    }

    EventLoop &m_loop;
    std::shared_ptr<IdleConnections> m_idle;
    kernel::Endpoint m_endpoint;
    ClientHandlers m_handlers;
    kernel::Duration m_connectTimeout;
    kernel::Duration m_idleTimeout;
    kernel::Duration m_totalTimeout;
    kernel::Duration m_maxIdle;
    // Kept connections of upstreams that state no idle time are dropped after this.
    kernel::Duration m_keepFor = std::chrono::seconds(5);
    std::string m_echoedHeader;
    std::string m_echoedValue;
    std::string m_bytes;
    AnswerParser m_parser;
    SocketPtr m_socket;
    kernel::Timer m_timer;
    kernel::Timer m_totalTimer;
    kernel::Instant m_lastActivity{};
    bool m_sent = false;
    bool m_writing = false;
    bool m_writeFailed = false;
    bool m_paused = false;
    bool m_headSeen = false;
    bool m_inCallback = false;
    // Whether the whole answer has been read.
    bool m_complete = false;
    std::shared_ptr<ExchangeState> m_lingering;
    bool m_ended = false;
};

class ExchangeHandle : public Exchange
{
public:
    explicit ExchangeHandle(std::shared_ptr<ExchangeState> state)
        : m_state(std::move(state))
    {}
    ExchangeHandle(const ExchangeHandle &) = delete;
    ExchangeHandle &operator=(const ExchangeHandle &) = delete;
    ~ExchangeHandle() override { m_state->abandon(); }

    void pauseReading(bool pause) override { m_state->pauseReading(pause); }

private:
    std::shared_ptr<ExchangeState> m_state;
};

// A request that could not be begun.
class NoExchange : public Exchange
{
public:
    NoExchange(const kernel::Scheduler &scheduler, std::function<void()> report)
        : m_timer(scheduler, kernel::Duration::zero(), std::move(report))
    {}

private:
    kernel::Timer m_timer;
};

} // namespace

struct Client::Impl
{
    explicit Impl(EventLoop &eventLoop)
        : loop(eventLoop)
        , idle(std::make_shared<IdleConnections>(eventLoop.scheduler()))
    {}

    EventLoop &loop;
    std::shared_ptr<IdleConnections> idle;
    std::uint64_t opened = 0;
};

Client::Client(EventLoop &loop)
    : m_impl(std::make_unique<Impl>(loop))
{}

Client::~Client() = default;

std::uint64_t Client::connectionsOpened() const
{
    return m_impl->opened;
}

std::unique_ptr<Exchange> Client::send(const ClientRequest &request, ClientHandlers handlers)
{
    const auto fail = [&](const std::string &message) {
        const kernel::Error error{ kernel::ResultCode::UpstreamConnectFailed, message };
        return std::make_unique<NoExchange>(
            m_impl->loop.scheduler(), [onEnd = std::move(handlers.onEnd), error] { onEnd(error); });
    };
    auto address = kernel::capture([&] { return toSocketAddress(request.endpoint); });
    if (!address)
        return fail(address.error().message);
    if (!isSendable(request))
        return fail("the request's head has bytes that can't be sent");
    auto state
        = std::make_shared<ExchangeState>(m_impl->loop, m_impl->idle, request, std::move(handlers));
    auto handle = std::make_unique<ExchangeHandle>(state);
    if (state->begin(address.value()))
        ++m_impl->opened;
    return handle;
}

std::unique_ptr<Exchange> Client::connect(const kernel::Endpoint &endpoint,
                                          kernel::Duration timeout,
                                          kernel::Callback<kernel::Done> callback)
{
    auto probe = std::make_unique<ConnectProbe>(m_impl->loop.scheduler(), m_impl->idle, endpoint,
                                                std::move(callback));
    probe->begin(m_impl->loop, timeout);
    ++m_impl->opened;
    return probe;
}

void Client::fetch(const ClientRequest &request, kernel::Callback<ClientResponse> callback)
{
    struct Fetch
    {
        ClientResponse response;
        kernel::Callback<ClientResponse> callback;
        std::unique_ptr<Exchange> exchange;
    };
    auto fetch = std::make_shared<Fetch>();
    fetch->callback = std::move(callback);
    ClientHandlers handlers;
    handlers.onHead = [fetch](const ClientHead &head) { fetch->response.head = head; };
    handlers.onBody = [fetch](std::string_view piece) {
        fetch->response.body += piece;
        if (fetch->response.body.size() <= maxFetchedBody)
            return;
        const std::unique_ptr<Exchange> exchange = std::move(fetch->exchange);
        fetch->response = {};
        fetch->callback(
            kernel::Error{ kernel::ResultCode::UpstreamProtocol, "the answer is too large" });
    };
    handlers.onEnd = [fetch](const kernel::Completion<kernel::Done> &outcome) {
        const std::unique_ptr<Exchange> exchange = std::move(fetch->exchange);
        if (outcome.ok())
            fetch->callback(std::move(fetch->response));
        else
            fetch->callback(outcome.error());
    };
    fetch->exchange = send(request, std::move(handlers));
}

} // namespace acaciasail::http
