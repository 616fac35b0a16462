#pragma once

#include <compare>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "storewatch/internal/kindmirror.h"

namespace acaciasail::storewatch {

/// Compares two states of one object by what their writer numbers; unordered if they don't tell
/// which was written first.
using WriteOrder
    = std::function<std::partial_ordering(const StoredObject &a, const StoredObject &b)>;

/// Keeps newer states in force over those of an older copy from which the store was restored.
///
/// What operators and upstreams had written since the copy is written again, but not at once. Until
/// then the first list of the new epoch holds objects in an earlier state, lacks some, and has some
/// that were removed since. Those stay as they were known until the store changes them, or for a
/// limited time. An object that may have been written since the store was restored is never kept
/// back.
class RestorationHold
{
public:
    /// `missingTime` is how long an object stays in force that the store lacks. `order` may be
    /// empty.
    RestorationHold(kernel::Duration missingTime, WriteOrder order)
        : m_missingTime(missingTime)
        , m_order(std::move(order))
    {}

    /// Compares the first list of an epoch with what was known before, what is still held included.
    void begin(const KindMirror &known, const std::vector<StoredObject> &listed,
               kernel::Instant now);
    /// Releases the objects that a later list shows in another state than the first one.
    void review(const std::vector<StoredObject> &listed);
    /// Releases an object, as the store has changed or removed it.
    void release(const StoredObject &changed);
    /// Releases the objects whose time was over when the store's state was last known. Returns
    /// whether there were any.
    bool expire(kernel::Instant knownAt);

    /// Returns the objects that are in force while the store holds those listed.
    std::vector<StoredObject> inForce(const std::vector<StoredObject> &listed) const;
    /// Returns when the next objects are released; nothing if none is held.
    std::optional<kernel::Instant> nextEnd() const;
    /// Returns the number of objects that are held.
    std::size_t size() const { return m_held.size(); }

private:
    struct Held
    {
        // The state in force; the last one if the object is left out, as it was removed.
        StoredObject known;
        bool leftOut = false;
        // Where the store's own state was written; not set if the store has none.
        std::optional<kernel::StorePosition> superseded;
        kernel::Instant until{};
    };

    std::partial_ordering order(const StoredObject &a, const StoredObject &b) const;
    bool isOlder(const StoredObject &listed, const StoredObject &known) const;
    bool isLeftOut(const StoredObject &listed, const StoredObject &removed) const;
    const StoredObject *lastBeforeRemoval(const KindMirror &known, const std::string &name) const;
    void rememberRemoval(const StoredObject &last);

    kernel::Duration m_missingTime;
    WriteOrder m_order;
    std::map<std::string, Held> m_held;
    // The last states in force of objects that were removed while they were held.
    std::map<std::string, StoredObject> m_removed;
};

/// Time for which an earlier state is kept back that the store doesn't change. It is longer than
/// registrations outlive upstreams that are gone.
constexpr kernel::Duration olderStateTime = std::chrono::seconds(10);

} // namespace acaciasail::storewatch
