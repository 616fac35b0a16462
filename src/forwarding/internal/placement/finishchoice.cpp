#include "forwarding/internal/placement/finishchoice.h"

#include <algorithm>
#include <array>

#include "forwarding/internal/crashes/crashevidence.h"
#include "forwarding/internal/placement/costestimate.h"

namespace acaciasail::forwarding {

namespace {

constexpr std::size_t rendezvousCandidates = 3;
constexpr std::size_t holderCandidates = 2;
constexpr std::size_t randomCandidates = 2;
// Finishes that differ by less than this fraction count as equal.
constexpr double nearEqualFraction = 0.1;
// Weight of the time to read the prompt, added to the expected time: reading also delays later
// requests.
constexpr double readPrice = 4;
// Part of the shared tokens that the first upstream in the rendezvous-hash order is expected to
// have read for other routers.
constexpr double assumedCachedShare = 0.9;

struct Scored
{
    std::uint64_t score = 0;
    const Upstream *upstream = nullptr;
};

const UpstreamBacklog &backlogOf(const UpstreamRecords &records, const Upstream &upstream)
{
    static const UpstreamBacklog unknown;
    const auto found = records.find(upstream.id);
    return found == records.end() ? unknown : found->second.backlog;
}

// Returns the first candidates in the rendezvous-hash order of the key, in that order.
std::array<Scored, rendezvousCandidates>
firstInOrder(const std::vector<const Upstream *> &candidates, std::string_view key)
{
    std::array<Scored, rendezvousCandidates> first;
    for (const Upstream *upstream : candidates) {
        Scored scored{ kernel::rendezvousScore(key, upstream->id.str()), upstream };
        for (Scored &place : first) {
            if (place.upstream == nullptr || scored.score > place.score)
                std::swap(place, scored);
            if (scored.upstream == nullptr)
                break;
        }
    }
    return first;
}

void addUnique(std::vector<const Upstream *> &list, const Upstream *upstream)
{
    if (upstream != nullptr && std::ranges::find(list, upstream) == list.end())
        list.push_back(upstream);
}

void addHolders(std::vector<const Upstream *> &list,
                const std::vector<const Upstream *> &candidates, const FinishQuery &query)
{
    std::vector<PromptHolder> holders = query.holders;
    std::ranges::sort(holders, std::ranges::greater(), &PromptHolder::tokens);
    holders.resize(std::min(holders.size(), holderCandidates));
    for (const PromptHolder &holder : holders) {
        const auto found = std::ranges::find_if(candidates, [&](const Upstream *upstream) {
            return holder.process.str().starts_with(upstream->id.str())
                   && processIdOf(*upstream) == holder.process;
        });
        if (found != candidates.end())
            addUnique(list, *found);
    }
}

// Adds what the first upstream in the key's order is expected to have read for other routers.
FinishQuery assumeFirstHolds(const FinishQuery &query, const Upstream *first)
{
    FinishQuery result = query;
    if (first == nullptr)
        return result;
    const kernel::UpstreamId process = processIdOf(*first);
    const double assumed = assumedCachedShare * query.sharedTokens;
    const auto known = std::ranges::find(result.holders, process, &PromptHolder::process);
    if (known == result.holders.end())
        result.holders.push_back({ process, assumed });
    else
        known->tokens = std::max(known->tokens, assumed);
    return result;
}

} // namespace

ExpectedFinish expectedFinish(const Upstream &upstream, const UpstreamBacklog &backlog,
                              const FinishQuery &query, kernel::Instant now)
{
    const auto holder
        = std::ranges::find(query.holders, processIdOf(upstream), &PromptHolder::process);
    const double cached = holder == query.holders.end() ? 0 : holder->tokens;
    ExpectedFinish result;
    result.readMs = query.readMsPerToken * weightedReadTokens(query.promptTokens, cached);
    result.aheadMs = remainingMs(backlog, now);
    result.speed = speedOf(backlog, now);
    result.firstMs = query.baseMs + (result.aheadMs + result.readMs) / result.speed;
    return result;
}

const Upstream *chooseByFinish(const std::vector<const Upstream *> &candidates,
                               const UpstreamRecords &records, const UpstreamQuery &query,
                               kernel::Random &random)
{
    if (candidates.empty() || query.finish == nullptr)
        return nullptr;
    std::vector<const Upstream *> few;
    std::array<Scored, rendezvousCandidates> first{};
    if (!query.affinity.empty())
        first = firstInOrder(candidates, query.affinity);
    for (const Scored &scored : first)
        addUnique(few, scored.upstream);
    addHolders(few, candidates, *query.finish);
    for (std::size_t i = 0; i < randomCandidates; ++i)
        addUnique(few, candidates[kernel::uniformBelow(random, candidates.size())]);
    const FinishQuery finish = assumeFirstHolds(*query.finish, first.front().upstream);
    const Upstream *best = nullptr;
    double bestMs = 0;
    for (const Upstream *upstream : few) {
        const ExpectedFinish expected
            = expectedFinish(*upstream, backlogOf(records, *upstream), finish, query.now);
        const double ms = (expected.firstMs + readPrice * expected.readMs)
                          * (1 + nearEqualFraction * kernel::uniform01(random));
        if (best == nullptr || ms < bestMs) {
            best = upstream;
            bestMs = ms;
        }
    }
    return best;
}

} // namespace acaciasail::forwarding
