#pragma once

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>

#include <nlohmann/json.hpp>

#include "wire.h"

namespace review {

/// A sound stand-in of the platform's store: objects by kind and name, one revision counter, lists,
/// watches and conditional writes.
class Store
{
public:
    using Json = nlohmann::json;

    Store();
    ~Store();
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;

    int port() const { return m_listener->port(); }
    /// Creates an object or replaces its spec, as the operator or a runner does.
    void put(const std::string &kind, const std::string &name, const Json &spec);
    /// Removes an object.
    void remove(const std::string &kind, const std::string &name);

private:
    struct Event
    {
        std::int64_t revision = 0;
        std::string kind;
        Json body;
    };

    // The kind, the name and the rest of an object's path, and the query.
    struct Target
    {
        std::string kind;
        std::string name;
        bool isStatus = false;
        std::map<std::string, std::string> query;
    };

    static Target parseTarget(const std::string &text);
    void serve(Connection &connection);
    std::string answer(const Message &request);
    std::string list(const Target &target);
    std::string watch(const Target &target);
    std::string write(const Message &request, const Target &target);
    std::string change(const Target &target, const Json &sent, const std::string &method);
    Json eventsAfter(const std::string &kind, std::int64_t revision) const;
    void recordChange(const std::string &kind, Json &object, bool removed);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::int64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Json>> m_objects;
    std::deque<Event> m_history;
    std::unique_ptr<Listener> m_listener;
};

} // namespace review
