#pragma once

#include <condition_variable>
#include <map>
#include <memory>

#include "deployment.h"
#include "wire.h"

namespace review {

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
};

/// A sound stand-in of a runner.
class Runner
{
public:
    Runner(RunnerOptions options, Record &record);
    ~Runner();
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    int port() const { return m_listener->port(); }
    const RunnerOptions &options() const { return m_options; }
    /// Returns how often each request began to run here, by its id.
    std::map<std::string, int> runs();

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

    RunnerOptions m_options;
    Record &m_record;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    bool m_stopping = false;
    int m_running = 0;
    int m_waiting = 0;
    std::map<std::string, int> m_runs;
    std::unique_ptr<Listener> m_listener;
};

} // namespace review
