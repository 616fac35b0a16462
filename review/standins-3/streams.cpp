#include "streams.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace review {

namespace {

bool sendChunk(const Socket &socket, const std::string &text)
{
    constexpr int sizeDigits = 20;
    char size[sizeDigits] = {};
    (void) std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return sendAll(socket, size + text + "\r\n");
}

} // namespace

std::string numbered(const std::string &round, const std::string &what, int number)
{
    return round + "-" + what + "-" + std::to_string(number);
}

CallerRequest reportRequest(const std::string &round, int number, Milliseconds timeout)
{
    const std::string id = numbered(round, "report", number);
    return streamRequest(id, "key-a", "6610,64", "5c1e07a2:512,s" + id + ":4870,l" + id + ":1228",
                         timeout);
}

bool sendStream(Runner &runner, const RunnerCall &run, StreamShape shape)
{
    runner.recordRun(run.id);
    if (!sendAll(run.socket, "HTTP/1.1 200 OK\r\nx-attempt-id: " + run.id
                                 + "\r\nx-response-stamp: " + runner.stamp()
                                 + "\r\nx-confidence: 100\r\nx-weight-versions: 1\r\n"
                                   "content-type: text/event-stream\r\n"
                                   "transfer-encoding: chunked\r\n\r\n"))
        return false;
    const int last = std::atoi(run.request.head.header("last-event-id").c_str());
    for (int number = last + 1; number <= shape.events; ++number) {
        std::this_thread::sleep_for(shape.interval);
        if (!sendChunk(run.socket, "id: " + std::to_string(number) + "\ndata: piece\n\n"))
            return false;
    }
    return sendAll(run.socket, "0\r\n\r\n");
}

std::string modelConfiguration(int version, Milliseconds streamTimeout)
{
    const std::string streams
        = R"(,{"Name":"r-label","Host":"desk.example","PathPrefix":"/label/","Kind":"streaming",)"
          R"("TimeoutMs":)"
          + std::to_string(streamTimeout.count())
          + R"(,"TargetLatencyMs":1500,"Priority":1,"Sizes":["m0","m1"],"Service":"pool",)"
            R"("MaxAttempts":3,"Anonymous":false,"Sticky":true,"Resumable":true,)"
            R"("GapTargetMs":1200})";
    return R"({"Version":)" + std::to_string(version)
           + R"(,"Routes":[{"Name":"r-book","Host":"desk.example","PathPrefix":"/book/",)"
             R"("Kind":"unsafe","TimeoutMs":800,"TargetLatencyMs":150,"Priority":2,)"
             R"("Service":"desk","MaxAttempts":1,"Anonymous":false})"
           + (version > 1 ? streams : std::string())
           + R"(],"Services":[{"Name":"pool","HealthPath":"/healthz","MaxConns":370,)"
             R"("Protocol":"h1","Tls":false,"Engine":{"Slots":64,"KvCapacity":552684,)"
             R"("Models":[{"Name":"m0","Cost":0.024},{"Name":"m1","Cost":0.18}]}},)"
             R"({"Name":"desk","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1",)"
             R"("Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
             R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},"Tenants":[)"
             R"({"Name":"tenant-a","ApiKeys":["key-a"],"Priority":1},)"
             R"({"Name":"tenant-b","ApiKeys":["key-b"],"Priority":1}]})";
}

CallerRequest streamRequest(const std::string &id, const std::string &key,
                            const std::string &tokens, const std::string &parts,
                            Milliseconds timeout)
{
    return { .id = id,
             .path = "/label/2f",
             .key = key,
             .timeout = timeout,
             .body = "a note, " + id,
             .moreHeaders = "X-Model: *\r\nX-Token-Count: " + tokens
                            + "\r\nX-Prompt-Prefix: " + parts + "\r\n" };
}

int serveAtOnce(Record &record, int port, const std::vector<CallerRequest> &requests,
                Milliseconds patience)
{
    std::atomic<int> served{ 0 };
    std::vector<std::thread> threads;
    threads.reserve(requests.size());
    for (const CallerRequest &request : requests) {
        threads.emplace_back([&record, &served, port, &request, patience] {
            const Outcome outcome = call(record, port, request, patience);
            served += outcome.status == 200 && outcome.complete ? 1 : 0;
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    return served;
}

} // namespace review
