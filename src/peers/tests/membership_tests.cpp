#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "peers/internal/failuredetector.h"
#include "peers/internal/memberlist.h"
#include "peers/tests/fleet.h"

using namespace acaciasail;
using namespace acaciasail::peers;
using namespace std::chrono_literals;

namespace {

Member record(int vm, std::uint64_t incarnation, MemberState state)
{
    Member member;
    member.peer.id = kernel::VmId("vm" + std::to_string(vm));
    member.peer.dataCentre = kernel::DataCentreId("dc");
    member.peer.endpoint = { "10.0.0." + std::to_string(vm), 7000 };
    member.incarnation = incarnation;
    member.state = state;
    return member;
}

Member arbitraryRecord()
{
    return record(*rc::gen::inRange(0, 5), *rc::gen::inRange<std::uint64_t>(1, 6),
                  *rc::gen::element(MemberState::Alive, MemberState::Suspect, MemberState::Leaving,
                                    MemberState::Failed));
}

#ifdef __SANITIZE_ADDRESS__
// The simulation takes an hour of simulated time; with the sanitizers, which slow it down about
// twentyfold, six minutes.
constexpr int simulatedMinutes = 6;
#else
constexpr int simulatedMinutes = 60;
#endif

/// Counts how often any daemon marks a member as suspected or failed.
struct SuspicionCounter
{
    explicit SuspicionCounter(Fleet &fleet)
    {
        for (const auto &[id, daemon] : fleet.daemons)
            subscriptions.push_back(
                daemon->peers->memberChanged().subscribe([this](const MemberChange &change) {
                    const MemberState state = change.member.state;
                    if (state == MemberState::Suspect || state == MemberState::Failed)
                        ++suspicions;
                }));
    }

    int suspicions = 0;
    std::vector<kernel::Subscription> subscriptions;
};

bool allKnowAs(Fleet &fleet, const std::string &id, const std::string &state)
{
    return std::ranges::all_of(fleet.daemons, [&](const auto &item) {
        return item.first == id || item.second->knownStateOf(id) == state;
    });
}

} // namespace

RC_GTEST_PROP(MemberList, MergeIsIndependentOfOrderAndDuplicates, ())
{
    const auto records = *rc::gen::container<std::vector<Member>>(rc::gen::exec(arbitraryRecord));
    std::vector<Member> shuffled = records;
    shuffled.insert(shuffled.end(), records.begin(), records.end());
    kernel::Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::ranges::shuffle(shuffled, random);

    MemberList first(record(9, 1, MemberState::Alive).peer, 1);
    MemberList second(record(9, 1, MemberState::Alive).peer, 1);
    for (const Member &member : records)
        first.apply(member, {});
    for (const Member &member : shuffled)
        second.apply(member, {});
    RC_ASSERT(first.digest() == second.digest());
    for (const Member &member : records) {
        const Member *known = first.find(member.peer.id);
        RC_ASSERT(known != nullptr);
        RC_ASSERT(!supersedes(member, *known));
    }
}

RC_GTEST_PROP(MemberList, RefutesRecordsThatMarkTheOwnDaemonAsSuspectedOrFailed, ())
{
    const auto records = *rc::gen::container<std::vector<Member>>(rc::gen::exec(arbitraryRecord));
    MemberList list(record(0, 1, MemberState::Alive).peer, 1);
    for (const Member &member : records) {
        list.apply(member, {});
        const MemberState own = list.self().state;
        RC_ASSERT(own == MemberState::Alive || own == MemberState::Leaving);
        RC_ASSERT(!supersedes(member, list.self()) || member.peer.id != list.self().peer.id);
    }
}

TEST(ProbeStep, SuspectsThenFailsAndRestartsAfterALocalPause)
{
    const ProbeOptions options;
    struct Case
    {
        int unansweredPings;
        kernel::Duration lateness;
        ProbeStep expected;
    };
    const std::vector<Case> cases{
        { 0, 0ms, ProbeStep::PingDirect },
        { 1, 0ms, ProbeStep::PingDirectAndIndirect },
        { 3, 150ms, ProbeStep::PingDirectAndIndirect },
        { 4, 0ms, ProbeStep::Suspect },
        { 5, 0ms, ProbeStep::PingDirectAndIndirect },
        { 9, 0ms, ProbeStep::Fail },
        { 4, 151ms, ProbeStep::Restart },
        { 9, 5s, ProbeStep::Restart },
    };
    for (const Case &c : cases)
        EXPECT_EQ(nextProbeStep(options, c.unansweredPings, c.lateness), c.expected)
            << c.unansweredPings;
}

TEST(Membership, NoFalseSuspicionInAnHourAtOnePercentLoss)
{
    struct Case
    {
        int daemons;
        int dataCentres;
    };
    for (const Case &c : { Case{ 2, 1 }, Case{ 5, 3 }, Case{ 12, 3 } }) {
        Fleet fleet(static_cast<std::uint64_t>(c.daemons));
        fleet.startMany(c.daemons, c.dataCentres);
        fleet.network.loss = 0.01;
        const SuspicionCounter counter(fleet);
        for (int minute = 0; minute < simulatedMinutes; ++minute) {
            fleet.run(1min);
            for (const auto &[id, daemon] : fleet.daemons)
                ASSERT_EQ(daemon->peers->view().live().size(), fleet.daemons.size() - 1)
                    << c.daemons << " daemons, minute " << minute;
        }
        EXPECT_EQ(counter.suspicions, 0) << c.daemons;
    }
}

RC_GTEST_PROP(Membership, FailedDaemonIsKnownInItsDataCentreWithinThreeSeconds, ())
{
    Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
    const int perDataCentre = *rc::gen::inRange(2, 9);
    fleet.startMany(2 * perDataCentre, 2, 8s);
    fleet.network.loss = 0.01;
    fleet.run(std::chrono::milliseconds(*rc::gen::inRange(0, 1000)));
    const std::string victim = "vm" + std::to_string(*rc::gen::inRange(0, 2 * perDataCentre));
    const kernel::DataCentreId dataCentre = fleet.at(victim).peer.dataCentre;
    fleet.crash(victim);
    fleet.run(3s);
    for (const auto &[id, daemon] : fleet.daemons) {
        if (daemon->peer.dataCentre == dataCentre)
            RC_ASSERT(daemon->knownStateOf(victim) == "failed");
    }
    fleet.run(3s);
    RC_ASSERT(allKnowAs(fleet, victim, "failed"));
}

TEST(Membership, ResumedDaemonRejoinsAndSuspectsNoMember)
{
    Fleet fleet(1);
    fleet.startMany(6, 2);
    fleet.pause("vm2");
    fleet.run(10s);
    EXPECT_TRUE(allKnowAs(fleet, "vm2", "failed"));
    const SuspicionCounter counter(fleet);
    fleet.resume("vm2");
    fleet.run(8s);
    EXPECT_TRUE(allKnowAs(fleet, "vm2", "alive"));
    EXPECT_EQ(counter.suspicions, 0);
    EXPECT_EQ(fleet.at("vm2").peers->view().live().size(), 5U);
}

TEST(Membership, ReplacedDaemonIsFailedAndRestartedDaemonIsAlive)
{
    Fleet fleet(2);
    fleet.startMany(5, 2);
    fleet.crash("vm0");
    fleet.start("vm0-next", "dc0", 0);
    fleet.crash("vm1");
    fleet.start("vm1", "dc1", 1);
    fleet.run(4s);
    EXPECT_TRUE(allKnowAs(fleet, "vm0", "failed"));
    EXPECT_TRUE(allKnowAs(fleet, "vm0-next", "alive"));
    EXPECT_TRUE(allKnowAs(fleet, "vm1", "alive"));
    for (const auto &[id, daemon] : fleet.daemons)
        EXPECT_EQ(daemon->peers->view().live().size(), 4U) << id;
}

TEST(Membership, OneWayConnectionLossIsNotAFailure)
{
    Fleet fleet(3);
    fleet.startMany(4, 1);
    fleet.blockedPairs.insert({ "vm0", "vm1" });
    fleet.blockedPairs.insert({ "vm2", "vm3" });
    const SuspicionCounter counter(fleet);
    fleet.run(5min);
    EXPECT_EQ(counter.suspicions, 0);
}

TEST(Membership, LeavingDaemonIsNotLiveAndIsPurgedAfterItsExit)
{
    Fleet fleet(4);
    fleet.startMany(5, 2);
    fleet.at("vm3").peers->leave();
    fleet.run(1s);
    EXPECT_TRUE(allKnowAs(fleet, "vm3", "leaving"));
    EXPECT_EQ(fleet.at("vm0").peers->view().live().size(), 3U);
    // The leaving daemon takes part in the dissemination of the table until it exits.
    fleet.edit("row", "late");
    fleet.run(2s);
    EXPECT_EQ(fleet.inForce("row"), 5U);
    fleet.crash("vm3");
    fleet.run(15min);
    EXPECT_TRUE(allKnowAs(fleet, "vm3", "unknown"));
}

TEST(Membership, PartitionedDataCentresAreUnreachableUntilThePartitionHeals)
{
    Fleet fleet(5);
    fleet.startMany(9, 3);
    fleet.partitions = { { "dc0" } };
    fleet.run(15s);
    EXPECT_EQ(fleet.at("vm0").peers->view().live().size(), 2U);
    EXPECT_EQ(fleet.at("vm1").peers->view().live().size(), 5U);
    // No daemon of another data centre was marked as failed because of the partition.
    EXPECT_EQ(fleet.at("vm0").knownStateOf("vm1"), "alive");
    fleet.partitions.clear();
    fleet.run(15s);
    for (const auto &[id, daemon] : fleet.daemons)
        EXPECT_EQ(daemon->peers->view().live().size(), 8U) << id;
}

TEST(Membership, DataCentreWithOneDaemonIsUnreachableAfterItsFailure)
{
    Fleet fleet(6);
    fleet.startMany(4, 4);
    fleet.crash("vm2");
    fleet.run(10s);
    for (const auto &[id, daemon] : fleet.daemons)
        EXPECT_EQ(daemon->peers->view().live().size(), 2U) << id;
    fleet.start("vm2-next", "dc2", 7);
    fleet.run(10s);
    for (const auto &[id, daemon] : fleet.daemons)
        EXPECT_EQ(daemon->peers->view().live().size(), 3U) << id;
}

TEST(Membership, RestartWithAClockThatWentBackIsAccepted)
{
    Fleet fleet(7);
    fleet.startMany(4, 2);
    fleet.crash("vm1");
    fleet.clockOffset = -1h;
    fleet.start("vm1", "dc1", 1);
    fleet.run(10s);
    EXPECT_TRUE(allKnowAs(fleet, "vm1", "alive"));
    for (const auto &[id, daemon] : fleet.daemons)
        EXPECT_EQ(daemon->peers->view().live().size(), 3U) << id;
    // The restarted daemon's records of itself are accepted again.
    fleet.at("vm1").peers->leave();
    fleet.run(1s);
    EXPECT_TRUE(allKnowAs(fleet, "vm1", "leaving"));
}
