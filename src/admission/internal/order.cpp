#include "admission/internal/order.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::admission {

namespace {

/// Factor by which the weight of earlier requests in the service rate decays with each finished
/// request.
constexpr double serviceRateDecay = 0.98;
/// Lower bound of the capacity fraction that a wait estimate assumes.
constexpr double minShare = 0.001;
/// Upper bound of the estimated cost of the requests that are served before a waiting request of a
/// caller with a debt (see CallerQueueState::debt), including later arrivals, as a multiple of the
/// cost in the queue.
constexpr double maxOvertakingFactor = 3;

std::size_t indexOf(table::Rank rank)
{
    return static_cast<std::size_t>(rank);
}

/// Returns the measured cost per second at full capacity, or 0 if no request has finished yet.
double capacityRateOf(const PoolState &pool)
{
    if (pool.finishedSeconds <= 0)
        return 0;
    return pool.finishedCost / pool.finishedSeconds
           * static_cast<double>(std::max<std::int64_t>(pool.capacity, 1));
}

/// Returns the rank with waiting requests that is furthest below its floor, counting only a deficit
/// beyond the one that `floorDelay` allows.
std::optional<table::Rank> mostOverdueRank(const PoolState &pool, const AdmissionConfig &config)
{
    const double costPerFloorDelay = capacityRateOf(pool) * kernel::toSeconds(config.floorDelay);
    std::optional<table::Rank> overdueRank;
    double maxOverdue = 0;
    for (std::size_t i = 0; i < pool.ranks.size(); ++i) {
        const RankState &rank = pool.ranks[i];
        const double overdue = rank.floorCredit - config.ranks[i].floor * costPerFloorDelay;
        if (rank.queue.empty() || overdue <= maxOverdue)
            continue;
        maxOverdue = overdue;
        overdueRank = static_cast<table::Rank>(i);
    }
    return overdueRank;
}

std::int64_t headroom(const PoolState &pool, const AdmissionConfig &config)
{
    const double slots = static_cast<double>(pool.capacity) * config.urgentHeadroom;
    return static_cast<std::int64_t>(std::ceil(slots));
}

/// Returns the fraction of the capacity that remains for a rank after more urgent requests and the
/// floors of less urgent ranks, but at least the rank's own floor.
double availableShare(const PoolState &pool, const AdmissionConfig &config, table::Rank rank,
                      double capacityRate, kernel::Instant now)
{
    double used = 0;
    for (std::size_t i = 0; i < pool.ranks.size(); ++i) {
        if (i < indexOf(rank))
            used += rateAt(pool.ranks[i].startedCostRate, now) / capacityRate;
        if (i > indexOf(rank) && !pool.ranks[i].queue.empty())
            used += config.ranks[i].floor;
    }
    return std::max({ 1 - used, config.ranks[indexOf(rank)].floor, minShare });
}

} // namespace

std::optional<Turn> nextTurn(const PoolState &pool, const AdmissionConfig &config)
{
    const std::optional<table::Rank> overdueRank = mostOverdueRank(pool, config);
    if (pool.running < pool.capacity) {
        if (overdueRank)
            return Turn{ *overdueRank, AdmissionReason::FloorTurn };
        for (std::size_t i = 0; i < pool.ranks.size(); ++i) {
            if (!pool.ranks[i].queue.empty())
                return Turn{ static_cast<table::Rank>(i), AdmissionReason::FairTurn };
        }
        return std::nullopt;
    }
    const bool urgentWaits = !pool.ranks[indexOf(table::Rank::Urgent)].queue.empty();
    if (urgentWaits && headroomFree(pool, config))
        return Turn{ table::Rank::Urgent, AdmissionReason::UrgentHeadroom };
    return std::nullopt;
}

bool headroomFree(const PoolState &pool, const AdmissionConfig &config)
{
    // Urgent requests do not use the headroom at the expense of another rank's floor: a rank that
    // is overdue gets the next free slot.
    const std::optional<table::Rank> overdueRank = mostOverdueRank(pool, config);
    const bool otherRankOverdue = overdueRank && *overdueRank != table::Rank::Urgent;
    return !otherRankOverdue && pool.running < pool.capacity + headroom(pool, config);
}

void chargeStart(PoolState &pool, const AdmissionConfig &config, table::Rank rank, double cost,
                 kernel::Instant now)
{
    for (std::size_t i = 0; i < pool.ranks.size(); ++i) {
        RankState &rankState = pool.ranks[i];
        if (!rankState.queue.empty())
            rankState.floorCredit += config.ranks[i].floor * cost;
        else
            rankState.floorCredit = std::min(rankState.floorCredit, 0.0);
    }
    // The credit does not fall below the negative cost of this request, so that service above the
    // floor does not count against the rank later, except for this one request.
    RankState &served = pool.ranks[indexOf(rank)];
    served.floorCredit = std::max(served.floorCredit - cost, -cost);
    addToRate(served.startedCostRate, cost, now);
}

void correctCharge(PoolState &pool, const AdmissionConfig &config, table::Rank rank,
                   double difference)
{
    for (std::size_t i = 0; i < pool.ranks.size(); ++i) {
        RankState &rankState = pool.ranks[i];
        if (rankState.queue.empty())
            continue;
        rankState.floorCredit += config.ranks[i].floor * difference;
        if (i == indexOf(rank))
            rankState.floorCredit -= difference;
    }
}

void recordServiceRate(PoolState &pool, double cost, kernel::Duration runTime)
{
    constexpr auto minRunTime = std::chrono::milliseconds(1);
    pool.finishedCost = pool.finishedCost * serviceRateDecay + cost;
    pool.finishedSeconds = pool.finishedSeconds * serviceRateDecay
                           + kernel::toSeconds(std::max<kernel::Duration>(runTime, minRunTime));
}

kernel::Duration expectedWait(const PoolState &pool, const AdmissionConfig &config,
                              table::Rank rank, const CallerQueueState &caller, double ownCost,
                              kernel::Instant now)
{
    const double capacityRate = capacityRateOf(pool);
    if (capacityRate <= 0)
        return kernel::Duration::zero();
    const auto queuedCost = static_cast<double>(pool.ranks[indexOf(rank)].queue.cost());
    const double share = std::max(caller.share, minShare);
    // If the caller has a debt, the other callers of its workspace are served first until they have
    // received as much service in proportion to their weights. This includes requests that they
    // submit in the meantime. The number of these requests is unknown, so the estimate is bounded
    // by a multiple of the cost in the queue.
    const double overtakingCost
        = std::min(maxOvertakingFactor * queuedCost,
                   caller.debt / std::max(caller.shareIfAllBacklogged, minShare));
    const double costAhead = std::max(std::min(queuedCost, ownCost / share), overtakingCost);
    double urgentCostAhead = 0;
    for (std::size_t i = 0; i < indexOf(rank); ++i)
        urgentCostAhead += static_cast<double>(pool.ranks[i].queue.cost());
    const double available = availableShare(pool, config, rank, capacityRate, now);
    const double waitByShare = (urgentCostAhead + costAhead / available) / capacityRate;
    // The floor guarantees the rank a minimum rate, which bounds the delay caused by more urgent
    // queues.
    const double floor = std::max(config.ranks[indexOf(rank)].floor, minShare);
    const double waitByFloor = costAhead / (floor * capacityRate);
    constexpr double maxWaitSeconds = 86'400;
    return kernel::fromSeconds(std::min({ waitByShare, waitByFloor, maxWaitSeconds }));
}

} // namespace acaciasail::admission
