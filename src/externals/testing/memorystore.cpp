#include "externals/testing/memorystore.h"

#include <algorithm>

namespace acaciasail::externals::testing {

namespace {

kernel::Error notFound(const std::string &key)
{
    return { kernel::ResultCode::ObjectNotFound, "object \"" + key + "\" does not exist" };
}

kernel::Error conflict(const StoredObject &object)
{
    return { kernel::ResultCode::RevisionConflict, "object \"" + object.key + "\" has revision "
                                                       + std::to_string(object.revision.count()) };
}

ObjectList collect(const std::map<std::string, StoredObject> &objects, const std::string &prefix,
                   kernel::Revision revision)
{
    ObjectList result{ {}, revision };
    for (auto it = objects.lower_bound(prefix); it != objects.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        result.objects.push_back(it->second);
    }
    return result;
}

} // namespace

const StoredObject *MemoryStore::find(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found != m_objects.end() ? &found->second : nullptr;
}

kernel::Completion<StoredObject> MemoryStore::read(const std::string &key) const
{
    const StoredObject *object = find(key);
    if (object == nullptr)
        return notFound(key);
    return *object;
}

ObjectList MemoryStore::list(const std::string &prefix) const
{
    return collect(m_objects, prefix, m_revision);
}

ObjectList MemoryStore::listAt(const std::string &prefix, kernel::Revision revision) const
{
    std::map<std::string, StoredObject> objects;
    for (const StoredObject &change : m_history) {
        if (change.revision > revision)
            break;
        if (change.deleted)
            objects.erase(change.key);
        else
            objects[change.key] = change;
    }
    return collect(objects, prefix, std::min(revision, m_revision));
}

kernel::Completion<kernel::Revision> MemoryStore::create(const std::string &key,
                                                         const std::string &value)
{
    if (find(key) != nullptr)
        return kernel::Error{ kernel::ResultCode::ObjectExists, "object \"" + key + "\" exists" };
    return record({ key, value, {}, false });
}

kernel::Completion<kernel::Revision>
MemoryStore::update(const std::string &key, const std::string &value, kernel::Revision expected)
{
    const StoredObject *object = find(key);
    if (object == nullptr)
        return notFound(key);
    if (object->revision != expected)
        return conflict(*object);
    return record({ key, value, {}, false });
}

kernel::Completion<kernel::Revision> MemoryStore::remove(const std::string &key,
                                                         kernel::Revision expected)
{
    const StoredObject *object = find(key);
    if (object == nullptr)
        return notFound(key);
    if (object->revision != expected)
        return conflict(*object);
    return record({ key, {}, {}, true });
}

kernel::Completion<std::vector<StoredObject>> MemoryStore::changes(const std::string &prefix,
                                                                   kernel::Revision after) const
{
    if (after < m_compacted) {
        return kernel::Error{ kernel::ResultCode::WatchCompacted,
                              "history begins at revision " + std::to_string(m_compacted.count()) };
    }
    std::vector<StoredObject> result;
    // Each change grows the revision by one, so a revision is a position in the history.
    const auto first = static_cast<std::size_t>(std::max<std::int64_t>(after.count(), 0));
    for (std::size_t i = first; i < m_history.size(); ++i) {
        if (m_history[i].key.starts_with(prefix))
            result.push_back(m_history[i]);
    }
    return result;
}

kernel::Completion<kernel::Revision> MemoryStore::record(StoredObject object)
{
    m_revision += kernel::Revision(1);
    object.revision = m_revision;
    m_history.push_back(object);
    if (object.deleted)
        m_objects.erase(object.key);
    else
        m_objects[object.key] = std::move(object);
    return m_revision;
}

} // namespace acaciasail::externals::testing
