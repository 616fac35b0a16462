// The links between the router and the model runners are cut for some seconds, while the first
// reports of the day begin. No runner ends. Afterwards reports must be served again.

#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../standins-3/proxy.h"
#include "../standins-3/router.h"
#include "../standins-3/streams.h"

using namespace review;

namespace {

constexpr Milliseconds startTime{ 10'000 };
constexpr Milliseconds stableWindow{ 3000 };
constexpr Milliseconds streamTimeout{ 25'000 };
constexpr Milliseconds patience{ 27'000 };
constexpr Milliseconds cutTime{ 5000 };
// The streams run for some time before the cut.
constexpr Milliseconds runTime{ 1000 };
constexpr StreamShape longStream{ 64, Milliseconds(60) };
constexpr int modelRunners = 6;
constexpr int streamsInFlight = 12;
constexpr int requestsPerRound = 20;

// The runners as one router sees them: each behind a proxy, which its registration names.
struct Runners
{
    std::vector<std::unique_ptr<Runner>> runners;
    std::vector<std::unique_ptr<Proxy>> proxies;
};

Runners startRunners(Record &record)
{
    Runners result;
    for (int i = 0; i < modelRunners; ++i) {
        auto runner = std::make_unique<Runner>(record, "i-pool-" + std::to_string(i));
        runner->setHandler([raw = runner.get()](const RunnerCall &run) {
            return sendStream(*raw, run, longStream);
        });
        result.proxies.push_back(std::make_unique<Proxy>(runner->port()));
        result.runners.push_back(std::move(runner));
    }
    return result;
}

std::string registration(const std::string &service, int port)
{
    return R"({"Service":")" + service + R"(","Address":"127.0.0.1:)" + std::to_string(port)
           + R"(","Zone":"zone-a","Version":"v1","Slots":64,"State":"ready","ColdLeftMs":0,)"
             R"("Seq":4,"born":1700000000000})";
}

// Streams that share their first part; each has a session and a last part of its own.
std::vector<CallerRequest> reports(const std::string &name, int count)
{
    std::vector<CallerRequest> requests;
    requests.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        requests.push_back(reportRequest(name, i, streamTimeout));
    return requests;
}

int serveBookings(Record &record, int port, const std::string &name)
{
    int served = 0;
    for (int i = 0; i < requestsPerRound; ++i) {
        const CallerRequest request{ .id = numbered(name, "book", i) };
        served += call(record, port, request, patience).status == 200 ? 1 : 0;
    }
    return served;
}

// Two rounds, the second at another router, of reports and bookings; returns the exit code.
int judge(Record &record, int port, int otherPort)
{
    int served = 0;
    int bookings = 0;
    for (const std::string name : { "second", "third" }) {
        const int at = name == "second" ? port : otherPort;
        served += serveAtOnce(record, at, reports(name, requestsPerRound), patience);
        bookings += serveBookings(record, at, name);
        record.write("so far served: " + std::to_string(served) + " reports and "
                     + std::to_string(bookings) + " bookings, " + std::to_string(requestsPerRound)
                     + " of each a round");
    }
    const bool broken = served < bookings / 4.0;
    record.write(broken
                     ? "BROKEN: the added route is served less than a quarter as often as the first"
                     : "held");
    return broken ? 1 : 0;
}

} // namespace

int main(int argc, const char **argv)
{
    if (argc < 3)
        return 2;
    Record record(std::string(argv[1]) + "/record.txt");
    const char *trouble = std::getenv("TROUBLE");
    const bool disrupt = trouble == nullptr || std::string(trouble) != "0";
    Store store;
    store.put("config", "main", modelConfiguration(1, streamTimeout));
    Runner desk(record, "i-desk-1");
    desk.registerAt(store, "desk");
    const Runners pool = startRunners(record);
    for (std::size_t i = 0; i < pool.runners.size(); ++i)
        store.put("servers", pool.runners[i]->id(), registration("pool", pool.proxies[i]->port()));
    RouterProcess router(argv[2], "front-1", store.port());
    if (!router.waitUntilReady(startTime))
        return 2;
    // The operators add a route; in force everywhere after ConfigApplyMs.
    store.put("config", "main", modelConfiguration(2, streamTimeout));
    std::this_thread::sleep_for(stableWindow);
    std::thread inProgress(
        [&] { serveAtOnce(record, router.port(), reports("first", streamsInFlight), patience); });
    std::this_thread::sleep_for(runTime);
    if (disrupt) {
        record.write("the links to the runners of the pool are cut");
        cut(pool.proxies);
        std::this_thread::sleep_for(cutTime);
        heal(pool.proxies);
        record.write("the links stand again");
    }
    inProgress.join();
    // A router that was not there before.
    const RouterProcess other(argv[2], "front-2", store.port());
    std::this_thread::sleep_for(2 * stableWindow);
    if (!other.waitUntilReady(startTime))
        return 2;
    return judge(record, router.port(), other.port());
}
