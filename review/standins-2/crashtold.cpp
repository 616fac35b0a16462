// Case 9: a router is killed right after a request has crashed three runners; the others don't hear
// of it, and the request crashes more runners at each of them.

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>

#include "runner.h"

using namespace review;

namespace {

constexpr int routerCount = 4;
constexpr int runnerCount = 9;
constexpr int slots = 64;
constexpr int timeoutMs = 20000;
constexpr int maxAttempts = 3;
constexpr const char *crashingBody = "a request that crashes its runner";
constexpr std::chrono::seconds startTime{ 15 };
// Time without disruption before the first request; more than StableWindowMs.
constexpr std::chrono::seconds calmTime{ 5 };
constexpr std::chrono::milliseconds killAfter{ 400 };
constexpr std::chrono::milliseconds runnerDownTime{ 2000 };
constexpr std::chrono::milliseconds stableWindow{ 3000 };
constexpr std::chrono::milliseconds margin{ 300 };
constexpr std::chrono::milliseconds checkInterval{ 20 };
constexpr std::chrono::seconds answerTime{ 5 };
constexpr int allowedRetries = 3;
// Sound streams of other consumers, 2 s long, that run when the request comes again.
constexpr int soundStreams = 18;
constexpr int eventsPerStream = 5;
constexpr std::chrono::milliseconds eventInterval{ 400 };
constexpr std::chrono::milliseconds soundBefore{ 500 };

using Runners = std::vector<std::unique_ptr<Runner>>;

// Starts crashed runners again after a while, each as a new process with its old id.
class Restarts
{
public:
    Restarts(Runners &runners, Store &store, Record &record)
        : m_thread([&, this] { run(runners, store, record); })
    {}
    ~Restarts()
    {
        m_stopping = true;
        m_thread.join();
    }
    Restarts(const Restarts &) = delete;
    Restarts &operator=(const Restarts &) = delete;

private:
    void run(Runners &runners, Store &store, Record &record)
    {
        std::map<Runner *, Clock::time_point> down;
        std::int64_t born = 1760000001000;
        while (!m_stopping) {
            std::this_thread::sleep_for(checkInterval);
            for (const auto &runner : runners) {
                if (!runner->hasCrashed())
                    continue;
                const auto since = down.try_emplace(runner.get(), Clock::now()).first->second;
                if (Clock::now() - since < runnerDownTime)
                    continue;
                down.erase(runner.get());
                runner->restart();
                store.put(
                    "servers", runner->options().id,
                    makeRunnerEntry("jury-model", runner->port(), "hobart-a", slots, 1, ++born));
                record.write(runner->options().id + " is back");
            }
        }
    }

    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

void send(const std::string &id, const Router &router, Record &record)
{
    record.write("consumer sends the request as " + id);
    Connection connection = Connection::open(router.port());
    connection.write(
        formatMessage("POST /query/2f HTTP/1.1", makeRequestHeaders(id, timeoutMs), crashingBody));
    const auto answer = connection.readHead(Clock::now() + answerTime);
    record.write("consumer got " + std::to_string(answer ? answer->status() : 0) + " for " + id);
}

// Sends a sound request; returns whether its answer is whole.
bool sendSound(const std::string &id, const Router &router, Record &record)
{
    Connection connection = Connection::open(router.port());
    connection.write(
        formatMessage("POST /report/2f HTTP/1.1", makeRequestHeaders(id, timeoutMs), "sound"));
    const auto answer = connection.read(Clock::now() + answerTime);
    const bool whole = answer && answer->status() == 200;
    record.write("sound stream " + id + (whole ? " is whole" : " is lost"));
    return whole;
}

std::vector<Clock::time_point> crashTimes(Runners &runners)
{
    std::vector<Clock::time_point> times;
    for (const auto &runner : runners) {
        const auto crashes = runner->crashes();
        times.insert(times.end(), crashes.begin(), crashes.end());
    }
    std::ranges::sort(times);
    return times;
}

int play(std::vector<std::unique_ptr<Router>> &routers, Runners &runners, Record &record)
{
    std::this_thread::sleep_for(calmTime);
    send("00000000000000a1", *routers[0], record);
    const auto first = crashTimes(runners);
    if (first.size() < maxAttempts)
        return exitNotRun;
    const Clock::time_point third = first[2];
    std::this_thread::sleep_for(killAfter);
    if (isTroubleOn()) {
        record.write("front-0 is killed");
        routers[0]->signal(SIGKILL);
    }
    // The request comes again at other machines, once the runners are back.
    std::this_thread::sleep_until(third + stableWindow + margin - soundBefore);
    std::atomic<int> lost = 0;
    std::vector<std::thread> sound;
    sound.reserve(soundStreams);
    for (int i = 0; i < soundStreams; ++i) {
        sound.emplace_back([&, i] {
            const std::size_t router = 1 + static_cast<std::size_t>(i) % (routers.size() - 1);
            if (!sendSound("00000000000000" + std::to_string(10 + i), *routers[router], record))
                ++lost;
        });
    }
    std::this_thread::sleep_for(soundBefore);
    for (std::size_t i = 1; i < routers.size(); ++i)
        send("00000000000000b" + std::to_string(i), *routers[i], record);
    for (std::thread &thread : sound)
        thread.join();
    const auto all = crashTimes(runners);
    const auto late = std::ranges::count_if(
        all, [third](Clock::time_point time) { return time > third + stableWindow; });
    const std::string summary
        = "runners crashed " + std::to_string(all.size())
          + " times, by requests sent later than StableWindowMs after the third "
            "crash "
          + std::to_string(late) + " times";
    const std::string losses
        = "sound streams lost " + std::to_string(lost) + " of " + std::to_string(soundStreams);
    record.write(summary);
    record.write(losses);
    std::puts((summary + "; " + losses).c_str());
    for (std::size_t i = 1; i < routers.size(); ++i) {
        if (!routers[i]->isRunning())
            return exitNotRun;
    }
    return late > allowedRetries ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2)
        return exitNotRun;
    Record record(argv[1]);
    const TemporaryFolder folder;
    Store store;
    Runners runners;
    for (int i = 0; i < runnerCount; ++i) {
        RunnerOptions options;
        options.id = "i-7f3a91c" + std::to_string(i);
        options.slots = slots;
        options.events = eventsPerStream;
        options.work = eventInterval;
        options.crashingBody = crashingBody;
        runners.push_back(std::make_unique<Runner>(options, record));
        store.put("servers", options.id,
                  makeRunnerEntry("jury-model", runners.back()->port(), "hobart-a", slots, 1));
    }
    nlohmann::json configuration
        = makeConfiguration(7, { { "query", "streaming", "jury-model", timeoutMs, maxAttempts },
                                 { "report", "streaming", "jury-model", timeoutMs, maxAttempts } });
    configuration["Routes"][0]["Resumable"] = true;
    store.put("config", "main", configuration);
    std::vector<std::unique_ptr<Router>> routers;
    routers.reserve(routerCount);
    for (int i = 0; i < routerCount; ++i)
        routers.push_back(std::make_unique<Router>(folder, "front-" + std::to_string(i), "hobart-a",
                                                   store.port()));
    for (const auto &router : routers) {
        if (!router->waitUntilReady(startTime))
            return exitNotRun;
    }
    const Restarts restarts(runners, store, record);
    return play(routers, runners, record);
}
