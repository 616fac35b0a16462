#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"
#include "table/table.h"

namespace acaciasail::routing {

/// Hash of the first blocks of a prompt, as used in the engines' cache events.
using PrefixHash = std::uint64_t;

/// State of one upstream as known to this router.
struct UpstreamLoad
{
    kernel::DataCentreId dataCentre;
    /// Number of requests that the upstream runs concurrently; 0 while unknown.
    std::int64_t slots = 0;
    /// This router's requests in flight at the upstream.
    std::int64_t ownInFlight = 0;
    /// Running and queued requests of other routers, as of the last load report.
    std::int64_t othersInFlight = 0;
    /// Time at which the load in the last report was measured.
    kernel::Instant reportedAt{};
    /// Exponentially weighted moving average of the time per token, in seconds; 0 while unknown.
    double tokenSeconds = 0;
    int consecutiveFailures = 0;
    /// Exponentially weighted moving average of the failure rate of requests.
    double failureRate = 0;
    /// Consecutive ejections without a successful response between them.
    int ejections = 0;
    /// The upstream gets no requests before this time.
    kernel::Instant ejectedUntil{};
    bool ejected = false;
    /// Start of the slow start: when the upstream was added to the pool, or its last ejection
    /// ended.
    kernel::Instant slowStartSince{};
    bool leaving = false;
};

/// Upstreams that probably have a prefix in their prompt caches.
struct PrefixHolders
{
    static constexpr std::size_t maxUpstreams = 4;
    std::array<kernel::UpstreamId, maxUpstreams> upstreams;
    /// Index of the entry that the next upstream replaces.
    std::uint8_t next = 0;
};

/// Bounded index of the upstreams that have a prefix cached. Cache events arrive late and some are
/// missing, so the entries are only hints.
struct PrefixHints
{
    std::unordered_map<PrefixHash, PrefixHolders> holders;
    /// Keys of `holders`, oldest first, for eviction.
    std::deque<PrefixHash> order;
};

constexpr std::size_t maxPrefixHints = 16384;

/// The upstreams to which this router sends requests.
struct UpstreamPool
{
    kernel::DataCentreId ownDataCentre;
    std::unordered_map<kernel::UpstreamId, UpstreamLoad> upstreams;
    /// The pool's upstreams by loaded version and by service, sorted by id: the candidate sets for
    /// chooseUpstream().
    std::unordered_map<kernel::VersionId, std::vector<kernel::UpstreamId>> upstreamsByVersion;
    std::unordered_map<kernel::ServiceName, std::vector<kernel::UpstreamId>> upstreamsByService;
    /// Exponentially weighted moving average of the time per token over all upstreams, in seconds;
    /// 0 while unknown. An upstream whose own value is unknown is assumed to have this value.
    double tokenSeconds = 0;
    PrefixHints prefixes;
};

/// Maximum fraction of the upstreams, not counting leaving ones, that may be ejected at the same
/// time.
constexpr double maxEjectedFraction = 1.0 / 3;
/// Time over which an upstream that is new or has returned ramps up to its full share of requests.
constexpr kernel::Duration slowStartTime = std::chrono::seconds(20);

/// Replaces the pool's upstreams by these. Upstreams that stay keep their state, and new ones get a
/// slow start. An upstream whose state in the table is "leaving" gets no new requests from then
/// on.
void syncUpstreams(UpstreamPool &pool, const table::Snapshot &snapshot,
                   std::span<const kernel::UpstreamId> upstreams, kernel::Instant now);

/// Records that a request whose prompt has these prefixes was sent.
void recordStart(UpstreamPool &pool, const kernel::UpstreamId &upstream,
                 std::span<const PrefixHash> prefixes, kernel::Instant now);

/// Records that the first token has arrived, which shows that the upstream responds.
void recordFirstToken(UpstreamPool &pool, const kernel::UpstreamId &upstream);

enum class AttemptEnd {
    Ok,
    /// The upstream failed: connect error, broken connection, timeout, server error.
    Failed,
    /// The upstream refused the request because of its load, which is no sign of bad health.
    Overloaded,
    /// The router or the caller cancelled the request, which says nothing about the upstream's
    /// health.
    Cancelled,
};

/// Outcome of a request at an upstream.
struct AttemptFacts
{
    AttemptEnd end = AttemptEnd::Ok;
    /// Number of tokens after the first, and the time from the first token to the last.
    kernel::Tokens tokens;
    kernel::Duration tokensDuration{ 0 };
};

/// State change of an upstream caused by an observation, for the log.
enum class UpstreamChange {
    None,
    Ejected,
    Returned,
    /// The upstream was not ejected, although it failed often, because the maximum number is
    /// ejected already.
    EjectionCapped,
    Leaving,
};

std::string_view toString(UpstreamChange change);

/// Records that a request ended. Ejects an upstream that fails often, unless the cap is reached.
UpstreamChange recordEnd(UpstreamPool &pool, const kernel::UpstreamId &upstream,
                         const AttemptFacts &attempt, kernel::Instant now);

/// Load as reported by the upstream. Reports arrive late.
struct LoadReport
{
    std::int64_t running = 0;
    std::int64_t queued = 0;
    std::int64_t slots = 0;
    /// Age of the measurements.
    kernel::Duration age{ 0 };
};

void recordLoad(UpstreamPool &pool, const kernel::UpstreamId &upstream, const LoadReport &report,
                kernel::Instant now);

/// A change of an engine's prompt cache.
struct CacheEvent
{
    PrefixHash prefix = 0;
    bool evicted = false;
};

void recordCacheEvent(UpstreamPool &pool, const kernel::UpstreamId &upstream,
                      const CacheEvent &event);

/// Records that the upstream is leaving, according to the table, the VM list or the upstream
/// itself. It gets no new requests from then on.
UpstreamChange recordLeaving(UpstreamPool &pool, const kernel::UpstreamId &upstream);

} // namespace acaciasail::routing
