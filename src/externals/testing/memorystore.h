#pragma once

#include <map>
#include <string>
#include <vector>

#include "externals/externals.h"

namespace acaciasail::externals::testing {

/// The object API's objects in memory, with their history. It answers at once and never fails;
/// fakes and stand-ins put time and faults round it.
class MemoryStore
{
public:
    /// Errors: ObjectNotFound.
    kernel::Completion<StoredObject> read(const std::string &key) const;
    ObjectList list(const std::string &prefix) const;
    /// The objects as they were at an earlier revision.
    ObjectList listAt(const std::string &prefix, kernel::Revision revision) const;
    /// Errors: ObjectExists.
    kernel::Completion<kernel::Revision> create(const std::string &key, const std::string &value);
    /// Errors: RevisionConflict, ObjectNotFound.
    kernel::Completion<kernel::Revision> update(const std::string &key, const std::string &value,
                                                kernel::Revision expected);
    /// Errors: RevisionConflict, ObjectNotFound.
    kernel::Completion<kernel::Revision> remove(const std::string &key, kernel::Revision expected);

    /// Changes under a prefix after a revision, oldest first. Errors: WatchCompacted.
    kernel::Completion<std::vector<StoredObject>> changes(const std::string &prefix,
                                                          kernel::Revision after) const;
    /// Forgets the history up to now; watches that start earlier are refused from here on.
    void compact() { m_compacted = m_revision; }
    /// Revision of the last change.
    kernel::Revision revision() const { return m_revision; }

private:
    kernel::Completion<kernel::Revision> record(StoredObject object);
    const StoredObject *find(const std::string &key) const;

    std::map<std::string, StoredObject> m_objects;
    std::vector<StoredObject> m_history;
    kernel::Revision m_revision;
    kernel::Revision m_compacted;
};

} // namespace acaciasail::externals::testing
