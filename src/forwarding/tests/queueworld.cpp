#include "queueworld.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace acaciasail::forwarding {

namespace {

const kernel::ServiceName service("models");
const RouteName route("stories");
constexpr double readMsPerToken = 0.012;
constexpr double baseMs = 8;
constexpr double objectiveMs = 1000;
constexpr double smallPace = 0.3;
constexpr double largePace = 3;
constexpr double largeModelShare = 0.3;
constexpr double cacheSeconds = 20;

struct Arrival
{
    double atMs = 0;
    int router = 0;
    int session = 0;
    bool large = false;
    ModelWork work;
};

// An upstream reads one prompt after the other.
struct Server
{
    double speed = 1;
    double freeAtMs = 0;
    double workMs = 0;
    double workAtEndMs = 0;
    std::map<std::string, double> readAtMs;
};

struct Done
{
    double atMs = 0;
    int router = 0;
    int upstream = 0;
    std::uint64_t number = 0;
    double startedAtMs = 0;
    double work = 0;
    double aheadAndOwnMs = 0;
    double expectedFirstMs = 0;
    bool large = false;
    int session = 0;

    bool operator<(const Done &other) const { return atMs > other.atMs; }
};

struct RouterState
{
    UpstreamRecords records;
    CostEstimates estimates;
    SentPrompts sent;
    WorkReport shared;
};

class QueueWorld
{
public:
    explicit QueueWorld(const QueueWorldOptions &options);
    QueueWorldResult play();

private:
    Arrival makeArrival(double atMs);
    void finishUntil(double atMs);
    void finish(const Done &done);
    void share(RouterState &router, kernel::Instant now);
    void start(const Arrival &arrival);
    int choose(const Arrival &arrival, const FinishQuery &finish);
    int choosePerfectly(const Arrival &arrival) const;
    double actualReadMs(const Arrival &arrival, const Server &server) const;
    double speedOfServer(std::size_t index, double atMs) const;
    FinishQuery makeQuery(const Arrival &arrival) const;
    CostKey keyOf(bool large) const { return { service, large ? "large" : "small", route }; }
    static kernel::Instant at(double ms) { return kernel::Instant(kernel::fromSeconds(ms / 1000)); }

    QueueWorldOptions m_options;
    kernel::Random m_random;
    kernel::Random m_choices;
    std::vector<Upstream> m_upstreams;
    std::vector<const Upstream *> m_candidates;
    std::vector<Server> m_servers;
    std::vector<RouterState> m_routers;
    std::priority_queue<Done> m_running;
    QueueWorldResult m_result;
    // Sum of the routers' newest reports.
    std::map<kernel::UpstreamId, double> m_shared;
    std::uint64_t m_number = 0;
    int m_estimates = 0;
    int m_within = 0;
};

QueueWorld::QueueWorld(const QueueWorldOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_choices(options.seed + 1)
    , m_routers(static_cast<std::size_t>(options.routers))
{
    for (int i = 0; i < options.upstreams; ++i) {
        Upstream upstream;
        upstream.id = kernel::UpstreamId("engine-" + std::to_string(i));
        m_upstreams.push_back(upstream);
        Server server;
        server.speed = i % 4 == 3 ? 0.55 : 1.15;
        m_servers.push_back(server);
    }
    for (const Upstream &upstream : m_upstreams)
        m_candidates.push_back(&upstream);
}

double normal(kernel::Random &random)
{
    const double u = std::max(kernel::uniform01(random), 1e-12);
    return std::sqrt(-2 * std::log(u)) * std::cos(2 * std::numbers::pi * kernel::uniform01(random));
}

Arrival QueueWorld::makeArrival(double atMs)
{
    Arrival arrival;
    arrival.atMs = atMs;
    // Squaring makes a few sessions much more frequent than the others.
    const double point = kernel::uniform01(m_random);
    arrival.session = static_cast<int>(point * point * m_options.sessions);
    // Some requests of a session come to other routers.
    const bool elsewhere = kernel::uniform01(m_random) < 0.1;
    const auto routers = static_cast<std::uint64_t>(m_options.routers);
    const std::uint64_t home = kernel::hash64("session-" + std::to_string(arrival.session));
    arrival.router
        = static_cast<int>((elsewhere ? kernel::uniformBelow(m_random, routers) : home) % routers);
    arrival.large = kernel::uniform01(m_random) < largeModelShare;
    const std::int64_t sessionTokens = 1000 + static_cast<std::int64_t>(home % 6000);
    const double own = std::min(2500 * std::exp(1.2 * normal(m_random)), 50'000.0);
    arrival.work.model = arrival.large ? "large" : "small";
    arrival.work.parts = { { "common", 500 },
                           { "session-" + std::to_string(arrival.session), sessionTokens },
                           { "own", static_cast<std::int64_t>(own) } };
    for (const PromptPart &part : arrival.work.parts)
        arrival.work.promptTokens += part.tokens;
    arrival.work.maxOutputTokens = 0;
    return arrival;
}

double QueueWorld::actualReadMs(const Arrival &arrival, const Server &server) const
{
    const auto read = server.readAtMs.find(arrival.work.model + arrival.work.parts[1].id);
    const bool cached
        = read != server.readAtMs.end() && arrival.atMs - read->second < cacheSeconds * 1000;
    const double tokens = weightedReadTokens(static_cast<double>(arrival.work.promptTokens),
                                             cached ? sharedTokens(arrival.work.parts) : 0);
    return tokens * readMsPerToken * (arrival.large ? largePace : smallPace);
}

double QueueWorld::speedOfServer(std::size_t index, double atMs) const
{
    const bool slow = index == 0 && atMs > m_options.seconds * 1000 / 3;
    return m_servers[index].speed / (slow ? m_options.slowdown : 1);
}

FinishQuery QueueWorld::makeQuery(const Arrival &arrival) const
{
    const RouterState &router = m_routers[static_cast<std::size_t>(arrival.router)];
    const CostRates rates
        = costRates(router.estimates, keyOf(arrival.large), arrival.large ? 1.6 : 0.4);
    return { .promptTokens = static_cast<double>(arrival.work.promptTokens),
             .sharedTokens = sharedTokens(arrival.work.parts),
             .baseMs = rates.baseMs,
             .readMsPerToken = rates.readMsPerToken,
             .holders = findHolders(router.sent, service, arrival.work.model, arrival.work.parts,
                                    at(arrival.atMs)) };
}

int QueueWorld::choosePerfectly(const Arrival &arrival) const
{
    int best = 0;
    double bestMs = 0;
    for (std::size_t i = 0; i < m_servers.size(); ++i) {
        const double ms = std::max(m_servers[i].freeAtMs, arrival.atMs)
                          + actualReadMs(arrival, m_servers[i]) / speedOfServer(i, arrival.atMs);
        if (i == 0 || ms < bestMs) {
            best = static_cast<int>(i);
            bestMs = ms;
        }
    }
    return best;
}

int QueueWorld::choose(const Arrival &arrival, const FinishQuery &finish)
{
    if (m_options.rule == PlacementRule::Perfect)
        return choosePerfectly(arrival);
    UpstreamQuery query;
    query.affinity = arrival.work.parts[1].id;
    query.work = expectedWork(arrival.work);
    query.now = at(arrival.atMs);
    if (m_options.rule == PlacementRule::Finish)
        query.finish = &finish;
    const UpstreamChoice choice
        = chooseUpstream(m_candidates, m_routers[static_cast<std::size_t>(arrival.router)].records,
                         query, m_choices);
    return static_cast<int>(choice.upstream - m_upstreams.data());
}

void QueueWorld::start(const Arrival &arrival)
{
    const FinishQuery finish = makeQuery(arrival);
    const int chosen = choose(arrival, finish);
    const auto index = static_cast<std::size_t>(chosen);
    Server &server = m_servers[index];
    RouterState &router = m_routers[static_cast<std::size_t>(arrival.router)];
    UpstreamRecord &record = router.records[m_upstreams[index].id];
    const kernel::Instant now = at(arrival.atMs);
    const ExpectedFinish expected = expectedFinish(m_upstreams[index], record.backlog, finish, now);
    const double readMs = actualReadMs(arrival, server);
    const double tookMs = readMs / speedOfServer(index, arrival.atMs);
    server.freeAtMs = std::max(server.freeAtMs, arrival.atMs) + tookMs;
    server.readAtMs[arrival.work.model + arrival.work.parts[1].id] = server.freeAtMs;
    server.workMs += readMs;
    if (arrival.atMs > m_options.seconds * 2000 / 3)
        server.workAtEndMs += readMs;
    Done done{ .atMs = server.freeAtMs + baseMs,
               .router = arrival.router,
               .upstream = chosen,
               .number = ++m_number,
               .startedAtMs = arrival.atMs,
               .work = expectedWork(arrival.work),
               .aheadAndOwnMs = expected.aheadMs + expected.readMs,
               .expectedFirstMs = expected.firstMs,
               .large = arrival.large,
               .session = arrival.session };
    recordStart(record, done.work);
    startWork(record.backlog, { .number = done.number,
                                .readMs = expected.readMs,
                                .expectedFirstMs = expected.firstMs,
                                .startedAt = now });
    recordPrompt(router.sent, service, arrival.work.model, arrival.work.parts,
                 processIdOf(m_upstreams[index]), now);
    m_running.push(done);
    ++m_result.requests;
    m_result.readMs += readMs;
    m_result.inTime += done.atMs - arrival.atMs <= objectiveMs ? 1 : 0;
}

void QueueWorld::finish(const Done &done)
{
    RouterState &router = m_routers[static_cast<std::size_t>(done.router)];
    const kernel::UpstreamId &id = m_upstreams[static_cast<std::size_t>(done.upstream)].id;
    UpstreamRecord &record = router.records[id];
    const double tookMs = done.atMs - done.startedAtMs;
    const double base
        = costRates(router.estimates, keyOf(done.large), done.large ? 1.6 : 0.4).baseMs;
    recordFirstEventOf(record.backlog, done.number, done.aheadAndOwnMs, tookMs - base,
                       at(done.atMs));
    finishWork(record.backlog, done.number);
    recordFinish(record, AttemptOutcome::Succeeded, done.work, 0, at(done.atMs));
    forwarding::recordFirstEvent(router.estimates, keyOf(done.large),
                                 { .baseMs = base,
                                   .workMs = done.aheadAndOwnMs,
                                   .actualMs = tookMs,
                                   .upstream = id,
                                   .caller = "caller-" + std::to_string(done.session) });
    ++m_estimates;
    m_within += estimateError(done.expectedFirstMs, tookMs) != "more" ? 1 : 0;
}

void QueueWorld::finishUntil(double atMs)
{
    while (!m_running.empty() && m_running.top().atMs <= atMs) {
        const Done done = m_running.top();
        m_running.pop();
        finish(done);
    }
}

// Lets one router report its work and receive the sum of what the others reported last.
void QueueWorld::share(RouterState &router, kernel::Instant now)
{
    for (const auto &[id, ms] : router.shared.remainingMs)
        m_shared[id] -= ms;
    router.shared = {};
    for (auto &[id, record] : router.records) {
        if (const double ms = ownRemainingMs(record.backlog, now); ms > 0)
            router.shared.remainingMs[id] = ms;
    }
    for (const Upstream &upstream : m_upstreams) {
        UpstreamBacklog &backlog = router.records[upstream.id].backlog;
        backlog.othersMs = std::max(m_shared[upstream.id], 0.0);
        backlog.othersAt = now;
    }
    for (const auto &[id, ms] : router.shared.remainingMs)
        m_shared[id] += ms;
}

QueueWorldResult QueueWorld::play()
{
    double nowMs = 0;
    double shareAtMs = 0;
    std::size_t nextToShare = 0;
    while (nowMs < m_options.seconds * 1000) {
        nowMs += -std::log(std::max(kernel::uniform01(m_random), 1e-12))
                 / m_options.arrivalsPerSecond * 1000;
        for (; shareAtMs <= nowMs; shareAtMs += m_options.shareSeconds * 1000 / m_options.routers) {
            finishUntil(shareAtMs);
            share(m_routers[nextToShare++ % m_routers.size()], at(shareAtMs));
        }
        finishUntil(nowMs);
        start(makeArrival(nowMs));
    }
    double total = 0;
    double totalAtEnd = 0;
    double busiest = 0;
    for (const Server &server : m_servers) {
        total += server.workMs;
        totalAtEnd += server.workAtEndMs;
        busiest = std::max(busiest, server.workMs);
    }
    const auto count = static_cast<double>(m_servers.size());
    m_result.busiestShare = busiest * count / total;
    m_result.firstUpstreamShareAtEnd = m_servers.front().workAtEndMs * count / totalAtEnd;
    m_result.estimatesWithinTwice = m_estimates > 0 ? double(m_within) / m_estimates : 0;
    return m_result;
}

} // namespace

QueueWorldResult playQueueWorld(const QueueWorldOptions &options)
{
    return QueueWorld(options).play();
}

} // namespace acaciasail::forwarding
