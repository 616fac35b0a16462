// Case 7: a tenant sends many times its usual number of large requests, and the router closes kept
// channels whose requests a runner is working on.

#include <cstdio>
#include <random>

#include "runner.h"

using namespace review;

namespace {

constexpr int usualClients = 1;
// hot_tenant: x = 7.5.
constexpr int hotClients = 7;
constexpr std::chrono::milliseconds hotTime{ 6500 };
constexpr int requestTimeoutMs = 5000;
constexpr std::chrono::milliseconds work{ 500 };
constexpr int maxPauseMs = 300;
constexpr std::chrono::seconds startTime{ 15 };
constexpr std::chrono::seconds settleTime{ 2 };
constexpr int allowedClosed = 3;

struct Sent
{
    // 0 if there was no answer.
    int status = 0;
    // Whether the router closed the channel before the consumer's time was over.
    bool closed = false;
    // Whether an earlier request on the same channel was answered.
    bool onKeptChannel = false;
};

class Answers
{
public:
    void add(const std::string &id, const Sent &sent)
    {
        const std::lock_guard lock(m_mutex);
        m_sent[id] = sent;
    }
    std::map<std::string, Sent> all()
    {
        const std::lock_guard lock(m_mutex);
        return m_sent;
    }

private:
    std::mutex m_mutex;
    std::map<std::string, Sent> m_sent;
};

void sendRequests(int client, int port, Clock::time_point end, Answers &answers, Record &record)
{
    const std::string small(600, 'x');
    const std::string large(maxBodyBytes, 'x');
    std::mt19937 random(static_cast<unsigned>(client));
    std::uniform_int_distribution<int> pauseMs(0, maxPauseMs);
    Connection connection = Connection::open(port);
    bool kept = false;
    for (int i = 0; Clock::now() < end; ++i) {
        // A small request comes first on each channel, and large and small ones by turns after it.
        const bool isLarge = kept && i % 2 == 1;
        std::this_thread::sleep_for(std::chrono::milliseconds(pauseMs(random)));
        char id[24];
        std::snprintf(id, sizeof id, "%04x%012x", client, i);
        if (!connection.isOpen()) {
            connection = Connection::open(port);
            kept = false;
        }
        const std::string request
            = formatMessage("POST /record/2f HTTP/1.1", makeRequestHeaders(id, requestTimeoutMs),
                            isLarge ? large : small);
        record.write("consumer sends " + std::string(id));
        connection.write(request);
        const Clock::time_point deadline
            = Clock::now() + std::chrono::milliseconds(requestTimeoutMs);
        const auto response = connection.read(deadline);
        const Sent sent{ response ? response->status() : 0, !response && Clock::now() < deadline,
                         kept };
        answers.add(id, sent);
        record.write("consumer got "
                     + (sent.closed ? "a closed channel" : std::to_string(sent.status)) + " for "
                     + id);
        kept = response && response->header("connection") != "close";
        if (!kept)
            connection.close();
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return exitNotRun;
    Record record(argv[1]);
    const TemporaryFolder folder;
    Store store;
    Runner runner({ .id = "i-7f3a91c2", .slots = 16, .queue = 16, .work = work }, record);
    store.put("servers", "i-7f3a91c2",
              makeRunnerEntry("jury-desk", runner.port(), "hobart-a", 16, 1));
    store.put("config", "main",
              makeConfiguration(7, { { "record", "unsafe", "jury-desk", requestTimeoutMs, 1 } }));
    Router router(folder, "front-1", "hobart-a", store.port());
    if (!router.waitUntilReady(startTime))
        return exitNotRun;
    Answers answers;
    std::vector<std::thread> clients;
    clients.reserve(hotClients);
    const Clock::time_point end = Clock::now() + hotTime;
    for (int i = 0; i < (isTroubleOn() ? hotClients : usualClients); ++i)
        clients.emplace_back([&, i] { sendRequests(i + 1, router.port(), end, answers, record); });
    for (std::thread &client : clients)
        client.join();
    std::this_thread::sleep_for(settleTime);
    const auto runs = runner.runs();
    int closed = 0;
    int total = 0;
    std::map<int, int> byStatus;
    for (const auto &[id, sent] : answers.all()) {
        ++total;
        ++byStatus[sent.status];
        if (sent.closed && sent.onKeptChannel && runs.contains(id)) {
            ++closed;
            record.write("LOST: " + id + " ran, and its kept channel was closed without an answer");
        }
    }
    std::string summary = "requests " + std::to_string(total)
                          + ", kept channels closed without an answer while the request ran "
                          + std::to_string(closed) + "; answers:";
    for (const auto &[status, count] : byStatus)
        summary.append(" ")
            .append(std::to_string(status))
            .append(": ")
            .append(std::to_string(count) + ";");
    summary
        += " most memory of the router: " + std::to_string(router.peakMemoryMb()) + " MB of 165";
    record.write(summary);
    std::puts(summary.c_str());
    if (!router.isRunning())
        return exitNotRun;
    return closed > allowedClosed ? exitBroken : exitHeld;
}
