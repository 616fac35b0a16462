#include "forwarding/internal/limits/limitsharing.h"

#include <algorithm>
#include <utility>

namespace acaciasail::forwarding {

namespace {

// Fractions of a limit: what the chosen routers use together, what all routers use besides, and
// what all routers use together without leases. The rest is a reserve for changes of the routers.
constexpr double chosenFraction = 0.85;
constexpr double commonFraction = 0.1;
constexpr double noLeaseFraction = 0.5;
// Fraction of a cold upstream's limit that all routers use together. Leases play no part: the cold
// time ends before routers could get them, and where some routers hold one for another reason,
// their larger shares would be added to the static shares of the others.
constexpr double coldFraction = 0.7;
// A limit is divided among at most as many routers as get this share each, in requests per second.
constexpr double minChosenShare = 1;
// An upstream that names a lower limit gets requests at this rate, in requests per second, because
// only a response shows that the limit is over.
constexpr double minLimit = 0.1;

// Reports are heartbeats while a limit is in force. All routers together write at most 2.5 per
// second.
constexpr kernel::Duration minReportInterval = std::chrono::seconds(5);
constexpr kernel::Duration reportIntervalPerRouter = std::chrono::milliseconds(400);
// A heartbeat follows that of another router early, after this fraction of the interval. The store
// then delivers most heartbeats together, which saves calls.
constexpr double minFollowFraction = 0.5;
// Minimum interval between two reports if the limits changed.
constexpr kernel::Duration changedReportInterval = std::chrono::milliseconds(300);
// The lease is longer than the interval, so that one late report does not end it; the expiry is
// longer than the lease, so that a router never uses a share that was given to another.
constexpr double leaseIntervals = 2.5;
constexpr kernel::Duration leaseMargin = std::chrono::seconds(1);
constexpr double expiryIntervals = 4;
constexpr kernel::Duration expiryMargin = std::chrono::seconds(3);
// Time that a router with a new lease waits for the others to see its report.
constexpr kernel::Duration joinDelay = std::chrono::seconds(3);
// Leaves room for later numbers, and for readers whose numbers have 53 bits.
constexpr int seedShift = 16;
// While the store is away, only the newest reports can still be seen later.
constexpr std::size_t maxUnseenReports = 8;
// Time for which a report lists an ended limit.
constexpr kernel::Duration endedListTime = std::chrono::seconds(30);

kernel::Duration reportInterval(const LimitSharing &sharing)
{
    return std::max(minReportInterval,
                    reportIntervalPerRouter * static_cast<int>(sharing.routers.size()));
}

std::size_t routerCount(const LimitSharing &sharing)
{
    const std::size_t others = sharing.routers.size() - sharing.routers.count(sharing.self);
    return others + 1;
}

void renewLease(LimitSharing &sharing, std::int64_t reportNumber, kernel::Instant now)
{
    const auto seen = sharing.unseenReports.find(reportNumber);
    if (seen == sharing.unseenReports.end())
        return;
    const bool lapsed = now >= sharing.leaseUntil;
    const kernel::Duration duration
        = kernel::scaled(reportInterval(sharing), leaseIntervals) + leaseMargin;
    sharing.leaseUntil = std::max(sharing.leaseUntil, seen->second + duration);
    sharing.unseenReports.erase(sharing.unseenReports.begin(), std::next(seen));
    if (!lapsed)
        return;
    sharing.leaseSince = now;
    // Without a lease, this router may have missed the reports of others.
    for (auto &[vm, router] : sharing.routers)
        router.changedAt = now;
}

bool isReportedByOther(const LimitSharing &sharing, const kernel::UpstreamId &process)
{
    return std::ranges::any_of(sharing.routers, [&](const auto &item) {
        return item.first != sharing.self && item.second.report.limits.contains(process);
    });
}

// Returns whether a report tells the other routers of a limit or an end of one that they don't know
// yet. Anything else can wait for the next heartbeat.
bool hasNews(const LimitSharing &sharing, const LimitReport &report)
{
    const auto &last = sharing.lastReport.limits;
    const bool newLimit = std::ranges::any_of(report.limits, [&](const auto &item) {
        return !last.contains(item.first) && !isReportedByOther(sharing, item.first);
    });
    return newLimit || !std::ranges::includes(sharing.lastReport.ended, report.ended);
}

// Returns whether this router has one of the `count` highest scores for the process.
bool isChosen(const LimitSharing &sharing, const kernel::UpstreamId &process, std::size_t count)
{
    const std::uint64_t own = kernel::rendezvousScore(process.str(), sharing.self.str());
    const auto ahead = std::ranges::count_if(sharing.routers, [&](const auto &item) {
        return item.first != sharing.self
               && kernel::rendezvousScore(process.str(), item.first.str()) > own;
    });
    return static_cast<std::size_t>(ahead) < count;
}

} // namespace

LimitSharing makeLimitSharing(const kernel::VmId &self, std::uint64_t seed, bool shared)
{
    LimitSharing sharing;
    sharing.self = self;
    sharing.lastReport.number = static_cast<std::int64_t>(seed >> seedShift);
    if (!shared) {
        sharing.routersListed = true;
        sharing.leaseSince = kernel::Instant::min();
        sharing.leaseUntil = kernel::Instant::max();
    }
    return sharing;
}

std::vector<kernel::UpstreamId> replaceReports(LimitSharing &sharing,
                                               const std::map<kernel::VmId, LimitReport> &reports,
                                               kernel::Instant now)
{
    std::erase_if(sharing.routers, [&](const auto &item) { return !reports.contains(item.first); });
    sharing.routersListed = true;
    std::vector<kernel::UpstreamId> ended;
    for (const auto &[vm, report] : reports)
        std::ranges::copy(recordReport(sharing, vm, report, now), std::back_inserter(ended));
    return ended;
}

std::vector<kernel::UpstreamId> recordReport(LimitSharing &sharing, const kernel::VmId &vm,
                                             const LimitReport &report, kernel::Instant now)
{
    const auto [at, added] = sharing.routers.try_emplace(vm, KnownRouter{ report, now });
    if (vm == sharing.self)
        renewLease(sharing, report.number, now);
    if (added || at->second.report.number == report.number)
        return {};
    std::vector<kernel::UpstreamId> ended;
    if (vm != sharing.self) {
        sharing.otherReportSeen = true;
        std::ranges::set_difference(report.ended, at->second.report.ended,
                                    std::back_inserter(ended));
    }
    at->second = { report, now };
    return ended;
}

void removeReport(LimitSharing &sharing, const kernel::VmId &vm)
{
    sharing.routers.erase(vm);
}

void forgetReportedLimit(LimitSharing &sharing, const kernel::UpstreamId &process)
{
    for (auto &[vm, router] : sharing.routers)
        router.report.limits.erase(process);
}

std::map<kernel::UpstreamId, double> reportedLimits(const LimitSharing &sharing)
{
    std::map<kernel::UpstreamId, double> result;
    for (const auto &[vm, router] : sharing.routers) {
        if (vm == sharing.self)
            continue;
        for (const auto &[process, perSecond] : router.report.limits) {
            const auto [at, added] = result.try_emplace(process, perSecond);
            at->second = std::min(at->second, perSecond);
        }
    }
    return result;
}

std::optional<LimitReport> takeDueReport(LimitSharing &sharing,
                                         const std::map<kernel::UpstreamId, double> &ownLimits,
                                         kernel::Instant now)
{
    if (!sharing.routersListed)
        return std::nullopt;
    std::erase_if(sharing.ended, [&](const auto &item) {
        return now - item.second > endedListTime || ownLimits.contains(item.first);
    });
    LimitReport report{ sharing.lastReport.number + 1, ownLimits, {} };
    for (const auto &[process, endedAt] : sharing.ended)
        report.ended.insert(process);
    const bool changed = hasNews(sharing, report);
    const auto known = sharing.routers.find(sharing.self);
    const bool missing = known == sharing.routers.end()
                         || known->second.report.number != sharing.lastReport.number;
    const bool repeated = sharing.limitInForce || missing;
    if (!changed && !repeated)
        return std::nullopt;
    const bool first = sharing.lastReportAt == kernel::Instant{};
    const bool follows = std::exchange(sharing.otherReportSeen, false);
    kernel::Duration interval = reportInterval(sharing);
    if (changed)
        interval = changedReportInterval;
    else if (follows)
        interval = kernel::scaled(interval, minFollowFraction);
    if (!first && now - sharing.lastReportAt < interval)
        return std::nullopt;
    sharing.lastReport = report;
    sharing.lastReportAt = now;
    sharing.unseenReports[report.number] = now;
    if (sharing.unseenReports.size() > maxUnseenReports)
        sharing.unseenReports.erase(sharing.unseenReports.begin());
    return report;
}

std::vector<kernel::VmId> expireRouters(LimitSharing &sharing, kernel::Instant now)
{
    if (now >= sharing.leaseUntil)
        return {};
    const kernel::Duration expiry
        = kernel::scaled(reportInterval(sharing), expiryIntervals) + expiryMargin;
    std::vector<kernel::VmId> expired;
    for (const auto &[vm, router] : sharing.routers) {
        if (vm != sharing.self && now - router.changedAt > expiry)
            expired.push_back(vm);
    }
    for (const kernel::VmId &vm : expired)
        sharing.routers.erase(vm);
    std::erase_if(expired, [&](const kernel::VmId &vm) {
        return !isChosen(sharing, kernel::UpstreamId(vm.str()), 1);
    });
    return expired;
}

bool holdsLease(const LimitSharing &sharing, kernel::Instant now)
{
    return now < sharing.leaseUntil && now >= sharing.leaseSince + joinDelay;
}

double limitShare(const LimitSharing &sharing, const kernel::UpstreamId &process, double perSecond,
                  LimitReason reason, kernel::Instant now)
{
    const double limit = std::max(perSecond, minLimit);
    const std::size_t routers = routerCount(sharing);
    const bool cold = reason == LimitReason::Cold;
    if (cold || !holdsLease(sharing, now)) {
        const double fraction = cold ? coldFraction : noLeaseFraction;
        return sharing.routersListed ? fraction * limit / static_cast<double>(routers) : 0;
    }
    const std::size_t chosen = std::clamp<std::size_t>(
        static_cast<std::size_t>(std::min(limit / minChosenShare, static_cast<double>(routers))), 1,
        routers);
    const double common = commonFraction * limit / static_cast<double>(routers);
    if (!isChosen(sharing, process, chosen))
        return common;
    return common + chosenFraction * limit / static_cast<double>(chosen);
}

double averageShare(const LimitSharing &sharing, double perSecond)
{
    return (chosenFraction + commonFraction) * std::max(perSecond, minLimit)
           / static_cast<double>(routerCount(sharing));
}

} // namespace acaciasail::forwarding
