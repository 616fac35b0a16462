#include "externals/testing/fakeplatform.h"

#include <utility>

namespace acaciasail::externals::testing {

namespace {

kernel::Error unreachable()
{
    return { kernel::ResultCode::PlatformUnreachable, "the platform can't be reached" };
}

kernel::Error outcomeUnknown()
{
    return { kernel::ResultCode::WriteOutcomeUnknown, "no reply came to the write" };
}

} // namespace

FakeObjectStore::FakeObjectStore(const kernel::Scheduler &scheduler)
    : m_state(std::make_shared<State>())
{
    m_state->scheduler = &scheduler;
}

ObjectStore FakeObjectStore::objectStore()
{
    ObjectStore store;
    const std::shared_ptr<State> state = m_state;
    store.read = [state](const std::string &key, kernel::Callback<StoredObject> callback) {
        ++state->calls.reads;
        state->scheduler->startTimer(state->faults.latency,
                                     [state, key, callback = std::move(callback)] {
                                         if (const auto error = refusal(*state))
                                             callback(*error);
                                         else
                                             callback(state->objects.read(key));
                                     });
    };
    store.list = [state](const std::string &prefix, kernel::Callback<ObjectList> callback) {
        ++state->calls.lists;
        state->scheduler->startTimer(state->faults.latency,
                                     [state, prefix, callback = std::move(callback)] {
                                         if (const auto error = refusal(*state))
                                             callback(*error);
                                         else
                                             callback(runList(*state, prefix));
                                     });
    };
    store.create = [state](const std::string &key, const std::string &value,
                           kernel::Callback<kernel::Revision> callback) {
        write(
            state, [key, value](MemoryStore &objects) { return objects.create(key, value); },
            std::move(callback));
    };
    store.update = [state](const std::string &key, const std::string &value,
                           kernel::Revision expected, kernel::Callback<kernel::Revision> callback) {
        write(
            state,
            [key, value, expected](MemoryStore &objects) {
                return objects.update(key, value, expected);
            },
            std::move(callback));
    };
    store.remove = [state](const std::string &key, kernel::Revision expected,
                           kernel::Callback<kernel::Revision> callback) {
        write(
            state, [key, expected](MemoryStore &objects) { return objects.remove(key, expected); },
            std::move(callback));
    };
    store.watch
        = [state](const std::string &prefix, kernel::Revision after, WatchHandlers handlers) {
              return watch(state, prefix, after, std::move(handlers));
          };
    return store;
}

kernel::Revision FakeObjectStore::put(const std::string &key, const std::string &value)
{
    const auto found = m_state->objects.read(key);
    const auto written = found.ok() ? m_state->objects.update(key, value, found.value().revision)
                                    : m_state->objects.create(key, value);
    deliver(m_state);
    return written.value();
}

void FakeObjectStore::erase(const std::string &key)
{
    const auto found = m_state->objects.read(key);
    if (!found.ok())
        return;
    m_state->objects.remove(key, found.value().revision);
    deliver(m_state);
}

void FakeObjectStore::breakWatches()
{
    while (!m_state->watches.empty())
        endWatch(*m_state, m_state->watches.begin()->first, unreachable());
}

std::size_t FakeObjectStore::openWatches() const
{
    return m_state->watches.size();
}

std::optional<kernel::Error> FakeObjectStore::refusal(State &state)
{
    if (state.faults.down)
        return unreachable();
    if (state.faults.throttled > 0) {
        --state.faults.throttled;
        return kernel::Error{ kernel::ResultCode::PlatformThrottled, "too many calls" };
    }
    return std::nullopt;
}

void FakeObjectStore::write(const std::shared_ptr<State> &state, Write operation,
                            kernel::Callback<kernel::Revision> callback)
{
    ++state->calls.writes;
    state->scheduler->startTimer(state->faults.latency, [state, operation = std::move(operation),
                                                         callback = std::move(callback)] {
        const auto written = runWrite(*state, operation);
        deliver(state);
        callback(written);
    });
}

kernel::Completion<kernel::Revision> FakeObjectStore::runWrite(State &state, const Write &operation)
{
    if (const auto error = refusal(state))
        return *error;
    if (state.faults.lostWrites > 0) {
        --state.faults.lostWrites;
        return outcomeUnknown();
    }
    auto written = operation(state.objects);
    if (state.faults.lostReplies > 0) {
        --state.faults.lostReplies;
        return outcomeUnknown();
    }
    return written;
}

ObjectList FakeObjectStore::runList(State &state, const std::string &prefix)
{
    if (state.faults.staleLists == 0)
        return state.objects.list(prefix);
    --state.faults.staleLists;
    ObjectList stale = state.objects.listAt(prefix, state.faults.staleRevision);
    if (state.faults.staleListsLie)
        stale.revision = state.objects.revision();
    return stale;
}

WatchHandle FakeObjectStore::watch(const std::shared_ptr<State> &state, const std::string &prefix,
                                   kernel::Revision after, WatchHandlers handlers)
{
    ++state->calls.watches;
    const std::uint64_t id = ++state->lastWatch;
    state->watches[id] = std::make_shared<Watch>(Watch{ prefix, after, std::move(handlers) });
    state->scheduler->startTimer(state->faults.latency, [state, id] { deliverTo(*state, id); });
    // The handle's deleter ends the watch.
    return { state.get(), [state, id](void *) { state->watches.erase(id); } };
}

void FakeObjectStore::deliver(const std::shared_ptr<State> &state)
{
    state->scheduler->startTimer(state->faults.latency, [state] {
        std::vector<std::uint64_t> ids;
        for (const auto &[id, watch] : state->watches)
            ids.push_back(id);
        for (const std::uint64_t id : ids)
            deliverTo(*state, id);
    });
}

void FakeObjectStore::deliverTo(State &state, std::uint64_t id)
{
    const auto found = state.watches.find(id);
    if (found == state.watches.end())
        return;
    const std::shared_ptr<Watch> watch = found->second;
    if (state.faults.down) {
        endWatch(state, id, unreachable());
        return;
    }
    const auto changes = state.objects.changes(watch->prefix, watch->delivered);
    if (!changes.ok()) {
        endWatch(state, id, changes.error());
        return;
    }
    for (const StoredObject &change : changes.value()) {
        if (!state.watches.contains(id))
            return;
        watch->delivered = change.revision;
        watch->handlers.onChange(change);
    }
}

void FakeObjectStore::endWatch(State &state, std::uint64_t id, const kernel::Error &error)
{
    const auto node = state.watches.extract(id);
    if (!node.empty() && node.mapped()->handlers.onEnd)
        node.mapped()->handlers.onEnd(error);
}

FakePlatform::FakePlatform(const kernel::Scheduler &scheduler)
    : m_store(scheduler)
    , m_state(std::make_shared<State>())
{
    m_state->scheduler = &scheduler;
}

Platform FakePlatform::platform()
{
    Platform platform;
    platform.objects = m_store.objectStore();
    const std::shared_ptr<State> state = m_state;
    platform.vms.list = [state](kernel::Callback<std::vector<VmEntry>> callback) {
        state->scheduler->startTimer({}, [state, callback = std::move(callback)] {
            if (state->down)
                callback(unreachable());
            else
                callback(state->vms);
        });
    };
    platform.ratings.fetch
        = [state](std::int64_t after, kernel::Callback<std::vector<Rating>> callback) {
              state->scheduler->startTimer({}, [state, after, callback = std::move(callback)] {
                  std::vector<Rating> later;
                  for (const Rating &rating : state->ratings) {
                      if (rating.sequence > after)
                          later.push_back(rating);
                  }
                  if (state->down)
                      callback(unreachable());
                  else
                      callback(later);
              });
          };
    platform.weights.reserve
        = [state](const kernel::VersionId &version, kernel::Callback<kernel::Duration> callback) {
              state->scheduler->startTimer({}, [state, version, callback = std::move(callback)] {
                  state->reservations.push_back(version);
                  if (state->down)
                      callback(unreachable());
                  else
                      callback(state->weightWait);
              });
          };
    return platform;
}

} // namespace acaciasail::externals::testing
