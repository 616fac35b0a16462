#include <gtest/gtest.h>

#include "externals/testing/fakeplatform.h"

using namespace acaciasail;
using namespace acaciasail::externals;
using kernel::ResultCode;

namespace {

struct FakePlatformTest : ::testing::Test
{
    kernel::Completion<kernel::Revision> create(const std::string &key)
    {
        std::optional<kernel::Completion<kernel::Revision>> outcome;
        store.create(key, "{}", [&](auto result) { outcome = result; });
        clock.runDue();
        return *outcome;
    }

    kernel::Completion<ObjectList> list()
    {
        std::optional<kernel::Completion<ObjectList>> outcome;
        store.list("", [&](auto result) { outcome = result; });
        clock.runDue();
        return *outcome;
    }

    kernel::ManualScheduler clock;
    externals::testing::FakeObjectStore fake{ clock.scheduler() };
    ObjectStore store = fake.objectStore();
};

} // namespace

TEST_F(FakePlatformTest, LostReplyHasItsEffectAndLostWriteHasNone)
{
    fake.faults().lostReplies = 1;
    EXPECT_EQ(create("a").error().code, ResultCode::WriteOutcomeUnknown);
    EXPECT_EQ(create("a").error().code, ResultCode::ObjectExists);
    fake.faults().lostWrites = 1;
    EXPECT_EQ(create("b").error().code, ResultCode::WriteOutcomeUnknown);
    EXPECT_TRUE(create("b").ok());
}

TEST_F(FakePlatformTest, DownHasNoEffectAndEndsWatches)
{
    std::vector<ResultCode> ends;
    const WatchHandle handle = store.watch(
        "", {},
        { [](const StoredObject &) {}, [&](const auto &error) { ends.push_back(error.code); } });
    fake.faults().down = true;
    EXPECT_EQ(create("a").error().code, ResultCode::PlatformUnreachable);
    fake.faults().down = false;
    EXPECT_EQ(ends, std::vector{ ResultCode::PlatformUnreachable });
    EXPECT_TRUE(list().value().objects.empty());
}

TEST_F(FakePlatformTest, WatchDeliversEachChangeOnceAndRefusesACompactedStart)
{
    ASSERT_TRUE(create("p/a").ok());
    std::vector<std::int64_t> seen;
    const WatchHandle handle = store.watch(
        "p/", {},
        { [&](const StoredObject &change) { seen.push_back(change.revision.count()); }, {} });
    clock.runDue();
    ASSERT_TRUE(create("other").ok());
    fake.erase("p/a");
    clock.runDue();
    EXPECT_EQ(seen, (std::vector<std::int64_t>{ 1, 3 }));

    fake.objects().compact();
    std::optional<ResultCode> end;
    const WatchHandle late = store.watch("p/", kernel::Revision(2),
                                         { {}, [&](const auto &error) { end = error.code; } });
    clock.runDue();
    EXPECT_EQ(end, ResultCode::WatchCompacted);
}

TEST_F(FakePlatformTest, StaleListShowsTheObjectsOfItsRevision)
{
    ASSERT_TRUE(create("a").ok());
    ASSERT_TRUE(create("b").ok());
    fake.faults().staleLists = 1;
    fake.faults().staleRevision = kernel::Revision(1);
    const auto stale = list();
    EXPECT_EQ(stale.value().objects.size(), 1U);
    EXPECT_EQ(stale.value().revision, kernel::Revision(1));
    EXPECT_EQ(list().value().objects.size(), 2U);
}
