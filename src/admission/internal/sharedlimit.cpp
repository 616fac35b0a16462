#include "admission/internal/sharedlimit.h"

#include <algorithm>

namespace acaciasail::admission {

namespace {

/// Maximum number of requests per subject whose send times a borrower keeps.
constexpr std::size_t rememberedRequests = 8;
/// Factor by which an owner increases the reported demand when it computes a grant.
constexpr double demandMargin = 1.1;

/// Returns the fraction of a limit that one daemon may use without a grant.
double unaskedShare(const SharedLimitConfig &config, const FleetView &fleet)
{
    return config.unaskedPart / static_cast<double>(std::max<std::size_t>(1, fleet.fleetSize));
}

/// Returns the fraction of a limit that a daemon uses in addition to its share without a grant
/// while the owner is unreachable.
double fallbackShare(const SharedLimitConfig &config, const FleetView &fleet)
{
    return (1 - config.unaskedPart)
           / static_cast<double>(std::max<std::size_t>(1, fleet.fleetSize));
}

bool isBusy(const SharedLimitConfig &config, const FleetView &fleet, double demand)
{
    return demand > config.busyDemand * unaskedShare(config, fleet);
}

/// Returns the fraction of the limit in use in addition to the share without a grant.
double heldAt(const BorrowedLimit &limit, const SharedLimitConfig &config, const FleetView &fleet,
              kernel::Instant now)
{
    if (now < limit.end)
        return limit.fraction;
    const bool cutOff = limit.firstUnanswered && now - *limit.firstUnanswered >= config.grantLife;
    return cutOff ? fallbackShare(config, fleet) : 0;
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
bool ownedByOthers(const SharedLimitState &state, const SharedLimitConfig &config,
                   const FleetView &fleet, const LimitSubject &subject, kernel::Instant now)
{
    return std::ranges::any_of(state.pastViews, [&](const PastView &past) {
        if (now - past.replaced >= config.grantLife)
            return false;
        return past.live.empty() || ownerAmong(past.live, keyOf(subject)) != fleet.self;
    });
}

double inUse(const OwnedLimit::Borrower &borrower, kernel::Instant now)
{
    double most = 0;
    for (const OwnedLimit::Outstanding &grant : borrower.outstanding) {
        if (now < grant.end)
            most = std::max(most, grant.fraction);
    }
    return most;
}

/// Removes grants that the borrower can no longer use, because they have expired or were replaced
/// by a newer grant.
void dropOutdated(OwnedLimit::Borrower &borrower, std::uint64_t heldSequence, kernel::Instant now)
{
    std::erase_if(borrower.outstanding, [&](const OwnedLimit::Outstanding &grant) {
        return now >= grant.end || grant.sequence < heldSequence;
    });
}

double wanted(const SharedLimitConfig &config, const FleetView &fleet, double demand)
{
    return std::max(0.0, demand * demandMargin - unaskedShare(config, fleet));
}

/// Returns the max-min fair share of `total` for the wish `own` among all `wishes`, plus an equal
/// share of the fraction `sparePart` of the remainder.
double fairPart(const std::vector<double> &wishes, double own, double total, double sparePart)
{
    std::vector<double> sorted = wishes;
    std::ranges::sort(sorted);
    double left = total;
    std::size_t others = sorted.size();
    for (const double wish : sorted) {
        const double level = left / static_cast<double>(others);
        if (wish > level)
            return std::min(own, level);
        left -= wish;
        --others;
    }
    return own + left * sparePart / static_cast<double>(sorted.size());
}

/// Returns the fraction of the limit that a borrower should have, regardless of the grants still in
/// use by other borrowers.
double targetOf(const OwnedLimit &owned, const SharedLimitConfig &config, const FleetView &fleet,
                double demand, double total, kernel::Instant now)
{
    std::vector<double> wishes;
    for (const auto &[id, borrower] : owned.borrowers) {
        if (now - borrower.heard < config.grantLife)
            wishes.push_back(wanted(config, fleet, borrower.demand));
    }
    return fairPart(wishes, wanted(config, fleet, demand), total, config.sparePart);
}

/// Returns the fraction of a limit that the owner may grant in total. In a partition, each side may
/// grant only in proportion to the number of daemons that it reaches.
double grantableTotal(const SharedLimitConfig &config, const FleetView &fleet)
{
    const auto reached = static_cast<double>(fleet.live.size());
    const auto all = static_cast<double>(std::max(fleet.fleetSize, fleet.live.size()));
    return (1 - config.unaskedPart) * reached / all;
}

/// Records a request of a borrower. Returns false if the request is a duplicate or older than one
/// already received.
bool hear(OwnedLimit::Borrower &borrower, const GrantRequest &request, kernel::Instant now)
{
    if (request.number <= borrower.lastNumber)
        return false;
    borrower.lastNumber = request.number;
    borrower.demand = request.demand;
    borrower.heard = now;
    dropOutdated(borrower, request.heldSequence, now);
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
    const bool granted = now < limit.end;
    const bool byOwner = granted && limit.grantedBy == ownerOf(fleet, subject);
    const double held = heldAt(limit, config, fleet, now);
    GrantRequest request{ .subject = subject,
                          .from = fleet.self,
                          .number = ++state.lastNumber,
                          .demand = limit.demand,
                          .held = held,
                          .heldFor = granted ? limit.end - now : config.grantLife,
                          .heldSequence = byOwner ? limit.sequence : 0 };
    limit.lastRequest = now;
    if (!limit.firstUnanswered)
        limit.firstUnanswered = now;
    limit.sent[request.number] = now;
    if (limit.sent.size() > rememberedRequests)
        limit.sent.erase(limit.sent.begin());
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

void noteFleet(SharedLimitState &state, const SharedLimitConfig &config, const FleetView &fleet,
               kernel::Instant now)
{
    std::erase_if(state.pastViews,
                  [&](const PastView &past) { return now - past.replaced >= config.grantLife; });
    if (state.live == fleet.live)
        return;
    state.pastViews.push_back({ std::move(state.live), now });
    state.live = fleet.live;
}

void reportDemand(SharedLimitState &state, const SharedLimitConfig &config, const FleetView &fleet,
                  const LimitSubject &subject, double demand, kernel::Instant now)
{
    const auto entry = state.borrowed.find(subject);
    if (entry != state.borrowed.end())
        entry->second.demand = demand;
    else if (isBusy(config, fleet, demand))
        state.borrowed[subject] = BorrowedLimit{ .demand = demand, .end = now };
}

std::vector<OutgoingRequest> dueRequests(SharedLimitState &state, const SharedLimitConfig &config,
                                         const FleetView &fleet, kernel::Instant now)
{
    noteFleet(state, config, fleet, now);
    std::vector<std::pair<kernel::Instant, LimitSubject>> due;
    for (const auto &[subject, limit] : state.borrowed) {
        const kernel::Instant last = limit.lastRequest.value_or(kernel::Instant::min());
        const kernel::Duration interval
            = limit.firstUnanswered ? config.retryInterval : config.requestInterval;
        const bool isDue = !limit.lastRequest || now - last >= interval;
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
    noteFleet(state, config, fleet, now);
    if (ownerOf(fleet, request.subject) != fleet.self)
        return std::nullopt;
    OwnedLimit &owned = state.owned[request.subject];
    OwnedLimit::Borrower &borrower = owned.borrowers[request.from];
    if (!hear(borrower, request, now))
        return std::nullopt;
    const double total = grantableTotal(config, fleet);
    double usedByOthers = 0;
    for (const auto &[id, other] : owned.borrowers) {
        if (id != request.from)
            usedByOthers += inUse(other, now);
    }
    // While grants of an earlier owner may still be in use, existing fractions are confirmed but
    // none is increased.
    const double target = ownedByOthers(state, config, fleet, request.subject, now)
                              ? request.held
                              : targetOf(owned, config, fleet, request.demand, total, now);
    const double fraction = std::clamp(target, 0.0, std::max(0.0, total - usedByOthers));
    const Grant grant{ .subject = request.subject,
                       .number = request.number,
                       .sequence = ++state.lastNumber,
                       .fraction = fraction };
    borrower.outstanding.push_back({ grant.sequence, fraction, now + config.grantLife });
    return grant;
}

void takeGrant(SharedLimitState &state, const SharedLimitConfig &config, const kernel::VmId &from,
               const Grant &grant, kernel::Instant now)
{
    const auto entry = state.borrowed.find(grant.subject);
    if (entry == state.borrowed.end())
        return;
    BorrowedLimit &limit = entry->second;
    const auto sent = limit.sent.find(grant.number);
    if (sent == limit.sent.end() || now - sent->second >= config.grantLife)
        return;
    limit.fraction = grant.fraction;
    limit.sequence = grant.sequence;
    limit.grantedBy = from;
    limit.end = sent->second + config.grantLife;
    limit.firstUnanswered.reset();
    // Further responses to this request and to earlier ones will be ignored.
    limit.sent.erase(limit.sent.begin(), std::next(sent));
}

double fractionOf(const SharedLimitState &state, const SharedLimitConfig &config,
                  const FleetView &fleet, const LimitSubject &subject, kernel::Instant now)
{
    const double unasked = unaskedShare(config, fleet);
    const auto entry = state.borrowed.find(subject);
    if (entry == state.borrowed.end())
        return unasked;
    return unasked + heldAt(entry->second, config, fleet, now);
}

LimitShares sharesAt(const SharedLimitState &state, const SharedLimitConfig &config,
                     const FleetView &fleet, kernel::Instant now)
{
    LimitShares shares{ .defaultFraction = unaskedShare(config, fleet) };
    for (const auto &[subject, limit] : state.borrowed)
        shares.fractions[subject] = fractionOf(state, config, fleet, subject, now);
    return shares;
}

void sweepSharedLimits(SharedLimitState &state, const SharedLimitConfig &config,
                       const FleetView &fleet, kernel::Instant now)
{
    std::erase_if(state.borrowed, [&](const auto &entry) {
        const BorrowedLimit &limit = entry.second;
        return now >= limit.end && !isBusy(config, fleet, limit.demand);
    });
    for (auto &[subject, owned] : state.owned) {
        std::erase_if(owned.borrowers, [&](auto &entry) {
            return now - entry.second.heard >= config.grantLife && inUse(entry.second, now) <= 0;
        });
    }
    std::erase_if(state.owned, [](const auto &entry) { return entry.second.borrowers.empty(); });
}

} // namespace acaciasail::admission
