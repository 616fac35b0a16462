// Entries of another writer in the lists that a router reads from the store, under names of their
// own.

#include <string>

#include <gtest/gtest.h>

#include "platform/tests/routerfixture.h"
#include "router/tests/oddnames.h"

using namespace acaciasail;
using namespace acaciasail::platform::tests;
using namespace acaciasail::router::testing;
using platform::testing::makeConfigurationSpec;

namespace {

// Calls to the store that a router may make until it serves: lists and watches of six kinds,
// reports and some repeats.
constexpr std::size_t maxCallsToServe = 60;

const nlohmann::json foreignSpec{ { "Service", 7 }, { "Note", "of another writer" } };

// Runners before and after the entry, each the only one of its service.
class OddEntryTest : public RouterTest, public ::testing::WithParamInterface<OddName>
{
protected:
    OddEntryTest()
    {
        addRunner("a1", "first");
        addRunner("a2", "second");
        addRunner("z9", "last");
    }

    std::string entryInTheMiddle() const { return "m" + GetParam().name; }

    // Starts the router while the entry stands.
    void startBeside(const std::string &entry, std::size_t pageObjects)
    {
        m_store.setPageObjects(pageObjects);
        m_store.put("servers", entry, foreignSpec);
        start(makeConfigurationSpec(1, { { "first", "unsafe", "first" },
                                         { "second", "unsafe", "second" },
                                         { "last", "unsafe", "last" } }));
    }

    void expectService()
    {
        ASSERT_TRUE(waitUntilServing(m_runners.size()));
        for (const std::string route : { "first", "second", "last" })
            EXPECT_EQ(status(makeRequest("/" + route + "/x", "request-" + route)), 200) << route;
        EXPECT_EQ(m_store.malformedCalls(), 0U);
        EXPECT_LT(m_store.calls(), maxCallsToServe);
    }
};

} // namespace

TEST_P(OddEntryTest, RouterThatStartsWhileItEndsAPageServes)
{
    startBeside(entryInTheMiddle(), 3);
    expectService();
}

TEST_P(OddEntryTest, RouterThatStartsWhileItIsAPageOfItsOwnServes)
{
    startBeside(entryInTheMiddle(), 1);
    expectService();
}

TEST_P(OddEntryTest, RouterThatStartsWhileItsNameIsAloneServes)
{
    startBeside(GetParam().name, 1);
    expectService();
}

TEST_P(OddEntryTest, ChangesAfterItAreHeard)
{
    startBeside(entryInTheMiddle(), 3);
    expectService();
    addRunner("z99", "last");
    ASSERT_TRUE(waitUntilServing(4));
    m_store.remove("servers", entryInTheMiddle());
    m_store.remove("servers", "z9");
    EXPECT_TRUE(waitUntilServing(3));
}

TEST_P(OddEntryTest, RouterThatListsAgainKeepsServing)
{
    startBeside(entryInTheMiddle(), 1);
    expectService();
    m_store.dropHistory();
    m_store.remove("servers", "a2");
    EXPECT_TRUE(waitUntilServing(2));
    EXPECT_EQ(status(makeRequest("/last/x", "request-again")), 200);
}

INSTANTIATE_TEST_SUITE_P(Names, OddEntryTest, ::testing::ValuesIn(oddNames()),
                         [](const auto &info) { return info.param.label; });
