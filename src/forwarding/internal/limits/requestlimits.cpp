#include "forwarding/internal/limits/requestlimits.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

// Upper bound of the time that a refused caller is told to wait because of rate limits. Some of the
// callers that were told to come back do not, so later times would be too pessimistic.
constexpr kernel::Duration maxRetryTime = std::chrono::seconds(10);
// An upstream that was unreachable for a shorter time can't have restarted.
constexpr kernel::Duration minRestartTime = std::chrono::milliseconds(500);

void logPace(const ForwardingState &state, const kernel::UpstreamId &upstream, double limit,
             double pace)
{
    kernel::logEvent(kernel::EventId::UpstreamLimited,
                     { { "upstream", upstream },
                       { "change", "pace" },
                       { "per_second", limit },
                       { "pace_per_second", pace },
                       { "routers", state.limitSharing.routers.size() },
                       { "lease", holdsLease(state.limitSharing, state.scheduler.now()) } });
}

bool isAnyLimitKnown(const ForwardingState &state)
{
    const kernel::Instant now = state.scheduler.now();
    return std::ranges::any_of(state.records, [now](const auto &item) {
        const UpstreamNotices &notices = item.second.notices;
        return notices.limit || notices.pace || isCold(notices, now);
    });
}

const Service *findService(const ForwardingState &state, const kernel::ServiceName &name)
{
    const Configuration *configuration = state.directory.configuration.get();
    if (configuration == nullptr)
        return nullptr;
    const auto found = configuration->services.find(name);
    return found == configuration->services.end() ? nullptr : &found->second;
}

// Returns the limit of a cold upstream in requests per second; nothing if the upstream isn't cold
// or its service has no such limit.
std::optional<double> coldLimit(const ForwardingState &state, const Upstream &upstream,
                                const UpstreamNotices &notices)
{
    if (!isCold(notices, state.scheduler.now()))
        return std::nullopt;
    const Service *service = findService(state, upstream.service);
    if (service == nullptr || service->coldPerSecond <= 0)
        return std::nullopt;
    return service->coldPerSecond;
}

// Returns the limit that applies to an upstream: the lower of the one that it named and the one for
// cold upstreams; nothing if there is neither.
std::optional<double> limitInForce(std::optional<double> named, std::optional<double> cold)
{
    if (named && cold)
        return std::min(*named, *cold);
    return named ? named : cold;
}

std::optional<double> reportedLimit(const ForwardingState &state, const Upstream &upstream)
{
    const auto reported = reportedLimits(state.limitSharing);
    const auto found = reported.find(processIdOf(upstream));
    return found == reported.end() ? std::nullopt : std::optional(found->second);
}

// Returns the number of requests per second that limited upstreams of a service accept from each
// router on average.
double averageLimitedRate(const ForwardingState &state, const kernel::ServiceName &service)
{
    double rate = 0;
    for (const Upstream *upstream :
         candidateUpstreams(state.directory, service, VersionChoice::Any)) {
        const auto record = state.records.find(upstream->id);
        if (record != state.records.end() && record->second.notices.pace)
            rate += averageShare(state.limitSharing, record->second.notices.pace->limit);
    }
    return rate;
}

} // namespace

std::map<kernel::UpstreamId, double> namedLimits(const ForwardingState &state)
{
    std::map<kernel::UpstreamId, double> limits;
    for (const auto &[id, record] : state.records) {
        if (!record.notices.limit)
            continue;
        const auto known = state.directory.upstreams.find(id);
        if (known != state.directory.upstreams.end())
            limits[processIdOf(known->second.entry)] = record.notices.limit->perSecond;
    }
    return limits;
}

void recordColdUpstream(ForwardingState &state, const Upstream &upstream, kernel::Duration time)
{
    // A registration may arrive before the configuration; the cold time is recorded all the same.
    const Service *service = findService(state, upstream.service);
    if (time <= kernel::Duration::zero() || (service != nullptr && service->coldPerSecond <= 0))
        return;
    UpstreamRecord &record = state.records[upstream.id];
    const bool wasCold = isCold(record.notices, state.scheduler.now());
    recordCold(record.notices, state.scheduler.now() + time);
    applyLimit(state, upstream, reportedLimit(state, upstream));
    if (wasCold)
        return;
    kernel::logEvent(kernel::EventId::UpstreamCold,
                     { { "upstream", upstream.id },
                       { "data_centre", upstream.dataCentre },
                       { "cold_ms", kernel::toMilliseconds(time) },
                       { "per_second", service != nullptr ? service->coldPerSecond : 0 } });
}

void recordRegisteredCold(ForwardingState &state, const Upstream &upstream)
{
    kernel::Duration &applied = state.records[upstream.id].appliedColdTime;
    if (applied == upstream.coldFor)
        return;
    applied = upstream.coldFor;
    recordColdUpstream(state, upstream, upstream.coldFor);
}

void recordColdReturn(ForwardingState &state, const Upstream &upstream)
{
    const auto record = state.records.find(upstream.id);
    const Service *service = findService(state, upstream.service);
    if (record == state.records.end() || service == nullptr
        || state.scheduler.now() - record->second.unreachableSince < minRestartTime)
        return;
    restartPace(record->second.notices.pace, state.scheduler.now(), state.random);
    recordColdUpstream(state, upstream, service->coldTime);
}

void recordColdDataCentre(ForwardingState &state, const kernel::DataCentreId &dataCentre)
{
    for (const auto &[id, known] : state.directory.upstreams) {
        const Service *service = findService(state, known.entry.service);
        if (known.entry.dataCentre != dataCentre || service == nullptr)
            continue;
        restartPace(state.records[id].notices.pace, state.scheduler.now(), state.random);
        recordColdUpstream(state, known.entry, service->coldTime);
    }
}

void applyLimit(ForwardingState &state, const Upstream &upstream, std::optional<double> reported)
{
    const auto found = state.records.find(upstream.id);
    if (found == state.records.end())
        return;
    UpstreamNotices &notices = found->second.notices;
    const std::optional<double> named
        = notices.limit ? std::optional(notices.limit->perSecond) : reported;
    const std::optional<double> limit = limitInForce(named, coldLimit(state, upstream, notices));
    if (!limit) {
        if (notices.pace)
            logPace(state, upstream.id, 0, 0);
        notices.pace.reset();
        return;
    }
    const kernel::Instant now = state.scheduler.now();
    const LimitReason reason = named && *limit == *named ? LimitReason::Named : LimitReason::Cold;
    const double share = limitShare(state.limitSharing, processIdOf(upstream), *limit, reason, now);
    if (setPace(notices.pace, share, now, state.random))
        logPace(state, upstream.id, *limit, share);
    notices.pace->limit = *limit;
    if (!named)
        notices.pace->namedSince.reset();
    else if (!notices.pace->namedSince)
        notices.pace->namedSince = now;
    if (named)
        state.limitSharing.limitInForce = true;
}

void applyLimits(ForwardingState &state)
{
    const auto reported = reportedLimits(state.limitSharing);
    state.limitSharing.limitInForce = false;
    if (reported.empty() && !isAnyLimitKnown(state))
        return;
    for (const auto &[id, known] : state.directory.upstreams) {
        const auto limit = reported.find(processIdOf(known.entry));
        applyLimit(state, known.entry,
                   limit == reported.end() ? std::nullopt : std::optional(limit->second));
    }
}

std::size_t countColdUpstreams(const ForwardingState &state)
{
    const kernel::Instant now = state.scheduler.now();
    return static_cast<std::size_t>(std::ranges::count_if(
        state.records, [now](const auto &item) { return isCold(item.second.notices, now); }));
}

std::size_t countLimitedUpstreams(const ForwardingState &state)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        state.records, [](const auto &item) { return item.second.notices.pace.has_value(); }));
}

void endNamedLimits(ForwardingState &state, const std::vector<kernel::UpstreamId> &processes)
{
    for (const kernel::UpstreamId &process : processes) {
        forgetReportedLimit(state.limitSharing, process);
        for (const auto &[id, known] : state.directory.upstreams) {
            const auto record = state.records.find(id);
            if (record != state.records.end() && processIdOf(known.entry) == process)
                record->second.notices.limit.reset();
        }
    }
}

std::optional<kernel::Duration> reserveRetryTime(ForwardingState &state,
                                                 const kernel::ServiceName &service)
{
    const std::optional<kernel::Duration> cooldown = remainingCooldown(state, service);
    const double rate = averageLimitedRate(state, service);
    if (rate <= 0)
        return cooldown;
    const kernel::Instant now = state.scheduler.now();
    kernel::Instant &reservedUntil = state.retriesReservedUntil[service];
    const kernel::Instant next = std::min(
        std::max(reservedUntil, now) + kernel::fromSeconds(1 / rate), now + maxRetryTime);
    if (cooldown && now + *cooldown < next)
        return cooldown;
    reservedUntil = next;
    return next - now;
}

} // namespace acaciasail::forwarding
