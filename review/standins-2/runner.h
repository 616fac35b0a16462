#pragma once

#include <condition_variable>
#include <map>
#include <memory>

#include "deployment.h"
#include "wire.h"

namespace review {

constexpr std::size_t pieceBytes = 50000;

/// How a runner stand-in works.
struct RunnerOptions
{
    std::string id;
    int slots = 6;
    /// Requests that wait for a slot; further ones are rejected as not run.
    int queue = 16;
    /// Time that a request takes, or the time before each event of a stream.
    std::chrono::milliseconds work{ 30 };
    /// Events of the stream that answers each request; 0 for plain answers.
    int events = 0;
    /// Status line of the answers to requests that ran.
    std::string status = "200 OK";
    /// Pieces of `pieceBytes` that follow the text of a plain answer, each after the same time.
    int pieces = 0;
    /// A request with this body crashes the runner as it begins to run; empty for none.
    std::string crashingBody = {};
};

/// A sound stand-in of a runner.
class Runner
{
public:
    Runner(RunnerOptions options, Record &record);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    int port() const { return m_port; }
    const RunnerOptions &options() const { return m_options; }
    /// Returns how often each request began to run here, by its id.
    std::map<std::string, int> runs();

    /// Ends the runner as a crash does: it doesn't listen any more, and its channels are closed.
    void crash();
    bool hasCrashed() const { return m_crashed; }
    /// Starts the runner again at the same address.
    void restart();
    /// Returns when requests with the crashing body arrived.
    std::vector<Clock::time_point> crashes();

    /// Returns the whole body of the answer to a request.
    std::string wholeBody(const std::string &request) const;
    /// Returns the event of a stream with this number, from 1.
    static std::string event(const std::string &request, int number);

private:
    void serve(Connection &connection);
    // Takes a slot, and waits for one if the queue has room; returns whether it got one.
    bool takeSlot(const std::string &id);
    void freeSlot();
    // Returns whether the channel can be used for the next request.
    bool answer(const Message &request, Connection &connection);
    bool sendStream(const std::string &id, Connection &connection) const;
    bool sendPlain(const std::string &id, Connection &connection) const;
    std::string formatHead(const std::string &id, const std::string &fields) const;

    RunnerOptions m_options;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    bool m_stopping = false;
    int m_running = 0;
    int m_waiting = 0;
    std::map<std::string, int> m_runs;
    std::vector<Clock::time_point> m_crashes;
    std::atomic<bool> m_crashed = false;
    std::unique_ptr<Listener> m_listener;
    int m_port = 0;
};

} // namespace review
