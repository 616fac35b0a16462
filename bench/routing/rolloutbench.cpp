#include "routing/rolloutbench.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <string>

#include "routing/routing.h"

namespace acaciasail::bench {

namespace {

using namespace std::chrono_literals;

constexpr int daemonCount = 5;
constexpr double requestsPerSecond = 10;
constexpr double exposure = 0.1;
/// Evidence reaches the other daemons this often.
constexpr kernel::Duration mergePeriod = 1s;
constexpr double ratedShare = 0.4;
constexpr kernel::Duration ratingDelay = 10s;
constexpr int requestLimit = 1000;

/// How a version behaves.
struct Behaviour
{
    double errorShare = 0.01;
    double quality = 0.8;
    double latencyFactor = 1;
};

struct PendingRating
{
    kernel::Instant due;
    std::size_t daemon = 0;
    kernel::VersionId version;
    double score = 0;
};

/// One roll-out under traffic, until a daemon halts it or enough requests went by.
class RolloutRun
{
public:
    RolloutRun(const Behaviour &candidate, std::uint64_t seed)
        : m_candidate(candidate)
        , m_random(seed)
    {
        m_rollout = { .id = kernel::RolloutId("r"),
                      .baseline = kernel::VersionId("old"),
                      .candidate = kernel::VersionId("new"),
                      .exposure = exposure };
        m_snapshot.rollouts[m_rollout.id] = m_rollout;
        table::buildIndexes(m_snapshot);
        for (std::size_t i = 0; i < m_books.size(); ++i)
            m_books.at(i).self = "vm-" + std::to_string(i);
        // The deployment's error share, and its spread of ratings and latencies, differ by seed.
        m_baseline.errorShare = 0.002 + 0.02 * kernel::uniform01(m_random);
        m_candidate.errorShare = std::max(m_candidate.errorShare, m_baseline.errorShare);
        m_ratingSpread = 0.12 + 0.08 * kernel::uniform01(m_random);
        m_latencySpread = 0.5 + 0.5 * kernel::uniform01(m_random);
    }

    struct Outcome
    {
        bool halted = false;
        int candidateRequests = 0;
    };

    Outcome run(int maxCandidateRequests)
    {
        Outcome outcome;
        kernel::Instant nextMerge{ mergePeriod };
        while (outcome.candidateRequests < maxCandidateRequests) {
            const double wait = std::exponential_distribution<double>(requestsPerSecond)(m_random);
            m_now += kernel::fromSeconds(wait);
            const bool isCandidate = kernel::uniform01(m_random) < exposure;
            outcome.candidateRequests += isCandidate ? 1 : 0;
            request(isCandidate);
            takeRatings();
            if (m_now < nextMerge)
                continue;
            nextMerge = m_now + mergePeriod;
            const auto judgement = merge();
            if (judgement.verdict == routing::RolloutVerdict::Halt) {
                outcome.halted = true;
                outcome.candidateRequests += requestsUntilHaltIsKnown();
                break;
            }
        }
        return outcome;
    }

private:
    double normal() { return std::normal_distribution<double>()(m_random); }

    void request(bool isCandidate)
    {
        const Behaviour &behaviour = isCandidate ? m_candidate : m_baseline;
        const auto version = isCandidate ? m_rollout.candidate : m_rollout.baseline;
        const std::size_t daemon = kernel::uniformBelow(m_random, m_books.size());
        const bool error = kernel::uniform01(m_random) < behaviour.errorShare;
        const double seconds = 0.3 * behaviour.latencyFactor * std::exp(m_latencySpread * normal());
        routing::RolloutOutcome outcome{ .error = error };
        if (!error)
            outcome.latency = kernel::fromSeconds(seconds);
        routing::recordOutcome(m_books.at(daemon), m_snapshot, version, outcome);
        if (!error && kernel::uniform01(m_random) < ratedShare) {
            const double score
                = std::clamp(behaviour.quality + m_ratingSpread * normal(), 0.0, 1.0);
            m_ratings.push_back({ m_now + ratingDelay, daemon, version, score });
        }
    }

    // The other daemons go on until the halt reaches them.
    int requestsUntilHaltIsKnown()
    {
        const double rate = requestsPerSecond * exposure * (daemonCount - 1) / daemonCount;
        const double mean = rate * kernel::toSeconds(mergePeriod);
        return std::poisson_distribution<int>(mean)(m_random);
    }

    void takeRatings()
    {
        while (!m_ratings.empty() && m_ratings.front().due <= m_now) {
            const PendingRating &rating = m_ratings.front();
            routing::recordOutcome(m_books.at(rating.daemon), m_snapshot, rating.version,
                                   { .rating = rating.score });
            m_ratings.pop_front();
        }
    }

    // Each daemon sends its own part to the first, which judges.
    routing::RolloutJudgement merge()
    {
        for (const auto &book : m_books) {
            routing::recordEvidence(m_books.front(),
                                    { m_rollout.id, routing::ownEvidence(book, m_rollout.id) });
        }
        return routing::judgeRollout(m_rollout, m_books.front().evidence[m_rollout.id]);
    }

    Behaviour m_baseline;
    Behaviour m_candidate;
    kernel::Random m_random;
    table::RolloutRow m_rollout;
    table::Snapshot m_snapshot;
    std::array<routing::RolloutEvidenceStore, daemonCount> m_books;
    std::deque<PendingRating> m_ratings;
    kernel::Instant m_now{};
    double m_ratingSpread = 0;
    double m_latencySpread = 0;
};

struct Exposure
{
    double median = 0;
    double p99 = 0;
    double most = 0;
    double haltedShare = 0;
};

Exposure measure(const Behaviour &candidate, int seeds, int limit)
{
    std::vector<double> requests;
    double halted = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
        const auto outcome = RolloutRun(candidate, static_cast<std::uint64_t>(seed)).run(limit);
        requests.push_back(outcome.candidateRequests);
        halted += outcome.halted ? 1 : 0;
    }
    Exposure exposed{ .median = quantile(requests, 0.5), .p99 = quantile(requests, 0.99) };
    exposed.most = *std::ranges::max_element(requests);
    exposed.haltedShare = halted / seeds;
    return exposed;
}

Line lineOf(const std::string &name, const Exposure &exposed)
{
    return { name, { exposed.median, exposed.p99, exposed.most, exposed.haltedShare } };
}

} // namespace

std::vector<Bar> runRolloutBench(int badSeeds, int goodSeeds, int goodRequests)
{
    const Exposure errors = measure({ .errorShare = 0.3 }, badSeeds, requestLimit);
    const Exposure quality = measure({ .quality = 0.8 * 0.8 }, badSeeds, requestLimit);
    const Exposure latency = measure({ .latencyFactor = 5 }, badSeeds, requestLimit);
    const Exposure good = measure({ .errorShare = 0 }, goodSeeds, goodRequests);
    printTable("Roll-outs at 10% exposure: requests of the new version until the halt",
               { "median", "p99", "most", "halted" },
               { lineOf("errors 30%", errors), lineOf("quality down by a fifth", quality),
                 lineOf("latency times 5", latency), lineOf("good version", good) });
    return { atMost("bad version, errors: p99 of requests until the halt", errors.p99, 150),
             atMost("bad version, quality: p99 of requests until the halt", quality.p99, 150),
             atMost("bad version, latency: p99 of requests until the halt", latency.p99, 150),
             atMost("good version: share of roll-outs halted", good.haltedShare, 0.01) };
}

} // namespace acaciasail::bench
