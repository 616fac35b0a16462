#include "storewatch/internal/restorationhold.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace acaciasail::storewatch {

namespace {

// Objects by their names; they belong to a list that outlives this map.
using Objects = std::map<std::string_view, const StoredObject *>;

Objects byName(const std::vector<StoredObject> &objects)
{
    Objects result;
    for (const StoredObject &object : objects)
        result.emplace(object.name, &object);
    return result;
}

bool isUnchanged(const StoredObject &a, const StoredObject &b)
{
    return a.position.revision == b.position.revision && a.spec == b.spec && a.status == b.status;
}

// Returns the newest revision that the copy is known to include: the store numbers all changes with
// one counter, so the copy includes all earlier ones as well.
kernel::Revision includedByCopy(const Objects &known, const Objects &listed)
{
    kernel::Revision result;
    for (const auto &[name, object] : listed) {
        const auto found = known.find(name);
        if (found != known.end() && isUnchanged(*found->second, *object))
            result = std::max(result, object->position.revision);
    }
    return result;
}

} // namespace

std::partial_ordering RestorationHold::order(const StoredObject &a, const StoredObject &b) const
{
    return m_order ? m_order(a, b) : std::partial_ordering::unordered;
}

// A state with a later revision than the known one was written since the store was restored.
bool RestorationHold::isOlder(const StoredObject &listed, const StoredObject &known) const
{
    const bool isSame = listed.spec == known.spec && listed.status == known.status;
    if (isSame || listed.position.revision >= known.position.revision)
        return false;
    const std::partial_ordering order = this->order(listed, known);
    return order == std::partial_ordering::less || order == std::partial_ordering::unordered;
}

// An object that exists again since it was removed has a later state than its last one.
bool RestorationHold::isLeftOut(const StoredObject &listed, const StoredObject &removed) const
{
    const std::partial_ordering order = this->order(listed, removed);
    if (order == std::partial_ordering::unordered)
        return listed.position.revision <= removed.position.revision;
    return order != std::partial_ordering::greater;
}

void RestorationHold::begin(const KindMirror &known, const std::vector<StoredObject> &listed,
                            kernel::Instant now)
{
    const std::vector<StoredObject> wasInForce = inForce(known.objects());
    const Objects before = byName(wasInForce);
    const std::map<std::string, Held> earlier = std::exchange(m_held, {});
    for (const auto &[name, held] : earlier) {
        if (held.leftOut)
            rememberRemoval(held.known);
    }
    for (const StoredObject &object : listed) {
        const auto found = before.find(object.name);
        const bool wasKnown = found != before.end();
        const StoredObject *last = wasKnown ? found->second : lastBeforeRemoval(known, object.name);
        if (last != nullptr && (wasKnown ? isOlder(object, *last) : isLeftOut(object, *last)))
            m_held[object.name] = { *last, !wasKnown, object.position, now + olderStateTime };
        m_removed.erase(object.name);
    }
    const Objects after = byName(listed);
    const kernel::Revision included = includedByCopy(before, after);
    for (const auto &[name, object] : before) {
        const bool mayBeLost
            = object->position.revision > included || earlier.contains(object->name);
        if (!after.contains(name) && mayBeLost)
            m_held[object->name] = { *object, false, std::nullopt, now + m_missingTime };
    }
}

const StoredObject *RestorationHold::lastBeforeRemoval(const KindMirror &known,
                                                       const std::string &name) const
{
    const auto found = m_removed.find(name);
    return found == m_removed.end() ? known.lastBeforeRemoval(name) : &found->second;
}

void RestorationHold::rememberRemoval(const StoredObject &last)
{
    m_removed[last.name] = last;
    if (m_removed.size() > maxKeptRemovals)
        m_removed.erase(m_removed.begin());
}

void RestorationHold::release(const StoredObject &changed)
{
    const auto held = m_held.extract(changed.name);
    if (!changed.removed)
        m_removed.erase(changed.name);
    else if (!held.empty())
        rememberRemoval(held.mapped().known);
}

void RestorationHold::review(const std::vector<StoredObject> &listed)
{
    if (m_held.empty() && m_removed.empty())
        return;
    const Objects now = byName(listed);
    for (const auto &[name, object] : now)
        m_removed.erase(object->name);
    const std::map<std::string, Held> held = m_held;
    for (const auto &[name, state] : held) {
        const auto found = now.find(name);
        if (found == now.end() && state.superseded)
            release({ .name = name, .removed = true });
        else if (found != now.end() && found->second->position != state.superseded)
            release(*found->second);
    }
}

bool RestorationHold::expire(kernel::Instant knownAt)
{
    return std::erase_if(m_held,
                         [knownAt](const auto &item) { return item.second.until <= knownAt; })
           > 0;
}

std::vector<StoredObject> RestorationHold::inForce(const std::vector<StoredObject> &listed) const
{
    std::vector<StoredObject> result;
    for (const StoredObject &object : listed) {
        if (!m_held.contains(object.name))
            result.push_back(object);
    }
    for (const auto &[name, held] : m_held) {
        if (!held.leftOut)
            result.push_back(held.known);
    }
    return result;
}

std::optional<kernel::Instant> RestorationHold::nextEnd() const
{
    std::optional<kernel::Instant> result;
    for (const auto &[name, held] : m_held)
        result = std::min(result.value_or(held.until), held.until);
    return result;
}

} // namespace acaciasail::storewatch
