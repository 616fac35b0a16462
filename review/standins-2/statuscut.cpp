// Case 8: a runner crashes while it sends a long answer with another status than 200, and the
// consumer gets an answer that looks complete.

#include <array>
#include <cstdio>

#include "runner.h"

using namespace review;

namespace {

constexpr int runnerCount = 6;
constexpr int requestCount = 12;
constexpr int timeoutMs = 8000;
constexpr std::chrono::seconds startTime{ 15 };
// Time before each piece of a plain answer, and each event of a stream.
constexpr std::chrono::milliseconds pieceInterval{ 100 };
constexpr int piecesPerAnswer = 16;
constexpr int eventsPerStream = 16;
constexpr std::chrono::milliseconds crashAfter{ 1050 };

// What a consumer of HTTP/1.1 makes of an answer.
struct Answer
{
    int status = 0;
    std::string stamp;
    std::string body;
    // Whether the answer ended as its framing says: with its length, its last chunk, or the orderly
    // end of a channel whose answer has neither.
    bool looksComplete = false;
};

Answer readAnswer(Connection &connection)
{
    const Clock::time_point end = Clock::now() + std::chrono::milliseconds(timeoutMs);
    Answer answer;
    const auto head = connection.readHead(end);
    if (!head)
        return answer;
    answer.status = head->status();
    answer.stamp = head->header("x-response-stamp");
    const bool isChunked = head->header("transfer-encoding") == "chunked";
    if (isChunked || !head->header("content-length").empty())
        answer.looksComplete = connection.readBody(*head, answer.body, end);
    else
        answer.looksComplete = connection.readToEnd(answer.body, end);
    return answer;
}

std::string requestId(int number)
{
    std::array<char, 24> id{};
    std::snprintf(id.data(), id.size(), "%016x", number);
    return id.data();
}

void sendRequest(int number, const char *startLine, int port, Answer &answer, Record &record)
{
    const std::string id = requestId(number);
    Connection connection = Connection::open(port);
    record.write("consumer sends " + id);
    connection.write(formatMessage(startLine, makeRequestHeaders(id, timeoutMs), "one"));
    answer = readAnswer(connection);
    record.write("consumer got " + std::to_string(answer.status) + " with "
                 + std::to_string(answer.body.size()) + " bytes for " + id
                 + (answer.looksComplete ? ", complete" : ", cut"));
}

// Returns whether the answer is a success that looks complete without being the whole body.
bool isBroken(const Answer &answer, const std::string &whole)
{
    constexpr int firstSuccess = 200;
    constexpr int firstRedirect = 300;
    return answer.status >= firstSuccess && answer.status < firstRedirect && answer.looksComplete
           && answer.body != whole;
}

using Runners = std::vector<std::unique_ptr<Runner>>;

Runners startRunners(const std::string &service, const RunnerOptions &common, Store &store,
                     Record &record)
{
    Runners runners;
    for (int i = 0; i < runnerCount; ++i) {
        RunnerOptions options = common;
        options.id = "i-" + service + std::to_string(i);
        runners.push_back(std::make_unique<Runner>(options, record));
        store.put("servers", options.id,
                  makeRunnerEntry(service, runners.back()->port(), "hobart-a", options.slots, 1));
    }
    return runners;
}

// Sends requests, lets a runner crash that works on some of them, and returns the number of answers
// that look complete and aren't; nothing if the runner had no request.
std::optional<int> play(const char *startLine, const Router &router, Runners &runners,
                        Record &record)
{
    std::vector<Answer> answers(requestCount);
    std::vector<std::thread> threads;
    threads.reserve(requestCount);
    for (int i = 0; i < requestCount; ++i) {
        threads.emplace_back([&, i] {
            sendRequest(i + 1, startLine, router.port(), answers[static_cast<std::size_t>(i)],
                        record);
        });
    }
    std::this_thread::sleep_for(crashAfter);
    Runner &crashing = *runners.front();
    if (isTroubleOn()) {
        record.write(crashing.options().id + " crashes");
        crashing.crash();
    }
    for (std::thread &thread : threads)
        thread.join();
    int broken = 0;
    for (int i = 0; i < requestCount; ++i) {
        const Answer &answer = answers[static_cast<std::size_t>(i)];
        const std::string whole = crashing.wholeBody(requestId(i + 1));
        if (!isBroken(answer, whole))
            continue;
        ++broken;
        record.write("MIXED: " + requestId(i + 1) + " looks complete with "
                     + std::to_string(answer.body.size()) + " of " + std::to_string(whole.size())
                     + " bytes");
    }
    const std::string summary = std::string(startLine) + ": requests "
                                + std::to_string(requestCount) + ", at the crashed runner "
                                + std::to_string(crashing.runs().size())
                                + ", look complete and aren't " + std::to_string(broken);
    record.write(summary);
    std::puts(summary.c_str());
    return crashing.runs().empty() ? std::nullopt : std::optional(broken);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return exitNotRun;
    Record record(argv[1]);
    const TemporaryFolder folder;
    Store store;
    RunnerOptions options;
    options.work = pieceInterval;
    options.status = "201 Created";
    options.pieces = piecesPerAnswer;
    Runners plain = startRunners("jury-desk", options, store, record);
    options.pieces = 0;
    options.events = eventsPerStream;
    Runners streaming = startRunners("jury-model", options, store, record);
    store.put("config", "main",
              makeConfiguration(7, { { "record", "unsafe", "jury-desk", timeoutMs, 1 },
                                     { "report", "streaming", "jury-model", timeoutMs, 3 } }));
    Router router(folder, "front-1", "hobart-a", store.port());
    if (!router.waitUntilReady(startTime))
        return exitNotRun;
    const auto brokenPlain = play("POST /record/2f HTTP/1.1", router, plain, record);
    const auto brokenStreams = play("POST /report/2f HTTP/1.1", router, streaming, record);
    if (!brokenPlain || !brokenStreams || !router.isRunning())
        return exitNotRun;
    return *brokenPlain + *brokenStreams > 0 ? exitBroken : exitHeld;
}
