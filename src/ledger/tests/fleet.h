#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "externals/testing/fakeplatform.h"
#include "ledger/ledger.h"

namespace acaciasail::ledger {

/// The sanitizers slow the runs down manifold, so they get less traffic.
#ifdef __SANITIZE_ADDRESS__
constexpr bool underSanitizer = true;
#else
constexpr bool underSanitizer = false;
#endif

/// Number of seeds of the random fault runs; the environment's ACACIASAIL_SEEDS sets another.
std::uint64_t faultSeeds();

/// One VM of a fleet in a test: its clock, its network and its store can each fail.
class Vm
{
public:
    wire::Peer self;
    bool running = false;
    bool paused = false;
    bool storeCut = false;
    int boots = 0;
    kernel::Scheduler scheduler;
    std::map<std::string, wire::MessageHandler> handlers;
    /// What fell due during a pause.
    std::deque<std::function<void()>> backlog;
};

/// VMs on one manual clock, with a network that delays, loses and cuts, and one store.
class Fleet
{
public:
    Fleet(int vms, int dataCentres, std::uint64_t seed);

    /// What the code under test on a VM is given; a new boot each time.
    LedgerEnvironment environment(int vm);
    Vm &vm(int index) { return *m_vms[static_cast<std::size_t>(index)]; }
    int size() const { return static_cast<int>(m_vms.size()); }

    /// The VM's process ends; what it was doing is gone.
    void kill(int vm);
    void pause(int vm) { this->vm(vm).paused = true; }
    void resume(int vm);
    /// Data centres that are cut off from all others.
    std::set<kernel::DataCentreId> cutOff;
    /// Share of messages, or of their answers, that are lost.
    double loss = 0;
    /// Share of messages that arrive twice.
    double duplicates = 0;
    kernel::Duration delay = std::chrono::microseconds(500);

    void advance(kernel::Duration span) { m_clock.advance(span); }
    kernel::ManualScheduler &clock() { return m_clock; }
    externals::testing::FakeObjectStore &store() { return m_store; }
    kernel::Random &random() { return m_random; }
    std::int64_t messages() const { return m_messages; }

private:
    using Guarded = std::function<void()>;

    void fillScheduler(Vm &vm);
    bool reachable(const Vm &from, const Vm &to) const;
    void runOn(int index, int boot, const Guarded &function);
    void call(int from, const kernel::Endpoint &to, const wire::Message &message,
              kernel::Duration timeout, const kernel::Callback<std::string> &callback);
    void later(const Guarded &function);
    externals::ObjectStore storeOf(int index);

    kernel::ManualScheduler m_clock;
    externals::testing::FakeObjectStore m_store;
    kernel::Random m_random;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::int64_t m_messages = 0;
};

} // namespace acaciasail::ledger
