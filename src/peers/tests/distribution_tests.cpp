#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "peers/tests/fleet.h"

using namespace acaciasail;
using namespace acaciasail::peers;
using namespace std::chrono_literals;

namespace {

/// Applies one random event to the fleet, edits a row, and advances the time.
void injectRandomEvent(Fleet &fleet, int step)
{
    const std::string vm = "vm" + std::to_string(*rc::gen::inRange(0, 5));
    const std::string dataCentre = "dc" + std::to_string(*rc::gen::inRange(0, 3));
    switch (*rc::gen::inRange(0, 9)) {
    case 0:
        fleet.pause(vm);
        break;
    case 1:
        fleet.resume(vm);
        break;
    case 2: {
        const kernel::DataCentreId home = fleet.at(vm).peer.dataCentre;
        fleet.crash(vm);
        fleet.start(vm, home.str(), std::stoi(vm.substr(2)));
        break;
    }
    case 3:
        fleet.partitions = { { dataCentre } };
        break;
    case 4:
        fleet.partitions.clear();
        break;
    case 5:
        fleet.platformUnreachableFrom = { dataCentre };
        break;
    case 6:
        fleet.storeDown = !fleet.storeDown;
        break;
    case 7:
        fleet.at(vm).findings.insert("finding" + std::to_string(step));
        fleet.at(vm).peers->topicChanged("findings");
        break;
    default:
        break;
    }
    fleet.edit("row" + std::to_string(*rc::gen::inRange(0, 6)), std::to_string(step));
    fleet.run(std::chrono::milliseconds(*rc::gen::inRange(0, 4000)));
}

void clearFaults(Fleet &fleet)
{
    fleet.partitions.clear();
    fleet.platformUnreachableFrom.clear();
    fleet.storeDown = false;
    fleet.network.loss = 0;
    for (const auto &[id, daemon] : fleet.daemons)
        fleet.resume(id);
}

} // namespace

RC_GTEST_PROP(Distribution, ConvergesAfterAnyHistoryAndNeverReverts, ())
{
    Fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
    fleet.network.loss = 0.05;
    fleet.network.duplicates = 0.05;
    fleet.network.maxDelay = 60ms;
    fleet.startMany(5, 3, 5s);
    const int steps = *rc::gen::inRange(1, 15);
    for (int step = 0; step < steps; ++step) {
        injectRandomEvent(fleet, step);
        RC_ASSERT(!fleet.conflicting());
    }
    clearFaults(fleet);
    fleet.run(20s);
    RC_ASSERT(fleet.converged());
    for (const auto &[id, daemon] : fleet.daemons) {
        RC_ASSERT(daemon->table.complete);
        RC_ASSERT(daemon->peers->view().live().size() == fleet.daemons.size() - 1);
    }
}

TEST(Distribution, EditIsInForceEverywhereWithinASecond)
{
    for (const int daemons : { 2, 5, 40 }) {
        Fleet fleet(static_cast<std::uint64_t>(daemons));
        fleet.startMany(daemons, std::min(daemons, 3));
        for (int edit = 0; edit < 100; ++edit) {
            fleet.edit("row" + std::to_string(edit % 7), std::to_string(edit));
            fleet.run(1s);
            ASSERT_EQ(fleet.inForce("row" + std::to_string(edit % 7)), fleet.daemons.size())
                << daemons << " daemons, edit " << edit;
        }
    }
}

TEST(Distribution, DataCentreWithoutPlatformGetsRowsFromTheOthers)
{
    Fleet fleet(1);
    fleet.startMany(9, 3);
    fleet.platformUnreachableFrom = { "dc1" };
    fleet.edit("row", "new");
    fleet.run(3s);
    EXPECT_EQ(fleet.inForce("row"), 9U);
    EXPECT_LT(fleet.at("vm1").peers->sinceHeard(), 4s);
}

TEST(Distribution, RollingReplacementOfAllDaemonsDuringAnOutageLosesNoRow)
{
    Fleet fleet(2);
    fleet.startMany(5, 3);
    fleet.storeDown = true;
    // The rows, and also their keys, exceed the size limit of one exchange.
    for (int i = 0; i < 6000; ++i)
        fleet.edit("table/workspaces/row" + std::to_string(i), std::string(200, 'x'));
    fleet.run(1s);
    fleet.storeDown = false;
    fleet.run(5s);
    fleet.storeDown = true;
    for (int i = 0; i < 5; ++i) {
        fleet.crash("vm" + std::to_string(i));
        fleet.start("next" + std::to_string(i), "dc" + std::to_string(i % 3), i);
        fleet.run(10s);
    }
    EXPECT_TRUE(fleet.converged());
    for (const auto &[id, daemon] : fleet.daemons) {
        EXPECT_TRUE(daemon->table.complete) << id;
        EXPECT_GE(daemon->peers->sinceHeard(), 40s) << id;
    }
}

TEST(Distribution, TableWithoutACompleteSourceIsIncomplete)
{
    Fleet fleet(3);
    fleet.storeDown = true;
    fleet.startMany(4, 2);
    fleet.run(1min);
    for (const auto &[id, daemon] : fleet.daemons) {
        EXPECT_FALSE(daemon->table.complete);
        EXPECT_FALSE(daemon->peers->sinceHeard().has_value());
    }
    fleet.storeDown = false;
    fleet.run(3s);
    for (const auto &[id, daemon] : fleet.daemons)
        EXPECT_TRUE(daemon->table.complete) << id;
}

TEST(Distribution, TableAgeIsAtLeastTheTimeSinceTheLastWatchHeartbeat)
{
    Fleet fleet(4);
    fleet.startMany(12, 3);
    for (const auto &[id, daemon] : fleet.daemons)
        EXPECT_LT(daemon->peers->sinceHeard(), 6s) << id;
    fleet.storeDown = true;
    fleet.network.maxDelay = 400ms;
    for (int second = 1; second <= 60; ++second) {
        fleet.run(1s);
        for (const auto &[id, daemon] : fleet.daemons)
            ASSERT_GE(daemon->peers->sinceHeard(), std::chrono::seconds(second)) << id;
    }
}

TEST(Distribution, EachDataCentreHasTwoWatchers)
{
    Fleet fleet(5);
    fleet.startMany(24, 3);
    fleet.run(10s);
    std::map<std::string, int> watchers;
    for (const auto &[id, daemon] : fleet.daemons)
        watchers[daemon->peer.dataCentre.str()] += daemon->peers->shouldWatch() ? 1 : 0;
    for (const auto &[dataCentre, count] : watchers)
        EXPECT_EQ(count, 2) << dataCentre;
    const std::string watcher = fleet.at("vm0").peers->status().watchers.front().str();
    fleet.crash(watcher);
    fleet.run(5s);
    int left = 0;
    for (const auto &[id, daemon] : fleet.daemons)
        left += daemon->peer.dataCentre.str() == "dc0" && daemon->peers->shouldWatch() ? 1 : 0;
    EXPECT_EQ(left, 2);
}

TEST(Distribution, TopicsReachAllDaemonsAndOversizedOnesAreNotSent)
{
    Fleet fleet(6);
    fleet.startMany(12, 3);
    fleet.at("vm5").findings.insert("bad version");
    fleet.at("vm5").peers->topicChanged("findings");
    fleet.run(2s);
    EXPECT_TRUE(fleet.converged());
    fleet.at("vm5").findings.insert(std::string(maxTopicBytes, 'x'));
    fleet.at("vm5").peers->topicChanged("findings");
    fleet.run(10s);
    EXPECT_EQ(fleet.at("vm0").findings.size(), 1U);
}

TEST(Distribution, SurveyCollectsTheRevisionOfEachDaemon)
{
    Fleet fleet(7);
    fleet.startMany(10, 3);
    fleet.edit("row", "first");
    fleet.run(2s);
    fleet.pause("vm7");
    fleet.edit("row", "second");
    fleet.run(6s);
    fleet.resume("vm7");
    std::vector<SurveyEntry> entries;
    fleet.at("vm0").peers->survey(
        [&](std::vector<SurveyEntry> answer) { entries = std::move(answer); });
    fleet.run(2s);
    EXPECT_GE(entries.size(), 9U);
    fleet.run(10s);
    fleet.at("vm0").peers->survey(
        [&](std::vector<SurveyEntry> answer) { entries = std::move(answer); });
    fleet.run(2s);
    ASSERT_EQ(entries.size(), 10U);
    for (const SurveyEntry &entry : entries)
        EXPECT_EQ(entry.revision, kernel::Revision(2)) << entry.id;
}

TEST(Distribution, NewDaemonLoadsTheTableOnceAndDoesNotForwardIt)
{
    Fleet fleet(8);
    fleet.startMany(5, 1);
    fleet.storeDown = true;
    for (int i = 0; i < 2000; ++i)
        fleet.edit("row" + std::to_string(i), std::string(300, 'x'));
    fleet.run(1s);
    fleet.storeDown = false;
    fleet.run(10s);
    fleet.storeDown = true;
    fleet.network.counts.clear();
    TestDaemon &added = fleet.start("new", "dc0", 9);
    fleet.run(30s);
    EXPECT_TRUE(added.table.complete);
    EXPECT_TRUE(fleet.converged());
    constexpr std::uint64_t tableBytes = 600000;
    const NetworkCount &count = fleet.network.counts.at(added.peer.endpoint);
    EXPECT_GT(count.bulkBytes, tableBytes);
    EXPECT_LT(count.bytes, tableBytes * 3 / 2);
}
