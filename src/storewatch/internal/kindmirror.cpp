#include "storewatch/internal/kindmirror.h"

#include <algorithm>
#include <utility>

namespace acaciasail::storewatch {

namespace {

StoredObject makeRemoval(const StoredObject &last)
{
    return { .name = last.name,
             .position = last.position,
             .spec = "null",
             .status = "null",
             .removed = true };
}

} // namespace

void KindMirror::setObject(const StoredObject &object, kernel::StorePosition changedAt)
{
    m_entries[object.name] = { object, changedAt };
    m_changedAt = std::max(m_changedAt, changedAt);
}

void KindMirror::recordRemoval(StoredObject last, kernel::StorePosition removedAt)
{
    m_removals.push_back({ std::move(last), removedAt });
    m_changedAt = std::max(m_changedAt, removedAt);
    if (m_removals.size() <= maxKeptRemovals)
        return;
    m_historyStart = std::max(m_historyStart, m_removals.front().changedAt);
    m_removals.pop_front();
}

// An object that was added and removed again since the last response stays unknown, so readers that
// know an earlier position than the list's must list as well.
void KindMirror::applyList(const std::vector<StoredObject> &objects, kernel::StorePosition position,
                           kernel::StorePosition knownBefore)
{
    if (!std::exchange(m_listed, true) || knownBefore < position)
        m_historyStart = m_changedAt = position;
    auto unlisted = std::exchange(m_entries, {});
    for (const StoredObject &object : objects) {
        unlisted.erase(object.name);
        setObject(object, std::min(object.position, position));
    }
    for (auto &[name, entry] : unlisted)
        recordRemoval(std::move(entry.object), position);
}

void KindMirror::applyChange(const StoredObject &object, kernel::StorePosition position)
{
    if (!object.removed) {
        setObject(object, std::max(object.position, position));
        return;
    }
    const auto node = m_entries.extract(object.name);
    recordRemoval(node.empty() ? object : node.mapped().object,
                  std::max(object.position, position));
}

const StoredObject *KindMirror::lastBeforeRemoval(const std::string &name) const
{
    const auto found
        = std::find_if(m_removals.rbegin(), m_removals.rend(),
                       [&name](const Entry &removal) { return removal.object.name == name; });
    return found == m_removals.rend() ? nullptr : &found->object;
}

std::vector<StoredObject> KindMirror::objects() const
{
    std::vector<StoredObject> result;
    result.reserve(m_entries.size());
    for (const auto &[name, entry] : m_entries)
        result.push_back(entry.object);
    return result;
}

std::optional<std::vector<StoredObject>> KindMirror::changesAfter(kernel::StorePosition after) const
{
    if (after < m_historyStart)
        return std::nullopt;
    std::vector<StoredObject> result;
    if (m_changedAt <= after)
        return result;
    for (const Entry &removal : m_removals) {
        if (removal.changedAt > after && !m_entries.contains(removal.object.name))
            result.push_back(makeRemoval(removal.object));
    }
    for (const auto &[name, entry] : m_entries) {
        if (entry.changedAt > after)
            result.push_back(entry.object);
    }
    return result;
}

} // namespace acaciasail::storewatch
