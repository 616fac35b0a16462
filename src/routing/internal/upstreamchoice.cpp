#include "routing/internal/upstreamchoice.h"

#include <algorithm>
#include <limits>

namespace acaciasail::routing {

namespace {

/// Number of upstreams sampled at random, of which the least loaded is chosen.
constexpr std::size_t sampleCount = 4;
/// Maximum ratio between the score of an upstream with the cached prefix and the score of the least
/// loaded sampled upstream.
constexpr double maxPrefixScoreRatio = 2;
/// Score up to which an upstream with the cached prefix is chosen in any case. For an average local
/// upstream the score is the load as a fraction of the slots.
constexpr double alwaysAcceptableScore = 1;
/// Factor on the score of an upstream in another data centre.
constexpr double remoteScoreFactor = 1.25;
/// Lower bound of the slow-start factor, by which the score of an upstream is divided.
constexpr double minSlowStartFactor = 0.1;
/// Number of slots assumed while it is unknown.
constexpr std::int64_t assumedSlots = 8;

/// An upstream that may be chosen.
struct Candidate
{
    const kernel::UpstreamId *id = nullptr;
    const UpstreamLoad *load = nullptr;
    double score = std::numeric_limits<double>::infinity();

    explicit operator bool() const { return id != nullptr; }
};

double slowStartFactor(const UpstreamLoad &load, kernel::Instant now)
{
    const double passed
        = kernel::toSeconds(now - load.slowStartSince) / kernel::toSeconds(slowStartTime);
    return std::clamp(passed, minSlowStartFactor, 1.0);
}

double loadPerSlot(const UpstreamLoad &load)
{
    const auto slots = static_cast<double>(load.slots > 0 ? load.slots : assumedSlots);
    return static_cast<double>(load.ownInFlight + load.othersInFlight + 1) / slots;
}

// Returns an estimate of the time that a request would take, relative to other upstreams. Lower is
// better.
double scoreOf(const UpstreamPool &pool, const UpstreamLoad &load, kernel::Instant now)
{
    const bool hasTokenTimes = load.tokenSeconds > 0 && pool.tokenSeconds > 0;
    const double slowness = hasTokenTimes ? load.tokenSeconds / pool.tokenSeconds : 1;
    const double distance = load.dataCentre == pool.ownDataCentre ? 1 : remoteScoreFactor;
    const double failures = 1 + load.failureRate;
    return loadPerSlot(load) * slowness * distance * failures / slowStartFactor(load, now);
}

bool isExcluded(const UpstreamQuery &query, const kernel::UpstreamId &id)
{
    return std::ranges::find(query.exclude, id) != query.exclude.end();
}

// Returns the candidate with this id and its score, or an empty candidate if the upstream must not
// be chosen now.
Candidate makeCandidate(const UpstreamPool &pool, const UpstreamQuery &query,
                        const kernel::UpstreamId &id)
{
    const auto found = pool.upstreams.find(id);
    if (found == pool.upstreams.end() || found->second.leaving || isExcluded(query, id))
        return {};
    const UpstreamLoad &load = found->second;
    if (load.ejected && query.now < load.ejectedUntil)
        return {};
    return { &found->first, &load, scoreOf(pool, load, query.now) };
}

void updateBest(Candidate &best, const Candidate &other)
{
    if (other && other.score < best.score)
        best = other;
}

Candidate bestOfAll(const UpstreamPool &pool, std::span<const kernel::UpstreamId> candidates,
                    const UpstreamQuery &query)
{
    Candidate best;
    for (const kernel::UpstreamId &id : candidates)
        updateBest(best, makeCandidate(pool, query, id));
    return best;
}

Candidate bestOfSample(const UpstreamPool &pool, std::span<const kernel::UpstreamId> candidates,
                       const UpstreamQuery &query, kernel::Random &random)
{
    if (candidates.size() <= sampleCount)
        return bestOfAll(pool, candidates, query);
    Candidate best;
    for (std::size_t i = 0; i < sampleCount; ++i) {
        const std::uint64_t sampled = kernel::uniformBelow(random, candidates.size());
        updateBest(best, makeCandidate(pool, query, candidates[sampled]));
    }
    return best ? best : bestOfAll(pool, candidates, query);
}

bool isCandidate(std::span<const kernel::UpstreamId> candidates, const kernel::UpstreamId &id)
{
    return std::ranges::binary_search(candidates, id);
}

// Returns the least loaded upstream among those that have the longest known prefix cached.
Candidate prefixHolder(const UpstreamPool &pool, std::span<const kernel::UpstreamId> candidates,
                       const UpstreamQuery &query)
{
    for (auto prefix = query.prefixes.rbegin(); prefix != query.prefixes.rend(); ++prefix) {
        const auto holders = pool.prefixes.holders.find(*prefix);
        if (holders == pool.prefixes.holders.end())
            continue;
        Candidate best;
        for (const kernel::UpstreamId &id : holders->second.upstreams) {
            if (!id.empty() && isCandidate(candidates, id))
                updateBest(best, makeCandidate(pool, query, id));
        }
        if (best)
            return best;
    }
    return {};
}

// Returns the owner of the shortest prefix by rendezvous hashing, on which all routers agree
// without communication.
Candidate prefixOwner(const UpstreamPool &pool, std::span<const kernel::UpstreamId> candidates,
                      const UpstreamQuery &query)
{
    const kernel::UpstreamId *owner = nullptr;
    std::uint64_t highest = 0;
    for (const kernel::UpstreamId &id : candidates) {
        const std::uint64_t score = kernel::hash64(id.str(), query.prefixes.front());
        if (owner == nullptr || score > highest) {
            owner = &id;
            highest = score;
        }
    }
    return owner == nullptr ? Candidate{} : makeCandidate(pool, query, *owner);
}

bool hasAcceptableLoad(const Candidate &holder, const Candidate &leastLoaded)
{
    const double ratio = holder.score / leastLoaded.score;
    return ratio <= maxPrefixScoreRatio || (holder.score <= alwaysAcceptableScore);
}

UpstreamDecision chosen(const Candidate &candidate, UpstreamReason reason)
{
    return { kernel::ResultCode::Ok, *candidate.id, reason };
}

// If all candidates are ejected, a request to an upstream that may have recovered is better than a
// refusal.
UpstreamDecision earliestReturning(const UpstreamPool &pool,
                                   std::span<const kernel::UpstreamId> candidates,
                                   const UpstreamQuery &query)
{
    const kernel::UpstreamId *first = nullptr;
    kernel::Instant earliest = kernel::Instant::max();
    for (const kernel::UpstreamId &id : candidates) {
        const auto found = pool.upstreams.find(id);
        if (found == pool.upstreams.end() || found->second.leaving || isExcluded(query, id))
            continue;
        if (first == nullptr || found->second.ejectedUntil < earliest) {
            first = &id;
            earliest = found->second.ejectedUntil;
        }
    }
    if (first == nullptr)
        return {};
    return { kernel::ResultCode::Ok, *first, UpstreamReason::EjectedIgnored };
}

} // namespace

std::string_view toString(UpstreamReason reason)
{
    switch (reason) {
    case UpstreamReason::PrefixHeld:
        return "prefix_held";
    case UpstreamReason::PrefixOwner:
        return "prefix_home";
    case UpstreamReason::LeastLoaded:
        return "least_loaded";
    case UpstreamReason::OnlyUpstream:
        return "only_upstream";
    case UpstreamReason::EjectedIgnored:
        return "ejected_ignored";
    case UpstreamReason::None:
        break;
    }
    return "none";
}

UpstreamDecision chooseUpstream(const UpstreamPool &pool,
                                std::span<const kernel::UpstreamId> candidates,
                                const UpstreamQuery &query, kernel::Random &random)
{
    const Candidate leastLoaded = bestOfSample(pool, candidates, query, random);
    if (!leastLoaded)
        return earliestReturning(pool, candidates, query);
    if (candidates.size() == 1)
        return chosen(leastLoaded, UpstreamReason::OnlyUpstream);
    if (query.prefixes.empty())
        return chosen(leastLoaded, UpstreamReason::LeastLoaded);
    const Candidate holder = prefixHolder(pool, candidates, query);
    if (holder && hasAcceptableLoad(holder, leastLoaded))
        return chosen(holder, UpstreamReason::PrefixHeld);
    if (!holder) {
        const Candidate owner = prefixOwner(pool, candidates, query);
        if (owner && hasAcceptableLoad(owner, leastLoaded))
            return chosen(owner, UpstreamReason::PrefixOwner);
    }
    return chosen(leastLoaded, UpstreamReason::LeastLoaded);
}

} // namespace acaciasail::routing
