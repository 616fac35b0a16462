#include "storewatch/internal/seenrevisions.h"

#include <iterator>

namespace acaciasail::storewatch {

namespace {

// Bounds the memory if a watcher stays behind; a forgotten revision counts as not seen.
constexpr std::size_t maxRevisions = 10'000;

} // namespace

void SeenRevisions::add(kernel::Revision revision)
{
    m_revisions.insert(revision);
    if (m_revisions.size() > maxRevisions)
        m_revisions.erase(m_revisions.begin());
}

bool SeenRevisions::containsAll(kernel::Revision after, kernel::Revision upTo) const
{
    if (upTo <= after)
        return true;
    const auto seen = std::distance(m_revisions.upper_bound(after), m_revisions.upper_bound(upTo));
    return seen == upTo.count() - after.count();
}

void SeenRevisions::forgetUpTo(kernel::Revision revision)
{
    m_revisions.erase(m_revisions.begin(), m_revisions.upper_bound(revision));
}

} // namespace acaciasail::storewatch
