// Entries of another writer in the lists that a router reads from the store, under names of their
// own.

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>

#include "platform/storeclient.h"
#include "platform/testing/oddnames.h"
#include "platform/tests/routerfixture.h"

using namespace acaciasail;
using namespace acaciasail::platform::tests;
using namespace acaciasail::router::testing;
using platform::testing::makeConfigurationSpec;
using platform::testing::OddName;
using platform::testing::oddNames;
using Json = nlohmann::json;

namespace {

// Calls to the store that a router may make until it serves: lists and watches of six kinds,
// reports and some repeats.
constexpr std::size_t maxCallsToServe = 60;

const Json foreignSpec{ { "Service", 7 }, { "Note", "of another writer" } };

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

// A sound registration under the name, beside the other runners.
class OddUpstreamTest : public OddEntryTest
{
protected:
    OddUpstreamTest() { addRunner(GetParam().name, "odd"); }

    // A header carries any bytes but control bytes, and no blanks at its ends; a name that is empty
    // or no UTF-8 names no upstream.
    bool isUsable() const
    {
        static const std::vector<std::string> unusable{
            "BlankAtBothEnds", "LineEnds",  "ControlBytes", "Nul",  "NoUtf8",
            "NoUtf8AfterUtf8", "Surrogate", "LastBytes",    "Empty"
        };
        return std::ranges::find(unusable, GetParam().label) == unusable.end();
    }
};

// The calls that write one object, at a store with another object whose name is a part of a path.
class OddNameWriteTest : public RouterTest, public ::testing::WithParamInterface<OddName>
{
protected:
    OddNameWriteTest()
        : m_storeClient(
            [this](const http::ClientRequest &request, http::ClientHandlers handlers) {
                return m_client.send(request, std::move(handlers));
            },
            m_store.endpoint())
    {
        m_store.put("things", name(), 1);
        m_store.put("things", "a", 1);
        m_store.put("things", "status", 1);
    }

    const std::string &name() const { return GetParam().name; }
    // These are resolved or dropped in paths.
    bool isSegment() const { return !name().empty() && name() != "." && name() != ".."; }

    template<class Value, class Function>
    kernel::ResultCode codeOf(Function write)
    {
        std::optional<kernel::ResultCode> code;
        write([&](const kernel::Completion<Value> &outcome) {
            code = outcome.ok() ? kernel::ResultCode::Ok : outcome.error().code;
        });
        m_loop.runUntil([&] { return code.has_value(); }, waitTimeout);
        return code.value_or(kernel::ResultCode::PlatformUnreachable);
    }

    kernel::ResultCode expectedCode() const
    {
        return isSegment() ? kernel::ResultCode::Ok : kernel::ResultCode::PlatformProtocol;
    }

    void expectOthersUntouched()
    {
        for (const std::string other : { "a", "status" }) {
            const auto object = m_store.object("things", other);
            EXPECT_EQ(object["Spec"], 1) << other;
            EXPECT_TRUE(object["Status"].is_null()) << other;
        }
        EXPECT_EQ(m_store.malformedCalls(), 0U);
        EXPECT_EQ(m_store.calls(), isSegment() ? 1U : 0U);
    }

    platform::StoreClient m_storeClient;
};

// A record that is no UTF-8, and where bytes that mean nothing in JSON fill it up to a fixed
// length.
struct FilledRecord
{
    std::string label;
    std::string before;
    std::string behind;
};

std::vector<FilledRecord> filledRecords()
{
    // Together with the record the most that an object may have.
    constexpr std::size_t fillingBytes = (1U << 20U) - 64;
    const std::string blanks(fillingBytes, ' ');
    const std::string lineEnds(fillingBytes, '\n');
    std::string mixed;
    while (mixed.size() < fillingBytes)
        mixed += "\r\n\t ";
    return { { "BlanksBehind", "", blanks },     { "BlanksBefore", blanks, "" },
             { "LineEndsBehind", "", lineEnds }, { "LineEndsBefore", lineEnds, "" },
             { "MixedBehind", "", mixed },       { "MixedBefore", mixed, "" } };
}

const std::vector<std::string> kindsReadByRouters{ "config",      "servers",      "rollouts",
                                                   "evacuations", "crashreports", "limitreports" };

// Such a record among the objects of one kind.
class FilledRecordTest : public RouterTest,
                         public ::testing::WithParamInterface<std::tuple<std::string, FilledRecord>>
{
protected:
    FilledRecordTest() { addRunner("a1", "first"); }

    void putRecord()
    {
        const auto &[kind, record] = GetParam();
        m_store.putText(kind, "m-note",
                        record.before + "{\"Note\":\"Caf\xe9 am Prater\"}" + record.behind);
    }

    void startFirst() { start(makeConfigurationSpec(1, { { "first", "unsafe", "first" } })); }

    void expectService()
    {
        ASSERT_TRUE(waitUntilServing(1));
        for (int i = 0; i < 5; ++i)
            EXPECT_EQ(status(makeRequest("/first/x", "request-" + std::to_string(i))), 200);
        EXPECT_EQ(readinessStatus(), 200);
    }
};

const std::string writtenBody = R"({"Metadata":{},"Spec":2,"Status":3})";

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

TEST_P(OddUpstreamTest, IsServedByItsOwnNameOrNotUsed)
{
    const platform::testing::RunnerStandin &odd = *m_runners.back();
    m_store.setPageObjects(1);
    start(makeConfigurationSpec(1, { { "odd", "unsafe", "odd" }, { "last", "unsafe", "last" } }));
    ASSERT_TRUE(waitUntilServing(isUsable() ? 4 : 3));
    EXPECT_EQ(status(makeRequest("/odd/x", "request-odd")), isUsable() ? 200 : 503);
    EXPECT_EQ(status(makeRequest("/last/x", "request-last")), 200);
    EXPECT_EQ(odd.requestCount(), isUsable() ? 1 : 0);
    for (const platform::testing::ReceivedRequest &received : odd.receivedRequests())
        EXPECT_EQ(received.target + " " + received.body, "/odd/x body");
}

INSTANTIATE_TEST_SUITE_P(Names, OddUpstreamTest, ::testing::ValuesIn(oddNames()),
                         [](const auto &info) { return info.param.label; });

TEST_P(OddNameWriteTest, SpecIsReplaced)
{
    EXPECT_EQ(codeOf<storewatch::StoredObject>([&](auto callback) {
                  m_storeClient.replace("things", name(), writtenBody, callback);
              }),
              expectedCode());
    EXPECT_EQ(m_store.object("things", name())["Spec"], isSegment() ? 2 : 1);
    expectOthersUntouched();
}

TEST_P(OddNameWriteTest, StatusIsReplaced)
{
    EXPECT_EQ(codeOf<storewatch::StoredObject>([&](auto callback) {
                  m_storeClient.putStatus("things", name(), writtenBody, callback);
              }),
              expectedCode());
    EXPECT_EQ(m_store.object("things", name())["Status"], isSegment() ? Json(3) : Json());
    expectOthersUntouched();
}

TEST_P(OddNameWriteTest, ObjectIsRemoved)
{
    const kernel::Revision revision(m_store.object("things", name())["Metadata"]["Revision"]);
    EXPECT_EQ(codeOf<kernel::Done>([&](auto callback) {
                  m_storeClient.remove("things", name(), revision, callback);
              }),
              expectedCode());
    EXPECT_EQ(m_store.object("things", name()).is_null(), isSegment());
    expectOthersUntouched();
}

INSTANTIATE_TEST_SUITE_P(Names, OddNameWriteTest, ::testing::ValuesIn(oddNames()),
                         [](const auto &info) { return info.param.label; });
TEST_P(OddEntryTest, EntriesInAllListsStopNothing)
{
    for (const std::string kind :
         { "config", "rollouts", "evacuations", "crashreports", "limitreports" }) {
        m_store.put(kind, "a", foreignSpec);
        m_store.put(kind, entryInTheMiddle(), foreignSpec);
        m_store.put(kind, "z", foreignSpec);
    }
    startBeside(entryInTheMiddle(), 1);
    expectService();
}

INSTANTIATE_TEST_SUITE_P(Names, OddEntryTest, ::testing::ValuesIn(oddNames()),
                         [](const auto &info) { return info.param.label; });

// Guards against a record that is read in a time that grows with the square of its size: the router
// answered nothing for minutes.
TEST_P(FilledRecordTest, RouterThatStartsWhileItStandsServes)
{
    putRecord();
    startFirst();
    expectService();
}

TEST_P(FilledRecordTest, RouterThatIsToldOfItKeepsServing)
{
    startFirst();
    expectService();
    putRecord();
    addRunner("z9", "first");
    EXPECT_TRUE(waitUntilServing(2));
    EXPECT_EQ(status(makeRequest("/first/x", "request-last")), 200);
}

INSTANTIATE_TEST_SUITE_P(Records, FilledRecordTest,
                         ::testing::Combine(::testing::ValuesIn(kindsReadByRouters),
                                            ::testing::ValuesIn(filledRecords())),
                         [](const auto &info) {
                             return std::get<0>(info.param) + std::get<1>(info.param).label;
                         });
