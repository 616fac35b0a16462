#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "kernel/kernel.h"
#include "wire/wire.h"

namespace acaciasail::peers {

/// Counts the messages and bytes of one daemon.
struct NetworkCount
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    /// Those of the bytes that belong to exchanges, which load or repair complete buckets of rows.
    std::uint64_t bulkBytes = 0;
};

/// A simulated network on a manual clock, with delays, message loss, duplicates, blocked
/// connections, and crashed and paused daemons.
class FakeNetwork
{
public:
    explicit FakeNetwork(std::uint64_t seed);

    kernel::ManualScheduler clock;
    kernel::Random random;
    /// Fraction of messages (requests and answers alike) that are lost, and of requests that are
    /// delivered twice.
    double loss = 0;
    double duplicates = 0;
    kernel::Duration minDelay = std::chrono::milliseconds(1);
    kernel::Duration maxDelay = std::chrono::milliseconds(3);
    /// Bytes added to each message for the framing of the lower protocol layers.
    std::uint64_t framingBytes = 0;
    /// Returns whether messages from one address to another are dropped.
    std::function<bool(const kernel::Endpoint &from, const kernel::Endpoint &to)> isBlocked;

    wire::Transport transportOf(const kernel::Endpoint &endpoint);
    /// Returns a scheduler whose timers are deferred while the daemon at the address is paused.
    std::shared_ptr<kernel::Scheduler> schedulerOf(const kernel::Endpoint &endpoint);
    /// Removes the handlers of an address: the daemon there is gone without notice.
    void crash(const kernel::Endpoint &endpoint);
    void pause(const kernel::Endpoint &endpoint);
    void resume(const kernel::Endpoint &endpoint);

    /// Messages and bytes that each daemon sent and received, by address.
    std::map<kernel::Endpoint, NetworkCount> counts;

private:
    struct Host
    {
        std::map<std::string, wire::MessageHandler> handlers;
        bool paused = false;
        std::vector<std::function<void()>> deferred;
        /// Number of crashes. Messages and timers of an earlier daemon at the address are dropped.
        std::uint64_t generation = 0;
    };

    void send(const kernel::Endpoint &from, const kernel::Endpoint &to, std::size_t bytes,
              bool bulk, std::function<void()> deliver);
    void count(const kernel::Endpoint &endpoint, std::size_t bytes, bool bulk);
    void runAt(const kernel::Endpoint &endpoint, std::function<void()> function);
    void deliverRequest(const kernel::Endpoint &from, const kernel::Endpoint &to,
                        const wire::Message &message, const wire::Reply &reply);

    std::map<kernel::Endpoint, Host> m_hosts;
};

} // namespace acaciasail::peers
