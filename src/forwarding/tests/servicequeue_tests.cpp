#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/internal/queueing/servicequeue.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

const kernel::ServiceName plain("plain");
constexpr int runMs = 20;
constexpr int slots = 6;
// Requests that an upstream holds beyond its slots before it refuses further ones.
constexpr int upstreamQueue = 24;
constexpr int playMs = 6000;
constexpr int objectiveMs = 200;
constexpr int deadlineMs = 1000;

/// Steady requests of one workspace at one rank.
struct Stream
{
    std::string workspace;
    int rank = 0;
    double perSecond = 0;
    int fromMs = 0;
};

struct Served
{
    int asked = 0;
    int inTime = 0;
    int refused = 0;
    double share() const { return static_cast<double>(inTime) / std::max(asked, 1); }
};

struct Waiting
{
    kernel::RequestId ticket;
    std::size_t stream = 0;
    int arrived = 0;
    int endsAt = 0;
};

kernel::Instant at(int ms)
{
    return kernel::Instant{} + std::chrono::milliseconds(ms);
}

/// Upstreams of one service, which together run some requests at once, queue some, refuse the rest.
class Play
{
public:
    Play(std::vector<Stream> streams, bool queued, std::function<int(int ms)> upstreams)
        : m_streams(std::move(streams))
        , m_isQueued(queued)
        , m_upstreams(std::move(upstreams))
        , m_served(m_streams.size())
        , m_due(m_streams.size(), 0)
    {}

    std::vector<Served> run()
    {
        for (int ms = 0; ms < playMs; ++ms) {
            if (m_isQueued) {
                setQueueCapacity(m_queues, plain,
                                 std::int64_t{ m_upstreams(ms) } * maxInFlight(slots));
                release(ms);
            }
            endRuns(ms);
            for (const std::size_t stream : arrivalsAt(ms))
                arrive(stream, ms);
            startRuns(ms);
        }
        return m_served;
    }

private:
    // Returns the streams of the requests that arrive in this millisecond, in random order.
    std::vector<std::size_t> arrivalsAt(int ms)
    {
        std::vector<std::size_t> arrivals;
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            if (ms < m_streams[i].fromMs)
                continue;
            for (m_due[i] += m_streams[i].perSecond / 1000; m_due[i] >= 1; m_due[i] -= 1)
                arrivals.push_back(i);
        }
        std::ranges::shuffle(arrivals, m_random);
        return arrivals;
    }

    void arrive(std::size_t stream, int ms)
    {
        ++m_served[stream].asked;
        const Waiting request{ nextTicket(m_queues), stream, ms, 0 };
        if (m_isQueued)
            enter(request, ms);
        else
            send(request);
    }

    void enter(const Waiting &request, int ms)
    {
        const Stream &stream = m_streams[request.stream];
        const auto decision = enterQueue(m_queues, request.ticket,
                                         { .service = plain,
                                           .workspace = kernel::WorkspaceId(stream.workspace),
                                           .rank = stream.rank,
                                           .arrived = at(ms),
                                           .deadline = at(ms + deadlineMs) },
                                         at(ms));
        if (decision.outcome == admission::AdmissionOutcome::Admitted)
            send(request);
        else if (decision.outcome == admission::AdmissionOutcome::Refused)
            ++m_served[request.stream].refused;
        else
            m_waiting[request.ticket] = request;
    }

    void release(int ms)
    {
        for (const auto &released : releaseQueued(m_queues, at(ms))) {
            const Waiting request = m_waiting[released.ask.request];
            m_waiting.erase(released.ask.request);
            if (released.decision.outcome == admission::AdmissionOutcome::Admitted)
                send(request);
            else
                ++m_served[request.stream].refused;
        }
    }

    void send(const Waiting &request)
    {
        if (m_atUpstreams.size() >= m_lastUpstreams * upstreamQueue) {
            ++m_served[request.stream].refused;
            leaveQueue(m_queues, request.ticket, false, {});
            return;
        }
        m_atUpstreams.push_back(request);
    }

    void startRuns(int ms)
    {
        m_lastUpstreams = static_cast<std::size_t>(m_upstreams(ms));
        while (!m_atUpstreams.empty() && m_running.size() < m_lastUpstreams * slots) {
            Waiting request = m_atUpstreams.front();
            m_atUpstreams.pop_front();
            request.endsAt = ms + runMs;
            m_running.push_back(request);
        }
    }

    void endRuns(int ms)
    {
        std::erase_if(m_running, [&](const Waiting &request) {
            if (request.endsAt > ms)
                return false;
            leaveQueue(m_queues, request.ticket, true, at(ms));
            if (ms - request.arrived <= objectiveMs)
                ++m_served[request.stream].inTime;
            return true;
        });
    }

    std::vector<Stream> m_streams;
    bool m_isQueued;
    std::function<int(int ms)> m_upstreams;
    std::size_t m_lastUpstreams = 3;
    std::vector<Served> m_served;
    std::vector<double> m_due;
    kernel::Random m_random{ 1 };
    ServiceQueues m_queues;
    std::map<kernel::RequestId, Waiting> m_waiting;
    std::deque<Waiting> m_atUpstreams;
    std::deque<Waiting> m_running;
};

int threeUpstreams(int)
{
    return 3;
}

// Three upstreams run 900 requests a second.
constexpr double capacityPerSecond = 900;

struct Comparison
{
    std::vector<Served> queued;
    std::vector<Served> atOnce;
};

Comparison compare(const std::vector<Stream> &streams,
                   const std::function<int(int ms)> &upstreams = threeUpstreams)
{
    return { Play(streams, true, upstreams).run(), Play(streams, false, upstreams).run() };
}

} // namespace

TEST(ServiceQueue, RequestsStartAtOnceWhileThereIsRoom)
{
    ServiceQueues queues;
    setQueueCapacity(queues, plain, maxInFlight(slots));
    const QueueEntry entry{ .service = plain,
                            .workspace = kernel::WorkspaceId("a"),
                            .arrived = at(0),
                            .deadline = at(deadlineMs) };
    for (int i = 0; i < maxInFlight(slots); ++i)
        EXPECT_EQ(enterQueue(queues, nextTicket(queues), entry, at(0)).outcome,
                  admission::AdmissionOutcome::Admitted);
    const kernel::RequestId next = nextTicket(queues);
    EXPECT_EQ(enterQueue(queues, next, entry, at(0)).outcome, admission::AdmissionOutcome::Queued);
    EXPECT_TRUE(releaseQueued(queues, at(1)).empty());
    leaveQueue(queues, kernel::RequestId("1"), true, at(20));
    const auto released = releaseQueued(queues, at(20));
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].ask.request, next) << "a free place goes to who waits";
}

TEST(ServiceQueue, PlaceOfCallerThatLeavesIsFree)
{
    ServiceQueues queues;
    setQueueCapacity(queues, plain, 1);
    const QueueEntry entry{ .service = plain, .arrived = at(0), .deadline = at(deadlineMs) };
    const auto first = nextTicket(queues);
    const auto second = nextTicket(queues);
    const auto third = nextTicket(queues);
    for (const auto &ticket : { first, second, third })
        enterQueue(queues, ticket, entry, at(0));
    leaveQueue(queues, second, false, at(1));
    leaveQueue(queues, first, false, at(1));
    const auto released = releaseQueued(queues, at(1));
    ASSERT_EQ(released.size(), 1U);
    EXPECT_EQ(released[0].ask.request, third);
}

// Load: one rank asks for three times what the upstreams run.
TEST(ServiceQueue, FloodOfAnyRankLeavesTheOthersTheirPart)
{
    for (int flooded = 0; flooded < 3; ++flooded) {
        std::vector<Stream> streams;
        for (int rank = 0; rank < 3; ++rank) {
            // Each rank asks for a part of the capacity that its floor covers.
            const double usual = capacityPerSecond * (rank == 2 ? 0.07 : 0.2);
            streams.push_back({ "w", rank, rank == flooded ? 3 * capacityPerSecond : usual });
        }
        const Comparison played = compare(streams);
        for (int rank = 0; rank < 3; ++rank) {
            if (rank == flooded)
                continue;
            EXPECT_GE(played.queued[rank].share(), 0.95)
                << "flood of rank " << flooded << ", rank " << rank;
            EXPECT_GT(played.queued[rank].share(), played.atOnce[rank].share() + 0.3);
        }
    }
}

// Load: one workspace sends eight times its usual.
TEST(ServiceQueue, WorkspaceWithManyTimesItsUsualDelaysOnlyItself)
{
    std::vector<Stream> streams;
    for (const char *workspace : { "a", "b", "c", "d" })
        streams.push_back({ workspace, 1, capacityPerSecond * 0.2 });
    streams[0].perSecond *= 8;
    const Comparison played = compare(streams);
    for (std::size_t i = 1; i < streams.size(); ++i) {
        EXPECT_GE(played.queued[i].share(), 0.95) << streams[i].workspace;
        EXPECT_GT(played.queued[i].share(), played.atOnce[i].share());
    }
}

// Load: one of three upstreams goes while they are nearly full.
TEST(ServiceQueue, LossOfAThirdOfTheUpstreamsSparesTheUrgent)
{
    const std::vector<Stream> streams{ { "w", 0, capacityPerSecond * 0.4 },
                                       { "w", 2, capacityPerSecond * 0.5 } };
    const Comparison played = compare(streams, [](int ms) { return ms < playMs / 3 ? 3 : 2; });
    EXPECT_GE(played.queued[0].share(), 0.95);
    EXPECT_GE(played.queued[0].share(), played.atOnce[0].share());
    EXPECT_GT(played.queued[1].share(), 0.3) << "what is left of the room is used";
}

// What can't be served in its time is refused at once rather than late.
TEST(ServiceQueue, RefusesAtOnceWhatCannotStartInTime)
{
    ServiceQueues queues;
    setQueueCapacity(queues, plain, 1);
    QueueEntry entry{ .service = plain, .arrived = at(0), .deadline = at(60'000) };
    const auto first = nextTicket(queues);
    enterQueue(queues, first, entry, at(0));
    leaveQueue(queues, first, true, at(1000));
    entry.arrived = at(1000);
    entry.deadline = at(1000 + deadlineMs);
    enterQueue(queues, nextTicket(queues), entry, at(1000));
    enterQueue(queues, nextTicket(queues), entry, at(1000));
    const auto decision = enterQueue(queues, nextTicket(queues), entry, at(1000));
    EXPECT_EQ(decision.outcome, admission::AdmissionOutcome::Refused)
        << "a run takes a second, and one request waits already";
    EXPECT_GT(decision.retryAfter, 100ms);
}

TEST(ServiceQueue, RefusedCallersReturnSpread)
{
    kernel::Random random(1);
    kernel::Duration least = 10s;
    kernel::Duration most{};
    for (int i = 0; i < 100; ++i) {
        const kernel::Duration after = spreadRetryAfter(1s, random);
        least = std::min(least, after);
        most = std::max(most, after);
    }
    EXPECT_GE(least, 1s) << "there is no room earlier";
    EXPECT_GE(most - least, 400ms);
}

TEST(ServiceQueue, FullUpstreamIsAskedAgainOnlyWhileTimeIsLeft)
{
    EXPECT_LT(roomRetryDelay(1, 1s).value_or(1s), 50ms);
    EXPECT_FALSE(roomRetryDelay(5, 200ms));
    for (int tries = 1; tries < 100; ++tries)
        EXPECT_LE(roomRetryDelay(tries, 60s).value_or(1s), 200ms);
}

TEST(ServiceQueue, NobodyWaitsForServiceWithoutUpstreams)
{
    ServiceQueues queues;
    setQueueCapacity(queues, plain, 1);
    const QueueEntry entry{ .service = plain, .arrived = at(0), .deadline = at(deadlineMs) };
    enterQueue(queues, nextTicket(queues), entry, at(0));
    enterQueue(queues, nextTicket(queues), entry, at(0));
    EXPECT_TRUE(hasQueue(queues, plain));
    setQueueCapacity(queues, plain, 0);
    EXPECT_FALSE(hasQueue(queues, plain));
    EXPECT_EQ(releaseQueued(queues, at(1)).size(), 1U);
}
