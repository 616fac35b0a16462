// A faulty runner that sends bytes with an interim head before its response.

#include <iostream>
#include <thread>

#include "../standins/platform.h"

using namespace review;

namespace {

constexpr int requests = 20;
constexpr double firstRequestAt = 3;
constexpr double requestInterval = 0.1;
const std::string wholeBody = "decision recorded";
// Five bytes that are no response: an interim head announces no body.
const std::string strayBytes = "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nSTRAY";

Work answerWith(bool faulty)
{
    return [faulty](Runner &runner, const HttpRequest &request, Connection &connection) {
        const std::string answer = formatResponse(200, runner.answerHeaders(request), wholeBody);
        return connection.write(faulty ? strayBytes + answer : answer);
    };
}

int sendRequests(const Router &router, Record &record)
{
    int wrong = 0;
    int answered = 0;
    for (int i = 0; i < requests; ++i) {
        sleepUntil(firstRequestAt + i * requestInterval);
        const std::string id = "attempt-" + std::to_string(i);
        auto connection = Connection::connect(router.callersPort());
        if (!connection)
            continue;
        connection->write(formatRequest(
            "POST", "/records/" + std::to_string(i),
            { { "Host", "shop.example" }, { "X-Attempt-Id", id }, { "X-Deadline-Ms", "1000" } },
            "accept"));
        const auto head = connection->readHead();
        std::string body;
        const bool complete = head && connection->readBody(*head, body);
        const std::string status = head ? head->word(1) : "none";
        const std::string stamp = head ? head->value("x-response-stamp") : "";
        record.add({ "consumer of ", id, ": status ", status, ", stamp '", stamp, "', body '", body,
                     complete ? "'" : "', not whole" });
        if (status != "200" || !complete)
            continue;
        ++answered;
        wrong += body == wholeBody ? 0 : 1;
    }
    const std::string result = std::to_string(wrong) + " of " + std::to_string(answered)
                               + " successes have a body that is not the runner's";
    record.add(result);
    std::cout << result << std::endl;
    if (wrong > 0)
        return 1;
    return answered > 0 ? 0 : 2;
}

int play(const std::string &folder, bool trouble)
{
    Record record(folder);
    Store store;
    store.put(
        "config", "main",
        makeConfiguration(1, Json::array({ makeRoute("/records/", "unsafe", "desk", 1000, 150) }),
                          { "desk" }));
    const Runner first(store, record, "i-1", "desk", "v1", answerWith(trouble));
    const Runner second(store, record, "i-2", "desk", "v1", answerWith(false));
    Router router(store, makeTemporaryFolder(), "router-a", "zone-a");
    router.start();
    const int result = router.waitUntilReady(2.5) ? sendRequests(router, record) : 2;
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
