#include "admission/workload.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_map>

namespace acaciasail::bench {

namespace {

using admission::AdmissionOutcome;
using admission::AdmissionRequest;

/// Part of a request's work that comes before its first token.
constexpr double promptPart = 0.1;
/// Estimates are off by up to this factor to either side.
constexpr double estimateError = 1.5;

kernel::Instant at(double seconds)
{
    return kernel::Instant{} + kernel::fromSeconds(seconds);
}

/// One run of a workload: the runners, the policy and what was measured.
class Simulation
{
public:
    Simulation(const Workload &workload, const Policy &policy)
        : m_workload(workload)
        , m_policy(policy)
        , m_runners(workload.slots, workload.tokensPerSlotSecond)
    {
        // Each source draws from its own numbers, so that one more source changes no other.
        for (std::size_t i = 0; i < workload.sources.size(); ++i) {
            m_randoms.emplace_back(workload.seed + 1000 * i);
            m_nextArrivals.push_back(after(i, at(workload.sources[i].fromSeconds)));
        }
        m_policy.setCapacity(static_cast<std::int64_t>(workload.slots));
    }

    Figures run()
    {
        const kernel::Instant end = at(m_workload.seconds);
        while (step(end)) {
        }
        double capacity = m_runners.capacity();
        m_figures.goodput /= capacity * (m_workload.seconds - m_workload.measureFrom);
        return std::move(m_figures);
    }

private:
    /// A job under way, for its measurement.
    struct Known
    {
        AdmissionRequest ask;
        double tokens = 0;
    };

    bool step(kernel::Instant end)
    {
        const auto arrival = std::ranges::min_element(m_nextArrivals);
        const kernel::Instant loss = m_lost ? kernel::Instant::max() : at(m_workload.lossAtSeconds);
        const kernel::Instant tick = m_now + std::chrono::milliseconds(250);
        const kernel::Instant next = std::min({ *arrival, m_runners.nextEnd(), loss, tick });
        if (next >= end)
            return false;
        m_now = next;
        if (next == loss)
            loseSlots();
        else if (next == *arrival)
            arrive(static_cast<std::size_t>(arrival - m_nextArrivals.begin()));
        else if (next == m_runners.nextEnd())
            finishJob();
        release();
        return true;
    }

    kernel::Instant after(std::size_t index, kernel::Instant now)
    {
        const Source &source = m_workload.sources[index];
        const double rate = source.tokensPerSecond / source.meanTokens;
        const double gap = -std::log(1 - kernel::uniform01(m_randoms[index])) / rate;
        const kernel::Instant next = now + kernel::fromSeconds(gap);
        return next < at(source.toSeconds) ? next : kernel::Instant::max();
    }

    /// Uniform on a logarithmic scale between a third and three times; the mean is `mean`.
    static double size(double mean, kernel::Random &random)
    {
        constexpr double spread = 3;
        constexpr double meanOfSpread = (spread - 1 / spread) / (2 * 1.0986122886681098);
        const double exponent = 2 * kernel::uniform01(random) - 1;
        return mean * std::pow(spread, exponent) / meanOfSpread;
    }

    void arrive(std::size_t index)
    {
        const Source &source = m_workload.sources[index];
        kernel::Random &random = m_randoms[index];
        m_nextArrivals[index] = after(index, m_now);
        const std::string workspace
            = "w" + std::to_string(kernel::uniformBelow(random, source.workspaces));
        const auto caller = source.firstCaller
                            + static_cast<int>(kernel::uniformBelow(random, source.callersEach));
        const double tokens = size(source.meanTokens, random);
        const double error = std::pow(estimateError, 2 * kernel::uniform01(random) - 1);
        AdmissionRequest ask{ .request = kernel::RequestId(std::to_string(++m_lastRequest)),
                              .workspace = kernel::WorkspaceId(workspace),
                              .caller = kernel::CallerId(workspace + "c" + std::to_string(caller)),
                              .rank = source.rank,
                              .estimate
                              = kernel::Tokens(static_cast<std::int64_t>(tokens * error) + 1),
                              .arrived = m_now };
        m_known[ask.request] = { ask, tokens };
        RankFigures &rank = figuresOf(ask);
        rank.arrived += measuring() ? 1 : 0;
        const auto decision = m_policy.admit(ask, m_now);
        if (decision.outcome == AdmissionOutcome::Admitted)
            start(ask.request);
        else if (decision.outcome == AdmissionOutcome::Refused)
            refuse(ask.request);
    }

    void release()
    {
        for (const auto &one : m_policy.release(m_now)) {
            if (one.decision.outcome == AdmissionOutcome::Admitted)
                start(one.ask.request);
            else
                refuse(one.ask.request);
        }
    }

    void start(const kernel::RequestId &request)
    {
        const Known &known = m_known.at(request);
        m_runners.start({ request, known.tokens }, m_now);
        if (!measuring())
            return;
        const double reading = known.tokens * promptPart / m_runners.jobSpeed();
        const double wait = kernel::toSeconds(m_now - known.ask.arrived) + reading;
        figuresOf(known.ask).waits.push_back(wait);
        m_figures.callerWaits[known.ask.caller.str()].push_back(wait);
    }

    void refuse(const kernel::RequestId &request)
    {
        const AdmissionRequest &ask = m_known.at(request).ask;
        if (measuring()) {
            ++figuresOf(ask).refused;
            figuresOf(ask).refusalDelays.push_back(kernel::toSeconds(m_now - ask.arrived));
        }
        m_known.erase(request);
    }

    void finishJob()
    {
        const Job job = m_runners.takeEnded();
        const Known &known = m_known.at(job.request);
        if (measuring()) {
            figuresOf(known.ask).servedTokens += job.tokens;
            m_figures.callerTokens[known.ask.caller.str()] += job.tokens;
            m_figures.goodput += job.tokens;
        }
        m_policy.finish(job.request, kernel::Tokens(static_cast<std::int64_t>(job.tokens)), m_now);
        m_known.erase(job.request);
    }

    void loseSlots()
    {
        m_lost = true;
        const double left = m_workload.slots * m_workload.slotsLeft;
        m_runners.setSlots(left, m_now);
        m_policy.setCapacity(static_cast<std::int64_t>(left));
    }

    bool measuring() const { return m_now >= at(m_workload.measureFrom); }
    RankFigures &figuresOf(const AdmissionRequest &ask)
    {
        return m_figures.ranks[static_cast<std::size_t>(ask.rank)];
    }

    const Workload &m_workload;
    const Policy &m_policy;
    Runners m_runners;
    std::vector<kernel::Random> m_randoms;
    kernel::Instant m_now;
    std::vector<kernel::Instant> m_nextArrivals;
    std::unordered_map<kernel::RequestId, Known> m_known;
    std::int64_t m_lastRequest = 0;
    bool m_lost = false;
    Figures m_figures;
};

} // namespace

table::Snapshot makeTable(int workspaces, int callersEach)
{
    table::Snapshot snapshot;
    for (int w = 0; w < workspaces; ++w) {
        const kernel::WorkspaceId workspace("w" + std::to_string(w));
        snapshot.workspaces[workspace] = { .id = workspace };
        for (int c = 0; c < callersEach; ++c) {
            const kernel::CallerId caller(workspace.str() + "c" + std::to_string(c));
            snapshot.callers[caller] = { .id = caller, .workspace = workspace };
        }
    }
    return snapshot;
}

Figures runWorkload(const Workload &workload, const Policy &policy)
{
    return Simulation(workload, policy).run();
}

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

double jainIndex(const std::vector<double> &amounts)
{
    double sum = 0;
    double squares = 0;
    for (const double amount : amounts) {
        sum += amount;
        squares += amount * amount;
    }
    return squares > 0 ? sum * sum / (static_cast<double>(amounts.size()) * squares) : 1;
}

} // namespace acaciasail::bench
