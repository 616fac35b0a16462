#include <algorithm>
#include <cmath>

#include "routing/internal/rollouts.h"

namespace acaciasail::routing {

namespace {

constexpr double millionths = 1e6;
/// Probability that a good version is halted by any of the three tests, however long the roll-out
/// runs.
constexpr double falseHaltProbability = 0.005;
constexpr double testCount = 3;
/// Minimum number of outcomes of each version before the tests of latency and ratings can halt.
constexpr std::int64_t minOutcomes = 5;
/// Minimum number of baseline outcomes before the test of errors can halt.
constexpr std::int64_t minBaselineRequests = 10;
/// Weight of the prior deviation in the pooled variance, in samples.
constexpr double priorDeviationWeight = 10;
constexpr double priorRatingDeviation = 0.2;
constexpr double priorLogLatencyDeviation = 0.7;
/// Bounds of the assumed error rate of the baseline. No version is assumed to have a lower error
/// rate than the lower bound, even if it had no errors so far.
constexpr double minErrorRate = 0.005;
constexpr double maxErrorRate = 0.95;

struct Moments
{
    double count = 0;
    double mean = 0;
    /// Sum of squared deviations from the mean.
    double squaredDeviations = 0;
};

Moments moments(std::int64_t count, std::int64_t sum, std::int64_t squares)
{
    Moments result{ .count = static_cast<double>(count) };
    if (count == 0)
        return result;
    result.mean = static_cast<double>(sum) / millionths / result.count;
    const double sumOfSquares = static_cast<double>(squares) / millionths;
    result.squaredDeviations
        = std::max(0.0, sumOfSquares - result.count * result.mean * result.mean);
    return result;
}

// Returns the log-likelihood ratio of "the candidate's mean is higher by `margin`" against "the
// means are equal". The weight of the difference of the means is the effective sample size
// n1 * n2 / (n1 + n2).
double meanLogLikelihoodRatio(const Moments &baseline, const Moments &candidate, double margin,
                              double priorDeviation)
{
    if (baseline.count < minOutcomes || candidate.count < minOutcomes)
        return 0;
    const double values = baseline.count + candidate.count;
    const double squaredDeviations = baseline.squaredDeviations + candidate.squaredDeviations
                                     + priorDeviationWeight * priorDeviation * priorDeviation;
    const double variance = squaredDeviations / (values + priorDeviationWeight);
    const double effectiveSamples = baseline.count * candidate.count / values;
    const double difference = candidate.mean - baseline.mean;
    return margin * (difference - margin / 2) * effectiveSamples / variance;
}

// Returns the log-likelihood ratio of "the candidate's error rate is higher by `margin`" against
// "the error rates are equal". The baseline's error rate is taken one standard deviation too high,
// because it is known from few outcomes only.
double errorLogLikelihoodRatio(const ArmCounters &baseline, const ArmCounters &candidate,
                               double margin)
{
    if (baseline.requests < minBaselineRequests || candidate.requests == 0)
        return 0;
    const auto baselineErrors = static_cast<double>(baseline.errors);
    const double errorsUpperBound = baselineErrors + 1 + std::sqrt(baselineErrors + 1);
    const double baselineRate = std::clamp(
        errorsUpperBound / static_cast<double>(baseline.requests), minErrorRate, maxErrorRate);
    const double increasedRate = std::min(baselineRate + margin, (1 + baselineRate) / 2);
    const auto errors = static_cast<double>(candidate.errors);
    const double successes = static_cast<double>(candidate.requests) - errors;
    return errors * std::log(increasedRate / baselineRate)
           + successes * std::log((1 - increasedRate) / (1 - baselineRate));
}

double latencyLogLikelihoodRatio(const RouterEvidence &total, double factor)
{
    const auto latencyMoments = [](const ArmCounters &arm) {
        return moments(arm.latencies, arm.logLatencySum, arm.logLatencySquares);
    };
    if (factor <= 1)
        return 0;
    return meanLogLikelihoodRatio(latencyMoments(total.baseline), latencyMoments(total.candidate),
                                  std::log(factor), priorLogLatencyDeviation);
}

double ratingLogLikelihoodRatio(const RouterEvidence &total, double drop)
{
    // The mean is negated so that, as with latency, a higher value is worse.
    const auto negatedRatingMoments = [](const ArmCounters &arm) {
        Moments result = moments(arm.ratings, arm.ratingSum, arm.ratingSquares);
        result.mean = -result.mean;
        return result;
    };
    if (drop <= 0)
        return 0;
    return meanLogLikelihoodRatio(negatedRatingMoments(total.baseline),
                                  negatedRatingMoments(total.candidate), drop,
                                  priorRatingDeviation);
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
    const RouterEvidence total = totalEvidence(evidence);
    RolloutJudgement judgement{
        .errorEvidence
        = errorLogLikelihoodRatio(total.baseline, total.candidate, row.maxErrorIncrease),
        .latencyEvidence = latencyLogLikelihoodRatio(total, row.maxLatencyFactor),
        .ratingEvidence = ratingLogLikelihoodRatio(total, row.maxQualityDrop),
        .candidateRequests = total.candidate.requests
    };
    const double haltThreshold = std::log(testCount / falseHaltProbability);
    if (judgement.errorEvidence > haltThreshold)
        judgement.reason = HaltReason::Errors;
    else if (judgement.latencyEvidence > haltThreshold)
        judgement.reason = HaltReason::Latency;
    else if (judgement.ratingEvidence > haltThreshold)
        judgement.reason = HaltReason::Ratings;
    else if (total.halted)
        judgement.reason = HaltReason::Peer;
    if (judgement.reason != HaltReason::None)
        judgement.verdict = RolloutVerdict::Halt;
    return judgement;
}

} // namespace acaciasail::routing
