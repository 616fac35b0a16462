#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing/routing.h"

using namespace acaciasail;
using namespace acaciasail::routing;

namespace {

kernel::ResultCode readResultCode(std::string_view secret, const std::string &text)
{
    const auto read = kernel::capture([&] { return readSession(secret, text); });
    return read.ok() ? kernel::ResultCode::Ok : read.error().code;
}

} // namespace

RC_GTEST_PROP(Sessions, RoundTripKeepsThePin, (std::int64_t issued, std::uint64_t seed))
{
    const auto text = *rc::gen::string<std::string>();
    const SessionPin pin{ .workspace = kernel::WorkspaceId("ws"),
                          .version = kernel::VersionId("v-" + std::to_string(seed)),
                          .issuedAt = kernel::WallTime(kernel::Duration(issued)) };
    kernel::Random random(seed);
    const std::string session = issueSession(text, pin, random);
    auto read = kernel::capture([&] { return readSession(text, session); });
    RC_ASSERT(read.ok());
    RC_ASSERT(!read.value().session.empty());
    read.value().session = {};
    RC_ASSERT(read.value() == pin);
    RC_ASSERT(readResultCode(text + "x", session) == kernel::ResultCode::SessionMalformed);
}

// A change of any single character is detected.
RC_GTEST_PROP(Sessions, TamperingIsDetected, (std::uint64_t seed))
{
    kernel::Random random(seed);
    const SessionPin pin{ .workspace = kernel::WorkspaceId("ws"),
                          .version = kernel::VersionId("v1") };
    const std::string session = issueSession("secret", pin, random);
    std::string changed = session;
    const auto at = *rc::gen::inRange<std::size_t>(0, session.size());
    const char replacement = *rc::gen::element('A', 'b', '7', '-', '_', '.', '=', '\0');
    changed[at] = replacement;
    // The last character of the payload and of the signature has unused bits. The parser must
    // reject changes of these as well.
    RC_PRE(changed != session);
    RC_ASSERT(readResultCode("secret", changed) == kernel::ResultCode::SessionMalformed);
}

TEST(Sessions, InvalidTextIsMalformed)
{
    const std::vector<std::string> texts{ "", ".", "a.b", "e30.", std::string(5000, 'a'), "a.b.c" };
    for (const std::string &text : texts)
        EXPECT_EQ(readResultCode("secret", text), kernel::ResultCode::SessionMalformed) << text;
}
