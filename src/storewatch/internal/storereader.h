#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::storewatch {

/// One object of the store.
struct StoredObject
{
    std::string name;
    /// Where the object changed last.
    kernel::StorePosition position;
    /// JSON texts; "null" if the member is missing.
    std::string spec;
    std::string status;
    bool removed = false;
};

/// What a relay, a router that answers in place of the store, knows of one kind of object.
struct RelayedKnowledge
{
    /// The relay knows all changes up to this position, and none after it.
    kernel::StorePosition known;
    /// A router that knows all changes up to this position lacks none that the relay has.
    kernel::StorePosition changedAt;
    /// Time since the store showed that the relay knows all changes.
    kernel::Duration age{};

    friend bool operator==(const RelayedKnowledge &, const RelayedKnowledge &) = default;
};

/// The name after which a list goes on, in the store's own bytes; empty for the list's first page.
using ListCursor = std::optional<std::string>;

/// The objects of one kind that one list or watch call returned.
struct ObjectPage
{
    std::vector<StoredObject> objects;
    /// Whether the list goes on after this page.
    bool hasMore = false;
    /// The last of the page's objects whose name can be read, also if the rest of it can't be.
    ListCursor last = {};
    /// Number of objects that can't be read; they are left out.
    std::size_t unreadable = 0;
    /// The store's position at the time of the call; from a relay, the position up to which it
    /// knows the kind.
    kernel::StorePosition position;
    /// What the relay that answered knows, by kind; empty if the store answered.
    std::map<std::string, RelayedKnowledge> relayed = {};
};

/// How one kind is watched.
struct WatchOptions
{
    /// Minimum time between the starts of two watches. The next watch returns all changes made in
    /// the meantime in one call, which saves cost, as a store may charge for each call of each
    /// router.
    kernel::Duration minInterval{};
    /// Time after which a watch returns without changes. It bounds the time for which a dead
    /// connection goes unnoticed.
    kernel::Duration wait = std::chrono::seconds(20);
    /// Time for which an object stays in force that the store lacks after it was restored from an
    /// older copy; what its writer doesn't write again in this time is gone.
    kernel::Duration missingTime = std::chrono::seconds(10);
};

/// Whether a call may use a connection that was kept from an earlier call.
enum class Connection {
    MayBeKept,
    New,
};

/// A call in progress. Destroying it gives the call up, and its callback is not called any more; a
/// call that has finished is not affected.
class StoreCall
{
public:
    StoreCall() = default;
    /// `giveUp` does nothing if the call has finished; what it refers to must outlive this object.
    explicit StoreCall(std::function<void()> giveUp)
        : m_giveUp(std::move(giveUp))
    {}
    StoreCall(StoreCall &&other) noexcept
        : m_giveUp(std::exchange(other.m_giveUp, nullptr))
    {}
    StoreCall &operator=(StoreCall &&other) noexcept
    {
        const StoreCall previous(std::exchange(m_giveUp, std::exchange(other.m_giveUp, nullptr)));
        return *this;
    }
    StoreCall(const StoreCall &) = delete;
    StoreCall &operator=(const StoreCall &) = delete;
    ~StoreCall()
    {
        if (m_giveUp)
            m_giveUp();
    }

    /// Returns whether the call has been started and has not been given up.
    bool isOpen() const { return m_giveUp != nullptr; }

private:
    std::function<void()> m_giveUp;
};

/// The calls by which a store is read. Each call finishes with one response or error, also if the
/// store is only slow; a watch's error WatchCompacted tells that the store no longer has all
/// changes since the given position.
struct StoreReader
{
    /// Lists one page of a kind's objects.
    std::function<StoreCall(const std::string &kind, const ListCursor &after, Connection connection,
                            kernel::Callback<ObjectPage> callback)>
        list;
    /// Returns the changes of a kind after a position, once there are any or after `wait`.
    std::function<StoreCall(const std::string &kind, kernel::StorePosition after,
                            kernel::Duration wait, kernel::Callback<ObjectPage> callback)>
        watch;
    /// Returns the options with which a kind is watched at the present source; empty if these are
    /// always the given ones.
    std::function<WatchOptions(const std::string &kind, const WatchOptions &options)> pace = {};
};

} // namespace acaciasail::storewatch
