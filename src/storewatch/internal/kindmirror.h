#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "storewatch/internal/storereader.h"

namespace acaciasail::storewatch {

/// The objects of one kind as last heard of, with the recent removals, for routers that read them
/// here in place of the store.
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
    /// Returns a revision up to which a reader must know all changes to lack none of these.
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
    // In the order in which they were heard of, the oldest first.
    std::deque<Entry> m_removals;
    // Removals up to this revision are not known.
    kernel::Revision m_historyStart;
    kernel::Revision m_changedAt;
};

/// Number of removals of a kind that are kept.
constexpr std::size_t maxKeptRemovals = 1024;

} // namespace acaciasail::storewatch
