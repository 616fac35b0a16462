#include "http/internal/eventloop.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <limits>
#include <map>
#include <unordered_map>
#include <utility>

#include <sys/eventfd.h>
#include <unistd.h>

#include "http/internal/h2oheaders.h"

namespace acaciasail::http {

namespace {

constexpr int noWaitLimit = std::numeric_limits<int>::max();

// Written by the signal handlers; -1 while no loop listens for signals.
volatile std::sig_atomic_t signalFd = -1;
volatile std::sig_atomic_t terminatePending = 0;
volatile std::sig_atomic_t reloadPending = 0;

void wakeLoop()
{
    const std::uint64_t one = 1;
    if (signalFd >= 0)
        (void) !write(signalFd, &one, sizeof one);
}

void onTerminateSignal(int)
{
    terminatePending = 1;
    wakeLoop();
}

void onReloadSignal(int)
{
    reloadPending = 1;
    wakeLoop();
}

void handleSignal(int signal, void (*handler)(int))
{
    struct sigaction action
    {};
    action.sa_handler = handler;
    sigaction(signal, &action, nullptr);
}

kernel::Instant steadyNow()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return kernel::Instant(std::chrono::duration_cast<kernel::Duration>(now));
}

kernel::WallTime systemNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return kernel::WallTime(std::chrono::duration_cast<kernel::Duration>(now));
}

} // namespace

struct EventLoop::Impl
{
    using Key = std::pair<kernel::Instant, kernel::TimerId>;

    h2o_evloop_t *loop = h2o_evloop_create();
    kernel::Scheduler scheduler;
    bool stopped = false;
    kernel::TimerId lastTimer = 0;
    std::map<Key, std::function<void()>> timers;
    std::unordered_map<kernel::TimerId, Key> timerKeys;
    h2o_socket_t *signalSocket = nullptr;
    std::vector<std::function<void()>> turnEnd;
    std::function<void()> terminate;
    std::function<void()> reload;

    void listenForSignals();
    void takeSignals();

    kernel::TimerId startTimer(kernel::Duration delay, std::function<void()> function);
    void cancelTimer(kernel::TimerId id);
    void runDueTimers();
    int waitMilliseconds(kernel::Duration atMost) const;
    void turn(kernel::Duration atMost);
};

kernel::TimerId EventLoop::Impl::startTimer(kernel::Duration delay, std::function<void()> function)
{
    const kernel::TimerId id = ++lastTimer;
    const Key key{ steadyNow() + std::max(delay, kernel::Duration::zero()), id };
    timers.emplace(key, std::move(function));
    timerKeys.emplace(id, key);
    return id;
}

void EventLoop::Impl::cancelTimer(kernel::TimerId id)
{
    const auto found = timerKeys.find(id);
    if (found == timerKeys.end())
        return;
    timers.erase(found->second);
    timerKeys.erase(found);
}

void EventLoop::Impl::runDueTimers()
{
    const kernel::Instant now = steadyNow();
    // A timer started by a timer waits for the next turn, so that sockets get theirs.
    const kernel::TimerId last = lastTimer;
    while (!timers.empty() && timers.begin()->first.first <= now
           && timers.begin()->first.second <= last) {
        auto node = timers.extract(timers.begin());
        timerKeys.erase(node.key().second);
        node.mapped()();
    }
}

int EventLoop::Impl::waitMilliseconds(kernel::Duration atMost) const
{
    if (!turnEnd.empty())
        return 0;
    kernel::Duration wait = atMost;
    if (!timers.empty())
        wait = std::min(wait, timers.begin()->first.first - steadyNow());
    if (wait <= kernel::Duration::zero())
        return 0;
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    return static_cast<int>(std::min<std::int64_t>(rounded, noWaitLimit));
}

void EventLoop::Impl::turn(kernel::Duration atMost)
{
    h2o_evloop_run(loop, waitMilliseconds(atMost));
    runDueTimers();
    for (const auto &function : std::exchange(turnEnd, {}))
        function();
    // The next run frees closed sockets before it calls the callbacks of writes. One timer may have
    // written to a socket and another closed it, so the callbacks that are due are called first.
    h2o_timeout__do_post_callback(loop);
}

void EventLoop::Impl::listenForSignals()
{
    if (signalSocket != nullptr)
        return;
    const int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    signalFd = fd;
    signalSocket = h2o_evloop_socket_create(loop, fd, 0);
    signalSocket->data = this;
    h2o_socket_read_start(signalSocket, [](h2o_socket_t *socket, const char *) {
        h2o_buffer_consume(&socket->input, socket->input->size);
        static_cast<Impl *>(socket->data)->takeSignals();
    });
}

void EventLoop::Impl::takeSignals()
{
    if (reloadPending != 0 && reload) {
        reloadPending = 0;
        reload();
    }
    if (terminatePending != 0 && terminate) {
        terminatePending = 0;
        terminate();
    }
}

EventLoop::EventLoop()
    : m_impl(std::make_unique<Impl>())
{
    // A write to a closed connection is reported by the call; the signal would end the process.
    std::signal(SIGPIPE, SIG_IGN);
    Impl *impl = m_impl.get();
    impl->scheduler.now = steadyNow;
    impl->scheduler.wallNow = systemNow;
    impl->scheduler.startTimer = [impl](kernel::Duration delay, std::function<void()> function) {
        return impl->startTimer(delay, std::move(function));
    };
    impl->scheduler.cancelTimer = [impl](kernel::TimerId id) { impl->cancelTimer(id); };
}

EventLoop::~EventLoop()
{
    if (m_impl->signalSocket != nullptr) {
        signalFd = -1;
        h2o_socket_close(m_impl->signalSocket);
    }
    // h2o asserts that nothing uses the loop; what a stuck connection holds is left to the exit.
    if (h2o_linklist_is_empty(&m_impl->loop->_timeouts) == 0)
        return;
    // A closed socket may still wait for the notice of its last write; h2o would close it again.
    h2o_evloop_run(m_impl->loop, 0);
    h2o_evloop_destroy(m_impl->loop);
}

const kernel::Scheduler &EventLoop::scheduler() const
{
    return m_impl->scheduler;
}

void EventLoop::run()
{
    constexpr std::chrono::seconds longestWait{ 60 };
    m_impl->stopped = false;
    while (!m_impl->stopped)
        m_impl->turn(longestWait);
}

void EventLoop::runOnce(kernel::Duration atMost)
{
    m_impl->turn(atMost);
}

bool EventLoop::runUntil(const std::function<bool()> &condition, kernel::Duration atMost)
{
    constexpr std::chrono::milliseconds turnWait{ 20 };
    const kernel::Instant end = steadyNow() + atMost;
    while (!condition()) {
        if (steadyNow() >= end)
            return false;
        m_impl->turn(turnWait);
    }
    return true;
}

void EventLoop::atTurnEnd(std::function<void()> function)
{
    m_impl->turnEnd.push_back(std::move(function));
}

void EventLoop::stop()
{
    m_impl->stopped = true;
}

void EventLoop::onTerminate(std::function<void()> function)
{
    m_impl->terminate = std::move(function);
    m_impl->listenForSignals();
    handleSignal(SIGTERM, onTerminateSignal);
    handleSignal(SIGINT, onTerminateSignal);
}

void EventLoop::onReload(std::function<void()> function)
{
    m_impl->reload = std::move(function);
    m_impl->listenForSignals();
    handleSignal(SIGHUP, onReloadSignal);
}

h2o_evloop_t *EventLoop::native() const
{
    return m_impl->loop;
}

} // namespace acaciasail::http
