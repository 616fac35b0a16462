#include <cstdio>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "ctl/commands.h"
#include "ctl/tablefile.h"
#include "world.h"

using namespace acaciasail;
using namespace acaciasail::ctl;

namespace {

const kernel::Endpoint anyPort{ "127.0.0.1", 0 };

std::string readFile(const std::string &name)
{
    std::ifstream file(name);
    return { std::istreambuf_iterator<char>(file), {} };
}

// A file that goes with the test.
struct TemporaryFile
{
    explicit TemporaryFile(const std::string &text)
        : name(::testing::TempDir() + "ctl_tests_"
               + ::testing::UnitTest::GetInstance()->current_test_info()->name() + ".toml")
    {
        std::ofstream(name) << text;
    }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;
    ~TemporaryFile() { std::remove(name.c_str()); }

    std::string name;
};

struct CtlTest : ::testing::Test
{
    CtlTest() { EXPECT_TRUE(world.open().ok()); }

    static standins::StandinSettings makeSettings()
    {
        standins::StandinSettings settings;
        settings.platform = anyPort;
        settings.control = anyPort;
        return settings;
    }

    ExitCode run(const std::vector<std::string> &arguments)
    {
        options.platform = world.platformEndpoint();
        options.arguments = arguments;
        options.by = "ada";
        out.str("");
        err.str("");
        Session session(loop, options, out, err);
        return runCommand(session);
    }

    std::size_t storedRows() { return world.objects().objects().list("table/").objects.size(); }

    http::EventLoop loop;
    standins::World world{ loop, makeSettings() };
    CtlOptions options;
    std::ostringstream out;
    std::ostringstream err;
};

// Answers as a daemon's admin address does.
std::unique_ptr<http::Server> fakeDaemon(http::EventLoop &loop, const std::string &vm, int revision)
{
    auto server = kernel::capture([&] {
        return http::Server::listen(
            loop, { .listen = anyPort },
            [vm, revision](const http::ServerRequest &request, const auto &responder) {
                std::string body = R"({"vm":")" + vm + R"(","revision":)" + std::to_string(revision)
                                   + R"(,"rejected_rows":["models/m"],"peers":["a","b"]})";
                if (request.path == "/admin/explain") {
                    body = R"({"events":[{"time":")" + std::to_string(9 - revision) + R"(","vm":")"
                           + vm + R"(","name":"VersionChosen","version":"v1"}]})";
                }
                responder->send(200, {}, body);
            });
    });
    return std::move(server.value());
}

} // namespace

TEST_F(CtlTest, SetGetAndDeleteARow)
{
    EXPECT_EQ(run({ "table", "set", "services", "book", "timeout=500" }), ExitCode::Ok);
    EXPECT_EQ(out.str(), "services/book has revision 1\n");
    EXPECT_EQ(run({ "table", "get", "services", "book" }), ExitCode::Ok);
    EXPECT_NE(out.str().find("timeout         500"), std::string::npos) << out.str();
    EXPECT_NE(out.str().find("by ada at "), std::string::npos);
    options.revision = kernel::Revision(7);
    EXPECT_EQ(run({ "table", "set", "services", "book", "timeout=600" }), ExitCode::Refused);
    EXPECT_NE(err.str().find("EditConflict: row \"services/book\" was changed by \"ada\""),
              std::string::npos)
        << err.str();
    options.revision.reset();
    EXPECT_EQ(run({ "table", "delete", "services", "book" }), ExitCode::Ok);
    EXPECT_EQ(run({ "table", "get", "services", "book" }), ExitCode::Refused);
}

TEST_F(CtlTest, ExitCodesSayWhatHappened)
{
    struct Case
    {
        std::vector<std::string> arguments;
        ExitCode code;
        std::string message;
    };
    const std::vector<Case> cases{
        { { "dance" }, ExitCode::Usage, "UsageError" },
        { { "table", "set", "services", "book" }, ExitCode::Usage, "UsageError" },
        { { "table", "set", "services", "book", "timeout" }, ExitCode::Usage, "COLUMN=VALUE" },
        { { "table", "list", "colours" }, ExitCode::Refused, "UnknownTable" },
        { { "table", "set", "services", "book", "timeout=0" },
          ExitCode::Refused,
          "column \"timeout\": 0 is not between 1 and 3600000" },
        { { "table", "set", "weights", "w:v", "weight=1" },
          ExitCode::Refused,
          "names \"workspaces/w\", which does not exist" },
        { { "table", "import", "/nonexistent" }, ExitCode::Usage, "can't read" },
        { { "status" }, ExitCode::Usage, "--daemon" },
    };
    for (const Case &expected : cases) {
        EXPECT_EQ(run(expected.arguments), expected.code) << expected.arguments.back();
        EXPECT_NE(err.str().find(expected.message), std::string::npos) << err.str();
    }
    EXPECT_EQ(storedRows(), 0U);
    world.objects().faults().down = true;
    EXPECT_EQ(run({ "table", "list" }), ExitCode::Unreachable);
}

TEST_F(CtlTest, ExamplesAreImportedDiffedAndExportedAsTheyAre)
{
    for (const std::string name : { "trust", "brandauer" }) {
        const std::string file = std::string(ACACIASAIL_SOURCE_DIR) + "/examples/" + name + ".toml";
        options.prune = true;
        options.dryRun = true;
        const std::size_t before = storedRows();
        EXPECT_EQ(run({ "table", "import", file }), ExitCode::Ok) << err.str();
        EXPECT_EQ(storedRows(), before);
        options.dryRun = false;
        EXPECT_EQ(run({ "table", "import", file }), ExitCode::Ok) << err.str();
        EXPECT_EQ(run({ "table", "diff", file }), ExitCode::Ok);
        EXPECT_EQ(out.str(), "0 rows differ\n");
        EXPECT_EQ(run({ "table", "export" }), ExitCode::Ok);
        const TableFile exported = parseTableFile(out.str(), "export");
        EXPECT_TRUE(exported.mistakes.empty());
        EXPECT_TRUE(
            diffRows(parseTableFile(readFile(file), file).rows, exported.rows, true).empty());
        const auto standins = standins::readSettings(std::string(ACACIASAIL_SOURCE_DIR)
                                                     + "/examples/standins-" + name + ".toml");
        EXPECT_TRUE(standins.ok()) << standins.error().message;
    }
}

TEST_F(CtlTest, InvalidImportWritesNothingAndNamesEveryMistake)
{
    const TemporaryFile file("[[models]]\nid = \"m\"\n[[models]]\nid = \"m\"\n"
                             "[[versions]]\nid = \"v\"\nmodel = \"m\"\nprior_quality = 2\n"
                             "[[colours]]\nid = \"red\"\n[[services]]\nid = \"s\"\nsize = 1\n");
    EXPECT_EQ(run({ "table", "import", file.name }), ExitCode::Refused);
    for (const std::string mistake :
         { ":3: row \"models/m\" stands twice", ":5: table \"versions\", row \"v\"",
           "no table \"colours\"", "column \"size\": the table has no such column" })
        EXPECT_NE(err.str().find(mistake), std::string::npos) << err.str();
    EXPECT_EQ(storedRows(), 0U);
}

TEST_F(CtlTest, ImportKeepsRowsOrDeletesThemIfAskedTo)
{
    const TemporaryFile file("[[services]]\nid = \"a\"\n");
    run({ "table", "set", "services", "b", "timeout=9" });
    EXPECT_EQ(run({ "table", "import", file.name }), ExitCode::Ok);
    EXPECT_EQ(run({ "table", "get", "services", "b" }), ExitCode::Ok);
    options.prune = true;
    EXPECT_EQ(run({ "table", "import", file.name }), ExitCode::Ok);
    EXPECT_EQ(run({ "table", "get", "services", "b" }), ExitCode::Refused);
    EXPECT_EQ(run({ "table", "get", "services", "a" }), ExitCode::Ok);
}

TEST_F(CtlTest, StatusShowsWhereTheNewestRevisionIsInForce)
{
    const auto first = fakeDaemon(loop, "e1", 2);
    const auto second = fakeDaemon(loop, "e2", 1);
    options.daemons = { first->endpoint(), second->endpoint() };
    run({ "table", "set", "models", "a", "id=a" });
    run({ "table", "set", "models", "b", "id=b" });
    EXPECT_EQ(run({ "status" }), ExitCode::Ok) << err.str();
    EXPECT_NE(out.str().find("revision 2 is in force on 1 of 2 daemons\nbehind: e2 (1)\n"),
              std::string::npos)
        << out.str();
    EXPECT_EQ(run({ "explain", "r1" }), ExitCode::Ok);
    EXPECT_EQ(out.str(), "7  e1  VersionChosen  version=v1\n8  e2  VersionChosen  version=v1\n");
    options.daemons.push_back({ "127.0.0.1", 1 });
    EXPECT_EQ(run({ "status" }), ExitCode::Unreachable);
}

TEST_F(CtlTest, ExplainAsksForTheIdAsItWasGiven)
{
    std::vector<std::string> asked;
    const auto server = kernel::capture([&] {
        return http::Server::listen(
            loop, { .listen = anyPort },
            [&asked](const http::ServerRequest &request, const auto &responder) {
                asked.push_back(http::queryParameter(request.query, "request").value_or("none"));
                responder->send(200, {}, R"({"events":[]})");
            });
    });
    options.daemons = { server.value()->endpoint() };
    const std::vector<std::string> ids{ "r&request=x", "r+1", "r#1", "r%41", "r 1", "r\r\nx: y" };
    for (const std::string &id : ids)
        EXPECT_EQ(run({ "explain", id }), ExitCode::Refused) << "no event is known";
    EXPECT_EQ(asked, ids);
}

TEST_F(CtlTest, BillsAreCountedOnceOverBatches)
{
    const std::string bill
        = R"({"bill":"b1","request":"r","workspace":"w","caller":"c","version":"v","service":"",)"
          R"("rank":"urgent","input_tokens":3,"output_tokens":4,"cost":5,"at":0})";
    world.objects().objects().create("bills/1", R"({"records":[)" + bill + "]}");
    world.objects().objects().create("bills/2", R"({"records":[)" + bill + "]}");
    EXPECT_EQ(run({ "bills" }), ExitCode::Ok) << err.str();
    EXPECT_TRUE(out.str().starts_with("1 bills in 2 batches\n")) << out.str();
    options.json = true;
    EXPECT_EQ(run({ "bills" }), ExitCode::Ok);
    EXPECT_NE(out.str().find("\"cost_micro\": 5"), std::string::npos) << out.str();
}
