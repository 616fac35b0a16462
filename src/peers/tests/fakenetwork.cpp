#include "peers/tests/fakenetwork.h"

namespace acaciasail::peers {

FakeNetwork::FakeNetwork(std::uint64_t seed)
    : random(seed)
{}

void FakeNetwork::runAt(const kernel::Endpoint &endpoint, std::function<void()> function)
{
    Host &host = m_hosts[endpoint];
    if (host.paused)
        host.deferred.push_back(std::move(function));
    else
        function();
}

void FakeNetwork::count(const kernel::Endpoint &endpoint, std::size_t bytes, bool bulk)
{
    NetworkCount &own = counts[endpoint];
    own.messages += 1;
    own.bytes += bytes + framingBytes;
    if (bulk)
        own.bulkBytes += bytes + framingBytes;
}

void FakeNetwork::send(const kernel::Endpoint &from, const kernel::Endpoint &to, std::size_t bytes,
                       bool bulk, std::function<void()> deliver)
{
    count(from, bytes, bulk);
    if (kernel::uniform01(random) < loss || (isBlocked && isBlocked(from, to)))
        return;
    const auto spread = static_cast<std::uint64_t>((maxDelay - minDelay).count()) + 1;
    const kernel::Duration delay
        = minDelay + kernel::Duration(kernel::uniformBelow(random, spread));
    const std::uint64_t generation = m_hosts[to].generation;
    clock.scheduler().startTimer(delay,
                                 [this, to, bytes, bulk, generation, deliver = std::move(deliver)] {
                                     if (m_hosts[to].generation != generation)
                                         return;
                                     count(to, bytes, bulk);
                                     runAt(to, deliver);
                                 });
}

void FakeNetwork::deliverRequest(const kernel::Endpoint &from, const kernel::Endpoint &to,
                                 const wire::Message &message, const wire::Reply &reply)
{
    const Host &host = m_hosts[to];
    const auto handler = host.handlers.find(message.method);
    if (handler != host.handlers.end())
        handler->second(from, message, reply);
    else
        reply(kernel::Error{ kernel::ResultCode::PeerProtocol, "no such method" });
}

wire::Transport FakeNetwork::transportOf(const kernel::Endpoint &endpoint)
{
    wire::Transport transport;
    transport.handle = [this, endpoint](const std::string &method, wire::MessageHandler handler) {
        m_hosts[endpoint].handlers[method] = std::move(handler);
    };
    transport.call = [this, endpoint](const kernel::Endpoint &to, const wire::Message &message,
                                      kernel::Duration timeout,
                                      kernel::Callback<std::string> callback) {
        auto pendingCallback = std::make_shared<kernel::Callback<std::string>>(std::move(callback));
        const auto finish = [pendingCallback](kernel::Completion<std::string> completion) {
            if (*pendingCallback)
                std::exchange(*pendingCallback, nullptr)(std::move(completion));
        };
        const std::uint64_t generation = m_hosts[endpoint].generation;
        clock.scheduler().startTimer(timeout, [this, endpoint, generation, finish] {
            if (m_hosts[endpoint].generation == generation)
                runAt(endpoint, [finish] {
                    finish(kernel::Error{ kernel::ResultCode::PeerTimeout, "no answer" });
                });
        });
        const bool bulk = message.method == "peers.exchange";
        const wire::Reply reply = [this, endpoint, to, bulk,
                                   finish](const kernel::Completion<std::string> &completion) {
            const std::size_t bytes = completion.ok() ? completion.value().size() : 0;
            send(to, endpoint, bytes, bulk, [finish, completion] { finish(completion); });
        };
        const int copies = kernel::uniform01(random) < duplicates ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            send(endpoint, to, message.payload.size(), bulk, [this, endpoint, to, message, reply] {
                deliverRequest(endpoint, to, message, reply);
            });
        }
    };
    return transport;
}

std::shared_ptr<kernel::Scheduler> FakeNetwork::schedulerOf(const kernel::Endpoint &endpoint)
{
    auto scheduler = std::make_shared<kernel::Scheduler>(clock.scheduler());
    auto cancelled = std::make_shared<std::unordered_set<kernel::TimerId>>();
    scheduler->startTimer
        = [this, endpoint, cancelled](kernel::Duration delay, std::function<void()> function) {
              auto id = std::make_shared<kernel::TimerId>(0);
              *id = clock.scheduler().startTimer(
                  delay, [this, endpoint, cancelled, id, function = std::move(function)] {
                      if (!m_hosts[endpoint].paused) {
                          function();
                          return;
                      }
                      runAt(endpoint, [cancelled, id, function] {
                          if (cancelled->erase(*id) == 0)
                              function();
                      });
                  });
              return *id;
          };
    scheduler->cancelTimer = [this, endpoint, cancelled](kernel::TimerId id) {
        clock.scheduler().cancelTimer(id);
        if (m_hosts[endpoint].paused || !m_hosts[endpoint].deferred.empty())
            cancelled->insert(id);
    };
    return scheduler;
}

void FakeNetwork::crash(const kernel::Endpoint &endpoint)
{
    Host &host = m_hosts[endpoint];
    const std::uint64_t generation = host.generation + 1;
    host = Host();
    host.generation = generation;
}

void FakeNetwork::pause(const kernel::Endpoint &endpoint)
{
    m_hosts[endpoint].paused = true;
}

void FakeNetwork::resume(const kernel::Endpoint &endpoint)
{
    Host &host = m_hosts[endpoint];
    host.paused = false;
    // A deferred function may add further deferred functions.
    while (!host.deferred.empty()) {
        const std::function<void()> function = std::move(host.deferred.front());
        host.deferred.erase(host.deferred.begin());
        function();
    }
}

} // namespace acaciasail::peers
