#include <cmath>
#include <map>

#include <gtest/gtest.h>

#include "forwarding/forwarding.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

class UpstreamChoiceTest : public testing::Test
{
protected:
    UpstreamChoiceTest()
    {
        for (int i = 0; i < 4; ++i) {
            Upstream upstream;
            upstream.id = kernel::UpstreamId("u" + std::to_string(i));
            upstream.dataCentre = kernel::DataCentreId(i < 2 ? "near" : "far");
            m_upstreams.push_back(upstream);
        }
        for (const Upstream &upstream : m_upstreams)
            m_candidates.push_back(&upstream);
        m_query.ownDataCentre = kernel::DataCentreId("near");
        m_query.now = kernel::Instant(100s);
    }

    UpstreamChoice choose() { return chooseUpstream(m_candidates, m_records, m_query, m_random); }

    std::vector<Upstream> m_upstreams;
    std::vector<const Upstream *> m_candidates;
    UpstreamRecords m_records;
    UpstreamQuery m_query;
    kernel::Random m_random{ 1 };
};

} // namespace

TEST_F(UpstreamChoiceTest, KeySelectsSameUpstreamOnEveryRouter)
{
    m_query.affinity = "thing";
    const kernel::UpstreamId first = choose().upstream->id;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        m_random.seed(seed);
        EXPECT_EQ(choose().upstream->id, first);
    }
}

TEST_F(UpstreamChoiceTest, HotKeySpreadsOverUpstreams)
{
    m_query.affinity = "hot";
    std::map<kernel::UpstreamId, int> counts;
    for (int i = 0; i < 40; ++i) {
        const UpstreamChoice choice = choose();
        recordStart(m_records[choice.upstream->id], m_query.work);
        ++counts[choice.upstream->id];
    }
    EXPECT_GE(counts.size(), 3U);
    for (const auto &[id, count] : counts)
        EXPECT_LE(count, 2 * 40 / 4) << id << " carries more than twice the mean";
}

TEST_F(UpstreamChoiceTest, EjectedUpstreamReturnsWithSingleRequest)
{
    UpstreamRecord &ejectedRecord = m_records[m_upstreams[0].id];
    recordStart(ejectedRecord, 1);
    recordFinish(ejectedRecord, AttemptOutcome::Silent, 1, 0, m_query.now);
    m_query.now = ejectedRecord.avoidUntil;
    m_candidates = { &m_upstreams[0], &m_upstreams[1] };
    // The other upstream has work in flight, so the upstream that returned is the least loaded.
    for (int i = 0; i < 5; ++i)
        recordStart(m_records[m_upstreams[1].id], 1);
    EXPECT_EQ(choose().upstream, &m_upstreams[0]);
    recordStart(ejectedRecord, 1);
    EXPECT_EQ(choose().upstream, &m_upstreams[1]) << "only one request at a time after an ejection";
    recordFinish(ejectedRecord, AttemptOutcome::Succeeded, 1, 0, m_query.now);
    EXPECT_EQ(choose().upstream, &m_upstreams[0]);
}

TEST_F(UpstreamChoiceTest, UnreachableUpstreamsAreLastResort)
{
    m_records[m_upstreams[0].id].unreachable = true;
    m_candidates = { &m_upstreams[0], &m_upstreams[1] };
    for (int i = 0; i < 20; ++i)
        recordStart(m_records[m_upstreams[1].id], 1);
    EXPECT_EQ(choose().upstream, &m_upstreams[1]);
    m_candidates = { &m_upstreams[0] };
    EXPECT_EQ(choose().upstream, &m_upstreams[0]);
}

TEST_F(UpstreamChoiceTest, RequestsWithoutAffinityKeyPreferOwnDataCentre)
{
    for (int i = 0; i < 4; ++i) {
        const UpstreamChoice choice = choose();
        EXPECT_EQ(choice.upstream->dataCentre.str(), "near");
        recordStart(m_records[choice.upstream->id], 1);
    }
    EXPECT_EQ(choose().upstream->dataCentre.str(), "far");
}

TEST_F(UpstreamChoiceTest, AvoidedUpstreamsAreLastResort)
{
    for (const Upstream &upstream : m_upstreams)
        m_records[upstream.id].avoidUntil = m_query.now + 1s;
    m_records[m_upstreams[2].id].avoidUntil = {};
    EXPECT_EQ(choose().upstream->id, m_upstreams[2].id);
    const std::set<kernel::UpstreamId> tried{ m_upstreams[2].id };
    m_query.exclude = &tried;
    const UpstreamChoice choice = choose();
    EXPECT_EQ(choice.reason, ChoiceReason::AvoidanceIgnored);
    EXPECT_NE(choice.upstream->id, m_upstreams[2].id);
}

TEST_F(UpstreamChoiceTest, SelectsNoUpstreamIfAllAreExcluded)
{
    std::set<kernel::UpstreamId> tried;
    for (const Upstream &upstream : m_upstreams)
        tried.insert(upstream.id);
    m_query.exclude = &tried;
    EXPECT_EQ(choose().upstream, nullptr);
}

TEST(UpstreamRecordTest, AvoidanceOfFailingUpstreamDoubles)
{
    UpstreamRecord record;
    kernel::Instant now(10s);
    const auto failUntilEjected = [&] {
        for (int i = 0; i < 10; ++i) {
            recordStart(record, 1);
            if (recordFinish(record, AttemptOutcome::Failed, 1, 0.01, now))
                return true;
        }
        return false;
    };
    ASSERT_TRUE(failUntilEjected());
    EXPECT_EQ(record.avoidUntil, now + 2s);
    now = record.avoidUntil;
    ASSERT_TRUE(failUntilEjected());
    EXPECT_EQ(record.avoidUntil, now + 4s);
    now = record.avoidUntil;
    recordStart(record, 1);
    recordFinish(record, AttemptOutcome::Succeeded, 1, 0.01, now);
    ASSERT_TRUE(failUntilEjected());
    EXPECT_EQ(record.avoidUntil, now + 2s) << "a good response resets the backoff";
}

TEST(UpstreamRecordTest, SimultaneousFailuresEjectOnce)
{
    UpstreamRecord record;
    const kernel::Instant now(10s);
    for (int i = 0; i < 20; ++i)
        recordStart(record, 1);
    for (int i = 0; i < 20; ++i)
        recordFinish(record, AttemptOutcome::Silent, 1, 0, now);
    EXPECT_EQ(record.avoidUntil, now + 500ms);
    EXPECT_EQ(record.ejections, 1);
    recordStart(record, 1);
    recordFinish(record, AttemptOutcome::Silent, 1, 0, now + 600ms);
    EXPECT_EQ(record.avoidUntil, now + 600ms + 1000ms) << "the avoidance doubles";
}

TEST(UpstreamRecordTest, BrokenUpstreamIsUnreachableUntilConnected)
{
    UpstreamRecord record;
    const kernel::Instant now(10s);
    for (int i = 0; i < 3; ++i)
        recordStart(record, 1);
    for (int i = 0; i < 3; ++i)
        recordFinish(record, AttemptOutcome::ConnectionBroken, 1, 0, now);
    EXPECT_TRUE(record.unreachable);
    EXPECT_EQ(record.ejections, 1);
    EXPECT_EQ(record.probeAt, now + 100ms);
    recordFailedProbe(record, now + 100ms);
    EXPECT_EQ(record.probeAt, now + 300ms);
    for (int i = 0; i < 10; ++i)
        recordFailedProbe(record, now);
    EXPECT_EQ(record.probeAt, now + 1600ms) << "upper bound of the probe delay";
    markReachable(record, now + 2s);
    EXPECT_FALSE(record.unreachable);
    EXPECT_LE(record.avoidUntil, now + 2s);
    EXPECT_EQ(record.ejections, 1) << "the upstream gets a single request first";
}

TEST(UpstreamRecordTest, UpstreamWithTakenAddressIsAvoidedLong)
{
    UpstreamRecord record;
    const kernel::Instant now(10s);
    recordStart(record, 1);
    EXPECT_TRUE(recordFinish(record, AttemptOutcome::AddressTaken, 1, 0, now));
    EXPECT_FALSE(record.unreachable)
        << "a successful connect would not show that the upstream is back";
    EXPECT_GE(record.avoidUntil, now + 4s);
}

TEST(InactivityTimeoutTest, FollowsEstimateWithinBounds)
{
    const TimeoutBounds bounds{ 100ms, 2000ms };
    EXPECT_EQ(timeoutFromEstimate(nullptr, bounds), 2000ms);
    LatencyEstimate estimate;
    for (int i = 0; i < 9; ++i)
        recordTime(estimate, 20ms);
    EXPECT_EQ(timeoutFromEstimate(&estimate, bounds), 2000ms) << "too few samples";
    for (int i = 0; i < 200; ++i)
        recordTime(estimate, 20ms);
    EXPECT_EQ(timeoutFromEstimate(&estimate, bounds), 100ms);
    for (int i = 0; i < 200; ++i)
        recordTime(estimate, i % 2 == 0 ? 200ms : 400ms);
    const kernel::Duration loaded = timeoutFromEstimate(&estimate, bounds);
    EXPECT_GT(loaded, 900ms) << "load alone causes no retry";
    EXPECT_LT(loaded, 1500ms);
}

TEST(UpstreamRecordTest, FailingServiceDoesNotEjectByFailureRate)
{
    UpstreamRecord record;
    const kernel::Instant now(10s);
    for (int i = 0; i < 100; ++i) {
        recordStart(record, 1);
        const AttemptOutcome outcome
            = i % 2 == 0 ? AttemptOutcome::Failed : AttemptOutcome::Succeeded;
        EXPECT_FALSE(recordFinish(record, outcome, 1, 0.5, now));
    }
}

TEST(UpstreamRecordTest, WorkInFlightReturnsToZero)
{
    UpstreamRecord record;
    recordStart(record, 2.5);
    recordStart(record, 1.5);
    recordFinish(record, AttemptOutcome::Cancelled, 2.5, 0, kernel::Instant(1s));
    EXPECT_DOUBLE_EQ(record.workInFlight, 1.5);
    recordFinish(record, AttemptOutcome::Succeeded, 1.5, 0, kernel::Instant(1s));
    EXPECT_DOUBLE_EQ(record.workInFlight, 0);
    EXPECT_EQ(record.inFlight, 0);
}

TEST_F(UpstreamChoiceTest, LimitedUpstreamTakesHeavyRequestsAndOthersOnlyIfItsLimitIsUnused)
{
    std::optional<RequestPace> &pace = m_records[m_upstreams[2].id].notices.pace;
    pace = RequestPace{ .perSecond = 2 };
    for (const char *affinity : { "", "thing" }) {
        m_query.affinity = affinity;
        m_query.isHeavy = true;
        pace->nextAt = m_query.now + 1ms;
        EXPECT_NE(choose().upstream, &m_upstreams[2]) << "the next request is not due";
        pace->nextAt = m_query.now;
        EXPECT_EQ(choose().upstream, &m_upstreams[2]);
        EXPECT_EQ(choose().reason, ChoiceReason::Limited);
        m_query.isHeavy = false;
        EXPECT_NE(choose().upstream, &m_upstreams[2]);
        pace->nextAt = m_query.now - 250ms;
        EXPECT_EQ(choose().upstream, &m_upstreams[2]) << "the limit is unused";
    }
}

TEST_F(UpstreamChoiceTest, LimitedUpstreamsTakeAnyRequestIfNoOtherIsLeft)
{
    for (const Upstream &upstream : m_upstreams)
        m_records[upstream.id].notices.pace = RequestPace{ .perSecond = 2, .nextAt = m_query.now };
    EXPECT_NE(choose().upstream, nullptr);
    for (const Upstream &upstream : m_upstreams)
        m_records[upstream.id].notices.pace->nextAt = m_query.now + 1ms;
    EXPECT_EQ(choose().upstream, nullptr);
}
