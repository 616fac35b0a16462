#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Report in which a router tells the other routers which rate limits upstreams named to it. A
/// router's reports also show that it is running.
struct LimitReport
{
    /// Differs between any two reports of a router.
    std::int64_t number = 0;
    /// Named limits in requests per second, by upstream process (see processIdOf()).
    std::map<kernel::UpstreamId, double> limits;
    /// Upstream processes that stopped naming a limit a short while ago.
    std::set<kernel::UpstreamId> ended;

    friend bool operator==(const LimitReport &, const LimitReport &) = default;
};

/// Publishes this router's report to all routers, including this one.
using LimitReportPublisher = std::function<void(const LimitReport &report)>;
/// Removes the published report of a router that no longer runs.
using LimitReportRemover = std::function<void(const kernel::VmId &vm)>;

/// A router as its reports show it.
struct KnownRouter
{
    LimitReport report;
    kernel::Instant changedAt{};
};

/// How the routers divide the rate limits that upstreams name. See docs/design/request-limits.md.
struct LimitSharing
{
    kernel::VmId self;
    /// All routers that are not known to be gone, including this one once its report was seen.
    std::map<kernel::VmId, KnownRouter> routers;
    /// Whether the reports were listed, so that the number of routers is known.
    bool routersListed = false;
    /// Whether a limit is in force at any upstream.
    bool limitInForce = false;
    /// Processes that stopped naming a limit to this router, with the time of that.
    std::map<kernel::UpstreamId, kernel::Instant> ended;

    /// Whether another router has reported since this router last checked for a due report.
    bool otherReportSeen = false;
    LimitReport lastReport;
    kernel::Instant lastReportAt{};
    /// Publication times of the reports that were not seen yet, by their numbers.
    std::map<std::int64_t, kernel::Instant> unseenReports;
    /// Time since which this router has held its lease without interruption, and the lease's end.
    kernel::Instant leaseSince{};
    kernel::Instant leaseUntil{};
};

/// Returns the state at the start of a router. A router that is not `shared` has no others beside
/// it. `seed` makes the numbers of its reports differ from those before its restart.
LimitSharing makeLimitSharing(const kernel::VmId &self, std::uint64_t seed, bool shared);

/// Replaces the known reports by a complete list; returns the same as recordReport().
std::vector<kernel::UpstreamId> replaceReports(LimitSharing &sharing,
                                               const std::map<kernel::VmId, LimitReport> &reports,
                                               kernel::Instant now);
/// Records a report. Returns the upstream processes whose limits ended according to it, and not
/// according to the router's previous report.
std::vector<kernel::UpstreamId> recordReport(LimitSharing &sharing, const kernel::VmId &vm,
                                             const LimitReport &report, kernel::Instant now);
void removeReport(LimitSharing &sharing, const kernel::VmId &vm);

/// Forgets the limit that other routers reported of an upstream process.
void forgetReportedLimit(LimitSharing &sharing, const kernel::UpstreamId &process);
/// Returns the smallest limit that other routers report of each upstream process.
std::map<kernel::UpstreamId, double> reportedLimits(const LimitSharing &sharing);

/// Returns the report that is due now; nothing if none is. `ownLimits` are the limits named to this
/// router.
std::optional<LimitReport> takeDueReport(LimitSharing &sharing,
                                         const std::map<kernel::UpstreamId, double> &ownLimits,
                                         kernel::Instant now);

/// Forgets the routers that have reported nothing for too long; returns those whose reports this
/// router should remove.
std::vector<kernel::VmId> expireRouters(LimitSharing &sharing, kernel::Instant now);

/// Returns whether this router may use the shares of the routers that are chosen for an upstream.
bool holdsLease(const LimitSharing &sharing, kernel::Instant now);

/// Why an upstream has a limit.
enum class LimitReason {
    /// The upstream named the limit in its responses.
    Named,
    /// The upstream is cold for a few seconds.
    Cold,
};

/// Returns the number of requests per second that this router may send to an upstream process with
/// a limit of `perSecond`.
double limitShare(const LimitSharing &sharing, const kernel::UpstreamId &process, double perSecond,
                  LimitReason reason, kernel::Instant now);

/// Returns the part of a limit that falls on each router on average.
double averageShare(const LimitSharing &sharing, double perSecond);

} // namespace acaciasail::forwarding
