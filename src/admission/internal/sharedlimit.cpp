#include "admission/internal/sharedlimit.h"

#include <algorithm>

namespace acaciasail::admission {

namespace {

/// Maximum number of requests per subject whose send times a borrower keeps.
constexpr std::size_t maxTrackedRequests = 8;
/// Factor by which an owner increases the reported demand when it computes a grant.
constexpr double demandMargin = 1.1;

/// Returns the fraction of a limit that one daemon may use without a grant.
double guaranteedShare(const SharedLimitConfig &config, const FleetView &fleet)
{
    return config.guaranteedFraction
           / static_cast<double>(std::max<std::size_t>(1, fleet.fleetSize));
}

/// Returns the fraction of a limit that a daemon uses in addition to its guaranteed share while
/// the owner is unreachable.
double fallbackShare(const SharedLimitConfig &config, const FleetView &fleet)
{
    return (1 - config.guaranteedFraction)
           / static_cast<double>(std::max<std::size_t>(1, fleet.fleetSize));
}

bool isBusy(const SharedLimitConfig &config, const FleetView &fleet, double demand)
{
    return demand > config.busyDemandFraction * guaranteedShare(config, fleet);
}

/// Returns the fraction of the limit in use in addition to the guaranteed share.
double heldFraction(const BorrowedLimit &limit, const SharedLimitConfig &config,
                    const FleetView &fleet, kernel::Instant now)
{
    if (now < limit.expiresAt)
        return limit.fraction;
    const bool ownerUnreachable
        = limit.firstUnansweredAt && now - *limit.firstUnansweredAt >= config.grantLifetime;
    return ownerUnreachable ? fallbackShare(config, fleet) : 0;
}

const kernel::VmId &ownerAmong(const std::vector<kernel::VmId> &live, const std::string &key)
{
    return *std::ranges::max_element(live, {}, [&](const kernel::VmId &member) {
        return std::pair(kernel::rendezvousScore(key, member.str()), member);
    });
}

std::string keyOf(const LimitSubject &subject)
{
    return (subject.scope == table::LimitScope::Caller ? "c/" : "w/") + subject.id;
}

/// Returns whether grants that another daemon issued for this subject may still be in use.
bool hasGrantsOfOtherOwners(const SharedLimitState &state, const SharedLimitConfig &config,
                            const FleetView &fleet, const LimitSubject &subject,
                            kernel::Instant now)
{
    return std::ranges::any_of(state.previousViews, [&](const PreviousView &previous) {
        if (now - previous.replacedAt >= config.grantLifetime)
            return false;
        return previous.live.empty() || ownerAmong(previous.live, keyOf(subject)) != fleet.self;
    });
}

double fractionInUse(const OwnedLimit::Borrower &borrower, kernel::Instant now)
{
    double largest = 0;
    for (const OwnedLimit::Outstanding &grant : borrower.outstanding) {
        if (now < grant.expiresAt)
            largest = std::max(largest, grant.fraction);
    }
    return largest;
}

/// Removes grants that the borrower can no longer use, because they have expired or were replaced
/// by a newer grant.
void dropUnusableGrants(OwnedLimit::Borrower &borrower, std::uint64_t heldSequence,
                        kernel::Instant now)
{
    std::erase_if(borrower.outstanding, [&](const OwnedLimit::Outstanding &grant) {
        return now >= grant.expiresAt || grant.sequence < heldSequence;
    });
}

double wantedFraction(const SharedLimitConfig &config, const FleetView &fleet, double demand)
{
    return std::max(0.0, demand * demandMargin - guaranteedShare(config, fleet));
}

/// Returns the max-min fair share of `total` for the demand `own`, which is one of `demands`. If
/// `total` exceeds the sum of the demands, `spareFraction` of the excess is divided equally among
/// the borrowers, and one such part is added to the result.
double maxMinFairShare(const std::vector<double> &demands, double own, double total,
                       double spareFraction)
{
    std::vector<double> sorted = demands;
    std::ranges::sort(sorted);
    double remaining = total;
    std::size_t remainingBorrowers = sorted.size();
    for (const double demand : sorted) {
        const double level = remaining / static_cast<double>(remainingBorrowers);
        if (demand > level)
            return std::min(own, level);
        remaining -= demand;
        --remainingBorrowers;
    }
    return own + remaining * spareFraction / static_cast<double>(sorted.size());
}

/// Returns the fraction of the limit that a borrower should have, regardless of the grants still in
/// use by other borrowers.
double targetFraction(const OwnedLimit &owned, const SharedLimitConfig &config,
                      const FleetView &fleet, double demand, double total, kernel::Instant now)
{
    std::vector<double> demands;
    for (const auto &[id, borrower] : owned.borrowers) {
        if (now - borrower.lastContactAt < config.grantLifetime)
            demands.push_back(wantedFraction(config, fleet, borrower.demand));
    }
    return maxMinFairShare(demands, wantedFraction(config, fleet, demand), total,
                           config.spareFraction);
}

/// Returns the fraction of a limit that the owner may grant in total. In a partition, each side may
/// grant only in proportion to the number of daemons that it reaches.
double grantableFraction(const SharedLimitConfig &config, const FleetView &fleet)
{
    const auto reached = static_cast<double>(fleet.live.size());
    const auto all = static_cast<double>(std::max(fleet.fleetSize, fleet.live.size()));
    return (1 - config.guaranteedFraction) * reached / all;
}

/// Records a request of a borrower. Returns false if the request is a duplicate or older than one
/// already received.
bool recordRequest(OwnedLimit::Borrower &borrower, const GrantRequest &request, kernel::Instant now)
{
    if (request.number <= borrower.lastNumber)
        return false;
    borrower.lastNumber = request.number;
    borrower.demand = request.demand;
    borrower.lastContactAt = now;
    dropUnusableGrants(borrower, request.heldSequence, now);
    // A fraction that another owner granted, or that the borrower uses while the owner is
    // unreachable, counts as in use until its end.
    if (request.heldSequence == 0 && request.held > 0) {
        std::erase_if(borrower.outstanding, [](const auto &grant) { return grant.sequence == 0; });
        borrower.outstanding.push_back({ 0, request.held, now + request.heldFor });
    }
    return true;
}

GrantRequest makeRequest(SharedLimitState &state, const SharedLimitConfig &config,
                         const FleetView &fleet, const LimitSubject &subject, BorrowedLimit &limit,
                         kernel::Instant now)
{
    const bool granted = now < limit.expiresAt;
    const bool byOwner = granted && limit.grantedBy == ownerOf(fleet, subject);
    const double held = heldFraction(limit, config, fleet, now);
    GrantRequest request{ .subject = subject,
                          .from = fleet.self,
                          .number = ++state.lastNumber,
                          .demand = limit.demand,
                          .held = held,
                          .heldFor = granted ? limit.expiresAt - now : config.grantLifetime,
                          .heldSequence = byOwner ? limit.sequence : 0 };
    limit.lastRequestAt = now;
    if (!limit.firstUnansweredAt)
        limit.firstUnansweredAt = now;
    limit.sentAt[request.number] = now;
    if (limit.sentAt.size() > maxTrackedRequests)
        limit.sentAt.erase(limit.sentAt.begin());
    return request;
}

} // namespace

SharedLimitState makeSharedLimitState(std::uint64_t firstNumber)
{
    return SharedLimitState{ .lastNumber = firstNumber };
}

const kernel::VmId &ownerOf(const FleetView &fleet, const LimitSubject &subject)
{
    return ownerAmong(fleet.live, keyOf(subject));
}

void recordFleetView(SharedLimitState &state, const SharedLimitConfig &config,
                     const FleetView &fleet, kernel::Instant now)
{
    std::erase_if(state.previousViews, [&](const PreviousView &previous) {
        return now - previous.replacedAt >= config.grantLifetime;
    });
    if (state.live == fleet.live)
        return;
    state.previousViews.push_back({ std::move(state.live), now });
    state.live = fleet.live;
}

void recordDemand(SharedLimitState &state, const SharedLimitConfig &config, const FleetView &fleet,
                  const LimitSubject &subject, double demand, kernel::Instant now)
{
    const auto entry = state.borrowed.find(subject);
    if (entry != state.borrowed.end())
        entry->second.demand = demand;
    else if (isBusy(config, fleet, demand))
        state.borrowed[subject] = BorrowedLimit{ .demand = demand, .expiresAt = now };
}

std::vector<OutgoingRequest> dueRequests(SharedLimitState &state, const SharedLimitConfig &config,
                                         const FleetView &fleet, kernel::Instant now)
{
    recordFleetView(state, config, fleet, now);
    std::vector<std::pair<kernel::Instant, LimitSubject>> due;
    for (const auto &[subject, limit] : state.borrowed) {
        const kernel::Instant last = limit.lastRequestAt.value_or(kernel::Instant::min());
        const kernel::Duration interval
            = limit.firstUnansweredAt ? config.retryInterval : config.requestInterval;
        const bool isDue = !limit.lastRequestAt || now - last >= interval;
        if (isDue && isBusy(config, fleet, limit.demand))
            due.emplace_back(last, subject);
    }
    std::ranges::sort(due);
    if (due.size() > config.maxRequestsPerCall)
        due.resize(config.maxRequestsPerCall);
    std::vector<OutgoingRequest> requests;
    for (const auto &[last, subject] : due) {
        BorrowedLimit &limit = state.borrowed.at(subject);
        requests.push_back(
            { ownerOf(fleet, subject), makeRequest(state, config, fleet, subject, limit, now) });
    }
    return requests;
}

std::optional<Grant> answerRequest(SharedLimitState &state, const SharedLimitConfig &config,
                                   const FleetView &fleet, const GrantRequest &request,
                                   kernel::Instant now)
{
    recordFleetView(state, config, fleet, now);
    if (ownerOf(fleet, request.subject) != fleet.self)
        return std::nullopt;
    OwnedLimit &owned = state.owned[request.subject];
    OwnedLimit::Borrower &borrower = owned.borrowers[request.from];
    if (!recordRequest(borrower, request, now))
        return std::nullopt;
    const double total = grantableFraction(config, fleet);
    double usedByOthers = 0;
    for (const auto &[id, other] : owned.borrowers) {
        if (id != request.from)
            usedByOthers += fractionInUse(other, now);
    }
    // While grants of an earlier owner may still be in use, existing fractions are confirmed but
    // none is increased.
    const double target = hasGrantsOfOtherOwners(state, config, fleet, request.subject, now)
                              ? request.held
                              : targetFraction(owned, config, fleet, request.demand, total, now);
    const double fraction = std::clamp(target, 0.0, std::max(0.0, total - usedByOthers));
    const Grant grant{ .subject = request.subject,
                       .number = request.number,
                       .sequence = ++state.lastNumber,
                       .fraction = fraction };
    borrower.outstanding.push_back({ grant.sequence, fraction, now + config.grantLifetime });
    return grant;
}

void applyGrant(SharedLimitState &state, const SharedLimitConfig &config, const kernel::VmId &from,
                const Grant &grant, kernel::Instant now)
{
    const auto entry = state.borrowed.find(grant.subject);
    if (entry == state.borrowed.end())
        return;
    BorrowedLimit &limit = entry->second;
    const auto sentAt = limit.sentAt.find(grant.number);
    if (sentAt == limit.sentAt.end() || now - sentAt->second >= config.grantLifetime)
        return;
    limit.fraction = grant.fraction;
    limit.sequence = grant.sequence;
    limit.grantedBy = from;
    limit.expiresAt = sentAt->second + config.grantLifetime;
    limit.firstUnansweredAt.reset();
    // Further responses to this request and to earlier ones will be ignored.
    limit.sentAt.erase(limit.sentAt.begin(), std::next(sentAt));
}

double fractionOf(const SharedLimitState &state, const SharedLimitConfig &config,
                  const FleetView &fleet, const LimitSubject &subject, kernel::Instant now)
{
    const double guaranteed = guaranteedShare(config, fleet);
    const auto entry = state.borrowed.find(subject);
    if (entry == state.borrowed.end())
        return guaranteed;
    return guaranteed + heldFraction(entry->second, config, fleet, now);
}

LimitShares sharesAt(const SharedLimitState &state, const SharedLimitConfig &config,
                     const FleetView &fleet, kernel::Instant now)
{
    LimitShares shares{ .defaultFraction = guaranteedShare(config, fleet) };
    for (const auto &[subject, limit] : state.borrowed)
        shares.fractions[subject] = fractionOf(state, config, fleet, subject, now);
    return shares;
}

void sweepSharedLimits(SharedLimitState &state, const SharedLimitConfig &config,
                       const FleetView &fleet, kernel::Instant now)
{
    std::erase_if(state.borrowed, [&](const auto &entry) {
        const BorrowedLimit &limit = entry.second;
        return now >= limit.expiresAt && !isBusy(config, fleet, limit.demand);
    });
    for (auto &[subject, owned] : state.owned) {
        std::erase_if(owned.borrowers, [&](auto &entry) {
            return now - entry.second.lastContactAt >= config.grantLifetime
                   && fractionInUse(entry.second, now) <= 0;
        });
    }
    std::erase_if(state.owned, [](const auto &entry) { return entry.second.borrowers.empty(); });
}

} // namespace acaciasail::admission
