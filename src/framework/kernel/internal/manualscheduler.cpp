#include "kernel/internal/manualscheduler.h"

namespace acaciasail::kernel {

namespace {

// 2026-01-01 00:00 UTC, so that records made under the manual clock look like records.
constexpr std::chrono::seconds manualEpoch{ 1767225600 };

} // namespace

ManualScheduler::ManualScheduler()
{
    m_scheduler.now = [this] { return m_now; };
    m_scheduler.wallNow = [this] { return WallTime(manualEpoch + m_now.time_since_epoch()); };
    m_scheduler.startTimer = [this](Duration delay, std::function<void()> function) {
        return start(delay, std::move(function));
    };
    m_scheduler.cancelTimer = [this](TimerId id) { cancel(id); };
}

void ManualScheduler::advance(Duration span)
{
    const Instant end = m_now + span;
    while (!m_timers.empty() && m_timers.begin()->first.first <= end) {
        auto node = m_timers.extract(m_timers.begin());
        m_keys.erase(node.key().second);
        m_now = std::max(m_now, node.key().first);
        node.mapped()();
    }
    m_now = end;
}

TimerId ManualScheduler::start(Duration delay, std::function<void()> function)
{
    const TimerId id = ++m_lastId;
    const Key key{ m_now + std::max(delay, Duration::zero()), id };
    m_timers.emplace(key, std::move(function));
    m_keys.emplace(id, key);
    return id;
}

void ManualScheduler::cancel(TimerId id)
{
    const auto found = m_keys.find(id);
    if (found == m_keys.end())
        return;
    m_timers.erase(found->second);
    m_keys.erase(found);
}

} // namespace acaciasail::kernel
