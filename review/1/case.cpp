// One faulty runner sends a single answer that is none, with a long body after an interim head,
// while sound runners work on other consumers' requests.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <optional>
#include <thread>

#include "../standins/platform.h"

using namespace review;

namespace {

constexpr std::size_t strayBytes = 300'000;
constexpr int consumers = 12;
constexpr double firstRequestAt = 3;
constexpr double faultFrom = 6;
constexpr double lastRequestAt = 12;
constexpr double workTime = 0.2;
const std::string wholeBody = "decision recorded";

Work answerAfterWork()
{
    return [](Runner &runner, const HttpRequest &request, Connection &connection) {
        sleepFor(workTime);
        runner.record().add("runner " + runner.id() + " answers "
                            + request.head.value("x-attempt-id"));
        return connection.write(formatResponse(200, runner.answerHeaders(request), wholeBody));
    };
}

// The first request after `faultFrom` gets the stray bytes; all others get a sound answer.
Work answerOnceWithStrayBytes(const std::shared_ptr<std::atomic<bool>> &spent)
{
    return [spent](Runner &runner, const HttpRequest &request, Connection &connection) {
        if (elapsed() < faultFrom || spent->exchange(true))
            return answerAfterWork()(runner, request, connection);
        sleepFor(workTime / 2);
        runner.record().add("runner " + runner.id() + " sends stray bytes to "
                            + request.head.value("x-attempt-id"));
        connection.write("HTTP/1.1 103 Early Hints\r\nContent-Length: " + std::to_string(strayBytes)
                         + "\r\n\r\n" + std::string(strayBytes, 'x'));
        return connection.write(formatResponse(200, runner.answerHeaders(request), wholeBody));
    };
}

struct Counts
{
    std::atomic<int> answered = 0;
    // Requests that were sent on a kept channel, which ended without an answer.
    std::atomic<int> lostOnKept = 0;
};

// Sends one request after the other on one channel; opens another one when it has ended.
void consume(int consumer, const Router &router, Record &record, Counts &counts)
{
    sleepUntil(firstRequestAt);
    std::optional<Connection> connection;
    bool kept = false;
    for (int i = 0; elapsed() < lastRequestAt; ++i) {
        if (!connection) {
            auto opened = Connection::connect(router.callersPort());
            if (!opened) {
                sleepFor(workTime);
                continue;
            }
            connection.emplace(std::move(*opened));
            kept = false;
        }
        const std::string id = std::to_string(consumer) + "-" + std::to_string(i);
        connection->write(formatRequest(
            "POST", "/records/" + id,
            { { "Host", "shop.example" }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", "1000" } },
            "accept"));
        const Outcome outcome = readResponse(*connection);
        if (outcome.complete) {
            ++counts.answered;
            kept = true;
            continue;
        }
        record.add("consumer of " + id + ": the " + (kept ? "kept" : "new")
                   + " channel ends without an answer");
        counts.lostOnKept += kept ? 1 : 0;
        connection.reset();
    }
}

// The one request at the faulty runner may end so, as its runner was not sound.
int judge(const Counts &counts, bool ended, Record &record)
{
    constexpr int allowed = 3;
    const int lost = std::max(counts.lostOnKept - 1, 0);
    const std::string result = std::to_string(counts.answered) + " answered, "
                               + std::to_string(lost)
                               + " at sound runners lost with their kept channel; the router "
                               + (ended ? "has ended by itself" : "runs");
    record.add(result);
    std::cout << result << std::endl;
    if (counts.answered == 0)
        return 2;
    return ended || lost > allowed ? 1 : 0;
}

int play(const std::string &folder, bool trouble)
{
    Record record(folder);
    Store store;
    store.put(
        "config", "main",
        makeConfiguration(1, Json::array({ makeRoute("/records/", "unsafe", "desk", 1000, 150) }),
                          { "desk" }));
    const auto spent = std::make_shared<std::atomic<bool>>(!trouble);
    const Runner first(store, record, "i-1", "desk", "v1", answerOnceWithStrayBytes(spent));
    const Runner second(store, record, "i-2", "desk", "v1", answerAfterWork());
    const Runner third(store, record, "i-3", "desk", "v1", answerAfterWork());
    Router router(store, makeTemporaryFolder(), "router-a", "zone-a");
    router.start();
    if (!router.waitUntilReady(2.5)) {
        router.stop();
        std::_Exit(2);
    }
    Counts counts;
    std::vector<std::thread> threads;
    threads.reserve(consumers);
    for (int i = 0; i < consumers; ++i)
        threads.emplace_back([&, i] { consume(i, router, record, counts); });
    for (std::thread &thread : threads)
        thread.join();
    const int result = judge(counts, router.hasEnded(), record);
    router.stop();
    // The threads of the stand-ins never end.
    std::_Exit(result);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3)
        return 2;
    elapsed();
    return play(argv[1], std::string(argv[2]) != "0");
}
