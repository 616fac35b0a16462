#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "storewatch/storewatch.h"

using namespace acaciasail;
using namespace acaciasail::storewatch;
using namespace std::chrono_literals;

namespace {

// A position in the history of this epoch.
kernel::StorePosition position(std::int64_t revision, std::int64_t epoch = 1)
{
    return { kernel::Epoch(epoch), kernel::Revision(revision) };
}

// A watcher on a manual clock; the test responds to its calls.
class KindWatcherTest : public ::testing::Test
{
protected:
    struct Call
    {
        std::string kind;
        /// What is asked for: "list", "list after NAME" or "watch after REVISION for MILLISECONDS".
        std::string question;
        Connection connection = Connection::MayBeKept;
        kernel::Callback<ObjectPage> callback;
    };

    KindWatcherTest()
        : m_coordinator(m_clock.scheduler())
        , m_watcher(m_reader, m_coordinator, m_clock.scheduler(), kernel::Random(1), "things",
                    { 300ms },
                    { [this](const std::vector<StoredObject> &objects) { onList(objects); },
                      [this](const StoredObject &object) { m_changes.push_back(object.name); },
                      [this](bool reachable) { m_reportedReachability.push_back(reachable); } })
    {
        m_clock.advance(10s);
        m_watcher.start();
    }

    StoreReader makeReader()
    {
        const auto record = [this](Call call) {
            m_calls.push_back(std::move(call));
            return StoreCall([] {});
        };
        return {
            .list =
                [record](const std::string &kind, const ListCursor &after, Connection connection,
                         kernel::Callback<ObjectPage> callback) {
                    const std::string question = after ? "list after " + *after : "list";
                    return record({ kind, question, connection, std::move(callback) });
                },
            .watch =
                [record](const std::string &kind, kernel::StorePosition after,
                         kernel::Duration wait, kernel::Callback<ObjectPage> callback) {
                    const std::string question = "watch after "
                                                 + std::to_string(after.revision.count()) + " for "
                                                 + std::to_string(kernel::toMilliseconds(wait));
                    return record({ kind, question, Connection::MayBeKept, std::move(callback) });
                }
        };
    }

    void onList(const std::vector<StoredObject> &objects)
    {
        ++m_listCount;
        m_listed.clear();
        for (const StoredObject &object : objects)
            m_listed.push_back(object.name);
    }

    // Returns the callback of the newest call to the kind. It is copied, as a response may start
    // the next call, which reallocates the calls.
    kernel::Callback<ObjectPage> newestCallback(std::string_view kind) const
    {
        return std::ranges::find(m_calls.rbegin(), m_calls.rend(), kind, &Call::kind)->callback;
    }
    std::size_t callCount(std::string_view kind) const
    {
        return static_cast<std::size_t>(std::ranges::count(m_calls, kind, &Call::kind));
    }
    void respond(const ObjectPage &page, std::string_view kind = "things")
    {
        newestCallback(kind)(page);
    }
    void failCall(std::string_view kind = "things")
    {
        newestCallback(kind)(kernel::Error{ kernel::ResultCode::PlatformUnreachable, "test" });
    }
    static ObjectPage page(int revision, const std::vector<StoredObject> &objects = {})
    {
        return { .objects = objects, .position = position(revision) };
    }
    static ObjectPage change(const std::string &name, int revision)
    {
        return page(revision, { { .name = name, .position = position(revision) } });
    }
    // A page with an object that another page is to follow; it tells this name as its last one.
    static ObjectPage firstPage(const std::string &name, int revision, const ListCursor &last)
    {
        ObjectPage result = change(name, revision);
        result.hasMore = true;
        result.last = last;
        return result;
    }
    const std::string &lastQuestion() const { return m_calls.back().question; }

    kernel::ManualScheduler m_clock;
    std::vector<Call> m_calls;
    int m_listCount = 0;
    // Names of the objects of the last list.
    std::vector<std::string> m_listed;
    std::vector<std::string> m_changes;
    std::vector<bool> m_reportedReachability;
    StoreReader m_reader = makeReader();
    WatchCoordinator m_coordinator;
    KindWatcher m_watcher;
};

} // namespace

TEST_F(KindWatcherTest, WatchesFromListedRevision)
{
    EXPECT_TRUE((m_calls.back().kind == "things" && lastQuestion() == "list"));
    respond(page(7));
    EXPECT_EQ(m_listCount, 1);
    EXPECT_EQ(lastQuestion(), "watch after 7 for 20000");
    respond(change("a", 8));
    EXPECT_EQ(m_changes, std::vector<std::string>{ "a" });
    EXPECT_EQ(m_calls.size(), 2U) << "the next watch waits for the minimum interval";
    m_clock.advance(300ms);
    EXPECT_EQ(lastQuestion(), "watch after 8 for 20000");
    EXPECT_EQ(m_reportedReachability, std::vector<bool>{ true });
}

TEST_F(KindWatcherTest, ListsAgainIfNamedRevisionShowsUnseenChange)
{
    respond(page(7));
    respond(change("a", 9));
    EXPECT_EQ(m_changes, std::vector<std::string>{ "a" });
    m_clock.advance(300ms);
    EXPECT_TRUE((m_calls.back().kind == "things" && lastQuestion() == "list"))
        << "nobody has seen the change with revision 8";
    respond(page(9));
    EXPECT_EQ(lastQuestion(), "watch after 9 for 20000");
}

TEST_F(KindWatcherTest, ChangeSeenByAnotherWatcherIsNotMissed)
{
    respond(page(7));
    m_coordinator.recordChange(position(8));
    respond(change("a", 9));
    m_clock.advance(300ms);
    EXPECT_EQ(lastQuestion(), "watch after 9 for 20000");
}

TEST_F(KindWatcherTest, OpenWatchThatMissesChangeIsGivenUp)
{
    respond(page(7));
    m_clock.advance(5s);
    // Another watcher's response names the store's revision.
    m_coordinator.recordNamedPosition(position(8));
    m_clock.advance(50ms);
    EXPECT_EQ(callCount("things"), 2U) << "the watch's response may still arrive";
    m_clock.advance(50ms);
    EXPECT_TRUE((m_calls.back().kind == "things" && lastQuestion() == "list")) << lastQuestion();
}

TEST_F(KindWatcherTest, UnansweredWatchIsGivenUpAfterItsWait)
{
    respond(page(7));
    m_clock.advance(20400ms);
    m_clock.advance(50ms);
    EXPECT_TRUE((m_calls.back().kind == "things" && lastQuestion() == "list")) << lastQuestion();
    EXPECT_EQ(m_calls.back().connection, Connection::New) << "kept connections may be dead";
    respond(page(9));
    EXPECT_EQ(m_listCount, 2);
}

TEST_F(KindWatcherTest, UnansweredListIsStartedAgainAndTheFirstResponseCounts)
{
    const kernel::Callback<ObjectPage> first = newestCallback("things");
    m_clock.advance(1250ms);
    ASSERT_EQ(callCount("things"), 2U);
    first(page(7));
    EXPECT_EQ(m_listCount, 1) << "a slow store is read as well";
    EXPECT_EQ(lastQuestion(), "watch after 7 for 500");
}

TEST_F(KindWatcherTest, ReadsAllPages)
{
    respond(firstPage("m", 7, "m"));
    EXPECT_EQ(lastQuestion(), "list after m");
    EXPECT_EQ(m_listCount, 0);
    respond(page(8));
    EXPECT_EQ(m_listCount, 1);
    EXPECT_EQ(lastQuestion(), "watch after 7 for 20000")
        << "changes made between the pages are returned";
}

TEST_F(KindWatcherTest, ListGoesOnAfterObjectsThatCannotBeRead)
{
    ObjectPage unreadable = firstPage("m", 7, "odd");
    unreadable.objects.clear();
    respond(unreadable);
    EXPECT_EQ(lastQuestion(), "list after odd");
    respond(change("z", 9));
    EXPECT_EQ(m_listed, std::vector<std::string>{ "z" });
    EXPECT_EQ(lastQuestion(), "watch after 7 for 20000") << "from the first page's position";
}

TEST_F(KindWatcherTest, ListThatMakesNoProgressEnds)
{
    respond(firstPage("m", 7, "m"));
    respond(firstPage("m", 7, "m"));
    EXPECT_EQ(m_listed, std::vector<std::string>{ "m" }) << "what was read is in force";
    EXPECT_EQ(lastQuestion(), "watch after 7 for 20000");
    EXPECT_EQ(callCount("things"), 3U);
}

TEST_F(KindWatcherTest, ListWhosePagesComeRoundAgainEnds)
{
    respond(firstPage("m", 7, "m"));
    respond(firstPage("z", 7, "z"));
    respond(firstPage("m", 8, "m"));
    EXPECT_EQ(m_listed, (std::vector<std::string>{ "m", "z" })) << "each object once";
    EXPECT_EQ(callCount("things"), 4U);
}

TEST_F(KindWatcherTest, ListWithoutEndEnds)
{
    for (int i = 0; m_listCount == 0 && i < 5000; ++i) {
        const std::string name = std::to_string(i);
        respond(firstPage(name, 7, name));
    }
    EXPECT_EQ(m_listCount, 1);
    EXPECT_EQ(lastQuestion(), "watch after 7 for 20000");
}

TEST_F(KindWatcherTest, ObjectsThatAnIncompleteListLacksStay)
{
    respond(page(7, { { .name = "a", .position = position(5) },
                      { .name = "m", .position = position(6) },
                      { .name = "z", .position = position(7) } }));
    failCall();
    m_clock.advance(100ms);
    ASSERT_EQ(lastQuestion(), "list");
    respond(firstPage("a", 8, std::nullopt));
    EXPECT_EQ(m_listed, (std::vector<std::string>{ "a", "m", "z" }));
    EXPECT_EQ(m_watcher.knowledge(), std::nullopt) << "other routers are not told so";
    StoredObject removed{ .name = "m", .position = position(9), .removed = true };
    m_clock.advance(300ms);
    respond(page(9, { removed }));
    EXPECT_EQ(m_changes, std::vector<std::string>{ "m" }) << "removals are heard";
}

TEST_F(KindWatcherTest, IncompleteListIsReadAgain)
{
    respond(firstPage("a", 7, std::nullopt));
    const std::size_t calls = callCount("things");
    m_clock.advance(9s);
    EXPECT_EQ(callCount("things"), calls) << "no sooner than after 10 s";
    m_clock.advance(1s);
    ASSERT_EQ(lastQuestion(), "list");
    respond(change("z", 8));
    EXPECT_EQ(m_listed, std::vector<std::string>{ "z" }) << "a whole list again";
    EXPECT_NE(m_watcher.knowledge(), std::nullopt);
    m_clock.advance(15s);
    EXPECT_NE(lastQuestion(), "list");
}

// A watch that starts just as the store drops its record of past changes may return no
// changes until its timeout.
TEST_F(KindWatcherTest, ShortensWatchesAfterFailure)
{
    respond(page(7));
    failCall();
    m_clock.advance(100ms);
    EXPECT_TRUE((m_calls.back().kind == "things" && lastQuestion() == "list"))
        << "listed again after any failure";
    respond(page(8));
    m_clock.advance(300ms);
    EXPECT_EQ(lastQuestion(), "watch after 8 for 500");
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(lastQuestion(), "watch after 8 for 500");
        m_clock.advance(500ms);
        respond(page(8));
    }
    respond(change("a", 9));
    m_clock.advance(300ms);
    EXPECT_EQ(lastQuestion(), "watch after 9 for 20000");
}

TEST_F(KindWatcherTest, SingleFailureIsNotAnOutage)
{
    respond(page(7));
    failCall();
    m_clock.advance(1s);
    EXPECT_EQ(m_reportedReachability, std::vector<bool>{ true });
    failCall();
    EXPECT_EQ(m_reportedReachability, (std::vector<bool>{ true, false }));
    m_clock.advance(1s);
    respond(page(9));
    EXPECT_EQ(m_reportedReachability, (std::vector<bool>{ true, false, true }));
}

TEST_F(KindWatcherTest, RetriesWithBackoffWithoutLimit)
{
    for (int i = 0; i < 50; ++i) {
        const std::size_t calls = m_calls.size();
        failCall();
        m_clock.advance(800ms);
        ASSERT_EQ(m_calls.size(), calls + 1);
    }
    m_clock.advance(1s);
    respond(page(7));
    EXPECT_EQ(m_listCount, 1);
}

TEST_F(KindWatcherTest, OnlyOneWatcherProbesUnreachableStore)
{
    failCall();
    m_clock.advance(100ms);
    failCall();
    int otherLists = 0;
    KindWatcher other(m_reader, m_coordinator, m_clock.scheduler(), kernel::Random(2), "others",
                      { 300ms },
                      { [&](const std::vector<StoredObject> &) { ++otherLists; },
                        [](const StoredObject &) {}, [](bool) {} });
    other.start();
    EXPECT_TRUE((m_calls.back().kind == "others" && lastQuestion() == "list"));
    failCall("others");
    m_clock.advance(50ms);
    EXPECT_TRUE((m_calls.back().kind == "others" && lastQuestion() == "list"))
        << "a single failure may be a broken connection";
    failCall("others");
    m_clock.advance(50ms);
    failCall();
    const std::size_t otherCalls = callCount("others");
    for (int i = 0; i < 20; ++i) {
        m_clock.advance(800ms);
        ASSERT_TRUE((m_calls.back().kind == "things" && lastQuestion() == "list"))
            << lastQuestion();
        failCall();
    }
    m_clock.advance(800ms);
    EXPECT_EQ(callCount("others"), otherCalls);
    respond(page(7));
    EXPECT_EQ(callCount("others"), otherCalls + 1)
        << "the waiting watcher lists as soon as the store responds";
    respond(page(7), "others");
    EXPECT_EQ(m_listCount, 1);
    EXPECT_EQ(otherLists, 1);
}
