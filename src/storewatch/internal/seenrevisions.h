#pragma once

#include <set>

#include "kernel/kernel.h"

namespace acaciasail::storewatch {

/// The store's revisions whose change this router has seen, of any kind of object. The store
/// numbers all its changes with one counter, so a revision that is missing here is a change that
/// this router has not heard of.
class SeenRevisions
{
public:
    void add(kernel::Revision revision);
    /// Returns whether all changes after the first revision, up to and including the second one,
    /// were seen.
    bool containsAll(kernel::Revision after, kernel::Revision upTo) const;
    /// Forgets the revisions up to and including this one.
    void forgetUpTo(kernel::Revision revision);

private:
    std::set<kernel::Revision> m_revisions;
};

} // namespace acaciasail::storewatch
