// Two of a zone's three routers are stopped and removed, one after the other. Streams come over new
// channels to the second one while it stops, because fewer than half of the zone's routers are in
// rotation.

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

#include "../standins/platform.h"

using namespace review;

namespace {

// On the users' sheet a query has 58 events on average, and its site file names 69% as the spread.
constexpr int usualEvents = 20;
constexpr int longEvents = 116;
constexpr double eventInterval = 0.05;
constexpr double usualInterval = 0.15;
constexpr double firstStopAt = 9;
constexpr double stopGap = 1;
// More than 3 s after the second SIGTERM.
constexpr double longStreamAt = firstStopAt + stopGap + 3.1;
constexpr int longStreams = 9;
constexpr double longStreamInterval = 0.05;
constexpr int timeBudgetMs = 20000;

// The platform's entry: asks each router once a second whether it is ready, and takes it out after
// two misses. If fewer than half are in rotation, it uses all.
class Entry
{
public:
    explicit Entry(const std::vector<std::unique_ptr<Router>> &routers)
        : m_routers(routers)
        , m_misses(routers.size(), 0)
    {
        std::thread([this] { ask(); }).detach();
    }

    // The router to which a new channel of this consumer goes.
    std::size_t choose(std::size_t consumer)
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::size_t> inRotation;
        for (std::size_t i = 0; i < m_misses.size(); ++i) {
            if (m_misses[i] < 2)
                inRotation.push_back(i);
        }
        if (inRotation.size() * 2 < m_routers.size())
            return consumer % m_routers.size();
        return inRotation[consumer % inRotation.size()];
    }

private:
    void ask()
    {
        for (;; sleepFor(1)) {
            for (std::size_t i = 0; i < m_routers.size(); ++i) {
                const bool ready = m_routers[i]->isReady();
                const std::lock_guard lock(m_mutex);
                m_misses[i] = ready ? 0 : m_misses[i] + 1;
            }
        }
    }

    const std::vector<std::unique_ptr<Router>> &m_routers;
    std::mutex m_mutex;
    std::vector<int> m_misses;
};

struct Stream
{
    std::string id;
    int events = 0;
    std::size_t router = 0;
    double sentAt = 0;
    Outcome outcome;
};

bool streamEvents(Runner &runner, const HttpRequest &request, Connection &connection)
{
    const std::string id = request.head.value("x-attempt-id");
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto &[name, value] : runner.answerHeaders(request))
        head.append(name).append(": ").append(value).append("\r\n");
    if (!connection.write(head + "\r\n"))
        return false;
    const int events = std::atoi(request.body.c_str());
    for (int i = 1; i <= events; ++i) {
        sleepFor(eventInterval);
        const std::string number = std::to_string(i);
        std::string event = "id: ";
        event.append(number).append("\ndata: word ").append(number).append("\n\n");
        if (connection.isClosedByPeer() || !connection.write(formatChunk(event))) {
            runner.record().add(
                { "runner ", runner.id(), " loses the channel of ", id, " after event ", number });
            return false;
        }
    }
    runner.record().add("runner " + runner.id() + " has finished " + id);
    return connection.write(formatChunk(""));
}

void consume(Stream &stream, std::uint16_t port, Record &record)
{
    auto connection = Connection::connect(port);
    if (!connection)
        return;
    stream.sentAt = elapsed();
    record.add("consumer sends " + stream.id + " to router-" + std::to_string(stream.router));
    connection->write(formatRequest("POST", "/chat/query",
                                    { { "Host", "shop.example" },
                                      { "X-Attempt-Id", stream.id },
                                      { "X-Deadline-Ms", std::to_string(timeBudgetMs) } },
                                    std::to_string(stream.events)));
    stream.outcome = readResponse(*connection);
    record.add("consumer of " + stream.id + ": status " + std::to_string(stream.outcome.status)
               + ", answer " + (stream.outcome.complete ? "whole" : "not whole"));
}

// Sends streams to all routers, one after the other, until the time is over.
void sendUsualStreams(Entry &entry, const std::vector<std::unique_ptr<Router>> &routers,
                      Record &record)
{
    for (std::size_t i = 0; elapsed() < longStreamAt; ++i) {
        std::thread([i, &entry, &routers, &record] {
            Stream stream{ "usual-" + std::to_string(i), usualEvents, entry.choose(i), 0, {} };
            consume(stream, routers[stream.router]->callersPort(), record);
        }).detach();
        sleepFor(usualInterval);
    }
}

// A stream whose channel ends within its answer breaks the rule if a router took it in that was
// being stopped: the runner was sound, and neither time budget nor timeout was reached. A router
// that had got the request within 3 s of its SIGTERM would be excused.
int judge(const std::vector<Stream> &streams, const std::array<double, 3> &stoppedAt,
          Record &record)
{
    constexpr double excusedTime = 3;
    constexpr double graceEnd = 9;
    int cut = 0;
    for (const Stream &stream : streams) {
        const double stop = stoppedAt.at(stream.router);
        const bool isPlanned
            = stop > 0 && stream.outcome.endedAt > stop && stream.outcome.endedAt < stop + graceEnd;
        const bool isExcused = stream.sentAt <= stop + excusedTime;
        if (stream.outcome.status == 200 && !stream.outcome.complete && isPlanned && !isExcused)
            ++cut;
    }
    const auto sent = std::ranges::count_if(
        streams, [](const Stream &stream) { return stream.outcome.status == 200; });
    if (sent == 0)
        return 2;
    const std::string result = std::to_string(cut) + " of " + std::to_string(sent)
                               + " long streams were cut in a planned stop";
    record.add(result);
    std::cout << result << std::endl;
    return cut > 0 ? 1 : 0;
}

int play(const std::string &recordFile, const std::string &workFolder, bool trouble)
{
    Record record(recordFile);
    Store store;
    Json route = makeRoute("/chat/", "streaming", "model", timeBudgetMs, 1500);
    store.put("config", "main", makeConfiguration(1, Json::array({ route }), { "model" }));
    const Runner first(store, record, "i-1", "model", "v1", streamEvents);
    const Runner second(store, record, "i-2", "model", "v1", streamEvents);
    std::vector<std::unique_ptr<Router>> routers;
    routers.reserve(3);
    for (int i = 0; i < 3; ++i)
        routers.push_back(
            std::make_unique<Router>(store, workFolder, "router-" + std::to_string(i), "zone-a"));
    for (const auto &router : routers)
        router->start();
    for (const auto &router : routers) {
        if (!router->waitUntilReady(2.5))
            return 2;
    }
    Entry entry(routers);
    std::thread usual([&] { sendUsualStreams(entry, routers, record); });
    sleepUntil(firstStopAt);
    std::array<double, 3> stoppedAt{};
    for (std::size_t i = 0; trouble && i < 2; ++i) {
        sleepUntil(firstStopAt + static_cast<double>(i) * stopGap);
        stoppedAt.at(i) = elapsed();
        routers[i]->signal(SIGTERM);
        record.add("router-" + std::to_string(i) + " gets SIGTERM");
    }
    usual.join();
    std::vector<Stream> streams(longStreams);
    std::vector<std::thread> threads;
    threads.reserve(streams.size());
    for (std::size_t i = 0; i < streams.size(); ++i) {
        streams[i] = { "long-" + std::to_string(i), longEvents, entry.choose(i), 0, {} };
        threads.emplace_back([&streams, &routers, &record, i] {
            consume(streams[i], routers[streams[i].router]->callersPort(), record);
        });
        sleepFor(longStreamInterval);
    }
    for (std::thread &thread : threads)
        thread.join();
    const int result = judge(streams, stoppedAt, record);
    for (const auto &router : routers)
        router->stop();
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
