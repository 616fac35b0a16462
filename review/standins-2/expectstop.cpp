// Case 6: during a planned stop, a consumer sends a request in chunks with "Expect: 100-continue".
// The router refuses it and crashes, and the streams that run are cut.

#include <array>
#include <csignal>
#include <cstdio>

#include "runner.h"

using namespace review;

namespace {

constexpr int streams = 5;
constexpr int eventsPerStream = 50;
constexpr std::chrono::milliseconds eventInterval{ 100 };
constexpr int queryTimeoutMs = 20000;
constexpr int reportTimeoutMs = 25000;
// From SIGTERM to the request; the streams end 4.7 s after SIGTERM, well before the last sixth of
// GraceS.
constexpr std::chrono::milliseconds streamsBeforeStop{ 300 };
constexpr std::chrono::milliseconds stopBeforeReport{ 3300 };
constexpr std::chrono::seconds startTime{ 15 };
constexpr std::chrono::seconds answerTime{ 12 };
// Size of a report's request; the site's sheet has 12,000 on average and at most 72,000.
constexpr std::size_t reportBytes = 40000;
constexpr std::size_t chunkBytes = 8000;

std::string formatHead(const std::string &path, const std::string &id, int timeoutMs)
{
    std::string text = "POST " + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : makeRequestHeaders(id, timeoutMs))
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "X-Model: daka510000\r\nX-Token-Count: 300,250\r\nX-Prompt-Prefix: 5c1e07a2:200,"
           + id + ":100\r\n";
}

// Returns a request whose body comes in chunks, right after the head: a client need not wait for
// "100 Continue".
std::string formatReportRequest(const std::string &id)
{
    std::string text = formatHead("/report/2f", id, reportTimeoutMs)
                       + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t sent = 0; sent < reportBytes; sent += chunkBytes) {
        std::array<char, 16> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
        text += size.data() + std::string(chunkBytes, 'x') + "\r\n";
    }
    return text + "0\r\n\r\n";
}

// Reads an answer after any interim ones; returns whether it is whole.
bool readAnswer(Connection &connection, const std::string &id, Record &record)
{
    const Clock::time_point end = Clock::now() + answerTime;
    while (const auto answer = connection.read(end)) {
        record.write("consumer got " + std::to_string(answer->status()) + " for " + id);
        if (answer->status() >= 200)
            return true;
    }
    record.write("consumer got no whole answer for " + id);
    return false;
}

struct Query
{
    std::string id;
    bool whole = false;
};

void sendQuery(Query &query, int port, Record &record)
{
    Connection connection = Connection::open(port);
    record.write("consumer sends " + query.id);
    connection.write(formatHead("/query/2f", query.id, queryTimeoutMs)
                     + "Content-Length: 4\r\n\r\nbody");
    query.whole = readAnswer(connection, query.id, record);
}

int countLost(const std::vector<Query> &queries, Runner &runner, Record &record)
{
    int lost = 0;
    const auto runs = runner.runs();
    for (const Query &query : queries) {
        if (query.whole || !runs.contains(query.id))
            continue;
        ++lost;
        record.write("LOST: " + query.id
                     + " was passed on, and its channel ended without a whole "
                       "answer");
    }
    return lost;
}

int play(Router &router, Runner &runner, Record &record)
{
    // This consumer's channel is open before the stop, and stays with its daemon.
    Connection reporter = Connection::open(router.port());
    record.write("consumer sends 00000000000000a1 in chunks");
    reporter.write(formatReportRequest("00000000000000a1"));
    if (!readAnswer(reporter, "00000000000000a1", record))
        return exitNotRun;

    std::vector<Query> queries;
    for (int i = 1; i <= streams; ++i)
        queries.push_back({ "00000000000000b" + std::to_string(i) });
    std::vector<std::thread> threads;
    threads.reserve(queries.size());
    for (Query &query : queries)
        threads.emplace_back([&] { sendQuery(query, router.port(), record); });
    std::this_thread::sleep_for(streamsBeforeStop);
    if (isTroubleOn()) {
        record.write("SIGTERM to the router");
        router.signal(SIGTERM);
    }
    std::this_thread::sleep_for(stopBeforeReport);
    record.write("consumer sends 00000000000000a2 in chunks");
    reporter.write(formatReportRequest("00000000000000a2"));
    readAnswer(reporter, "00000000000000a2", record);
    for (std::thread &thread : threads)
        thread.join();
    const int lost = countLost(queries, runner, record);
    const std::string summary = "streams " + std::to_string(streams)
                                + ", cut without a whole answer " + std::to_string(lost)
                                + "; the router "
                                + (router.isRunning() ? "runs" : "has ended: " + router.ending());
    record.write(summary);
    std::puts(summary.c_str());
    return lost > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return exitNotRun;
    Record record(argv[1]);
    const TemporaryFolder folder;
    Store store;
    Runner runner({ .id = "i-7f3a91c2",
                    .slots = 64,
                    .queue = 64,
                    .work = eventInterval,
                    .events = eventsPerStream },
                  record);
    store.put("servers", runner.options().id,
              makeRunnerEntry("jury-model", runner.port(), "hobart-a", runner.options().slots, 1));
    store.put("config", "main",
              makeConfiguration(7, { { "report", "streaming", "jury-model", reportTimeoutMs, 3 },
                                     { "query", "streaming", "jury-model", queryTimeoutMs, 3 } }));
    Router router(folder, "front-1", "hobart-a", store.port());
    if (!router.waitUntilReady(startTime))
        return exitNotRun;
    return play(router, runner, record);
}
