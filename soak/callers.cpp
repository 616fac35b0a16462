#include "callers.h"

#include <algorithm>

#include "platform/testing/wireforms.h"

namespace acaciasail::soak {

namespace {

constexpr kernel::Duration requestTimeout = std::chrono::seconds(4);
// A caller gives up a request this long after its timeout.
constexpr kernel::Duration lateResponseTime = std::chrono::seconds(1);
constexpr kernel::Duration connectTimeout = std::chrono::seconds(1);
constexpr kernel::Duration probeInterval = std::chrono::milliseconds(200);
constexpr kernel::Duration maxThinkTime = std::chrono::milliseconds(60);
// Mean number of requests that a caller sends to one router.
constexpr std::uint64_t requestsAtOneRouter = 20;

} // namespace

// A caller, which has at most one request in progress.
class Callers::Caller
{
public:
    Caller(Callers &owner, std::size_t number, kernel::Random random)
        : m_owner(owner)
        , m_client(owner.m_loop)
        , m_random(random)
        , m_number(number)
    {
        scheduleNextRequest();
    }
    Caller(const Caller &) = delete;
    Caller &operator=(const Caller &) = delete;

    bool asking() const { return m_asked.has_value(); }

private:
    void scheduleNextRequest()
    {
        if (m_owner.m_stopped)
            return;
        const kernel::Duration time = kernel::scaled(maxThinkTime, kernel::uniform01(m_random));
        m_timer = kernel::Timer(m_owner.m_loop.scheduler(), time, [this] { ask(); });
    }

    // Selects another ready router from time to time and after a failure; returns whether there is
    // one.
    bool chooseRouter()
    {
        const bool stay = m_sticking && kernel::uniformBelow(m_random, requestsAtOneRouter) != 0;
        if (stay)
            return true;
        std::vector<std::size_t> ready;
        for (std::size_t i = 0; i < m_owner.m_ready->size(); ++i) {
            if ((*m_owner.m_ready)[i])
                ready.push_back(i);
        }
        if (ready.empty())
            return false;
        m_router = ready[kernel::uniformBelow(m_random, ready.size())];
        m_sticking = true;
        return true;
    }

    void ask()
    {
        if (!chooseRouter()) {
            scheduleNextRequest();
            return;
        }
        const RouterPlace &router = m_owner.m_world.routers()[m_router];
        Asked asked;
        asked.id = "r" + std::to_string(m_number) + "-" + std::to_string(++m_lastRequest);
        asked.router = m_router;
        asked.process = router.processes;
        asked.sent = m_owner.m_loop.scheduler().now();
        const std::uint64_t roll = kernel::uniformBelow(m_random, 10);
        asked.kind = roll < 4 ? AskKind::Safe : roll < 7 ? AskKind::Unsafe : AskKind::Stream;
        const char *path = asked.kind == AskKind::Safe     ? "/look/x"
                           : asked.kind == AskKind::Unsafe ? "/desk/x"
                                                           : "/chat/x";
        http::ClientRequest request
            = platform::testing::makeCallerRequest(router.callers, path, asked.id, requestTimeout);
        request.connectTimeout = connectTimeout;
        m_asked = std::move(asked);
        http::ClientHandlers handlers;
        handlers.onSent = [this] { m_asked->passedOn = true; };
        handlers.onHead = [this](const http::ClientHead &head) {
            m_asked->status = head.status;
            m_asked->headAt = m_owner.m_loop.scheduler().now();
            m_asked->stamp = platform::testing::readStamp(head.headers);
            m_closing = http::findHeader(head.headers, "connection") == "close";
        };
        handlers.onBody = [this](std::string_view piece) { m_asked->body += piece; };
        handlers.onEnd = [this](const kernel::Completion<kernel::Done> &outcome) {
            m_asked->complete = outcome.ok();
            m_asked->malformed
                = !outcome.ok() && outcome.error().code == kernel::ResultCode::UpstreamProtocol;
            end(outcome.ok() ? "" : outcome.error().message);
        };
        m_timer
            = kernel::Timer(m_owner.m_loop.scheduler(), requestTimeout + lateResponseTime, [this] {
                  m_exchange = nullptr;
                  end("no answer in time");
              });
        m_exchange = m_client.send(request, std::move(handlers));
    }

    void end(const std::string &error)
    {
        m_asked->ended = m_owner.m_loop.scheduler().now();
        m_asked->error = error;
        m_sticking = m_asked->complete && m_asked->status == 200 && !m_closing;
        m_owner.m_world.record().asked.push_back(std::move(*m_asked));
        m_asked.reset();
        m_closing = false;
        // The exchange can't be destroyed within its own callback.
        m_timer = kernel::Timer(m_owner.m_loop.scheduler(), {}, [this] {
            m_exchange = nullptr;
            scheduleNextRequest();
        });
    }

    Callers &m_owner;
    http::Client m_client;
    kernel::Random m_random;
    std::size_t m_number;
    std::size_t m_router = 0;
    bool m_sticking = false;
    bool m_closing = false;
    int m_lastRequest = 0;
    std::optional<Asked> m_asked;
    std::unique_ptr<http::Exchange> m_exchange;
    kernel::Timer m_timer;
};

Callers::Callers(http::EventLoop &loop, World &world, std::size_t count, kernel::Random random)
    : m_loop(loop)
    , m_world(world)
    , m_prober(loop)
    , m_random(random)
    , m_ready(std::make_shared<std::vector<bool>>(world.routers().size(), false))
{
    for (std::size_t i = 0; i < count; ++i)
        m_callers.push_back(std::make_unique<Caller>(*this, i, kernel::Random(m_random())));
    checkReadiness();
}

Callers::~Callers() = default;

std::size_t Callers::inProgress() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_callers, [](const auto &caller) { return caller->asking(); }));
}

// Polls each router's readiness, as the platform's load balancer does.
void Callers::checkReadiness()
{
    for (std::size_t i = 0; i < m_ready->size(); ++i) {
        http::ClientRequest request;
        request.endpoint = m_world.routers()[i].readiness;
        request.connectTimeout = probeInterval;
        request.idleTimeout = probeInterval;
        request.maxIdle = {};
        m_prober.fetch(
            request, [ready = m_ready, i](const kernel::Completion<http::ClientResponse> &outcome) {
                (*ready)[i] = outcome.ok() && outcome.value().head.status == 200;
            });
    }
    m_probing = kernel::Timer(m_loop.scheduler(), probeInterval, [this] { checkReadiness(); });
}

} // namespace acaciasail::soak
