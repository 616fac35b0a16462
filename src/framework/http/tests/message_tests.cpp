#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "http/http.h"

using namespace acaciasail::http;

TEST(Message, FindsHeadersByLowerCaseName)
{
    const Headers headers{ { "a", "1" }, { "b", "2" }, { "a", "3" } };
    EXPECT_EQ(findHeader(headers, "a"), "1");
    EXPECT_EQ(findHeader(headers, "c"), std::nullopt);
    EXPECT_EQ(countHeaders(headers, "a"), 2U);
}

TEST(Message, DecodesQueryParameters)
{
    EXPECT_EQ(queryParameter("a=1&b=x%20y+z", "b"), "x y z");
    EXPECT_EQ(queryParameter("a=1&b", "b"), "");
    EXPECT_EQ(queryParameter("a=1", "b"), std::nullopt);
    EXPECT_EQ(queryParameter("a=%2", "a"), "%2");
    EXPECT_EQ(queryParameter("a=%zz", "a"), "%zz");
}

TEST(Message, TellsWhatCanBeTheValueOfAHeader)
{
    for (const std::string text : { "", "a", "a b", "a\tb", "&+#%?/=;\"", "\xc3\xbc", "\xff" })
        EXPECT_TRUE(isFieldValue(text)) << text;
    for (const std::string &text :
         { std::string(" a"), std::string("a "), std::string("\ta"), std::string("a\t"),
           std::string("a\rb"), std::string("a\nb"), std::string("a\0b", 3), std::string("\x7f"),
           std::string("\x01") })
        EXPECT_FALSE(isFieldValue(text)) << text;
}

TEST(Message, TellsWhatConcernsOneConnection)
{
    const ConnectionHeaders none(Headers{ { "x-a", "close" } });
    EXPECT_TRUE(none.contains("connection"));
    EXPECT_TRUE(none.contains("content-length"));
    EXPECT_FALSE(none.contains("x-a"));
    EXPECT_FALSE(none.contains("close"));
    EXPECT_FALSE(none.contains(""));
    const ConnectionHeaders named(
        { { "connection", " X-A ,x-b" }, { "connection", "close, x-C" } });
    for (const std::string name : { "x-a", "x-b", "x-c", "close" })
        EXPECT_TRUE(named.contains(name)) << name;
    EXPECT_FALSE(named.contains("x-d"));
}

// Guards against work that grows with the square of the number of fields: a head of 60,000 bytes
// held up a router for a second.
TEST(Message, ManyFieldsAreReadInLinearTime)
{
    constexpr std::size_t count = 500'000;
    Headers headers;
    for (std::size_t i = 0; i < count; ++i) {
        headers.push_back({ "connection", "x-" + std::to_string(i) });
        headers.push_back({ "y-" + std::to_string(i), "" });
    }
    const ConnectionHeaders connectionHeaders(headers);
    EXPECT_EQ(
        std::ranges::count_if(
            headers, [&](const Header &header) { return connectionHeaders.contains(header.name); }),
        count);
}

TEST(Message, EncodesAllButUnreservedCharacters)
{
    EXPECT_EQ(percentEncode("aZ09-._~"), "aZ09-._~");
    EXPECT_EQ(percentEncode("&+#% ?/=;"), "%26%2B%23%25%20%3F%2F%3D%3B");
    EXPECT_EQ(percentEncode(std::string("\0\r\n\x7f\xff", 5)), "%00%0D%0A%7F%FF");
    EXPECT_EQ(percentEncode("a/b:c d", "/:"), "a/b:c%20d");
}

RC_GTEST_PROP(Message, EncodedBytesAreDecodedToThemselves, (const std::string &bytes))
{
    RC_ASSERT(queryParameter("a=1&b=" + percentEncode(bytes) + "&c=2", "b") == bytes);
}

RC_GTEST_PROP(Message, AnyQueryIsReadWithoutFault, (const std::string &query))
{
    queryParameter(query, "a");
}
