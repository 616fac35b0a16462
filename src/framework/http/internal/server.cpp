#include "http/internal/server.h"

#include <unordered_map>
#include <utility>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/internal/address.h"
#include "http/internal/callerconnections.h"
#include "http/internal/errorfilter.h"
#include "http/internal/h2oheaders.h"
#include "http/internal/responder.h"
#include "http/internal/socketoptions.h"
#include "http/internal/tls.h"

namespace acaciasail::http {

namespace {

// How often callers to whom nothing was sent are checked for having gone.
constexpr std::chrono::milliseconds hangUpCheckInterval{ 100 };
// Requests that finish sooner than this are not checked.
constexpr std::chrono::milliseconds hangUpCheckAge{ 50 };
// How often the times of callers' connections are checked.
constexpr std::chrono::milliseconds timeCheckInterval{ 500 };

std::string toText(h2o_iovec_t buffer)
{
    return buffer.base == nullptr ? std::string() : std::string(buffer.base, buffer.len);
}

ServerRequest readRequest(h2o_req_t *request)
{
    ServerRequest result;
    result.method = toText(request->method);
    result.path = toText(request->path_normalized);
    if (request->query_at != SIZE_MAX) {
        result.query.assign(request->path.base + request->query_at + 1,
                            request->path.len - request->query_at - 1);
    }
    result.target = toText(request->input.path);
    result.host = toText(request->input.authority);
    result.headers.reserve(request->headers.size);
    for (std::size_t i = 0; i < request->headers.size; ++i) {
        const h2o_header_t &header = request->headers.entries[i];
        result.headers.push_back({ lowerCase(toText(*header.name)), toText(header.value) });
    }
    result.body = toText(request->entity);
    SocketAddress peer;
    peer.length = request->conn->callbacks->get_peername(request->conn, peer.get());
    result.remoteIp = toEndpoint(peer).ip;
    return result;
}

} // namespace

struct Server::Impl
{
    struct Handler
    {
        h2o_handler_t super;
        Impl *server;
    };

    struct InProgress
    {
        std::shared_ptr<H2oResponder> responder;
        kernel::Instant since;
    };

    Impl(EventLoop &eventLoop, ServerOptions serverOptions, RequestHandler requestHandler)
        : loop(eventLoop)
        , options(std::move(serverOptions))
        , handler(std::move(requestHandler))
        , connections(std::make_shared<CallerConnections>(
              loop, options,
              [this](const ServerRequest &request, std::shared_ptr<Responder> responder) {
                  if (handler)
                      handler(request, std::move(responder));
              }))
    {}
    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;
    ~Impl();

    void configure();
    void listenOn(int fd);
    void accept();
    int onRequest(h2o_req_t *request);
    void checkHangUps();
    void checkTimes();
    void closeListener();
    void closeConnections();

    EventLoop &loop;
    ServerOptions options;
    RequestHandler handler;
    TlsContext tls;
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t acceptContext{};
    h2o_socket_t *listener = nullptr;
    kernel::Endpoint endpoint;
    std::shared_ptr<CallerConnections> connections;
    // Requests that are not answered whole. The server keeps their responders, so that a handler
    // that drops one does not leave its request open.
    std::unordered_map<H2oResponder *, InProgress> inProgress;
    kernel::Timer hangUpTimer;
    kernel::Timer timeCheckTimer;
    std::uint64_t accepted = 0;
};

void Server::Impl::configure()
{
    h2o_config_init(&config);
    config.server_name = h2o_iovec_init(H2O_STRLIT("acaciasail"));
    config.max_request_entity_size = options.maxBodyBytes;
    config.http1.req_timeout
        = static_cast<std::uint64_t>(kernel::toMilliseconds(options.requestTimeout));
    h2o_hostconf_t *host
        = h2o_config_register_host(&config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    auto *h2oHandler = reinterpret_cast<Handler *>(h2o_create_handler(path, sizeof(Handler)));
    h2oHandler->server = this;
    h2oHandler->super.on_req = [](h2o_handler_t *self, h2o_req_t *request) {
        return reinterpret_cast<Handler *>(self)->server->onRequest(request);
    };
    if (options.errorBody) {
        addErrorFilter(path, options.errorBody, options.errorContentType);
        addErrorFilter(&host->fallback_path, options.errorBody, options.errorContentType);
    }
    h2o_context_init(&context, loop.native(), &config);
    acceptContext.ctx = &context;
    acceptContext.hosts = config.hosts;
    acceptContext.ssl_ctx = tls.get();
}

void Server::Impl::listenOn(int fd)
{
    SocketAddress bound;
    bound.length = sizeof bound.storage;
    getsockname(fd, bound.get(), &bound.length);
    endpoint = toEndpoint(bound);
    listener = h2o_evloop_socket_create(loop.native(), fd, H2O_SOCKET_FLAG_DONT_READ);
    listener->data = this;
    h2o_socket_read_start(listener, [](h2o_socket_t *socket, const char *error) {
        if (error == nullptr)
            static_cast<Impl *>(socket->data)->accept();
    });
    hangUpTimer = kernel::Timer(loop.scheduler(), hangUpCheckInterval, [this] { checkHangUps(); });
    checkTimes();
}

void Server::Impl::accept()
{
    constexpr int maxAcceptsPerTurn = 64;
    for (int i = 0; i < maxAcceptsPerTurn; ++i) {
        h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr)
            return;
        if (!connections->makeRoom()) {
            h2o_socket_close(socket);
            continue;
        }
        ++accepted;
        setCallerTimeouts(h2o_socket_get_fd(socket));
        if (options.memoryBytes > 0)
            limitCallerBuffers(h2o_socket_get_fd(socket));
        connections->add(socket);
        h2o_accept(&acceptContext, socket);
        connections->watch(socket);
    }
}

int Server::Impl::onRequest(h2o_req_t *request)
{
    const auto responder = std::make_shared<H2oResponder>(request);
    if (!handler) {
        // The server is ending, and nobody would answer.
        responder->attach(connections);
        responder->abort();
        return 0;
    }
    H2oResponder *key = responder.get();
    responder->setOnEnd([this, key] { inProgress.erase(key); });
    responder->attach(connections);
    inProgress.emplace(key, InProgress{ responder, loop.scheduler().now() });
    handler(readRequest(request), responder);
    return 0;
}

void Server::Impl::checkHangUps()
{
    const kernel::Instant oldest = loop.scheduler().now() - hangUpCheckAge;
    std::vector<std::shared_ptr<H2oResponder>> waiting;
    std::vector<std::shared_ptr<H2oResponder>> dropped;
    std::vector<pollfd> descriptors;
    for (const auto &[key, entry] : inProgress) {
        if (entry.since > oldest || !entry.responder->silentSinceLastCheck())
            continue;
        if (entry.responder.use_count() == 1) {
            dropped.push_back(entry.responder);
            continue;
        }
        waiting.push_back(entry.responder);
        descriptors.push_back({ entry.responder->descriptor(), POLLRDHUP, 0 });
    }
    for (const auto &responder : dropped)
        responder->abort();
    // One call for all connections; it reads nothing, so pipelined requests stay where they are.
    if (!descriptors.empty() && poll(descriptors.data(), descriptors.size(), 0) > 0) {
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            if ((descriptors[i].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
                waiting[i]->hangUp();
        }
    }
    hangUpTimer = kernel::Timer(loop.scheduler(), hangUpCheckInterval, [this] { checkHangUps(); });
}

void Server::Impl::checkTimes()
{
    connections->checkTimes();
    timeCheckTimer = kernel::Timer(loop.scheduler(), timeCheckInterval, [this] { checkTimes(); });
}

void Server::Impl::closeListener()
{
    if (listener != nullptr)
        h2o_socket_close(std::exchange(listener, nullptr));
}

// Ends all answers and connections, so that h2o frees what belongs to them.
void Server::Impl::closeConnections()
{
    std::vector<std::shared_ptr<H2oResponder>> responders;
    for (const auto &[key, entry] : inProgress)
        responders.push_back(entry.responder);
    for (const auto &responder : responders)
        responder->abort();
    constexpr int maxTurns = 100;
    for (int turn = 0; turn < maxTurns && connections->size() > 0; ++turn) {
        for (const int descriptor : connections->descriptors())
            shutdown(descriptor, SHUT_RDWR);
        h2o_evloop_run(loop.native(), 1);
    }
}

Server::Impl::~Impl()
{
    handler = nullptr;
    connections->stop();
    closeListener();
    if (context.loop == nullptr)
        return;
    closeConnections();
    if (connections->size() > 0)
        return;
    // h2o leaves the entry of a graceful shutdown linked, and asserts that it is not.
    if (h2o_timeout_is_linked(&context.http2._graceful_shutdown_timeout) != 0)
        h2o_timeout_unlink(&context.http2._graceful_shutdown_timeout);
    h2o_context_dispose(&context);
    h2o_config_dispose(&config);
}

Server::Server(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{}

Server::~Server() = default;

kernel::Result<std::unique_ptr<Server>> Server::listen(EventLoop &loop, ServerOptions options,
                                                       RequestHandler handler)
{
    auto impl = std::make_unique<Impl>(loop, std::move(options), std::move(handler));
    if (impl->options.tls) {
        auto tls = loadServerTls(*impl->options.tls);
        if (!tls)
            return tls.error();
        impl->tls = std::move(tls.value());
        h2o_ssl_register_alpn_protocols(impl->tls.get(), h2o_alpn_protocols);
    }
    auto fd = openListener(impl->options.listen);
    if (!fd)
        return fd.error();
    impl->configure();
    impl->listenOn(fd.value());
    return std::unique_ptr<Server>(new Server(std::move(impl)));
}

kernel::Endpoint Server::endpoint() const
{
    return m_impl->endpoint;
}

void Server::beginShutdown()
{
    m_impl->closeListener();
    endConnectionsAfterAnswers();
}

void Server::setLimits(const RequestLimits &limits)
{
    m_impl->options.maxHeadBytes = limits.maxHeadBytes;
    m_impl->options.headTimeout = limits.headTimeout;
    m_impl->options.maxBodyBytes = limits.maxBodyBytes;
    m_impl->config.max_request_entity_size = limits.maxBodyBytes;
    m_impl->context.http1.req_timeout.timeout
        = static_cast<std::uint64_t>(kernel::toMilliseconds(limits.requestTimeout));
}

void Server::endConnectionsAfterAnswers()
{
    h2o_context_request_shutdown(&m_impl->context);
}

std::size_t Server::requestsInProgress() const
{
    return m_impl->inProgress.size();
}

std::size_t Server::unsentAnswers() const
{
    return m_impl->connections->unsentAnswers();
}

std::size_t Server::connections() const
{
    return m_impl->connections->size();
}

std::size_t Server::heldBytes() const
{
    return m_impl->connections->heldBytes();
}

const CallerCounts &Server::callerCounts() const
{
    return m_impl->connections->counts();
}

std::uint64_t Server::connectionsAccepted() const
{
    return m_impl->accepted;
}

} // namespace acaciasail::http
