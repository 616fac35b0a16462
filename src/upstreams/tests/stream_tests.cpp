
#include <algorithm>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "upstreams/upstreams.h"

using namespace acaciasail;
using namespace acaciasail::upstreams;

namespace {

EngineEvent tokenEvent(std::int64_t index, const std::string &attempt = "a")
{
    EngineEvent event;
    event.request = "r";
    event.attempt = attempt;
    event.tokenIndex = index;
    event.content = "<" + std::to_string(index) + ">";
    return event;
}

EngineEvent finishEvent(std::int64_t index, const std::string &attempt = "a")
{
    EngineEvent event = tokenEvent(index, attempt);
    event.content.clear();
    event.finishReason = "stop";
    event.usage = Usage{ kernel::Tokens(5), kernel::Tokens(index) };
    return event;
}

std::string textOf(std::int64_t tokens)
{
    std::string text;
    for (std::int64_t i = 0; i < tokens; ++i)
        text += "<" + std::to_string(i) + ">";
    return text;
}

} // namespace

RC_GTEST_PROP(SseParser, ProducesTheSameEventsForAnySplitOfTheStream, ())
{
    const auto events = *rc::gen::container<std::vector<std::string>>(
        rc::gen::nonEmpty(rc::gen::string<std::string>()));
    std::string stream;
    std::vector<std::string> expected;
    for (std::string event : events) {
        std::erase_if(event, [](char c) { return c == '\n' || c == '\r'; });
        expected.push_back("x" + event);
        stream += *rc::gen::element<std::string>("data: x", "data:x") + event
                  + *rc::gen::element<std::string>("\n\n", "\r\n\r\n", "\n: comment\n\n");
    }
    SseParser parser;
    std::vector<std::string> seen;
    for (std::size_t at = 0; at < stream.size();) {
        const std::size_t size = *rc::gen::inRange<std::size_t>(1, 12);
        RC_ASSERT(parser.feed(std::string_view(stream).substr(at, size),
                              [&](std::string_view data) { seen.emplace_back(data); }));
        at += size;
    }
    RC_ASSERT(seen == expected);
}

TEST(SseParser, RejectsALineThatIsTooLong)
{
    SseParser parser;
    const std::string piece(64U << 10U, 'x');
    bool withinLimit = true;
    for (int i = 0; i < 17 && withinLimit; ++i)
        withinLimit = parser.feed(piece, [](std::string_view) {});
    EXPECT_FALSE(withinLimit);
}

TEST(EngineEvent, ReadsKnownFieldsAndIgnoresOthers)
{
    const auto event = parseEngineEvent(
        R"({"id":"content","x":{"content":"no"},"request":"r","attempt":"a","token_index":3,)"
        R"("choices":[{"index":0,"logprobs":[{"content":"no"}],"delta":{"role":"assistant",)"
        R"("content":"\u00e4\n"},"finish_reason":"stop"}],"usage":{"prompt_tokens":4,)"
        R"("completion_tokens":9,"details":{"prompt_tokens":1}}})");
    ASSERT_TRUE(event);
    EXPECT_EQ(event->request, "r");
    EXPECT_EQ(event->attempt, "a");
    EXPECT_EQ(event->tokenIndex, 3);
    EXPECT_EQ(event->content, "\xc3\xa4\n");
    EXPECT_EQ(event->finishReason, "stop");
    EXPECT_EQ(event->usage->input, kernel::Tokens(4));
    EXPECT_EQ(event->usage->output, kernel::Tokens(9));
}

TEST(EngineEvent, ReadsACompleteResponseAndAnError)
{
    const auto response = parseEngineEvent(
        R"({"choices":[{"message":{"content":"all"},"finish_reason":"length"}]})");
    EXPECT_EQ(response->content, "all");
    EXPECT_EQ(response->finishReason, "length");
    const auto error = parseEngineEvent(R"({"error":{"code":"overloaded","message":"full"}})");
    EXPECT_EQ(error->errorCode, "overloaded");
    EXPECT_FALSE(parseEngineEvent("{\"request\":"));
    EXPECT_FALSE(parseEngineEvent(std::string(100, '[') + std::string(100, ']')));
}

TEST(ResumeBody, ContainsTheDeliveredPrefix)
{
    EXPECT_EQ(resumeBody("{\"a\":1}", 0, ""), "{\"a\":1}");
    EXPECT_EQ(resumeBody("{\"a\":1}", 2, "x\"y"), R"({"a":1,"resume":{"text":"x\"y","tokens":2}})");
    EXPECT_FALSE(resumeBody("[]", 2, "xy"));
}

// Events arrive in any order (fewer than the assembler buffers), duplicated, and mixed with events
// of other attempts and requests.
RC_GTEST_PROP(StreamAssembler, DeliversEachTokenOnceInOrder, ())
{
    const auto tokens = *rc::gen::inRange<std::int64_t>(0, 60);
    std::vector<EngineEvent> events;
    for (std::int64_t i = 0; i < tokens; ++i)
        events.push_back(tokenEvent(i));
    events.push_back(finishEvent(tokens));
    const auto extra = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    for (const int pick : extra) {
        EngineEvent event = events[static_cast<std::size_t>(pick) % events.size()];
        if (pick % 3 == 1)
            event.attempt = "late";
        if (pick % 3 == 2)
            event.request = "other";
        events.push_back(std::move(event));
    }
    kernel::Random random(*rc::gen::arbitrary<std::uint64_t>());
    std::shuffle(events.begin(), events.end(), random);
    std::string text;
    std::int64_t next = 0;
    StreamAssembler assembler("r", [&](std::string_view piece, std::int64_t index) {
        RC_ASSERT(index == next++);
        text += piece;
    });
    assembler.startAttempt("a");
    for (const EngineEvent &event : events)
        RC_ASSERT(assembler.take(event) != EventOutcome::Invalid);
    RC_ASSERT(assembler.finished());
    RC_ASSERT(text == textOf(tokens));
    RC_ASSERT(assembler.usage().output == kernel::Tokens(tokens));
}

// Each attempt resumes from the delivered prefix, but may repeat tokens and lose some at its end.
RC_GTEST_PROP(StreamAssembler, ResumesWithoutLossOrDuplication, ())
{
    const auto tokens = *rc::gen::inRange<std::int64_t>(1, 60);
    const auto cuts
        = *rc::gen::container<std::vector<std::int64_t>>(3, rc::gen::inRange<std::int64_t>(0, 60));
    std::string text;
    StreamAssembler assembler("r", [&](std::string_view piece, std::int64_t) { text += piece; });
    int attempt = 0;
    for (const std::int64_t cut : cuts) {
        const std::string id = std::to_string(++attempt);
        assembler.startAttempt(id);
        const std::int64_t from = std::max<std::int64_t>(0, assembler.deliveredTokens() - 2);
        for (std::int64_t i = from; i < std::min(cut, tokens); ++i)
            assembler.take(tokenEvent(i, id));
        // A token that was buffered behind a gap must be dropped when its attempt ends.
        assembler.take(tokenEvent(tokens + 3, id));
        RC_ASSERT(text == textOf(assembler.deliveredTokens()));
    }
    assembler.startAttempt("last");
    for (std::int64_t i = assembler.deliveredTokens(); i < tokens; ++i)
        assembler.take(tokenEvent(i, "last"));
    assembler.take(finishEvent(tokens, "last"));
    RC_ASSERT(assembler.finished());
    RC_ASSERT(text == textOf(tokens));
    RC_ASSERT(assembler.usage().output == kernel::Tokens(tokens));
}
