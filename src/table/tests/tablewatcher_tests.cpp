#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "externals/testing/fakeplatform.h"
#include "table/table.h"

using namespace acaciasail;
using namespace acaciasail::table;
using kernel::Revision;

namespace {

constexpr kernel::Duration settleTime = std::chrono::seconds(30);

std::string serviceValue(const std::string &id, int price)
{
    return formatRowValue(
        { .row = R"({"id":")" + id + R"(","price_per_call":)" + std::to_string(price) + "}",
          .edit = kernel::EditId("e") });
}

struct Harness
{
    void put(const std::string &id, int price)
    {
        fake.put("table/services/" + id, serviceValue(id, price));
    }

    std::int64_t price(const std::string &id) const
    {
        const auto &services = table.snapshot()->services;
        const auto found = services.find(kernel::ServiceName(id));
        return found != services.end() ? found->second.pricePerCall.count() : -1;
    }

    std::int64_t storedPrice(const std::string &id)
    {
        const auto object = fake.objects().read("table/services/" + id);
        if (!object.ok())
            return -1;
        const auto value = parseRowValue(object.value().value);
        const auto row
            = parseRow({ TableId::Services, id }, value.value().row, UnknownColumns::Refuse);
        return std::get<ServiceRow>(*row.row).pricePerCall.count();
    }

    kernel::ManualScheduler clock;
    externals::testing::FakeObjectStore fake{ clock.scheduler() };
    TableStore table{ clock.scheduler() };
    TableWatcher watcher{ fake.objectStore(), clock.scheduler(), table, {} };
};

} // namespace

TEST(TableWatcher, ListsThenFollowsChanges)
{
    Harness h;
    h.put("a", 1);
    h.watcher.start();
    h.clock.advance(settleTime);
    EXPECT_TRUE(h.table.loaded());
    EXPECT_EQ(h.price("a"), 1);
    h.put("a", 2);
    h.fake.erase("table/services/b");
    h.clock.runDue();
    EXPECT_EQ(h.price("a"), 2);
    EXPECT_EQ(h.fake.calls().lists, 1);
    EXPECT_LT(*h.table.age(), std::chrono::seconds(1));
}

TEST(TableWatcher, OutageAndRecoveryAreReportedOnceAndMissedChangesArrive)
{
    Harness h;
    h.put("a", 1);
    h.watcher.start();
    h.clock.advance(settleTime);
    std::vector<bool> changes;
    const auto subscription
        = h.watcher.storeUpChanged().subscribe([&](bool up) { changes.push_back(up); });
    h.fake.faults().down = true;
    h.fake.breakWatches();
    h.clock.advance(settleTime);
    EXPECT_GT(*h.table.age(), std::chrono::seconds(29));
    EXPECT_EQ(h.price("a"), 1);
    h.put("a", 3);
    h.fake.faults().down = false;
    h.clock.advance(settleTime);
    EXPECT_EQ(changes, (std::vector{ false, true }));
    EXPECT_EQ(h.price("a"), 3);
    EXPECT_EQ(h.fake.calls().lists, 1);
}

TEST(TableWatcher, ListAfterCompactionFindsDeletedRows)
{
    Harness h;
    h.put("a", 1);
    h.put("b", 1);
    h.watcher.start();
    h.clock.advance(settleTime);
    h.fake.faults().down = true;
    h.fake.breakWatches();
    h.clock.advance(settleTime);
    h.fake.erase("table/services/a");
    h.fake.objects().compact();
    h.fake.faults().down = false;
    h.clock.advance(settleTime);
    EXPECT_EQ(h.price("a"), -1);
    EXPECT_EQ(h.price("b"), 1);
    EXPECT_EQ(h.fake.calls().lists, 2);
}

TEST(TableWatcher, StaleListWithAFalseRevisionDeletesAndHidesNothing)
{
    Harness h;
    h.put("a", 1);
    h.put("b", 2);
    // Row "b" is received from a peer before the list is read.
    h.table.apply({ "services/b", serviceValue("b", 2), Revision(2), false }, "peer");
    h.put("c", 3);
    h.fake.faults().staleLists = 1;
    h.fake.faults().staleRevision = Revision(1);
    h.fake.faults().staleListsLie = true;
    h.watcher.start();
    h.clock.advance(settleTime);
    EXPECT_EQ(h.price("b"), 2);
    EXPECT_EQ(h.price("c"), 3);
}

TEST(TableWatcher, WatchStartsAtTheListRevisionIfTheNewestRowIsCompacted)
{
    Harness h;
    h.put("a", 1);
    h.fake.put("bills/1", "{}");
    h.fake.objects().compact();
    h.watcher.start();
    h.clock.advance(settleTime);
    h.put("a", 2);
    h.clock.advance(settleTime);
    EXPECT_EQ(h.price("a"), 2);
    EXPECT_EQ(h.fake.calls().lists, 1);
}

TEST(TableWatcher, WatchesThatEndAtOnceAreRetriedWithBackoff)
{
    Harness h;
    h.watcher.start();
    for (int i = 0; i < 600; ++i) {
        h.clock.advance(std::chrono::milliseconds(100));
        h.fake.breakWatches();
    }
    EXPECT_LT(h.fake.calls().watches, 40);
}

// Injects random faults between random edits: no row returns to an earlier value, and the table
// finally equals the store's.
RC_GTEST_PROP(TableWatcher, ConvergesAfterAnyFaults, ())
{
    Harness h;
    // A list with a false revision can't be detected if the store also compacts its history, so a
    // run has either such lists or compactions.
    const bool lying = *rc::gen::arbitrary<bool>();
    h.fake.faults().staleListsLie = lying;
    h.watcher.start();
    const int steps = *rc::gen::inRange(1, 30);
    std::map<std::string, std::int64_t> seen;
    for (int step = 1; step <= steps; ++step) {
        const std::string id(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
        switch (*rc::gen::inRange(0, 7)) {
        case 0:
            h.fake.faults().down = !h.fake.faults().down;
            break;
        case 1:
            h.fake.breakWatches();
            break;
        case 2:
            if (!lying)
                h.fake.objects().compact();
            break;
        case 3:
            h.fake.faults().staleLists = 1;
            h.fake.faults().staleRevision = Revision(*rc::gen::inRange(0, step));
            break;
        case 4:
            h.fake.erase("table/services/" + id);
            break;
        default:
            h.put(id, step);
            break;
        }
        h.clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 400)));
        for (const std::string name : { "a", "b", "c" }) {
            const std::int64_t price = h.price(name);
            // Prices only increase, so a lower price means that the row was reverted.
            RC_ASSERT((price == -1 || price >= seen[name]));
            seen[name] = std::max(seen[name], price);
        }
    }
    h.fake.faults() = {};
    h.clock.advance(settleTime);
    for (const std::string name : { "a", "b", "c" })
        RC_ASSERT(h.price(name) == h.storedPrice(name));
}
