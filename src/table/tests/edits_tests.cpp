#include <gtest/gtest.h>

#include "externals/testing/fakeplatform.h"
#include "table/table.h"

using namespace acaciasail;
using namespace acaciasail::table;
using kernel::ResultCode;
using kernel::Revision;

namespace {

constexpr kernel::Duration settleTime = std::chrono::minutes(1);

struct EditsTest : ::testing::Test
{
    EditRequest makeEdit(const std::string &edit, const std::string &price) const
    {
        return { .key = { TableId::Services, "book" },
                 .cells = { { "price_per_call", price } },
                 .edit = kernel::EditId(edit),
                 .by = "ada" };
    }

    kernel::Completion<EditOutcome> run(const EditRequest &request)
    {
        std::optional<kernel::Completion<EditOutcome>> outcome;
        applyEdit(store, clock.scheduler(), {}, request,
                  [&](const auto &result) { outcome = result; });
        clock.advance(settleTime);
        return *outcome;
    }

    std::int64_t storedPrice()
    {
        std::int64_t price = -1;
        readTable(store, [&](const auto &table) {
            const auto &entry = table.value().entries.at({ TableId::Services, "book" });
            price = std::get<ServiceRow>(*entry.row).pricePerCall.count();
        });
        clock.runDue();
        return price;
    }

    kernel::ManualScheduler clock;
    externals::testing::FakeObjectStore fake{ clock.scheduler() };
    externals::ObjectStore store = fake.objectStore();
};

} // namespace

TEST_F(EditsTest, OutcomeAfterLostReplyIsReadAndTheWriteIsNotRetried)
{
    fake.faults().lostReplies = 1;
    const auto outcome = run(makeEdit("e1", "5"));
    ASSERT_TRUE(outcome.ok()) << outcome.error().message;
    EXPECT_TRUE(outcome.value().settledByReading);
    EXPECT_EQ(outcome.value().revision, Revision(1));
    EXPECT_EQ(fake.calls().writes, 1);
}

TEST_F(EditsTest, OutcomeAfterLostReplyIsFoundAfterAnotherEditOverwroteTheRow)
{
    ASSERT_TRUE(run(makeEdit("e1", "5")).ok());
    fake.faults().lostReplies = 1;
    std::optional<kernel::Completion<EditOutcome>> outcome;
    applyEdit(store, clock.scheduler(), {}, makeEdit("e2", "6"),
              [&](const auto &result) { outcome = result; });
    clock.runDue();
    fake.faults().down = true;
    clock.advance(std::chrono::milliseconds(50));
    fake.faults().down = false;
    ASSERT_TRUE(run(makeEdit("e3", "7")).ok());
    ASSERT_TRUE(outcome && outcome->ok());
    EXPECT_EQ(storedPrice(), 7);
}

TEST_F(EditsTest, LostWriteHasUnknownOutcomeAndIsNotRetried)
{
    fake.faults().lostWrites = 1;
    const auto outcome = run(makeEdit("e1", "5"));
    EXPECT_EQ(outcome.error().code, ResultCode::WriteOutcomeUnknown);
    EXPECT_EQ(fake.calls().writes, 1);
    EXPECT_EQ(fake.calls().reads, 1 + EditOptions{}.maxOutcomeReadRetries);
}

TEST_F(EditsTest, LostWriteIsAConflictAfterAnotherEditOfTheRow)
{
    ASSERT_TRUE(run(makeEdit("e1", "5")).ok());
    fake.faults().lostWrites = 1;
    std::optional<kernel::Completion<EditOutcome>> outcome;
    applyEdit(store, clock.scheduler(), {}, makeEdit("e2", "6"),
              [&](const auto &result) { outcome = result; });
    clock.runDue();
    ASSERT_TRUE(run(makeEdit("e3", "7")).ok());
    EXPECT_EQ(outcome->error().code, ResultCode::EditConflict);
    EXPECT_EQ(storedPrice(), 7);
}

TEST_F(EditsTest, OfConcurrentEditsOneWinsAndTheOtherGetsAConflictThatNamesIt)
{
    ASSERT_TRUE(run(makeEdit("e0", "1")).ok());
    std::vector<kernel::Completion<EditOutcome>> outcomes;
    for (const std::string edit : { "e1", "e2" }) {
        applyEdit(store, clock.scheduler(), {}, makeEdit(edit, edit.substr(1)),
                  [&](const auto &result) { outcomes.push_back(result); });
    }
    clock.advance(settleTime);
    ASSERT_EQ(outcomes.size(), 2U);
    EXPECT_TRUE(outcomes[0].ok());
    EXPECT_EQ(outcomes[1].error().code, ResultCode::EditConflict);
    EXPECT_EQ(outcomes[1].error().message,
              "row \"services/book\" was changed by \"ada\" at 2026-01-01T00:01:00Z (revision 2, "
              "edit e1); nothing was written");
    EXPECT_EQ(storedPrice(), 1);
}

TEST_F(EditsTest, ExpectedRevisionIsChecked)
{
    ASSERT_TRUE(run(makeEdit("e1", "5")).ok());
    EditRequest edit = makeEdit("e2", "6");
    edit.expected = Revision(0);
    EXPECT_EQ(run(edit).error().code, ResultCode::RowExists);
    edit.expected = Revision(9);
    EXPECT_EQ(run(edit).error().code, ResultCode::EditConflict);
    edit.expected = Revision(1);
    EXPECT_TRUE(run(edit).ok());
}

TEST_F(EditsTest, ReferencedRowsAreNotDeletedAndDeletedRowsCanBeRecreated)
{
    ASSERT_TRUE(run(makeEdit("e1", "5")).ok());
    const EditRequest workspace{ .key = { TableId::Workspaces, "w" },
                                 .cells = { { "services", "book" } },
                                 .edit = kernel::EditId("e2") };
    ASSERT_TRUE(run(workspace).ok());
    EditRequest removal{ .kind = EditKind::Delete,
                         .key = { TableId::Services, "book" },
                         .edit = kernel::EditId("e3") };
    EXPECT_EQ(run(removal).error().code, ResultCode::DanglingReference);
    EditRequest cut = workspace;
    cut.cells = { { "services", "" } };
    cut.edit = kernel::EditId("e4");
    ASSERT_TRUE(run(cut).ok());
    fake.faults().lostReplies = 1;
    EXPECT_TRUE(run(removal).ok());
    EXPECT_EQ(run(removal).error().code, ResultCode::RowNotFound);
    EXPECT_TRUE(run(makeEdit("e5", "8")).ok());
    EXPECT_EQ(storedPrice(), 8);
}
