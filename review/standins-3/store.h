#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wire.h"

namespace review {

/// A stand-in for the platform's store: lists, watches, and conditional writes of objects. Specs
/// and statuses are kept and sent as the texts that were written.
class Store
{
public:
    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    int port() const { return m_port; }
    /// Creates an object or replaces its spec.
    void put(const std::string &kind, const std::string &name, const std::string &specText);
    void remove(const std::string &kind, const std::string &name);
    std::size_t calls() const;

private:
    struct Object
    {
        std::int64_t revision = 0;
        std::string spec;
        std::string status = "null";
    };
    struct Event
    {
        std::int64_t revision = 0;
        std::string kind;
        std::string text;
    };
    struct Answer
    {
        int status = 200;
        std::string body;
    };

    void serve();
    void serveConnection(Socket socket);
    Answer answer(const Message &request);
    Answer list(const std::string &kind, const std::string &after);
    Answer watch(const std::string &kind, std::int64_t after, Milliseconds wait);
    Answer write(const std::string &method, const std::string &kind, const std::string &name,
                 bool isStatus, const std::string &body);
    Answer erase(const std::string &kind, const std::string &name,
                 const std::optional<std::string> &revision);
    void change(const std::string &kind, const std::string &name, bool removed);
    static std::string textOf(const std::string &name, const Object &object);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Event> m_events;
    std::int64_t m_revision = 10;
    std::size_t m_calls = 0;
    bool m_stopped = false;
    int m_port = 0;
    Socket m_listener;
    std::thread m_acceptor;
    std::vector<std::thread> m_threads;
};

} // namespace review
