#pragma once

#include <set>

#include "kernel/kernel.h"

namespace acaciasail::storewatch {

/// The store's positions whose change this router has seen, of any kind of object. The store
/// numbers all changes of one history with one counter, so a position that is missing here is a
/// change that this router has not heard of.
class SeenPositions
{
public:
    void add(kernel::StorePosition position);
    /// Returns whether all changes after the first position, up to and including the second one,
    /// were seen. What lies between positions of two histories is not known.
    bool containsAll(kernel::StorePosition after, kernel::StorePosition upTo) const;
    /// Forgets the positions up to and including this one.
    void forgetUpTo(kernel::StorePosition position);

private:
    std::set<kernel::StorePosition> m_positions;
};

} // namespace acaciasail::storewatch
