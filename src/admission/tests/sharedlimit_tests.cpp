#include <deque>
#include <map>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "admission/tests/fixture.h"

using namespace acaciasail;
using namespace acaciasail::admission;
using namespace acaciasail::admission::tests;
using kernel::Tokens;
using table::Rank;

namespace {

constexpr int daemonCount = 5;
constexpr double limitPerSecond = 100;
constexpr int tickMs = 100;

const LimitSubject subject{ table::LimitScope::Caller, "w0c0" };

kernel::VmId vm(int daemon)
{
    return kernel::VmId("vm" + std::to_string(daemon));
}

struct SimulatedDaemon
{
    LimitState limits;
    SharedLimitState shared;
    FleetView fleet;
    /// Requests per second that reach the daemon, and the fraction of a request carried over to the
    /// next tick.
    double demand = 0;
    double carriedRequests = 0;
};

/// A message in flight. Exactly one of `request` and `grant` is set.
struct InFlightMessage
{
    int from = 0;
    int to = 0;
    std::string request;
    std::string grant;
};

/// Five daemons that share one limit over a network that loses, duplicates and reorders messages.
class SimulatedFleet
{
public:
    SimulatedFleet(std::vector<double> demands, double loss, std::uint64_t seed)
        : m_loss(loss)
        , m_random(seed)
        , m_daemons(daemonCount)
    {
        m_snapshot.callerLimits[kernel::CallerId("w0c0")]
            = { .subject = "w0c0", .requestsPerSecond = limitPerSecond };
        for (int i = 0; i < daemonCount; ++i) {
            m_daemons[i].demand = demands[i];
            start(i);
        }
        healPartition();
    }

    /// Starts a new process on a VM, with empty state.
    void start(int daemon)
    {
        m_daemons[daemon].limits = {};
        m_daemons[daemon].shared = makeSharedLimitState(
            static_cast<std::uint64_t>(m_now.time_since_epoch().count()) + 1);
    }

    /// Partitions the first `count` daemons from the others. The daemons learn of the partition
    /// only from detectPartition().
    void partition(int count) { m_partitionedDaemons = count; }

    void healPartition()
    {
        m_partitionedDaemons = 0;
        detectPartition();
    }

    /// Updates each daemon's live set to the daemons that it can reach, as its failure detector
    /// would.
    void detectPartition()
    {
        for (int i = 0; i < daemonCount; ++i) {
            m_daemons[i].fleet = { .self = vm(i), .fleetSize = daemonCount };
            for (int j = 0; j < daemonCount; ++j) {
                if (reaches(i, j))
                    m_daemons[i].fleet.live.push_back(vm(j));
            }
        }
    }

    /// Simulates a time span and returns the admitted requests as a fraction of the limit.
    double run(double seconds)
    {
        std::int64_t admitted = 0;
        for (int tick = 0; tick < seconds * 1000 / tickMs; ++tick) {
            m_now += std::chrono::milliseconds(tickMs);
            deliver();
            for (int i = 0; i < daemonCount; ++i)
                admitted += runDaemon(i);
        }
        return static_cast<double>(admitted) / (limitPerSecond * seconds);
    }

    std::int64_t messages() const { return m_messages; }
    void setDemand(int daemon, double demand) { m_daemons[daemon].demand = demand; }

private:
    bool reaches(int a, int b) const
    {
        return (a < m_partitionedDaemons) == (b < m_partitionedDaemons);
    }

    std::int64_t runDaemon(int index)
    {
        SimulatedDaemon &daemon = m_daemons[index];
        daemon.limits.shares = sharesAt(daemon.shared, m_sharing, daemon.fleet, m_now);
        std::int64_t admitted = 0;
        daemon.carriedRequests += daemon.demand * tickMs / 1000;
        for (; daemon.carriedRequests >= 1; daemon.carriedRequests -= 1) {
            const AdmissionRequest ask = makeAdmissionRequest(0, 0, 0, Rank::Normal, 1, m_now);
            const auto reserved = reserveLimits(daemon.limits, m_config, m_snapshot, ask, m_now);
            if (const auto *reservation = std::get_if<LimitReservation>(&reserved)) {
                settleLimits(daemon.limits, ask, *reservation, Tokens(1), m_now);
                ++admitted;
            }
        }
        recordDemand(daemon.shared, m_sharing, daemon.fleet, subject,
                     demandOf(daemon.limits, subject, m_now), m_now);
        for (const OutgoingRequest &out :
             dueRequests(daemon.shared, m_sharing, daemon.fleet, m_now)) {
            ++m_messages;
            send({ index, indexOf(out.to), encode(out.request), {} });
        }
        sweepSharedLimits(daemon.shared, m_sharing, daemon.fleet, m_now);
        return admitted;
    }

    static int indexOf(const kernel::VmId &id) { return id.str().back() - '0'; }

    void send(const InFlightMessage &message)
    {
        while (kernel::uniform01(m_random) >= m_loss) {
            const auto delay = std::chrono::milliseconds(kernel::uniformBelow(m_random, 400));
            m_inFlight.emplace(m_now + delay, message);
            if (kernel::uniform01(m_random) > m_loss)
                return;
        }
    }

    void deliver()
    {
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
            const InFlightMessage message = m_inFlight.begin()->second;
            m_inFlight.erase(m_inFlight.begin());
            if (!reaches(message.from, message.to))
                continue;
            SimulatedDaemon &to = m_daemons[message.to];
            if (message.request.empty()) {
                const auto grant = kernel::capture([&] { return decodeGrant(message.grant); });
                applyGrant(to.shared, m_sharing, vm(message.from), grant.value(), m_now);
                continue;
            }
            const auto request
                = kernel::capture([&] { return decodeGrantRequest(message.request); });
            if (const auto grant
                = answerRequest(to.shared, m_sharing, to.fleet, request.value(), m_now)) {
                send({ message.to, message.from, {}, encode(*grant) });
            }
        }
    }

    double m_loss = 0;
    kernel::Random m_random;
    std::vector<SimulatedDaemon> m_daemons;
    AdmissionConfig m_config;
    SharedLimitConfig m_sharing;
    table::Snapshot m_snapshot = makeSnapshot(1, 1);
    kernel::Instant m_now = at(1'000'000);
    std::multimap<kernel::Instant, InFlightMessage> m_inFlight;
    int m_partitionedDaemons = 0;
    std::int64_t m_messages = 0;
};

/// Returns the demands of all daemons, randomly distributed, with a sum of `demandToLimitRatio`
/// times the limit.
std::vector<double> randomDemands(double demandToLimitRatio)
{
    std::vector<double> parts;
    double sum = 0;
    for (int i = 0; i < daemonCount; ++i) {
        parts.push_back(*rc::gen::element(0.0, 0.05, 0.2, 1.0, 3.0));
        sum += parts.back();
    }
    if (sum <= 0)
        parts[0] = sum = 1;
    for (double &part : parts)
        part *= demandToLimitRatio * limitPerSecond / sum;
    return parts;
}

std::uint64_t randomSeed()
{
    return *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
}

} // namespace

RC_GTEST_PROP(SharedLimit, UseStaysNearTheLimitForAnyDemandOnALossyNetwork, ())
{
    const double demandToLimitRatio = *rc::gen::element(0.5, 0.9, 1.5, 2.5);
    SimulatedFleet fleet(randomDemands(demandToLimitRatio), *rc::gen::element(0.0, 0.1, 0.2),
                         randomSeed());
    fleet.run(30);
    const double used = fleet.run(60);
    RC_ASSERT(used <= 1.05);
    RC_ASSERT(used >= 0.9 * std::min(1.0, demandToLimitRatio));
}

RC_GTEST_PROP(SharedLimit, PartitionOveruseIsBoundedAndHealingCausesNoBurst, ())
{
    const int partition = *rc::gen::inRange(1, daemonCount);
    SimulatedFleet fleet(randomDemands(2.5), *rc::gen::element(0.0, 0.1), randomSeed());
    fleet.run(40);
    fleet.partition(partition);
    // Use is bounded before the failure detectors detect the partition, and for two grant lifetimes
    // afterwards.
    const double detectionSeconds = *rc::gen::element(1.0, 4.0, 9.0);
    RC_ASSERT(fleet.run(detectionSeconds) <= 2.0);
    fleet.detectPartition();
    RC_ASSERT(fleet.run(8) <= 2.0);
    RC_ASSERT(fleet.run(20) <= 1.05);
    fleet.healPartition();
    for (int i = 0; i < 4; ++i)
        RC_ASSERT(fleet.run(5) <= 1.1);
    RC_ASSERT(fleet.run(30) <= 1.05);
}

RC_GTEST_PROP(SharedLimit, RestartedDaemonsCauseNoBurst, ())
{
    SimulatedFleet fleet(randomDemands(2.5), 0.05, randomSeed());
    fleet.run(40);
    double used = 0;
    for (int i = 0; i < daemonCount; ++i) {
        fleet.start(i);
        used += fleet.run(10);
    }
    // Each new process adds at most one burst of its own fraction.
    RC_ASSERT(used / daemonCount <= 1.25);
    RC_ASSERT(fleet.run(30) <= 1.05);
}

TEST(SharedLimit, CallersFarBelowTheirLimitCauseNoMessages)
{
    SimulatedFleet fleet({ 0.3, 0.3, 0.3, 0.3, 0.3 }, 0, 1);
    // The total demand is 1.5% of the limit.
    fleet.run(60);
    EXPECT_EQ(fleet.messages(), 0);
    fleet.setDemand(3, limitPerSecond);
    const std::int64_t before = fleet.messages();
    // One request per second is expected, plus a few retries where a response took longer than the
    // retry interval.
    fleet.run(60);
    EXPECT_LE(fleet.messages() - before, 90);
    EXPECT_GE(fleet.messages() - before, 50);
}

TEST(SharedLimit, MalformedMessagesAreRefused)
{
    for (const char *text :
         { "", "[]", "{}", R"({"subject":{"scope":"caller","id":"x"}})",
           R"({"subject":{"scope":"caller","id":"x"},"number":1,"fraction":-1})" }) {
        EXPECT_EQ(kernel::capture([&] { return decodeGrant(text); }).error().code,
                  kernel::ResultCode::PeerProtocol);
        EXPECT_EQ(kernel::capture([&] { return decodeGrantRequest(text); }).error().code,
                  kernel::ResultCode::PeerProtocol);
    }
}
