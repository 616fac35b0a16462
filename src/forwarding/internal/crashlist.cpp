#include "forwarding/internal/crashlist.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

constexpr kernel::Duration memory = std::chrono::minutes(5);
constexpr std::size_t maxEntries = 1024;

void forgetOldest(CrashList &list)
{
    const auto oldest = std::ranges::min_element(
        list.entries, {}, [](const auto &item) { return item.second.lastSeen; });
    list.entries.erase(oldest);
}

} // namespace

int noteCrash(CrashList &list, RequestFingerprint fingerprint, const kernel::UpstreamId &upstream,
              kernel::Instant now)
{
    CrashList::Entry &entry = list.entries[fingerprint];
    entry.upstreams.insert(upstream);
    entry.lastSeen = now;
    ++entry.crashes;
    const int crashes = entry.crashes;
    if (list.entries.size() > maxEntries)
        forgetOldest(list);
    return crashes;
}

void noteRan(CrashList &list, RequestFingerprint fingerprint)
{
    list.entries.erase(fingerprint);
}

bool crashesUpstreams(const CrashList &list, RequestFingerprint fingerprint, kernel::Instant now)
{
    const auto found = list.entries.find(fingerprint);
    return found != list.entries.end() && found->second.crashes >= maxCrashes
           && now - found->second.lastSeen < memory;
}

} // namespace acaciasail::forwarding
