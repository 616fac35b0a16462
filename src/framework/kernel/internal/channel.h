#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace acaciasail::kernel {

/// A subscription to a channel; it ends when this object goes. It may outlive the channel.
class Subscription
{
public:
    Subscription() = default;
    explicit Subscription(std::function<void()> end)
        : m_end(std::move(end))
    {}
    Subscription(Subscription &&other) noexcept
        : m_end(std::exchange(other.m_end, nullptr))
    {}
    Subscription &operator=(Subscription &&other) noexcept
    {
        if (this != &other) {
            reset();
            m_end = std::exchange(other.m_end, nullptr);
        }
        return *this;
    }
    Subscription(const Subscription &) = delete;
    Subscription &operator=(const Subscription &) = delete;
    ~Subscription() { reset(); }

    void reset()
    {
        if (m_end)
            std::exchange(m_end, nullptr)();
    }

private:
    std::function<void()> m_end;
};

/// Change notices of one type, from one sender to any number of receivers on the same loop.
template<class Notice>
class Channel
{
public:
    using Receiver = std::function<void(const Notice &)>;

    /// Calls the receiver for each later notice, in the order of subscription.
    [[nodiscard]] Subscription subscribe(Receiver receiver)
    {
        const std::uint64_t id = ++m_state->lastId;
        m_state->receivers.emplace(id, std::move(receiver));
        std::weak_ptr<State> weak = m_state;
        return Subscription([weak, id] {
            if (const auto state = weak.lock())
                state->receivers.erase(id);
        });
    }

    /// Delivers a notice; a receiver may subscribe or end subscriptions while it runs.
    void send(const Notice &notice) const
    {
        const std::shared_ptr<State> state = m_state;
        const std::uint64_t last = state->lastId;
        auto next = state->receivers.begin();
        while (next != state->receivers.end() && next->first <= last) {
            const std::uint64_t id = next->first;
            const Receiver receiver = next->second;
            receiver(notice);
            next = state->receivers.upper_bound(id);
        }
    }

private:
    struct State
    {
        std::uint64_t lastId = 0;
        std::map<std::uint64_t, Receiver> receivers;
    };

    std::shared_ptr<State> m_state = std::make_shared<State>();
};

} // namespace acaciasail::kernel
