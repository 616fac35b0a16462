#include <deque>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "forwarding/forwarding.h"

using namespace acaciasail;
using namespace acaciasail::forwarding;
using namespace std::chrono_literals;

namespace {

Route route(const std::string &host, const std::string &prefix)
{
    Route result;
    result.name = RouteName(host + prefix);
    result.host = host;
    result.pathPrefix = prefix;
    return result;
}

kernel::Instant at(std::int64_t milliseconds)
{
    return kernel::Instant(std::chrono::milliseconds(milliseconds));
}

} // namespace

TEST(RouteMatch, SelectsLongestPrefixOfHost)
{
    Configuration configuration;
    configuration.routes
        = { route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/x/y/z/") };
    const auto name = [&](std::string_view host, std::string_view target) {
        const Route *found = matchRoute(configuration, host, target);
        return found == nullptr ? std::string() : found->name.str();
    };
    EXPECT_EQ(name("a.example", "/x/y/1"), "a.example/x/y/");
    EXPECT_EQ(name("A.Example:8080", "/x/1?q=/x/y/"), "a.example/x/");
    EXPECT_EQ(name("a.example", "/x/y/z/1"), "a.example/x/y/");
    EXPECT_EQ(name("a.example", "/x"), "") << "a prefix ends with a slash";
    EXPECT_EQ(name("c.example", "/x/1"), "");
    EXPECT_EQ(name("a.example", "/q?/x/"), "") << "the query is no part of the path";
}

TEST(RouteMatch, PicksServicesByWeight)
{
    Route split = route("a", "/");
    split.services = { { kernel::ServiceName("old"), 90 }, { kernel::ServiceName("new"), 10 } };
    EXPECT_EQ(pickService(split, 0.0)->str(), "old");
    EXPECT_EQ(pickService(split, 0.899)->str(), "old");
    EXPECT_EQ(pickService(split, 0.901)->str(), "new");
    split.services = { { kernel::ServiceName("none"), 0 } };
    EXPECT_EQ(pickService(split, 0.5), nullptr);
}

TEST(AttemptStateTable, StatesWhichRequestsMayBeRetried)
{
    struct Row
    {
        RequestKind kind;
        bool resumable;
        bool mayHaveRun;
        bool responseStarted;
        bool retry;
    };
    const std::vector<Row> rows{
        { RequestKind::Safe, false, false, false, true },
        { RequestKind::Safe, false, true, false, true },
        { RequestKind::Safe, false, true, true, false },
        { RequestKind::Unsafe, false, false, false, true },
        { RequestKind::Unsafe, false, true, false, false },
        { RequestKind::Unsafe, true, true, false, false },
        { RequestKind::Streaming, false, false, false, true },
        { RequestKind::Streaming, false, true, false, false },
        { RequestKind::Streaming, true, true, false, true },
        { RequestKind::Streaming, true, true, true, true },
    };
    for (const Row &row : rows) {
        const AttemptState state{
            row.kind, row.resumable, 3, 1, row.mayHaveRun, row.responseStarted
        };
        EXPECT_EQ(mayRetry(state), row.retry)
            << toString(row.kind) << row.resumable << row.mayHaveRun << row.responseStarted;
        AttemptState withoutAttemptsLeft = state;
        withoutAttemptsLeft.sent = 3;
        EXPECT_FALSE(mayRetry(withoutAttemptsLeft)) << "the number of attempts is limited";
    }
}

// Status 503, which states that the request did not run, is impossible once a request may have run
// at an upstream.
RC_GTEST_PROP(AttemptStateProperty, Returns503OnlyIfRequestDidNotRun, ())
{
    AttemptState state;
    state.kind = *rc::gen::element(RequestKind::Safe, RequestKind::Unsafe, RequestKind::Streaming);
    state.resumable = *rc::gen::arbitrary<bool>();
    state.maxAttempts = *rc::gen::inRange(1, 5);
    // What really happened, recorded independently of the state.
    bool hasRun = false;
    int runs = 0;
    while (mayRetry(state)) {
        const bool before = state.mayHaveRun;
        if (*rc::gen::arbitrary<bool>())
            break;
        const auto attemptResult = *rc::gen::inRange(0, 3);
        if (attemptResult == 0) // no connection
            break;
        recordSent(state);
        if (attemptResult == 1) {
            recordRefused(state, before);
        } else {
            hasRun = true;
            ++runs;
        }
    }
    for (const EndReason reason :
         { EndReason::NoCapacity, EndReason::TimedOut, EndReason::Failed }) {
        const int status = finalStatus(state, reason);
        RC_ASSERT(!(hasRun && status == 503));
        RC_ASSERT(status == 502 || status == 503 || status == 504);
    }
    RC_ASSERT(state.sent <= state.maxAttempts);
    if (state.kind == RequestKind::Unsafe
        || (state.kind == RequestKind::Streaming && !state.resumable))
        RC_ASSERT(runs <= 1);
}

// In any window, the retries of all routers together stay below the limit that follows from all
// their requests.
RC_GTEST_PROP(RetryBudgetProperty, LimitHoldsOverAllRouters, ())
{
    const bool large = *rc::gen::arbitrary<bool>();
    const RetryLimits bounds{ 0.9, large ? 230.0 : 58.0, 10s };
    const int routers = large ? 37 : *rc::gen::inRange(1, 9);
    std::vector<RetryBudget> retryBudgets(static_cast<std::size_t>(routers));
    std::deque<kernel::Instant> requests;
    std::deque<kernel::Instant> retries;
    kernel::Instant now = at(0);
    const int steps = *rc::gen::inRange(1, 1500);
    for (int i = 0; i < steps; ++i) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
        RetryBudget &budget = retryBudgets[static_cast<std::size_t>(*rc::gen::inRange(0, routers))];
        if (*rc::gen::inRange(0, 3) == 0) {
            recordRequest(budget, bounds, now);
            requests.push_back(now);
        } else if (takeRetry(budget, bounds, now)) {
            retries.push_back(now);
        }
        while (!requests.empty() && requests.front() <= now - bounds.window)
            requests.pop_front();
        while (!retries.empty() && retries.front() <= now - bounds.window)
            retries.pop_front();
        RC_ASSERT(static_cast<double>(retries.size())
                  <= bounds.ratio * static_cast<double>(requests.size()) + bounds.slack);
    }
}

TEST(RetryBudgetTest, AllowsFewRetriesWithoutTraffic)
{
    const RetryLimits bounds{ 0.5, 20, 10s };
    RetryBudget budget;
    EXPECT_TRUE(takeRetry(budget, bounds, at(0)));
    EXPECT_TRUE(takeRetry(budget, bounds, at(0)));
    EXPECT_FALSE(takeRetry(budget, bounds, at(0)));
    EXPECT_TRUE(takeRetry(budget, bounds, at(10001))) << "a new window has started";
}

// The same complete events come out, however the stream is divided into pieces.
RC_GTEST_PROP(EventSplitterProperty, SplitsIndependentlyOfPieces, ())
{
    std::string stream;
    std::vector<std::string> expected;
    const int events = *rc::gen::inRange(0, 8);
    for (int i = 0; i < events; ++i) {
        const std::string end = *rc::gen::element<std::string>("\n", "\r\n");
        std::string event = "id: ";
        event += std::to_string(i) + end;
        event += "data: ";
        event += *rc::gen::element<std::string>("", "x y") + end;
        event += end;
        stream += event;
        expected.push_back(std::to_string(i) + "|" + event);
    }
    stream += "data: torn";
    EventSplitter splitter;
    std::vector<std::string> emitted;
    std::size_t position = 0;
    while (position < stream.size()) {
        const auto length = *rc::gen::inRange<std::size_t>(1, 12);
        const auto result = splitter.feed(
            std::string_view(stream).substr(position, length), [&](const StreamEvent &event) {
                const EventReading reading = readEvent(event.bytes, std::nullopt);
                emitted.push_back(std::to_string(reading.id.count()) + "|"
                                  + std::string(event.bytes));
                return EventUse::Accepted;
            });
        RC_ASSERT(result == EventSplitter::Result::Ok);
        position += length;
    }
    RC_ASSERT(emitted == expected);
    RC_ASSERT(splitter.partial());
}

TEST(EventSplitterTest, RefusesTooLongEvent)
{
    EventSplitter splitter;
    const std::string piece(EventSplitter::maxEventBytes + 1, 'x');
    EXPECT_EQ(splitter.feed(piece, [](const StreamEvent &) { return EventUse::Accepted; }),
              EventSplitter::Result::TooLong);
}

TEST(EventSplitterTest, StopsAtRejectedEvent)
{
    EventSplitter splitter;
    std::vector<std::uint64_t> offsets;
    const auto result
        = splitter.feed("id: 1\n\n\r\nid: 2\n\nid: 3\n\n", [&](const StreamEvent &event) {
              offsets.push_back(event.offset);
              return offsets.size() == 2 ? EventUse::Rejected : EventUse::Accepted;
          });
    EXPECT_EQ(result, EventSplitter::Result::Rejected);
    EXPECT_EQ(offsets, (std::vector<std::uint64_t>{ 0, 9 }));
    EXPECT_EQ(splitter.offset(), 9U);
}

// Guards against an upstream that sends empty lines or comments without end.
TEST(EventSplitterTest, IgnoresBoundedNumberOfBytesBetweenEvents)
{
    for (const std::string &ignored : { std::string("\n"), std::string("\r\n"),
                                        std::string(":\n\n"), std::string(": ping\r\n\r\n") }) {
        EventSplitter splitter;
        int accepted = 0;
        const auto onEvent = [&](const StreamEvent &event) {
            if (readEvent(event.bytes, std::nullopt).isComment)
                return EventUse::Ignored;
            EXPECT_TRUE(event.bytes == "id: 1\n\n");
            ++accepted;
            return EventUse::Accepted;
        };
        std::size_t bytes = 0;
        auto result = EventSplitter::Result::Ok;
        for (int i = 0; i < 20 && result == EventSplitter::Result::Ok; ++i)
            result = splitter.feed("id: 1\n\n" + ignored, onEvent);
        EXPECT_EQ(result, EventSplitter::Result::Ok);
        EXPECT_EQ(accepted, 20);
        EXPECT_FALSE(splitter.partial());
        while (result == EventSplitter::Result::Ok
               && bytes <= EventSplitter::maxIgnoredBytes + ignored.size()) {
            result = splitter.feed(ignored, onEvent);
            bytes += ignored.size();
        }
        EXPECT_EQ(result, EventSplitter::Result::TooLong);
    }
}

TEST(StreamEventTest, AcceptsSoundSpellings)
{
    for (const char *event :
         { "id: 5\ndata: a\n\n", "id:5\ndata:a\n\n", "id: 5\r\ndata: a\r\n\r\n",
           "data: a\ndata: b\nid: 5\n\n", ": note\nid: 5\ndata: a\n\n", "id: 5\n\n",
           "event: token\nretry: 10\nid: 5\ndata\n\n", "version-of-x: 3\nid: 5\ndata: a\n\n",
           "id: 5\ndata: id: 3\ndata: :x\n\n" }) {
        const EventReading reading = readEvent(event, StreamEventId(2));
        EXPECT_EQ(reading.fault, EventFault::None) << event;
        EXPECT_FALSE(reading.isComment);
        EXPECT_EQ(reading.id, StreamEventId(5)) << event;
    }
    EXPECT_EQ(readEvent("id: 0\n\n", std::nullopt).fault, EventFault::None);
    for (const char *comment : { ":\n\n", ": ping\r\n\r\n", ": a\n: b\n\n" })
        EXPECT_TRUE(readEvent(comment, StreamEventId(2)).isComment) << comment;
}

// Guards against bytes of a faulty upstream that become part of a stream because an empty line
// follows them.
TEST(StreamEventTest, RejectsWhatIsNotNextEvent)
{
    const std::vector<std::pair<std::string, EventFault>> faulty{
        { "data: a\n\n", EventFault::IdMissing },
        { "ID: 5\n\n", EventFault::IdMissing },
        { "id\ndata: a\n\n", EventFault::IdInvalid },
        { "id:\n\n", EventFault::IdInvalid },
        { "id: x\n\n", EventFault::IdInvalid },
        { "id: -5\n\n", EventFault::IdInvalid },
        { "id: +5\n\n", EventFault::IdInvalid },
        { "id: 05\n\n", EventFault::IdInvalid },
        { "id: 5.0\n\n", EventFault::IdInvalid },
        { "id: 5 6\n\n", EventFault::IdInvalid },
        { "id: 99999999999999999999\n\n", EventFault::IdInvalid },
        { "id: 5\nid: 5\n\n", EventFault::IdRepeated },
        { "id: 2\n\n", EventFault::IdNotIncreasing },
        { "id: 1\n\n", EventFault::IdNotIncreasing },
        { "garbage\nid: 5\n\n", EventFault::MalformedLine },
        { "garbage\n\n", EventFault::MalformedLine },
        { "g\xff: a\nid: 5\n\n", EventFault::MalformedLine },
        { "id: 5\ndata: a\rid: 1\n\n", EventFault::MalformedLine },
        { "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", EventFault::MalformedLine },
    };
    for (const auto &[event, fault] : faulty) {
        EXPECT_EQ(readEvent(event, StreamEventId(2)).fault, fault) << event;
        EXPECT_FALSE(readEvent(event, StreamEventId(2)).isComment);
    }
}

TEST(ModelChoice, UsesSmallestFirstAndEscalatesOnLowConfidence)
{
    Route routeWithModels = route("a", "/");
    routeWithModels.models = { "small", "middle", "large" };
    routeWithModels.latencyObjective = 1000ms;
    const ModelWork longPromptWork{ "", 4000, 2, {} };
    const ModelWork longOutputWork{ "", 10, 4000, {} };
    const ModelRules rules{ 50, 35, 30, 0.2 };
    EXPECT_EQ(firstModel(routeWithModels, longPromptWork), "small");
    const auto escalate
        = [&](const ModelWork &work, int confidence, int left, kernel::Duration time) {
              return escalateTo(routeWithModels, rules, work, "small", confidence, left, time, 0);
          };
    EXPECT_EQ(escalate(longPromptWork, 40, 2, 900ms), "large");
    EXPECT_EQ(escalate(longPromptWork, 60, 2, 900ms), "");
    EXPECT_EQ(escalate(longOutputWork, 60, 2, 900ms), "large")
        << "the cost is in the output, so the threshold is higher";
    EXPECT_EQ(escalate(longOutputWork, 85, 2, 900ms), "");
    EXPECT_EQ(escalate(longPromptWork, 40, 0, 900ms), "") << "no attempt is left";
    EXPECT_EQ(escalate(longPromptWork, 40, 2, 100ms), "")
        << "too little of the latency objective is left";
    EXPECT_EQ(escalateTo(routeWithModels, rules, longPromptWork, "large", 0, 2, 900ms, 0), "");
    EXPECT_EQ(
        escalateTo(routeWithModels, rules, longPromptWork, "small", std::nullopt, 2, 900ms, 0), "");
    routeWithModels.models.clear();
    EXPECT_EQ(firstModel(routeWithModels, { "own", 1, 1, {} }), "own");
}

// Guards against a valid response that is given up for one that can't come in time.
TEST(ModelChoice, AsksLargestModelThatRespondsWithinObjective)
{
    Route routeWithModels = route("a", "/");
    routeWithModels.models = { "small", "middle", "large" };
    routeWithModels.latencyObjective = 2000ms;
    const ModelWork work{ "", 54000, 300, {} };
    const auto escalate = [&](const ExpectedFirstEvents &expected, double engineSaturation) {
        return escalateTo(routeWithModels, {}, work, "small", 10, 2, 1500ms, engineSaturation,
                          expected);
    };
    EXPECT_EQ(escalate({}, 0), "large") << "nothing is known of its time";
    EXPECT_EQ(escalate({ { "large", 1400ms } }, 1), "large");
    EXPECT_EQ(escalate({ { "large", 1600ms }, { "middle", 500ms } }, 0), "middle");
    EXPECT_EQ(escalate({ { "large", 1600ms }, { "middle", 500ms } }, 1), "") << "engines are busy";
    EXPECT_EQ(escalate({ { "large", 1600ms }, { "middle", 1700ms } }, 0), "");
}

TEST(ModelChoice, FirstEventIsExpectedByPromptLength)
{
    FirstEventEstimate estimate;
    const kernel::Instant now{ 1000s };
    EXPECT_FALSE(expectedFirstEvent(estimate, 1000, now));
    for (int i = 0; i < 40; ++i) {
        const std::int64_t tokens = std::int64_t{ 1000 } * (1 + i % 10);
        recordFirstEvent(estimate, tokens, 50ms + tokens * 30us, now);
    }
    EXPECT_NEAR(kernel::toSeconds(expectedFirstEvent(estimate, 54000, now).value_or(0ms)), 1.67,
                0.02);
    EXPECT_NEAR(kernel::toSeconds(expectedFirstEvent(estimate, 500, now).value_or(0ms)), 0.065,
                0.01);
    EXPECT_FALSE(expectedFirstEvent(estimate, 500, now + 10s)) << "the load may have changed";
}

// Under load, an uncertain response in time is worth more than a confident one that delays other
// requests.
TEST(ModelChoice, EscalatesLessWhileEnginesAreBusy)
{
    Route routeWithModels = route("a", "/");
    routeWithModels.models = { "small", "large" };
    routeWithModels.latencyObjective = 1000ms;
    const ModelWork longPromptWork{ "", 4000, 2, {} };
    const ModelRules rules{ 50, 30, 0, 0.2 };
    LateRequestRate lateRequestRate;
    const auto escalate = [&](int confidence) {
        return escalateTo(routeWithModels, rules, longPromptWork, "small", confidence, 2, 900ms,
                          saturation(lateRequestRate));
    };
    EXPECT_EQ(escalate(40), "large");
    for (int i = 0; i < 200; ++i)
        recordLateness(lateRequestRate, i % 4 == 0);
    EXPECT_EQ(escalate(40), "");
    EXPECT_EQ(escalate(25), "large");
    for (int i = 0; i < 400; ++i)
        recordLateness(lateRequestRate, false);
    EXPECT_EQ(escalate(40), "large") << "the engines are idle again";
}

TEST(ModelChoice, UrgencyFollowsRouteThenWorkspace)
{
    EXPECT_LT(engineUrgency(0, 9), engineUrgency(1, 0))
        << "the workspace's rank orders only requests of equal routes";
    EXPECT_LT(engineUrgency(1, 0), engineUrgency(1, 1));
    EXPECT_EQ(engineUrgency(7, 0), 9);
    EXPECT_EQ(engineUrgency(0, -3), 0);
}
