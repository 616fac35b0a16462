#include "forwarding/internal/placement/upstreamchoice.h"

#include <algorithm>
#include <utility>

#include "forwarding/internal/placement/finishchoice.h"

namespace acaciasail::forwarding {

namespace {

// An upstream may carry this many times the mean work before a key's requests go to other
// upstreams.
constexpr double affinityLoadFactor = 2.0;
// Upstreams in the router's data centre with fewer requests in flight than this are preferred.
constexpr int nearRequestLimit = 2;

// Weight of the newest request in the failure rate.
constexpr double failureRateWeight = 0.15;
constexpr int minRequestsForFailureRate = 6;
constexpr double failureRateToAvoid = 0.35;
// An upstream is avoided only if its failure rate exceeds the failure rate of its service by this
// factor.
constexpr double failureFactorToAvoid = 2;
constexpr int consecutiveFailuresToAvoid = 4;
constexpr kernel::Duration firstAvoidanceTime = std::chrono::seconds(2);
constexpr int maxAvoidanceDoublings = 3;
// First avoidance time of an upstream whose request exceeded the inactivity timeout; the time
// doubles with each ejection.
constexpr kernel::Duration firstSilentAvoidanceTime = std::chrono::milliseconds(500);
// An upstream whose address belongs to another process disappears from the registrations within
// this time.
constexpr kernel::Duration addressTakenAvoidanceTime = std::chrono::seconds(8);
// Delay of the first probe after a connection failure; the delay doubles with each failed probe.
constexpr kernel::Duration firstProbeDelay = std::chrono::milliseconds(100);
constexpr int maxProbeDoublings = 4;
constexpr kernel::Duration overloadAvoidanceTime = std::chrono::milliseconds(100);

const UpstreamRecord &recordOf(const UpstreamRecords &records, const Upstream &upstream)
{
    static const UpstreamRecord unknown;
    const auto found = records.find(upstream.id);
    return found == records.end() ? unknown : found->second;
}

double workAt(const UpstreamRecords &records, const Upstream &upstream)
{
    return recordOf(records, upstream).workInFlight;
}

const Upstream *leastLoaded(const std::vector<const Upstream *> &candidates,
                            const UpstreamRecords &records, kernel::Random &random)
{
    const Upstream *best = nullptr;
    double bestWork = 0;
    int tieCount = 0;
    for (const Upstream *upstream : candidates) {
        const double work = workAt(records, *upstream);
        if (best != nullptr && work > bestWork)
            continue;
        if (best == nullptr || work < bestWork) {
            tieCount = 0;
            bestWork = work;
        }
        // Ties are broken at random with equal probability.
        ++tieCount;
        if (kernel::uniformBelow(random, static_cast<std::uint64_t>(tieCount)) == 0)
            best = upstream;
    }
    return best;
}

UpstreamChoice chooseByAffinity(const std::vector<const Upstream *> &candidates,
                                const UpstreamRecords &records, const UpstreamQuery &query,
                                kernel::Random &random)
{
    double total = query.work;
    for (const Upstream *upstream : candidates)
        total += workAt(records, *upstream);
    const double bound = std::max(
        affinityLoadFactor * total / static_cast<double>(candidates.size()), 2 * query.work);
    // Selects the first upstream in the key's rendezvous-hash order whose work stays within the
    // bound.
    const Upstream *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const Upstream *upstream : candidates) {
        if (workAt(records, *upstream) + query.work > bound)
            continue;
        const std::uint64_t score = kernel::rendezvousScore(query.affinity, upstream->id.str());
        if (best == nullptr || score > bestScore) {
            best = upstream;
            bestScore = score;
        }
    }
    if (best != nullptr)
        return { best, ChoiceReason::Affinity };
    return { leastLoaded(candidates, records, random), ChoiceReason::LeastLoaded };
}

// Moves the upstreams with a rate limit out of the candidates.
std::vector<const Upstream *> takeLimited(std::vector<const Upstream *> &candidates,
                                          const UpstreamRecords &records)
{
    std::vector<const Upstream *> limited;
    std::erase_if(candidates, [&](const Upstream *upstream) {
        if (!recordOf(records, *upstream).notices.pace)
            return false;
        limited.push_back(upstream);
        return true;
    });
    return limited;
}

// Returns whether a request goes to one of the limited upstreams although others could take it. A
// limit counts requests and not their work, so heavy requests use it; others use it only where it
// would otherwise not be used up.
bool usesLimited(const std::vector<const Upstream *> &limited, const UpstreamRecords &records,
                 const UpstreamQuery &query)
{
    return std::ranges::any_of(limited, [&](const Upstream *upstream) {
        return query.isHeavy || isPaceBehind(*recordOf(records, *upstream).notices.pace, query.now);
    });
}

UpstreamChoice chooseNear(const std::vector<const Upstream *> &candidates,
                          const UpstreamRecords &records, const UpstreamQuery &query,
                          kernel::Random &random)
{
    std::vector<const Upstream *> near;
    for (const Upstream *upstream : candidates) {
        if (upstream->dataCentre == query.ownDataCentre
            && recordOf(records, *upstream).inFlight < nearRequestLimit)
            near.push_back(upstream);
    }
    if (const Upstream *upstream = leastLoaded(near, records, random))
        return { upstream, ChoiceReason::Near };
    return { leastLoaded(candidates, records, random), ChoiceReason::LeastLoaded };
}

UpstreamChoice chooseByAffinityOrNear(const std::vector<const Upstream *> &candidates,
                                      const UpstreamRecords &records, const UpstreamQuery &query,
                                      kernel::Random &random)
{
    if (!query.affinity.empty())
        return chooseByAffinity(candidates, records, query, random);
    return chooseNear(candidates, records, query, random);
}

UpstreamChoice chooseLimited(const std::vector<const Upstream *> &limited,
                             const UpstreamRecords &records, const UpstreamQuery &query,
                             kernel::Random &random)
{
    std::vector<const Upstream *> behind;
    std::ranges::copy_if(limited, std::back_inserter(behind), [&](const Upstream *upstream) {
        return isPaceBehind(*recordOf(records, *upstream).notices.pace, query.now);
    });
    const std::vector<const Upstream *> &candidates = behind.empty() ? limited : behind;
    return { chooseByAffinityOrNear(candidates, records, query, random).upstream,
             ChoiceReason::Limited };
}

} // namespace

std::string_view toString(ChoiceReason reason)
{
    switch (reason) {
    case ChoiceReason::Affinity:
        return "affinity";
    case ChoiceReason::LeastLoaded:
        return "least_loaded";
    case ChoiceReason::ExpectedFinish:
        return "expected_finish";
    case ChoiceReason::ReportedLoad:
        return "reported_load";
    case ChoiceReason::Near:
        return "near";
    case ChoiceReason::Limited:
        return "limited";
    case ChoiceReason::AvoidanceIgnored:
        return "avoided_ignored";
    case ChoiceReason::None:
        break;
    }
    return "none";
}

UpstreamChoice chooseUpstream(const std::vector<const Upstream *> &candidates,
                              const UpstreamRecords &records, const UpstreamQuery &query,
                              kernel::Random &random)
{
    std::vector<const Upstream *> preferred;
    std::vector<const Upstream *> avoided;
    bool isAnyLimited = false;
    for (const Upstream *upstream : candidates) {
        if (query.exclude != nullptr && query.exclude->contains(upstream->id))
            continue;
        const UpstreamRecord &record = recordOf(records, *upstream);
        const Availability availability = availabilityOf(record.notices, query.now);
        if (availability == Availability::Unavailable)
            continue;
        // An upstream that was ejected gets a single request at a time until a good response
        // arrives.
        const bool onTrial = record.ejections > 0 && record.inFlight > 0;
        const bool avoid = record.unreachable || record.avoidUntil > query.now || onTrial
                           || availability == Availability::LastResort;
        (avoid ? avoided : preferred).push_back(upstream);
        isAnyLimited = isAnyLimited || record.notices.pace.has_value();
    }
    if (preferred.empty()) {
        const Upstream *upstream = leastLoaded(avoided, records, random);
        return { upstream,
                 upstream != nullptr ? ChoiceReason::AvoidanceIgnored : ChoiceReason::None };
    }
    std::vector<const Upstream *> limited;
    if (isAnyLimited)
        limited = takeLimited(preferred, records);
    if (preferred.empty() || usesLimited(limited, records, query))
        return chooseLimited(limited, records, query, random);
    if (query.finish != nullptr && preferred.size() >= minUpstreamsForFinishChoice)
        return { chooseByFinish(preferred, records, query, random), ChoiceReason::ExpectedFinish };
    preferred = laneUpstreams(std::move(preferred), query.lane, query.longObjectiveFraction);
    return chooseByAffinityOrNear(preferred, records, query, random);
}

std::vector<UpstreamChoice> chooseUpstreams(const std::vector<const Upstream *> &candidates,
                                            const UpstreamRecords &records, UpstreamQuery query,
                                            std::size_t maxCount, kernel::Random &random)
{
    std::set<kernel::UpstreamId> excluded;
    if (query.exclude != nullptr)
        excluded = *query.exclude;
    query.exclude = &excluded;
    std::vector<UpstreamChoice> choices;
    while (choices.size() < maxCount) {
        const UpstreamChoice choice = chooseUpstream(candidates, records, query, random);
        // An avoided upstream is not offered in addition to a good one.
        if (choice.upstream == nullptr
            || (!choices.empty() && choice.reason == ChoiceReason::AvoidanceIgnored))
            break;
        choices.push_back(choice);
        excluded.insert(choice.upstream->id);
    }
    return choices;
}

void recordStart(UpstreamRecord &record, double work)
{
    ++record.inFlight;
    record.workInFlight += work;
}

bool recordFinish(UpstreamRecord &record, AttemptOutcome outcome, double work,
                  double serviceFailureRate, kernel::Instant now)
{
    record.inFlight = std::max(record.inFlight - 1, 0);
    record.workInFlight = record.inFlight == 0 ? 0 : std::max(record.workInFlight - work, 0.0);
    switch (outcome) {
    case AttemptOutcome::Cancelled:
        return false;
    case AttemptOutcome::Overloaded:
        record.avoidUntil = std::max(record.avoidUntil, now + overloadAvoidanceTime);
        return false;
    case AttemptOutcome::Succeeded:
    case AttemptOutcome::Failed:
    case AttemptOutcome::ConnectionBroken:
    case AttemptOutcome::Silent:
        break;
    case AttemptOutcome::AddressTaken:
        record.avoidUntil = now + addressTakenAvoidanceTime;
        return true;
    }
    const bool failed = outcome != AttemptOutcome::Succeeded;
    record.failureRate += failureRateWeight * ((failed ? 1 : 0) - record.failureRate);
    ++record.requestsInFailureRate;
    if (!failed) {
        record.consecutiveFailures = 0;
        record.ejections = 0;
        return false;
    }
    ++record.consecutiveFailures;
    const bool oftenFailing = record.requestsInFailureRate >= minRequestsForFailureRate
                              && record.failureRate > failureRateToAvoid
                              && record.failureRate > failureFactorToAvoid * serviceFailureRate;
    const bool broken = outcome == AttemptOutcome::ConnectionBroken;
    const bool silent = outcome == AttemptOutcome::Silent;
    if (!broken && !silent && !oftenFailing
        && record.consecutiveFailures < consecutiveFailuresToAvoid)
        return false;
    // Requests that fail while the upstream is already avoided or unreachable count as one
    // ejection.
    if (record.unreachable || record.avoidUntil > now)
        return false;
    if (broken) {
        record.unreachable = true;
        record.unreachableSince = now;
        record.probeAt = now + firstProbeDelay;
    } else {
        const int doublings = std::min(record.ejections, maxAvoidanceDoublings);
        record.avoidUntil
            = now + (silent ? firstSilentAvoidanceTime : firstAvoidanceTime) * (1 << doublings);
    }
    ++record.ejections;
    record.consecutiveFailures = 0;
    record.failureRate = 0;
    record.requestsInFailureRate = 0;
    return true;
}

bool markUnreachable(UpstreamRecord &record, kernel::Instant now)
{
    recordFailedProbe(record, now);
    if (std::exchange(record.unreachable, true))
        return false;
    record.unreachableSince = now;
    ++record.ejections;
    return true;
}

void markReachable(UpstreamRecord &record, kernel::Instant now)
{
    record.unreachable = false;
    record.failedProbes = 0;
    record.avoidUntil = now;
}

void recordFailedProbe(UpstreamRecord &record, kernel::Instant now)
{
    const int doublings = std::min(++record.failedProbes, maxProbeDoublings);
    record.probeAt = now + firstProbeDelay * (1 << doublings);
}

} // namespace acaciasail::forwarding
