#include "crashingrequests.h"

#include "platform/testing/wireforms.h"

namespace acaciasail::soak {

namespace {

constexpr kernel::Duration interval = std::chrono::milliseconds(150);
constexpr kernel::Duration requestTimeout = std::chrono::seconds(2);
// One request is repeated for this time, then another one.
constexpr kernel::Duration repetitionTime = std::chrono::seconds(7);
// Number of crashes after which routers must recognise a request or a prompt part, and the time for
// all routers to learn of it.
constexpr int crashesToKnowRequest = 3;
constexpr int crashesToKnowPart = 5;
constexpr kernel::Duration bound = std::chrono::seconds(3);
// Maximum number of crashes after that time.
constexpr int crashesAllowed = 3;

} // namespace

CrashingRequests::CrashingRequests(http::EventLoop &loop, World &world, kernel::Random random)
    : m_loop(loop)
    , m_world(world)
    , m_client(loop)
    , m_random(random)
{
    m_world.setCrashHandler(
        [this](const std::string &request, const std::string &body) { onCrash(request, body); });
    begin();
    next();
}

// A request in progress may still crash a runner later, so the handler is removed.
CrashingRequests::~CrashingRequests()
{
    m_world.setCrashHandler({});
}

void CrashingRequests::begin()
{
    constexpr const char *paths[] = { "/desk/x", "/look/x", "/chat/x" };
    m_crasher = {};
    m_crasher.isPart = kernel::uniformBelow(m_random, 2) == 0;
    m_crasher.crashesToKnow = m_crasher.isPart ? crashesToKnowPart : crashesToKnowRequest;
    m_crasher.path
        = m_crasher.isPart ? "/chat/x" : paths[kernel::uniformBelow(m_random, std::size(paths))];
    m_crasher.body = std::string(crashingBody) + std::to_string(++m_crashers);
    m_crasher.firstRouter = kernel::uniformBelow(m_random, m_world.routers().size());
    m_crasher.until = m_loop.scheduler().now() + repetitionTime;
}

void CrashingRequests::next()
{
    m_next = kernel::Timer(m_loop.scheduler(), interval, [this] {
        if (m_loop.scheduler().now() >= m_crasher.until)
            begin();
        ask();
        next();
    });
}

// Sends the request to one router until it has caused enough crashes, and to all routers from the
// time at which all must recognise it.
void CrashingRequests::ask()
{
    const bool known = m_crasher.crashes >= m_crasher.crashesToKnow;
    if (known && m_loop.scheduler().now() - m_crasher.knowableAt < bound)
        return;
    const std::size_t anyRouter = kernel::uniformBelow(m_random, m_world.routers().size());
    const std::size_t router = known || m_crasher.isPart ? anyRouter : m_crasher.firstRouter;
    const std::string id = "p" + std::to_string(++m_lastRequest);
    m_routers[id] = router;
    http::ClientRequest request = platform::testing::makeCallerRequest(
        m_world.routers()[router].callers, m_crasher.path, id, requestTimeout);
    request.body = m_crasher.body;
    if (m_crasher.isPart) {
        request.body += "-" + id;
        platform::testing::addPrompt(request, { "system", m_crasher.body, id });
    }
    request.maxIdle = {};
    m_client.fetch(request, [](const kernel::Completion<http::ClientResponse> &) {});
}

void CrashingRequests::onCrash(const std::string &request, const std::string &body)
{
    const std::string own = m_crasher.isPart ? m_crasher.body + "-" + request : m_crasher.body;
    if (body != own)
        return;
    const kernel::Instant now = m_loop.scheduler().now();
    if (++m_crasher.crashes == m_crasher.crashesToKnow)
        m_crasher.knowableAt = now;
    const std::size_t router = m_routers[request];
    if (m_crasher.crashes <= m_crasher.crashesToKnow || now - m_crasher.knowableAt < bound
        || m_world.isDisturbed(router, now - bound))
        return;
    if (++m_crasher.laterCrashes > crashesAllowed) {
        m_world.record().broken.push_back(
            std::string(m_crasher.isPart ? "a prompt part" : "a request")
            + " that crashes runners is known everywhere after 3 s: " + request + " at router "
            + std::to_string(router) + ", crash " + std::to_string(m_crasher.crashes) + " of "
            + m_crasher.path);
    }
}

} // namespace acaciasail::soak
