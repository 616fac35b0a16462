#include <algorithm>
#include <cmath>

#include "routing/internal/rollouts.h"

namespace acaciasail::routing {

namespace {

constexpr double millionths = 1e6;
/// Probability that a good version is halted by any of the three tests, however long the roll-out
/// runs.
constexpr double falseHaltShare = 0.005;
constexpr double testCount = 3;
/// Minimum number of outcomes of each version before the tests of latency and ratings can halt.
constexpr std::int64_t leastOutcomes = 5;
/// Minimum number of baseline outcomes before the test of errors can halt.
constexpr std::int64_t leastBaselineRequests = 10;
/// Number of values for which the prior deviation counts in the pooled variance.
constexpr double priorSpreadValues = 10;
constexpr double priorRatingDeviation = 0.2;
constexpr double priorLogLatencyDeviation = 0.7;
/// Bounds of the assumed error rate of the baseline. The lower bound is the error rate of the best
/// possible version.
constexpr double leastErrorShare = 0.005;
constexpr double mostErrorShare = 0.95;

struct Moments
{
    double count = 0;
    double mean = 0;
    /// Sum of squared deviations from the mean.
    double scatter = 0;
};

Moments moments(std::int64_t count, std::int64_t sum, std::int64_t squares)
{
    Moments result{ .count = static_cast<double>(count) };
    if (count == 0)
        return result;
    result.mean = static_cast<double>(sum) / millionths / result.count;
    const double raw = static_cast<double>(squares) / millionths;
    result.scatter = std::max(0.0, raw - result.count * result.mean * result.mean);
    return result;
}

// Returns the log-likelihood ratio of "the candidate's mean is higher by `margin`" against "the
// means are equal". The difference of the means is weighted with the effective size of both samples
// together.
double meanEvidence(const Moments &baseline, const Moments &candidate, double margin,
                    double priorDeviation)
{
    if (baseline.count < leastOutcomes || candidate.count < leastOutcomes)
        return 0;
    const double values = baseline.count + candidate.count;
    const double scatter = baseline.scatter + candidate.scatter
                           + priorSpreadValues * priorDeviation * priorDeviation;
    const double variance = scatter / (values + priorSpreadValues);
    const double worth = baseline.count * candidate.count / values;
    const double difference = candidate.mean - baseline.mean;
    return margin * (difference - margin / 2) * worth / variance;
}

// Returns the log-likelihood ratio of "the candidate's error rate is higher by `margin`" against
// "the error rates are equal". The baseline's error rate is taken one standard deviation too high,
// because it is known from few outcomes only.
double errorEvidence(const ArmCounters &baseline, const ArmCounters &candidate, double margin)
{
    if (baseline.requests < leastBaselineRequests || candidate.requests == 0)
        return 0;
    const auto baselineErrors = static_cast<double>(baseline.errors);
    const double high = baselineErrors + 1 + std::sqrt(baselineErrors + 1);
    const double usual = std::clamp(high / static_cast<double>(baseline.requests), leastErrorShare,
                                    mostErrorShare);
    const double bad = std::min(usual + margin, (1 + usual) / 2);
    const auto errors = static_cast<double>(candidate.errors);
    const double good = static_cast<double>(candidate.requests) - errors;
    return errors * std::log(bad / usual) + good * std::log((1 - bad) / (1 - usual));
}

double latencyEvidence(const DaemonEvidence &total, double factor)
{
    const auto of = [](const ArmCounters &arm) {
        return moments(arm.latencies, arm.logLatencySum, arm.logLatencySquares);
    };
    if (factor <= 1)
        return 0;
    return meanEvidence(of(total.baseline), of(total.candidate), std::log(factor),
                        priorLogLatencyDeviation);
}

double ratingEvidence(const DaemonEvidence &total, double drop)
{
    // The mean is negated so that, as with latency, a higher value is worse.
    const auto of = [](const ArmCounters &arm) {
        Moments result = moments(arm.ratings, arm.ratingSum, arm.ratingSquares);
        result.mean = -result.mean;
        return result;
    };
    if (drop <= 0)
        return 0;
    return meanEvidence(of(total.baseline), of(total.candidate), drop, priorRatingDeviation);
}

} // namespace

std::string_view toString(HaltReason reason)
{
    switch (reason) {
    case HaltReason::None:
        return "none";
    case HaltReason::Errors:
        return "errors";
    case HaltReason::Latency:
        return "latency";
    case HaltReason::Ratings:
        return "ratings";
    case HaltReason::Peer:
        break;
    }
    return "peer";
}

RolloutJudgement judgeRollout(const table::RolloutRow &row, const RolloutEvidence &evidence)
{
    const DaemonEvidence total = totalEvidence(evidence);
    RolloutJudgement judgement{ .errorEvidence = errorEvidence(total.baseline, total.candidate,
                                                               row.maxErrorIncrease),
                                .latencyEvidence = latencyEvidence(total, row.maxLatencyFactor),
                                .ratingEvidence = ratingEvidence(total, row.maxQualityDrop),
                                .candidateRequests = total.candidate.requests };
    const double halt = std::log(testCount / falseHaltShare);
    if (judgement.errorEvidence > halt)
        judgement.reason = HaltReason::Errors;
    else if (judgement.latencyEvidence > halt)
        judgement.reason = HaltReason::Latency;
    else if (judgement.ratingEvidence > halt)
        judgement.reason = HaltReason::Ratings;
    else if (total.halted)
        judgement.reason = HaltReason::Peer;
    if (judgement.reason != HaltReason::None)
        judgement.verdict = RolloutVerdict::Halt;
    return judgement;
}

} // namespace acaciasail::routing
