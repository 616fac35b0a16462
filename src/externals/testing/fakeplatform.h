#pragma once

/// Fakes of the platform's services for the tests of other libraries.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "externals/externals.h"
#include "externals/testing/memorystore.h"

namespace acaciasail::externals::testing {

/// Faults of the fake object store. Counts apply to the next calls and run down.
struct StoreFaults
{
    /// Every call fails with PlatformUnreachable and has no effect.
    bool down = false;
    /// Time from a call to its effect and answer.
    kernel::Duration latency{};
    /// Writes that take effect and answer WriteOutcomeUnknown.
    int lostReplies = 0;
    /// Writes that have no effect and answer WriteOutcomeUnknown.
    int lostWrites = 0;
    /// Calls that are refused with PlatformThrottled.
    int throttled = 0;
    /// Lists that answer the objects of the revision `staleRevision`.
    int staleLists = 0;
    kernel::Revision staleRevision;
    /// The stale lists claim the newest revision.
    bool staleListsLie = false;
};

/// Number of calls that the fake object store received, by kind.
struct StoreCalls
{
    int reads = 0;
    int lists = 0;
    int writes = 0;
    int watches = 0;
};

/// An object store in memory, whose faults a test sets. Answers come from timers.
class FakeObjectStore
{
public:
    explicit FakeObjectStore(const kernel::Scheduler &scheduler);

    /// The interface for the code under test; valid as long as the scheduler.
    ObjectStore objectStore();

    StoreFaults &faults() { return m_state->faults; }
    const StoreCalls &calls() const { return m_state->calls; }
    MemoryStore &objects() { return m_state->objects; }

    /// Writes an object at once, whatever it is now, and tells the watches.
    kernel::Revision put(const std::string &key, const std::string &value);
    /// Deletes an object at once, if it exists, and tells the watches.
    void erase(const std::string &key);
    /// Ends all watches, as a broken connection does.
    void breakWatches();
    std::size_t openWatches() const;

private:
    struct Watch
    {
        std::string prefix;
        kernel::Revision delivered;
        WatchHandlers handlers;
    };
    struct State
    {
        const kernel::Scheduler *scheduler = nullptr;
        MemoryStore objects;
        StoreFaults faults;
        StoreCalls calls;
        std::map<std::uint64_t, std::shared_ptr<Watch>> watches;
        std::uint64_t lastWatch = 0;
    };
    using Write = std::function<kernel::Completion<kernel::Revision>(MemoryStore &)>;

    static std::optional<kernel::Error> refusal(State &state);
    static void write(const std::shared_ptr<State> &state, Write operation,
                      kernel::Callback<kernel::Revision> callback);
    static kernel::Completion<kernel::Revision> runWrite(State &state, const Write &operation);
    static ObjectList runList(State &state, const std::string &prefix);
    static WatchHandle watch(const std::shared_ptr<State> &state, const std::string &prefix,
                             kernel::Revision after, WatchHandlers handlers);
    static void deliver(const std::shared_ptr<State> &state);
    static void deliverTo(State &state, std::uint64_t id);
    static void endWatch(State &state, std::uint64_t id, const kernel::Error &error);

    std::shared_ptr<State> m_state;
};

/// All of the platform in memory.
class FakePlatform
{
public:
    explicit FakePlatform(const kernel::Scheduler &scheduler);

    Platform platform();

    FakeObjectStore &store() { return m_store; }
    /// What the list of VMs answers.
    std::vector<VmEntry> &vms() { return m_state->vms; }
    /// What the ratings service holds, in order of sequence.
    std::vector<Rating> &ratings() { return m_state->ratings; }
    /// What the weight store answers to each call.
    kernel::Duration &weightWait() { return m_state->weightWait; }
    /// Versions that leave was asked for, in order.
    const std::vector<kernel::VersionId> &reservations() const { return m_state->reservations; }
    /// VM list, ratings and weight store fail with PlatformUnreachable.
    bool &servicesDown() { return m_state->down; }

private:
    struct State
    {
        const kernel::Scheduler *scheduler = nullptr;
        std::vector<VmEntry> vms;
        std::vector<Rating> ratings;
        std::vector<kernel::VersionId> reservations;
        kernel::Duration weightWait{};
        bool down = false;
    };

    FakeObjectStore m_store;
    std::shared_ptr<State> m_state;
};

} // namespace acaciasail::externals::testing
