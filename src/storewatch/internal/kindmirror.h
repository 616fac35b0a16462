#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "storewatch/internal/storereader.h"

namespace acaciasail::storewatch {

/// The objects of one kind as last received, with the recent removals, for other routers that read
/// them from this one in place of the store.
class KindMirror
{
public:
    /// Replaces the objects by a complete list, whose state is that of this position; all changes
    /// up to `knownBefore` were applied before.
    void applyList(const std::vector<StoredObject> &objects, kernel::StorePosition position,
                   kernel::StorePosition knownBefore);
    /// Applies a change that was returned in a response that names this position.
    void applyChange(const StoredObject &object, kernel::StorePosition position);

    bool isListed() const { return m_listed; }
    /// Returns the position of the newest change; a reader that knows all changes up to it lacks
    /// none.
    kernel::StorePosition changedAt() const { return m_changedAt; }
    std::vector<StoredObject> objects() const;
    /// Returns the last state of an object that was removed recently; null if it wasn't.
    const StoredObject *lastBeforeRemoval(const std::string &name) const;
    /// Returns the newest state of each object that changed after the position, removals included;
    /// nothing if the removals since then are no longer known.
    std::optional<std::vector<StoredObject>> changesAfter(kernel::StorePosition after) const;

private:
    struct Entry
    {
        StoredObject object;
        kernel::StorePosition changedAt;
    };

    void setObject(const StoredObject &object, kernel::StorePosition changedAt);
    void recordRemoval(StoredObject last, kernel::StorePosition removedAt);

    bool m_listed = false;
    std::map<std::string, Entry> m_entries;
    // The last states of removed objects, in the order in which they were removed.
    std::deque<Entry> m_removals;
    // Removals up to this position are not known.
    kernel::StorePosition m_historyStart;
    kernel::StorePosition m_changedAt;
};

/// Number of removals of a kind that are kept.
constexpr std::size_t maxKeptRemovals = 1024;

} // namespace acaciasail::storewatch
