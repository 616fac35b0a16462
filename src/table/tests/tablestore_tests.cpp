#include <algorithm>
#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "table/table.h"

using namespace acaciasail;
using namespace acaciasail::table;
using kernel::Revision;

namespace {

std::string modelValue(const std::string &id, int edit)
{
    return formatRowValue(
        { .row = R"({"id":")" + id + R"("})", .edit = kernel::EditId("e" + std::to_string(edit)) });
}

// Generates a history of the store: revisions 1 to `length`, each of one of a few rows. Some
// revisions delete the row, some delete the object, and some are invalid.
std::vector<StoredRow> makeHistory(int length)
{
    std::vector<StoredRow> history;
    for (int revision = 1; revision <= length; ++revision) {
        const std::string id = "m" + std::to_string(*rc::gen::inRange(0, 4));
        StoredRow row{ "models/" + id, modelValue(id, revision), Revision(revision), false };
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            row.value = formatRowValue({ .edit = kernel::EditId("d"), .deleted = true });
            break;
        case 1:
            row.value.clear();
            row.deleted = true;
            break;
        case 2:
            row.value = modelValue("other", revision);
            break;
        default:
            break;
        }
        history.push_back(std::move(row));
    }
    return history;
}

// Returns the rows as they arrive over a lossy network: some lost, some duplicated, in any order.
std::vector<StoredRow> makeArrivals(const std::vector<StoredRow> &history)
{
    std::vector<StoredRow> arrivals;
    for (const StoredRow &row : history) {
        const int copies = *rc::gen::inRange(0, 3);
        arrivals.insert(arrivals.end(), static_cast<std::size_t>(copies), row);
    }
    for (std::size_t i = arrivals.size(); i > 1; --i)
        std::swap(arrivals[i - 1],
                  arrivals[static_cast<std::size_t>(*rc::gen::inRange(0, int(i)))]);
    return arrivals;
}

std::map<std::string, Revision> revisionsInForce(const TableStore &store)
{
    std::map<std::string, Revision> result;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        for (const RowRevisions &row : store.revisionsOfBucket(bucket))
            result[row.key] = row.inForce;
    }
    return result;
}

// Copies the rows of differing buckets to the other table store, as peers do after comparing
// digests.
void repair(const TableStore &from, TableStore &to)
{
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        if (from.digest()[bucket] != to.digest()[bucket])
            to.applyAll(from.rowsOfBucket(bucket), "peer");
    }
}

std::vector<std::string> modelNames(const TableStore &store)
{
    std::vector<std::string> names;
    for (const auto &[id, row] : store.snapshot()->models)
        names.push_back(id.str());
    std::ranges::sort(names);
    return names;
}

} // namespace

// The ctest entry table_histories runs this test with 10,000 histories.
RC_GTEST_PROP(TableHistories, NoRowRevertsAndTableStoresConverge, ())
{
    kernel::ManualScheduler clock;
    TableStore a(clock.scheduler());
    TableStore b(clock.scheduler());
    const auto history = makeHistory(*rc::gen::inRange(1, 16));
    for (const StoredRow &row : makeArrivals(history)) {
        const auto before = revisionsInForce(a);
        const SnapshotPtr snapshot = a.snapshot();
        const bool changed = a.apply(row, "test");
        for (const auto &[key, revision] : revisionsInForce(a))
            RC_ASSERT((!before.contains(key) || revision >= before.at(key)));
        RC_ASSERT((changed || a.snapshot() == snapshot));
        RC_ASSERT(!a.apply(row, "test"));
    }
    b.applyAll(makeArrivals(history), "test");
    repair(a, b);
    repair(b, a);
    RC_ASSERT(a.digest() == b.digest());
    RC_ASSERT(modelNames(a) == modelNames(b));
    RC_ASSERT(a.rowCount() == b.rowCount());
    RC_ASSERT(a.rowCount() == a.snapshot()->models.size());
    RC_ASSERT(a.rejected().size() == b.rejected().size());
}

TEST(TableStore, InvalidRowLeavesTheLastValidOneInForce)
{
    kernel::ManualScheduler clock;
    TableStore store(clock.scheduler());
    store.apply({ "models/m", modelValue("m", 1), Revision(1), false }, "test");
    EXPECT_TRUE(store.apply({ "models/m", R"({"row":{"id":7}})", Revision(2), false }, "test"));
    EXPECT_EQ(store.snapshot()->models.size(), 1U);
    ASSERT_EQ(store.rejected().size(), 1U);
    EXPECT_EQ(store.rejected().front().inForce, Revision(1));
    EXPECT_EQ(store.find("models/m").size(), 2U);
    // A daemon that missed the valid row gets it from a daemon that has it.
    TableStore lagging(clock.scheduler());
    lagging.apply({ "models/m", R"({"row":{"id":7}})", Revision(2), false }, "test");
    EXPECT_EQ(lagging.snapshot()->models.size(), 0U);
    repair(store, lagging);
    EXPECT_EQ(lagging.snapshot()->models.size(), 1U);
    EXPECT_EQ(lagging.digest(), store.digest());
}

TEST(TableStore, RowsOfUnknownTablesAreKeptForPeers)
{
    kernel::ManualScheduler clock;
    TableStore store(clock.scheduler());
    EXPECT_TRUE(store.apply({ "colours/red", R"({"row":{}})", Revision(3), false }, "test"));
    EXPECT_EQ(store.find("colours/red").size(), 1U);
    EXPECT_EQ(store.rowCount(), 0U);
    EXPECT_EQ(store.rejected().front().errors.front().code, kernel::ResultCode::UnknownTable);
}

TEST(TableStore, ChangesAreNotifiedOncePerLoopIteration)
{
    kernel::ManualScheduler clock;
    TableStore store(clock.scheduler());
    std::vector<std::size_t> notices;
    const auto subscription = store.changes().subscribe(
        [&](const TableChanged &notice) { notices.push_back(notice.rows.size()); });
    store.apply({ "models/a", modelValue("a", 1), Revision(1), false }, "test");
    store.apply({ "models/b", modelValue("b", 2), Revision(2), false }, "test");
    clock.runDue();
    store.apply({ "models/b", modelValue("b", 2), Revision(2), false }, "test");
    clock.runDue();
    EXPECT_EQ(notices, std::vector<std::size_t>{ 2 });
}
