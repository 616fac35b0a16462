#include <deque>
#include <map>
#include <set>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "admission/tests/fixture.h"

using namespace acaciasail;
using namespace acaciasail::admission;
using namespace acaciasail::admission::tests;
using kernel::ResultCode;
using kernel::Tokens;
using table::Rank;

namespace {

/// Calls admission control in random order and checks the invariants after each call.
class AdmissionChecker
{
public:
    explicit AdmissionChecker(std::int64_t capacity)
    {
        setCapacity(m_state, pool, capacity);
        m_capacity = capacity;
        for (RankConfig &rank : m_config.ranks)
            rank.maxQueuedRequests = 12;
        m_snapshot.callerLimits[kernel::CallerId("w0c0")]
            = { .subject = "w0c0", .concurrency = callerConcurrency };
    }

    void submit(int workspace, int caller, Rank rank, std::int64_t tokens, std::int64_t deadlineMs)
    {
        AdmissionRequest ask
            = makeAdmissionRequest(m_nextNumber++, workspace, caller, rank, tokens, m_now);
        if (deadlineMs > 0)
            ask.deadline = m_now + std::chrono::milliseconds(deadlineMs);
        const auto decision = admit(m_state, m_config, m_snapshot, ask, m_now);
        if (decision.outcome == AdmissionOutcome::Refused) {
            RC_ASSERT(decision.code != ResultCode::Ok);
            RC_ASSERT(kernel::describe(decision.code).runState == kernel::RunState::NotRun);
            RC_ASSERT(decision.retryAfter >= m_config.minRetryAfter);
            return;
        }
        if (decision.outcome == AdmissionOutcome::Admitted)
            start(ask);
        else
            m_waiting.insert(ask.request);
        m_callers[ask.request] = ask.caller;
    }

    void finishOne(std::size_t which, std::int64_t tokens)
    {
        if (m_running.empty())
            return;
        const auto request
            = *std::next(m_running.begin(), static_cast<std::ptrdiff_t>(which % m_running.size()));
        RC_ASSERT(finish(m_state, m_config, request, Tokens(tokens), m_now));
        RC_ASSERT(!finish(m_state, m_config, request, Tokens(tokens), m_now));
        m_running.erase(request);
        m_callers.erase(request);
    }

    void cancelOne(std::size_t which)
    {
        auto &from = which % 2 == 0 ? m_waiting : m_running;
        if (from.empty())
            return;
        const auto request
            = *std::next(from.begin(), static_cast<std::ptrdiff_t>(which % from.size()));
        RC_ASSERT(cancel(m_state, m_config, request, m_now));
        from.erase(request);
        m_callers.erase(request);
    }

    void changeCapacity(std::int64_t capacity)
    {
        m_capacity = capacity;
        setCapacity(m_state, pool, capacity);
    }

    void release(std::int64_t elapsedMs)
    {
        m_now += std::chrono::milliseconds(elapsedMs);
        for (const ReleasedRequest &released : releaseNext(m_state, m_config, m_now)) {
            RC_ASSERT(m_waiting.erase(released.ask.request) == 1);
            if (released.decision.outcome == AdmissionOutcome::Admitted)
                start(released.ask);
            else
                m_callers.erase(released.ask.request);
        }
    }

    void check() const
    {
        std::int64_t queued = 0;
        for (const Rank rank : { Rank::Urgent, Rank::Normal, Rank::Flex }) {
            RC_ASSERT(queuedRequests(m_state, pool, rank) <= 12);
            queued += queuedRequests(m_state, pool, rank);
        }
        RC_ASSERT(queued == static_cast<std::int64_t>(m_waiting.size()));
        RC_ASSERT(m_state.latestStarts.size() == m_waiting.size());
        RC_ASSERT(m_state.requests.size() == m_waiting.size() + m_running.size());
        RC_ASSERT(runningRequests(m_state, pool) == static_cast<std::int64_t>(m_running.size()));
        const auto limited = std::ranges::count_if(
            m_callers, [](const auto &entry) { return entry.second.str() == "w0c0"; });
        RC_ASSERT(limited <= callerConcurrency);
    }

    /// Checks that after a release no request waits while a slot is free, and that no request waits
    /// beyond its latest start.
    void checkWorkConserving() const
    {
        if (!m_waiting.empty()) {
            RC_ASSERT(runningRequests(m_state, pool) >= m_capacity);
            RC_ASSERT(m_state.latestStarts.begin()->first > m_now);
        }
    }

    /// Ends all requests and checks that the state holds no usage afterwards.
    void endAll()
    {
        changeCapacity(1000);
        release(0);
        while (!m_running.empty())
            finishOne(0, 10);
        RC_ASSERT(m_waiting.empty());
        check();
        sweepLimits(m_state.limits, m_now + std::chrono::minutes(10));
        RC_ASSERT(m_state.limits.usages.empty());
    }

private:
    static constexpr std::int64_t callerConcurrency = 3;

    void start(const AdmissionRequest &ask)
    {
        m_running.insert(ask.request);
        // The headroom is a tenth of the capacity, rounded up, and is for urgent requests only.
        const std::int64_t headroom = (m_capacity + 9) / 10;
        const bool urgent = ask.rank == Rank::Urgent;
        RC_ASSERT(static_cast<std::int64_t>(m_running.size())
                  <= m_capacity + (urgent ? headroom : 0));
    }

    AdmissionState m_state;
    AdmissionConfig m_config;
    table::Snapshot m_snapshot = makeSnapshot(3, 3);
    kernel::Instant m_now = at(1000);
    std::int64_t m_capacity = 0;
    std::int64_t m_nextNumber = 0;
    std::set<kernel::RequestId> m_waiting;
    std::set<kernel::RequestId> m_running;
    std::map<kernel::RequestId, kernel::CallerId> m_callers;
};

Rank randomRank()
{
    return *rc::gen::element(Rank::Urgent, Rank::Normal, Rank::Flex);
}

void randomStep(AdmissionChecker &checker)
{
    const auto number = *rc::gen::inRange<std::size_t>(0, 1000);
    switch (*rc::gen::weightedElement<int>({ { 6, 0 }, { 4, 1 }, { 1, 2 }, { 1, 3 } })) {
    case 0:
        checker.submit(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 3), randomRank(),
                       *rc::gen::inRange(1, 5000), *rc::gen::element(0, 0, 300, 20000));
        break;
    case 1:
        checker.finishOne(number, *rc::gen::inRange(0, 5000));
        break;
    case 2:
        checker.cancelOne(number);
        break;
    default:
        checker.changeCapacity(*rc::gen::inRange(0, 12));
    }
}

} // namespace

RC_GTEST_PROP(Admission, HoldsItsInvariantsUnderAnySequenceOfCalls, ())
{
    AdmissionChecker checker(*rc::gen::inRange(0, 8));
    const int steps = *rc::gen::inRange(20, 200);
    for (int i = 0; i < steps; ++i) {
        randomStep(checker);
        checker.check();
        checker.release(*rc::gen::element(0, 1, 50, 400));
        checker.check();
        checker.checkWorkConserving();
    }
    checker.endAll();
}

RC_GTEST_PROP(Admission, EachRankReceivesItsFloorDuringAFlood, ())
{
    AdmissionState state;
    AdmissionConfig config;
    for (RankConfig &rank : config.ranks)
        rank.maxWait = std::chrono::hours(10);
    // The requests have no deadlines, so the periodic review is not needed.
    config.reviewInterval = std::chrono::hours(10);
    const auto snapshot = makeSnapshot(1, 3);
    const auto flood = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
    const std::array<int, 3> sizes{ *rc::gen::inRange(10, 2000), *rc::gen::inRange(10, 2000),
                                    *rc::gen::inRange(10, 2000) };
    setCapacity(state, pool, *rc::gen::inRange(1, 20));
    std::int64_t number = 0;
    std::deque<AdmissionRequest> running;
    const auto fill = [&](kernel::Instant now) {
        for (std::size_t rank = 0; rank < 3; ++rank) {
            const std::int64_t wanted = rank == flood ? 60 : 2;
            for (auto i = queuedRequests(state, pool, static_cast<Rank>(rank)); i < wanted; ++i) {
                const AdmissionRequest ask = makeAdmissionRequest(
                    number++, 0, static_cast<int>(rank), static_cast<Rank>(rank), sizes[rank], now);
                const auto decision = admit(state, config, snapshot, ask, now);
                if (decision.outcome == AdmissionOutcome::Admitted)
                    running.push_back(ask);
            }
        }
    };
    std::array<double, 3> served{};
    double all = 0;
    for (int step = 0; step < 3000; ++step) {
        const auto now = at(1000 + step * 100);
        fill(now);
        // The request that has run longest ends.
        const AdmissionRequest ended = running.front();
        running.pop_front();
        const auto rank = static_cast<std::size_t>(ended.rank);
        served[rank] += sizes[rank];
        all += sizes[rank];
        finish(state, config, ended.request, Tokens(sizes[rank]), now);
        for (const ReleasedRequest &released : releaseNext(state, config, now)) {
            RC_ASSERT(released.decision.outcome == AdmissionOutcome::Admitted);
            running.push_back(released.ask);
        }
    }
    // The floor delay of 4 s corresponds to 40 requests at one finished request per 100 ms.
    const double slack = 80.0 * *std::ranges::max_element(sizes);
    for (std::size_t rank = 0; rank < 3; ++rank)
        RC_ASSERT(served[rank] + slack >= config.ranks[rank].floor * all);
}

RC_GTEST_PROP(FairQueue, BackloggedCallersReceiveEqualServiceForAnyDemand, ())
{
    FairQueue queue;
    const int callers = *rc::gen::inRange(2, 8);
    const auto sizes = *rc::gen::container<std::vector<int>>(static_cast<std::size_t>(callers),
                                                             rc::gen::inRange(1, 3000));
    const auto flowOf = [](int caller) {
        return FlowKey{ kernel::WorkspaceId("w"), kernel::CallerId(std::to_string(caller)) };
    };
    std::map<std::string, std::int64_t> served;
    for (int caller = 0; caller < callers; ++caller) {
        // Callers with more demand have longer queues, but all receive the same share.
        for (int i = 0; i < 20 * (caller + 1); ++i)
            queue.push(flowOf(caller), { kernel::RequestId(std::to_string(caller)), sizes[caller] },
                       64);
    }
    const auto allCallersWait = [&] {
        for (int caller = 0; caller < callers; ++caller) {
            if (queue.callerStateOf(flowOf(caller)).requests == 0)
                return false;
        }
        return true;
    };
    const auto largest = *std::ranges::max_element(sizes);
    while (allCallersWait()) {
        const QueuedRequest next = queue.pop();
        served[next.request.str()] += next.cost;
        std::int64_t least = served.size() == sizes.size() ? INT64_MAX : 0;
        std::int64_t most = 0;
        for (const auto &[caller, cost] : served) {
            least = std::min(least, cost);
            most = std::max(most, cost);
        }
        RC_ASSERT(most - least <= 2 * largest);
    }
}

RC_GTEST_PROP(FairQueue, NumberOfRememberedIdleCallersIsBounded, ())
{
    FairQueue queue;
    constexpr std::size_t maxIdle = 16;
    const auto callers = *rc::gen::container<std::vector<int>>(500, rc::gen::inRange(0, 400));
    for (const int caller : callers) {
        queue.push({ kernel::WorkspaceId("w"), kernel::CallerId(std::to_string(caller)) },
                   { kernel::RequestId("r"), *rc::gen::inRange(1, 100) }, maxIdle);
        queue.pop();
        RC_ASSERT(queue.knownFlows() <= maxIdle + 3);
    }
}

TEST(FairQueue, ServesWorkspacesAndCallersByTheirShares)
{
    FairQueue queue;
    const FlowKey large{ kernel::WorkspaceId("a"), kernel::CallerId("a1"), 3, 1 };
    const FlowKey small{ kernel::WorkspaceId("b"), kernel::CallerId("b1"), 1, 3 };
    const FlowKey tiny{ kernel::WorkspaceId("b"), kernel::CallerId("b2"), 1, 1 };
    for (const FlowKey &flow : { large, small, tiny }) {
        for (int i = 0; i < 1000; ++i)
            queue.push(flow, { kernel::RequestId(flow.caller.str()), 10 }, 64);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 800; ++i)
        ++served[queue.pop().request.str()];
    EXPECT_NEAR(served["a1"], 600, 3);
    EXPECT_NEAR(served["b1"], 150, 3);
    EXPECT_NEAR(served["b2"], 50, 3);
}

TEST(FairQueue, UnderestimatedCostIsChargedLater)
{
    FairQueue queue;
    const FlowKey underestimated{ kernel::WorkspaceId("w"), kernel::CallerId("underestimated") };
    const FlowKey accurate{ kernel::WorkspaceId("w"), kernel::CallerId("accurate") };
    for (int i = 0; i < 400; ++i) {
        queue.push(underestimated, { kernel::RequestId("underestimated"), 1 }, 64);
        queue.push(accurate, { kernel::RequestId("accurate"), 100 }, 64);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 200; ++i) {
        const std::string who = queue.pop().request.str();
        ++served[who];
        if (who == "underestimated")
            queue.adjustCost(underestimated, 99);
    }
    EXPECT_NEAR(served["underestimated"], 100, 3);
}

TEST(Admission, RefusesRequestsThatCannotMeetTheirDeadline)
{
    AdmissionState state;
    const AdmissionConfig config;
    const auto snapshot = makeSnapshot(1, 2);
    setCapacity(state, pool, 1);
    admit(state, config, snapshot, makeAdmissionRequest(0, 0, 0, Rank::Normal, 100, at(0)), at(0));
    // The measured service rate is 100 tokens per second for one slot.
    finish(state, config, kernel::RequestId("r0"), Tokens(100), at(1000));
    for (int i = 1; i <= 4; ++i)
        admit(state, config, snapshot, makeAdmissionRequest(i, 0, 0, Rank::Normal, 100, at(1000)),
              at(1000));
    AdmissionRequest withShortDeadline = makeAdmissionRequest(5, 0, 0, Rank::Normal, 100, at(1000));
    withShortDeadline.deadline = at(3000);
    const auto refused = admit(state, config, snapshot, withShortDeadline, at(1000));
    EXPECT_EQ(refused.code, ResultCode::DeadlineUnreachable);
    EXPECT_GE(refused.retryAfter, std::chrono::seconds(1));
    AdmissionRequest withLongDeadline = makeAdmissionRequest(6, 0, 0, Rank::Normal, 100, at(1000));
    withLongDeadline.deadline = at(20000);
    EXPECT_EQ(admit(state, config, snapshot, withLongDeadline, at(1000)).outcome,
              AdmissionOutcome::Queued);
}

TEST(Admission, RefusesWaitingRequestsWhenCapacityDrops)
{
    AdmissionState state;
    const AdmissionConfig config;
    const auto snapshot = makeSnapshot(1, 4);
    setCapacity(state, pool, 10);
    for (int i = 0; i < 10; ++i)
        admit(state, config, snapshot, makeAdmissionRequest(i, 0, 0, Rank::Normal, 100, at(0)),
              at(0));
    for (int i = 0; i < 10; ++i)
        finish(state, config, kernel::RequestId("r" + std::to_string(i)), Tokens(100), at(1000));
    for (int i = 10; i < 120; ++i) {
        AdmissionRequest ask = makeAdmissionRequest(i, 0, i % 4, Rank::Normal, 100, at(1000));
        ask.deadline = at(14000);
        admit(state, config, snapshot, ask, at(1000));
    }
    // The expected wait may be half of the remaining 13 s, at 10 requests per second.
    EXPECT_NEAR(static_cast<double>(queuedRequests(state, pool, Rank::Normal)), 65, 3);
    setCapacity(state, pool, 1);
    const auto releases = releaseNext(state, config, at(1300));
    // 12.7 s remain at 1 request per second, with a tolerance factor of 1.5.
    EXPECT_NEAR(static_cast<double>(queuedRequests(state, pool, Rank::Normal)), 19, 4);
    for (const ReleasedRequest &release : releases)
        EXPECT_EQ(release.decision.code, ResultCode::DeadlineUnreachable);
}

TEST(Admission, KeepsQueueRoomForOtherCallersDuringAFlood)
{
    AdmissionState state;
    AdmissionConfig config;
    config.ranks[1].maxQueuedRequests = 100;
    const auto snapshot = makeSnapshot(1, 2);
    setCapacity(state, pool, 0);
    for (int i = 0; i < 1000; ++i)
        admit(state, config, snapshot, makeAdmissionRequest(i, 0, 0, Rank::Normal, 10, at(0)),
              at(0));
    EXPECT_EQ(queuedRequests(state, pool, Rank::Normal), 50);
    const auto other = admit(state, config, snapshot,
                             makeAdmissionRequest(2000, 0, 1, Rank::Normal, 10, at(0)), at(0));
    EXPECT_EQ(other.outcome, AdmissionOutcome::Queued);
}
