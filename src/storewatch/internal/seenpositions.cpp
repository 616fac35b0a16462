#include "storewatch/internal/seenpositions.h"

#include <iterator>

namespace acaciasail::storewatch {

namespace {

// Bounds the memory if a watcher stays behind; a forgotten position counts as not seen.
constexpr std::size_t maxPositions = 10'000;

} // namespace

void SeenPositions::add(kernel::StorePosition position)
{
    m_positions.insert(position);
    if (m_positions.size() > maxPositions)
        m_positions.erase(m_positions.begin());
}

bool SeenPositions::containsAll(kernel::StorePosition after, kernel::StorePosition upTo) const
{
    if (upTo <= after)
        return true;
    if (after.epoch != upTo.epoch)
        return false;
    const auto seen = std::distance(m_positions.upper_bound(after), m_positions.upper_bound(upTo));
    return seen == (upTo.revision - after.revision).count();
}

void SeenPositions::forgetUpTo(kernel::StorePosition position)
{
    m_positions.erase(m_positions.begin(), m_positions.upper_bound(position));
}

} // namespace acaciasail::storewatch
