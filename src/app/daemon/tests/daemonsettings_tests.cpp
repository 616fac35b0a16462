#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "daemon/daemonsettings.h"

using namespace acaciasail;
using namespace acaciasail::daemon;

namespace {

constexpr const char *leastSettings = R"(vm = "vm-1"
data_centre = "dc"
[callers]
listen = "127.0.0.1:1"
session_secret = "0123456789abcdef"
[peers]
listen = "127.0.0.1:2"
[admin]
listen = "127.0.0.1:3"
[platform]
address = "127.0.0.1:4"
)";

settings::Reader open(const std::string &text)
{
    auto reader = kernel::capture([&] { return settings::Reader::parse(text, "d.toml"); });
    EXPECT_TRUE(reader.ok());
    return std::move(reader.value());
}

} // namespace

TEST(DaemonSettings, TheLeastSettingsAreCorrect)
{
    settings::Reader reader = open(leastSettings);
    const CheckedSettings checked = readDaemonSettings(reader);
    EXPECT_TRUE(checked.mistakes.empty());
    EXPECT_EQ(checked.settings.upstreamSubsetSize, 64U);
    EXPECT_EQ(checked.settings.drainTimeout, std::chrono::minutes(10));
}

TEST(DaemonSettings, ReportsAllMistakesAtOnceAndNoSecret)
{
    settings::Reader reader
        = open("vm = \"\"\n[callers]\nlisten = \"x\"\nsession_secret = \"short\"\n"
               "tls_key = \"k\"\n[log]\nlevel = \"loud\"\nstray = 1\n");
    const CheckedSettings checked = readDaemonSettings(reader);
    std::string all;
    for (const settings::Mistake &mistake : checked.mistakes)
        all += settings::toString(mistake) + "\n";
    for (const char *key : { "vm", "data_centre", "callers.listen", "callers.session_secret",
                             "callers.tls_certificate", "peers.listen", "admin.listen",
                             "platform.address", "log.level", "log.stray" })
        EXPECT_NE(all.find(std::string(" ") + key + ": "), std::string::npos) << key << "\n" << all;
    EXPECT_EQ(all.find("short"), std::string::npos);
}

TEST(DaemonSettings, EveryKeyStandsInTheOperatorsPage)
{
    std::ifstream file(std::string(ACACIASAIL_SOURCE_DIR) + "/docs/operators/SETTINGS.md");
    const std::string page{ std::istreambuf_iterator<char>(file), {} };
    settings::Reader reader = open(leastSettings);
    readDaemonSettings(reader);
    ASSERT_FALSE(reader.askedKeys().empty());
    for (const std::string &key : reader.askedKeys())
        EXPECT_NE(page.find("`" + key + "`"), std::string::npos) << key;
}
