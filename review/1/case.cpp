// One runner of three is faulty: before three in a hundred of its answers it sends bytes that are
// no answer, an interim head with a body. Twice that body is short, the third time it is long.

#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

#include "../standins/platform.h"

using namespace review;

namespace {

constexpr std::size_t shortStray = 5;
constexpr std::size_t longStray = 300'000;
// One fault in 34 answers of the runner: bsf-ops names 3 in 100.
constexpr int answersPerFault = 34;
constexpr int faults = 3;
constexpr int consumers = 12;
constexpr double firstRequestAt = 3;
constexpr double lastRequestAt = 15;
constexpr double workTime = 0.2;
const std::string wholeBody = "decision recorded";

// Requests that sound runners have begun to run.
class SoundRuns
{
public:
    void add(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        m_ids.insert(id);
    }
    bool contains(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        return m_ids.contains(id);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

Work answerAfterWork()
{
    return [](Runner &runner, const HttpRequest &request, Connection &connection) {
        sleepFor(workTime);
        runner.record().add("runner " + runner.id() + " answers "
                            + request.head.value("x-attempt-id"));
        return connection.write(formatResponse(200, runner.answerHeaders(request), wholeBody));
    };
}

std::string strayAnswer(std::size_t bytes)
{
    return "HTTP/1.1 103 Early Hints\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
           + std::string(bytes, '!');
}

Work answerWithStrayBytes(const std::shared_ptr<std::atomic<int>> &answers)
{
    return [answers](Runner &runner, const HttpRequest &request, Connection &connection) {
        const int number = ++*answers;
        if (number % answersPerFault != 0 || number > faults * answersPerFault)
            return answerAfterWork()(runner, request, connection);
        const std::size_t bytes = number == faults * answersPerFault ? longStray : shortStray;
        sleepFor(workTime);
        runner.record().add({ "runner ", runner.id(), " sends ", std::to_string(bytes),
                              " stray bytes before its answer to ",
                              request.head.value("x-attempt-id") });
        return connection.write(strayAnswer(bytes)
                                + formatResponse(200, runner.answerHeaders(request), wholeBody));
    };
}

Work answerSoundly(SoundRuns &runs)
{
    return [&runs](Runner &runner, const HttpRequest &request, Connection &connection) {
        runs.add(request.head.value("x-attempt-id"));
        return answerAfterWork()(runner, request, connection);
    };
}

struct Counts
{
    std::atomic<int> answered = 0;
    // Successes with a body that isn't the runner's.
    std::atomic<int> wrong = 0;
    // Requests from a kept channel that were passed on to a sound runner, and whose channel ended
    // without an answer.
    std::atomic<int> lost = 0;
};

// Sends one request after the other on one channel; opens another one when it has ended.
void consume(int consumer, const Router &router, SoundRuns &runs, Record &record, Counts &counts)
{
    // Spread, so that most requests are at their runners at any moment.
    sleepUntil(firstRequestAt + consumer * workTime / consumers);
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
        const auto head = connection->readHead();
        std::string body;
        if (head && connection->readBody(*head, body)) {
            ++counts.answered;
            kept = true;
            if (head->word(1) == "200" && body != wholeBody) {
                ++counts.wrong;
                record.add({ "consumer of ", id, ": success with the stamp '",
                             head->value("x-response-stamp"), "' and the body '", body, "'" });
            }
            continue;
        }
        const bool sound = runs.contains(id);
        record.add({ "consumer of ", id, ": the ", kept ? "kept" : "new",
                     " channel ends without an answer; its runner is ",
                     sound ? "sound" : "the faulty one, or none" });
        counts.lost += kept && sound ? 1 : 0;
        connection.reset();
    }
}

// The rules as they are written: LOST allows three such requests, MIXED no such answer. An answer
// of the router's own, such as 502, breaks neither.
int judge(const Counts &counts, bool ended, Record &record)
{
    constexpr int allowed = 3;
    const std::string result = std::to_string(counts.answered) + " answered, "
                               + std::to_string(counts.wrong) + " of them with a wrong body; "
                               + std::to_string(counts.lost)
                               + " at sound runners lost with their kept channel; the router "
                               + (ended ? "has ended by itself" : "runs");
    record.add(result);
    std::cout << result << std::endl;
    if (counts.answered == 0)
        return 2;
    return counts.lost > allowed || counts.wrong > 0 ? 1 : 0;
}

int play(const std::string &recordFile, const std::string &workFolder, bool trouble)
{
    Record record(recordFile);
    Store store;
    store.put(
        "config", "main",
        makeConfiguration(1, Json::array({ makeRoute("/records/", "unsafe", "desk", 1000, 150) }),
                          { "desk" }));
    SoundRuns runs;
    const auto answers = std::make_shared<std::atomic<int>>(0);
    const Runner first(store, record, "i-1", "desk", "v1",
                       trouble ? answerWithStrayBytes(answers) : answerAfterWork());
    const Runner second(store, record, "i-2", "desk", "v1", answerSoundly(runs));
    const Runner third(store, record, "i-3", "desk", "v1", answerSoundly(runs));
    Router router(store, workFolder, "router-a", "zone-a");
    router.start();
    if (!router.waitUntilReady(2.5)) {
        router.stop();
        std::_Exit(2);
    }
    Counts counts;
    std::vector<std::thread> threads;
    threads.reserve(consumers);
    for (int i = 0; i < consumers; ++i)
        threads.emplace_back([&, i] { consume(i, router, runs, record, counts); });
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
    if (argc != 4)
        return 2;
    elapsed();
    return play(argv[1], argv[2], std::string(argv[3]) != "0");
}
