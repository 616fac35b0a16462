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
    /// Replaces the objects by a complete list, whose state is that of this revision; all changes
    /// up to `knownBefore` were applied before.
    void applyList(const std::vector<StoredObject> &objects, kernel::Revision revision,
                   kernel::Revision knownBefore);
    /// Applies a change that was returned in a response that names this revision.
    void applyChange(const StoredObject &object, kernel::Revision revision);

    bool isListed() const { return m_listed; }
    /// Returns the revision of the newest change; a reader that knows all changes up to it lacks
    /// none.
    kernel::Revision changedAt() const { return m_changedAt; }
    std::vector<StoredObject> objects() const;
    /// Returns the newest state of each object that changed after the revision, removals included;
    /// nothing if the removals since then are no longer known.
    std::optional<std::vector<StoredObject>> changesAfter(kernel::Revision after) const;

private:
    struct Entry
    {
        StoredObject object;
        kernel::Revision changedAt;
    };

    void setObject(const StoredObject &object, kernel::Revision changedAt);
    void recordRemoval(StoredObject object, kernel::Revision removedAt);

    bool m_listed = false;
    std::map<std::string, Entry> m_entries;
    // In the order in which they were received, the oldest first.
    std::deque<Entry> m_removals;
    // Removals up to this revision are not known.
    kernel::Revision m_historyStart;
    kernel::Revision m_changedAt;
};

/// Number of removals of a kind that are kept.
constexpr std::size_t maxKeptRemovals = 1024;

} // namespace acaciasail::storewatch
