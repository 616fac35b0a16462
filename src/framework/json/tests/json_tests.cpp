#include <initializer_list>
#include <string>
#include <string_view>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "json/json.h"

using namespace acaciasail::json;

TEST(JsonText, MemberIsFoundInTextThatCannotBeParsed)
{
    const std::string object
        = R"( {"a" : 1e400 ,"b":{"c":[1,2]},"d":"x,\"c\":5}","c" : "\ud800" } )";
    EXPECT_EQ(memberText(object, "a"), "1e400");
    EXPECT_EQ(memberText(object, "b"), R"({"c":[1,2]})");
    EXPECT_EQ(memberText(object, "c"), R"("\ud800")");
    EXPECT_EQ(memberText(object, "e"), "");
    EXPECT_EQ(memberText("[1]", "a"), "");
    EXPECT_EQ(memberText(R"({"a":1)", "a"), "") << "a part of a value is none";
}

TEST(JsonText, StringKeepsItsBytes)
{
    EXPECT_EQ(parseStringBytes("\"a\xff\\n\xc3\xbc\xc3\""), "a\xff\n\xc3\xbc\xc3");
    EXPECT_EQ(parseStringBytes("\"\\u00fc\x80\""), "\xc3\xbc\x80");
    EXPECT_EQ(parseStringBytes("\"\""), "");
    for (const std::string text : { "", "5", "\"", "a\xff", "\"\\ud800\"", "\"a\nb\"" })
        EXPECT_EQ(parseStringBytes(text), std::nullopt) << text;
}

TEST(JsonText, TellsWhatIsUtf8)
{
    for (const std::string &text :
         { std::string(), std::string("a\"\\\n\0", 5), std::string("\xc3\xbc"),
           std::string("\xf4\x8f\xbf\xbf"), std::string("\"\xc3\xbc\"") })
        EXPECT_TRUE(isUtf8(text)) << text;
    for (const std::string text :
         { "\xff", "\xc3", "\xc3\"", "\xc3-\xbc", "\xed\xa0\x80", "\xc0\x80", "\xf4\x90\x80\x80" })
        EXPECT_FALSE(isUtf8(text)) << text;
}

RC_GTEST_PROP(JsonTextProperty, AnyTextKeepsItsBytes, (std::string bytes))
{
    std::erase_if(bytes, [](unsigned char c) { return c == '"' || c == '\\' || c < ' '; });
    RC_ASSERT(parseStringBytes('"' + bytes + '"') == bytes);
}

RC_GTEST_PROP(JsonTextProperty, AnyBytesAreReadWithoutFault, (const std::string &bytes))
{
    memberText(bytes, "a");
    parseStringBytes(bytes);
    parseList(bytes, "a");
    isUtf8(bytes);
}

TEST(JsonText, ElementThatCannotBeParsedKeepsItsText)
{
    const ParsedList list = parseList(R"({"n":1,"a":[{"x":1},{"y":1e400} ,3]})", "a");
    EXPECT_EQ(list.json["n"], 1);
    ASSERT_EQ(list.elements.size(), 3U);
    EXPECT_EQ(list.elements[0].value["x"], 1);
    EXPECT_TRUE(list.elements[1].value.is_discarded());
    EXPECT_EQ(list.elements[1].text, R"({"y":1e400} )");
    EXPECT_EQ(list.elements[2].value, 3);
    EXPECT_EQ(parseList(R"({"a":[1,2]})", "a").elements.size(), 2U);
    EXPECT_EQ(parseList(R"({"a":{}})", "a").elements.size(), 0U);
    EXPECT_TRUE(parseList(R"({"a":[1,)", "a").json.is_discarded());
}

namespace {

std::string joined(std::initializer_list<std::string_view> pieces)
{
    std::string text;
    for (const std::string_view piece : pieces)
        text += piece;
    return text;
}

} // namespace

TEST(JsonText, FillingChangesNothingOfWhatATextMeans)
{
    const std::string fill(5000, '\n');
    EXPECT_EQ(
        parse(joined({ fill, "{", fill, "\"a\"", fill, ":1,", fill, "\"b\":[", fill, "]}", fill })),
        parse(R"({"a":1,"b":[]})"));
    const std::string blanks(5000, ' ');
    EXPECT_EQ(parse(joined({ "\"", blanks, "\"" })), blanks);
    EXPECT_TRUE(parse(joined({ "[1", fill, "2]" })).is_discarded()) << "these are two numbers";
    EXPECT_TRUE(parse(joined({ "\"a", fill, "b\"" })).is_discarded())
        << "a string has no line ends";
    EXPECT_TRUE(parse(fill).is_discarded());
}

// Guards against reading whose work grows with the square of the size: the first of these texts was
// not read within two minutes.
TEST(JsonText, FillingIsReadInLinearTime)
{
    constexpr std::size_t fillingBytes = 4U << 20U;
    for (const char filling : { ' ', '\t', '\r', '\n', 'x', ':', ',' }) {
        const std::string fill(fillingBytes, filling);
        EXPECT_EQ(memberText(joined({ R"({"a":"\xff","b":1,)", fill, R"("c":2})" }), "a"),
                  R"("\xff")");
        EXPECT_EQ(memberText(joined({ R"({"a":"\xff",)", fill, R"(,"b": 1 })", fill }), "b"), "1")
            << "filling " << static_cast<int>(filling);
        EXPECT_EQ(memberText(joined({ fill, "{", fill }), "b"), "");
    }
    const std::string fill(fillingBytes, ' ');
    EXPECT_EQ(memberText(joined({ "{", fill, "\"b\"", fill, ":", fill, "1", fill, "}" }), "b"),
              "1");
}
