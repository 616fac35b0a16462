// An entry of another writer stands among the registrations: a record in Latin-1, padded with
// blanks to a fixed length. The callers' requests must be answered all the same.

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

// A quarter of what an object may have.
constexpr std::size_t recordBytes = 256U << 10U;
constexpr Milliseconds startTime{ 10'000 };
// The route's timeout and the half second that the rule adds.
constexpr Milliseconds answerTime{ 800 + 500 };
// The disruption counts as over, and calm machines as in touch, after this time.
constexpr Milliseconds stableWindow{ 3000 };
constexpr int requests = 20;

std::string paddedRecord()
{
    std::string text = "{\"Note\":\"Caf\xe9 am Prater\",\"Owner\":\"another system\"}";
    text.resize(recordBytes, ' ');
    return text;
}

int exitCode(Record &record, int expected, int unanswered)
{
    record.write(std::to_string(unanswered) + " of " + std::to_string(expected)
                 + " requests had no response half a second after their route's timeout");
    const bool broken = unanswered * 2 > expected;
    record.write(broken ? "BROKEN: more than half" : "held");
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
    Runner first(record, "i-desk-1");
    Runner second(record, "i-desk-2");
    store.put("config", "main", smallConfiguration(1));
    first.registerAt(store, "desk");
    second.registerAt(store, "desk");
    RouterProcess router(argv[2], "front-1", store.port());
    if (!router.waitUntilReady(startTime))
        return 2;
    if (call(record, router.port(), { .id = "before" }, answerTime).status != 200)
        return 2;
    if (disrupt) {
        store.put("servers", "i-note", paddedRecord());
        record.write("another writer stores an entry of " + std::to_string(recordBytes) + " bytes");
    }
    std::this_thread::sleep_for(stableWindow);
    int unanswered = 0;
    for (int i = 0; i < requests; ++i) {
        const Outcome outcome
            = call(record, router.port(), { .id = "request-" + std::to_string(i) }, answerTime);
        unanswered += outcome.status == 0 ? 1 : 0;
    }
    record.write(std::string("the router says that it is ready: ")
                 + (router.isReady(answerTime) ? "yes" : "no answer"));
    return exitCode(record, requests, unanswered);
}
