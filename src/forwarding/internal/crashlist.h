#pragma once

#include <cstdint>
#include <map>
#include <set>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Hash of what makes a request the same when it comes again: workspace, path and body.
using RequestFingerprint = std::uint64_t;

/// Requests whose upstreams crashed while they ran them.
struct CrashList
{
    struct Entry
    {
        std::set<kernel::UpstreamId> upstreams;
        int crashes = 0;
        kernel::Instant lastSeen{};
    };
    std::map<RequestFingerprint, Entry> entries;
};

/// Crashes after which a request is not sent any more.
constexpr int maxCrashes = 3;

/// An upstream broke off while it ran the request; tells the number of its crashes.
int noteCrash(CrashList &list, RequestFingerprint fingerprint, const kernel::UpstreamId &upstream,
              kernel::Instant now);
/// The request ran to its end, so it crashes nobody.
void noteRan(CrashList &list, RequestFingerprint fingerprint);
/// Whether the request must not be sent again.
bool crashesUpstreams(const CrashList &list, RequestFingerprint fingerprint, kernel::Instant now);

} // namespace acaciasail::forwarding
