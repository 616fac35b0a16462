#include "routing/upstreambench.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <string>

#include "common/queuemodel.h"
#include "routing/routing.h"

namespace acaciasail::bench {

namespace {

using namespace std::chrono_literals;

enum class Policy {
    Random,
    RoundRobin,
    LeastReported,
    Chosen,
};

constexpr int runnerCount = 12;
constexpr int daemonCount = 4;
constexpr int dataCentreCount = 3;
constexpr double load = 0.8;
constexpr double slowRunnerFactor = 3;
constexpr kernel::Duration reportPeriod = 500ms;
constexpr kernel::Duration reportLag = 1s;
constexpr std::uint64_t prefixCount = 60;

/// One shape of request, as the two deployments send them.
struct Shape
{
    double share;
    double inputTokens;
    double outputTokens;
};

/// Long drafts, short answers, tags.
constexpr std::array<Shape, 3> shapes{ Shape{ 0.15, 6000, 900 }, Shape{ 0.45, 1500, 200 },
                                       Shape{ 0.4, 400, 10 } };
constexpr double tokenSpread = 0.5;
constexpr double prefixShare = 0.6;

double normal(kernel::Random &random)
{
    return std::normal_distribution<double>()(random);
}

std::int64_t spreadTokens(double mean, kernel::Random &random)
{
    const double factor = std::exp(tokenSpread * normal(random) - tokenSpread * tokenSpread / 2);
    return std::max<std::int64_t>(1, std::llround(mean * factor));
}

struct Figures
{
    std::vector<double> firstTokens;
    double hits = 0;
};

/// The runners, and daemons that know of them by lagged reports and their own requests.
class Fleet
{
public:
    Fleet(Policy policy, std::uint64_t seed)
        : m_policy(policy)
        , m_random(seed)
    {
        for (int i = 0; i < runnerCount; ++i)
            addRunner(i);
        m_pools.resize(daemonCount);
        m_reported.assign(runnerCount, 0);
        for (int daemon = 0; daemon < daemonCount; ++daemon)
            fillPool(daemon);
        scheduleReports();
        scheduleArrival();
    }

    Figures run(int seconds)
    {
        constexpr kernel::Duration warmUp = 60s;
        m_events.runUntil(kernel::Instant(warmUp));
        m_figures = {};
        m_events.runUntil(kernel::Instant(warmUp + std::chrono::seconds(seconds)));
        return std::move(m_figures);
    }

private:
    void addRunner(int index)
    {
        RunnerOptions options;
        options.slowness = index == 0 ? slowRunnerFactor : 1;
        m_runners.push_back(std::make_unique<RunnerModel>(m_events, options));
        m_ids.emplace_back(std::string("runner-") + static_cast<char>('a' + index));
    }

    void fillPool(int daemon)
    {
        table::Snapshot snapshot;
        for (int i = 0; i < runnerCount; ++i) {
            const auto &id = m_ids[static_cast<std::size_t>(i)];
            snapshot.upstreams[id] = { .id = id, .dataCentre = dataCentre(i) };
        }
        auto &pool = m_pools[static_cast<std::size_t>(daemon)];
        pool.ownDataCentre = dataCentre(daemon);
        routing::syncUpstreams(pool, snapshot, m_ids, m_events.now());
    }

    static kernel::DataCentreId dataCentre(int index)
    {
        return kernel::DataCentreId("dc-" + std::to_string(index % dataCentreCount));
    }

    // Seconds of a slot that a mean request takes, with nothing cached.
    static double meanService()
    {
        const RunnerOptions options;
        double seconds = 0;
        for (const Shape &shape : shapes) {
            seconds += shape.share
                       * (shape.inputTokens * kernel::toSeconds(options.inputToken)
                          + shape.outputTokens * kernel::toSeconds(options.outputToken));
        }
        return seconds;
    }

    void scheduleArrival()
    {
        double slots = 0;
        for (const auto &runner : m_runners)
            slots += static_cast<double>(runner->options().slots) / runner->options().slowness;
        const double rate = load * slots / meanService();
        const double wait = std::exponential_distribution<double>(rate)(m_random);
        m_events.after(kernel::fromSeconds(wait), [this] {
            arrive();
            scheduleArrival();
        });
    }

    void scheduleReports()
    {
        m_events.after(reportPeriod, [this] {
            for (std::size_t i = 0; i < m_runners.size(); ++i)
                report(i);
            scheduleReports();
        });
    }

    void report(std::size_t index)
    {
        const RunnerModel &runner = *m_runners[index];
        const routing::LoadReport report{ .running = runner.running(),
                                          .queued = runner.queued(),
                                          .slots = runner.options().slots,
                                          .age = reportLag };
        m_events.after(reportLag, [this, index, report] {
            m_reported[index] = report.running + report.queued;
            for (auto &pool : m_pools)
                routing::recordLoad(pool, m_ids[index], report, m_events.now());
        });
    }

    std::uint64_t drawPrefix()
    {
        // A few prefixes are much more frequent than the others.
        const double u = kernel::uniform01(m_random);
        return 1 + static_cast<std::uint64_t>(static_cast<double>(prefixCount) * u * u);
    }

    const Shape &drawShape()
    {
        double u = kernel::uniform01(m_random);
        for (const Shape &shape : shapes) {
            if (u < shape.share)
                return shape;
            u -= shape.share;
        }
        return shapes.back();
    }

    void arrive()
    {
        const Shape &shape = drawShape();
        const std::size_t daemon = kernel::uniformBelow(m_random, daemonCount);
        RunnerJob job;
        job.inputTokens = kernel::Tokens(spreadTokens(shape.inputTokens, m_random));
        job.outputTokens = kernel::Tokens(spreadTokens(shape.outputTokens, m_random));
        job.prefix = drawPrefix();
        job.prefixTokens = kernel::Tokens(
            std::llround(prefixShare * static_cast<double>(job.inputTokens.count())));
        const std::size_t index = choose(daemon, job.prefix);
        const std::vector<routing::PrefixHash> prefixes{ job.prefix };
        routing::recordStart(m_pools[daemon], m_ids[index], prefixes, m_events.now());
        const auto firstAt = std::make_shared<kernel::Instant>();
        job.onFirstToken = [this, firstAt](kernel::Duration firstToken, bool hit) {
            *firstAt = m_events.now();
            m_figures.firstTokens.push_back(kernel::toSeconds(firstToken));
            m_figures.hits += hit ? 1 : 0;
        };
        job.onEnd = [this, daemon, index, firstAt, tokens = job.outputTokens] {
            routing::recordEnd(m_pools[daemon], m_ids[index],
                               { .tokens = tokens, .tokensDuration = m_events.now() - *firstAt },
                               m_events.now());
        };
        m_runners[index]->submit(std::move(job));
    }

    std::size_t choose(std::size_t daemon, routing::PrefixHash prefix)
    {
        switch (m_policy) {
        case Policy::Random:
            return kernel::uniformBelow(m_random, runnerCount);
        case Policy::RoundRobin:
            return m_nextRunner++ % runnerCount;
        case Policy::LeastReported:
            return leastReported();
        case Policy::Chosen:
            break;
        }
        const std::vector<routing::PrefixHash> prefixes{ prefix };
        const auto decision = routing::chooseUpstream(
            m_pools[daemon], m_ids, { .prefixes = prefixes, .now = m_events.now() }, m_random);
        return static_cast<std::size_t>(std::ranges::find(m_ids, decision.upstream)
                                        - m_ids.begin());
    }

    // The least loaded by the last report; equal ones are drawn.
    std::size_t leastReported()
    {
        const std::int64_t least = *std::ranges::min_element(m_reported);
        std::vector<std::size_t> equal;
        for (std::size_t i = 0; i < m_reported.size(); ++i) {
            if (m_reported[i] == least)
                equal.push_back(i);
        }
        return equal[kernel::uniformBelow(m_random, equal.size())];
    }

    Policy m_policy;
    kernel::Random m_random;
    EventQueue m_events;
    std::vector<std::unique_ptr<RunnerModel>> m_runners;
    std::vector<kernel::UpstreamId> m_ids;
    std::vector<routing::UpstreamPool> m_pools;
    std::vector<std::int64_t> m_reported;
    std::size_t m_nextRunner = 0;
    Figures m_figures;
};

struct Summary
{
    double p50 = 0;
    double p95 = 0;
    double hitShare = 0;
};

Summary measure(Policy policy, int seeds, int seconds)
{
    Figures all;
    for (int seed = 1; seed <= seeds; ++seed) {
        Figures one = Fleet(policy, static_cast<std::uint64_t>(seed)).run(seconds);
        all.firstTokens.insert(all.firstTokens.end(), one.firstTokens.begin(),
                               one.firstTokens.end());
        all.hits += one.hits;
    }
    const auto count = static_cast<double>(all.firstTokens.size());
    return { quantile(all.firstTokens, 0.5), quantile(all.firstTokens, 0.95), all.hits / count };
}

Line lineOf(const std::string &name, const Summary &summary)
{
    return { name, { summary.p50, summary.p95, summary.hitShare } };
}

} // namespace

std::vector<Bar> runUpstreamBench(int seeds, int seconds)
{
    const Summary random = measure(Policy::Random, seeds, seconds);
    const Summary roundRobin = measure(Policy::RoundRobin, seeds, seconds);
    const Summary reported = measure(Policy::LeastReported, seeds, seconds);
    const Summary chosen = measure(Policy::Chosen, seeds, seconds);
    printTable("Upstream choice: 12 runners, one 3 times slower, 80% load, reports 1 s late",
               { "ttft p50 s", "ttft p95 s", "prefix hits" },
               { lineOf("random", random), lineOf("round robin", roundRobin),
                 lineOf("least loaded by lagged report", reported), lineOf("acaciasail", chosen) });
    return { atMost("first token p95 / round robin's", chosen.p95 / roundRobin.p95, 0.7),
             atMost("first token p95 / least reported's", chosen.p95 / reported.p95, 1.0),
             atLeast("prefix hits / random's", chosen.hitShare / random.hitShare, 1.5) };
}

} // namespace acaciasail::bench
