// One caller states a negative number of prompt tokens. The requests of other callers must be
// served afterwards as before.

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../standins-3/caller.h"
#include "../standins-3/router.h"
#include "../standins-3/runner.h"

using namespace review;

namespace {

constexpr Milliseconds startTime{ 10'000 };
constexpr Milliseconds stableWindow{ 3000 };
constexpr Milliseconds routeTimeout{ 5000 };
constexpr Milliseconds patience{ 6000 };
constexpr Milliseconds eventInterval{ 30 };
constexpr int modelRunners = 4;
constexpr int streamsInFlight = 12;
constexpr int oddRequests = 16;
constexpr int judgedRequests = 20;

std::string configuration()
{
    return R"({"Version":1,"Routes":[{"Name":"r-label","Host":"desk.example","PathPrefix":"/label/",)"
           R"("Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":1500,"Priority":1,)"
           R"("Sizes":["m0","m1"],"Service":"pool","MaxAttempts":3,"Anonymous":false,"Sticky":true,)"
           R"("Resumable":true,"GapTargetMs":1200},)"
           R"({"Name":"r-book","Host":"desk.example","PathPrefix":"/book/","Kind":"unsafe",)"
           R"("TimeoutMs":800,"TargetLatencyMs":150,"Priority":2,"Service":"desk","MaxAttempts":1,)"
           R"("Anonymous":false}],)"
           R"("Services":[{"Name":"pool","HealthPath":"/healthz","MaxConns":370,"Protocol":"h1",)"
           R"("Tls":false,"Engine":{"Slots":64,"KvCapacity":552684,"Models":[)"
           R"({"Name":"m0","Cost":0.024},{"Name":"m1","Cost":0.18}]}},)"
           R"({"Name":"desk","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],)"
           R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
           R"("IdleTimeoutMs":15000},"Tenants":[)"
           R"({"Name":"tenant-a","ApiKeys":["key-a"],"Priority":1},)"
           R"({"Name":"tenant-b","ApiKeys":["key-b"],"Priority":1}]})";
}

bool sendChunk(const Socket &socket, const std::string &text)
{
    constexpr int hexDigits = 16;
    char size[hexDigits] = {};
    (void) std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return sendAll(socket, size + text + "\r\n");
}

// A model runner: a stream of 4 events, of 60 for ids that begin with "long".
bool stream(Runner &runner, const RunnerCall &run)
{
    runner.recordRun(run.id);
    if (!sendAll(run.socket, "HTTP/1.1 200 OK\r\nx-attempt-id: " + run.id
                                 + "\r\nx-response-stamp: " + runner.stamp()
                                 + "\r\nx-confidence: 100\r\nx-weight-versions: 1\r\n"
                                   "content-type: text/event-stream\r\n"
                                   "transfer-encoding: chunked\r\n\r\n"))
        return false;
    const int events = run.id.starts_with("long") ? 60 : 4;
    for (int number = 1; number <= events; ++number) {
        std::this_thread::sleep_for(eventInterval);
        if (!sendChunk(run.socket, "id: " + std::to_string(number) + "\ndata: piece\n\n"))
            return false;
    }
    return sendAll(run.socket, "0\r\n\r\n");
}

CallerRequest label(const std::string &id, const std::string &key, const std::string &tokens)
{
    return { .id = id,
             .path = "/label/2f",
             .key = key,
             .timeout = routeTimeout,
             .body = "a note",
             .moreHeaders = "X-Model: *\r\nX-Token-Count: " + tokens
                            + "\r\nX-Prompt-Prefix: 5c1e07a2:341,9" + id
                            + ":227,e4402b7d:1200\r\n" };
}

// Sends the requests at the same time and returns how many were served.
int serve(Record &record, int port, const std::vector<CallerRequest> &requests)
{
    std::atomic<int> served{ 0 };
    std::vector<std::thread> threads;
    threads.reserve(requests.size());
    for (const CallerRequest &request : requests) {
        threads.emplace_back([&record, &served, port, &request] {
            const Outcome outcome = call(record, port, request, patience);
            served += outcome.status == 200 && outcome.complete ? 1 : 0;
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return served;
}

int serveLabels(Record &record, int port, const std::string &name, int count)
{
    std::vector<CallerRequest> requests;
    for (int i = 0; i < count; ++i)
        requests.push_back(label(name + "-label-" + std::to_string(i), "key-b", "1800,30"));
    return serve(record, port, requests);
}

int serveBookings(Record &record, int port, const std::string &name)
{
    int served = 0;
    for (int i = 0; i < judgedRequests; ++i) {
        const CallerRequest request{ .id = name + "-book-" + std::to_string(i), .key = "key-b" };
        served += call(record, port, request, patience).status == 200 ? 1 : 0;
    }
    return served;
}

// One caller's requests while those of others are in progress.
void sendOdd(Record &record, int port, bool disrupt)
{
    std::vector<CallerRequest> others;
    for (int i = 0; i < streamsInFlight; ++i)
        others.push_back(label("long-" + std::to_string(i), "key-b", "1800,30"));
    std::thread inProgress([&] { serve(record, port, others); });
    std::this_thread::sleep_for(Milliseconds(300));
    const std::string tokens = disrupt ? "-1000000,30" : "1800,30";
    for (int i = 0; i < oddRequests; ++i)
        call(record, port, label("odd-" + std::to_string(i), "key-a", tokens), Milliseconds(500));
    inProgress.join();
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
    store.put("config", "main", configuration());
    Runner desk(record, "i-desk-1");
    desk.registerAt(store, "desk");
    std::vector<std::unique_ptr<Runner>> models;
    for (int i = 0; i < modelRunners; ++i) {
        models.push_back(std::make_unique<Runner>(record, "i-pool-" + std::to_string(i)));
        Runner *runner = models.back().get();
        runner->setHandler([runner](const RunnerCall &run) { return stream(*runner, run); });
        runner->registerAt(store, "pool", "ready", 64);
    }
    RouterProcess router(argv[2], "front-1", store.port());
    if (!router.waitUntilReady(startTime))
        return 2;
    if (serveLabels(record, router.port(), "before", judgedRequests) < judgedRequests)
        return 2;
    sendOdd(record, router.port(), disrupt);
    std::this_thread::sleep_for(stableWindow);
    const int labels = serveLabels(record, router.port(), "after", judgedRequests);
    const int bookings = serveBookings(record, router.port(), "after");
    record.write("afterwards served: " + std::to_string(labels) + " labels and "
                 + std::to_string(bookings) + " bookings of " + std::to_string(judgedRequests)
                 + " each");
    const double shareOfAll = (labels + bookings) / (2.0 * judgedRequests);
    const bool broken = static_cast<double>(labels) / judgedRequests < shareOfAll / 4;
    record.write(broken ? "BROKEN: less than a quarter as often as all requests" : "held");
    return broken ? 1 : 0;
}
