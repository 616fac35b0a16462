#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "record.h"
#include "store.h"

namespace review {

/// What a runner does with one request. It has read the request whole and holds its connection.
struct RunnerCall
{
    const Message &request;
    Socket &socket;
    std::string id;
};

/// A stand-in for a runner. It echoes request ids, answers 421 to requests for another runner, and
/// notes each run in the record.
class Runner
{
public:
    /// Returns whether the connection is kept.
    using Handler = std::function<bool(const RunnerCall &)>;

    /// Listens on a free port if `port` is 0.
    Runner(Record &record, std::string id, int port = 0);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    const std::string &id() const { return m_id; }
    int port() const { return m_port; }
    std::string stamp() const { return "stamp." + m_id; }
    /// Replaces what the runner does with requests; without one it answers 200 after `work`.
    void setHandler(Handler handler) { m_handler = std::move(handler); }
    void setWork(Milliseconds work) { m_work = work; }
    /// Writes the runner's entry into the store.
    void registerAt(Store &store, const std::string &service, const std::string &state = "ready",
                    int slots = 6, std::int64_t born = 1'700'000'000'000) const;

    /// Notes that a request began to run.
    void recordRun(const std::string &id);
    /// Sends a whole response with the headers that each has.
    bool respond(Socket &socket, const std::string &id, int status, const std::string &body,
                 const std::string &moreHeaders = {}) const;

private:
    void serve();
    void serveConnection(Socket socket);

    Record &m_record;
    std::string m_id;
    Handler m_handler;
    Milliseconds m_work{ 30 };
    int m_port = 0;
    Socket m_listener;
    std::thread m_acceptor;
};

} // namespace review
