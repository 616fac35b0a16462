#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Rounds to the precision of the wire format, so that evidence which returns from other routers
/// compares equal.
inline kernel::WallTime toWholeMilliseconds(kernel::WallTime time)
{
    return std::chrono::floor<std::chrono::milliseconds>(time);
}

/// Keeps the newest entries of a map of times.
template<class Key>
void keepNewest(std::map<Key, kernel::WallTime> &times, std::size_t count)
{
    if (times.size() <= count)
        return;
    std::vector<kernel::WallTime> sorted;
    sorted.reserve(times.size());
    for (const auto &[key, time] : times)
        sorted.push_back(time);
    const auto oldestKept = sorted.end() - static_cast<std::ptrdiff_t>(count);
    std::ranges::nth_element(sorted, oldestKept);
    std::erase_if(times, [limit = *oldestKept](const auto &item) { return item.second < limit; });
}

} // namespace acaciasail::forwarding
