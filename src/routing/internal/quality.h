#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "externals/externals.h"
#include "kernel/kernel.h"
#include "routing/internal/facts.h"
#include "table/table.h"

namespace acaciasail::routing {

/// Count and sum of ratings. Beyond a number of ratings, older ones lose weight exponentially.
struct RatingSum
{
    double count = 0;
    double sum = 0;
};

/// Estimate of a mean quality between 0 and 1: a normal distribution with this mean and standard
/// deviation.
struct QualityEstimate
{
    double mean = 0.5;
    double deviation = 0.2;
};

/// Number of equal bins of [0, 1] in the histogram of answer confidence.
constexpr std::size_t confidenceBins = 8;

/// Histogram of the confidence of a version's answers, with the ratings of each bin.
struct ConfidenceHistogram
{
    std::array<double, confidenceBins> answers{};
    std::array<RatingSum, confidenceBins> rated{};
};

/// Answer confidence as planCascade() uses it: for each bin, the fraction of answers, and the
/// difference between their mean quality and the mean quality of all answers.
struct ConfidenceCurve
{
    std::array<float, confidenceBins> share{};
    std::array<float, confidenceBins> offset{};
};

/// Quality and latency of one version's answers to one kind of request of a workspace.
struct VersionQuality
{
    /// Ratings, corrected for the role of the answer in a cascade.
    RatingSum correctedRatings;
    /// Exponentially weighted moving average of the time to the complete answer, in seconds; 0
    /// while unknown.
    double latencySeconds = 0;
    QualityEstimate estimate;
    /// Quality of answers to escalated requests, for which another version's answer was not good
    /// enough.
    QualityEstimate escalated;
    ConfidenceCurve confidenceCurve;
};

/// Quality of all versions for one kind of request of a workspace.
struct KindQuality
{
    /// Exponentially weighted moving average of the expected quality of choices; 0 before the first
    /// choice.
    double expected = 0;
    std::unordered_map<kernel::VersionId, VersionQuality> versions;
};

/// Number of recent requests of a workspace for which its price of quality is planned.
constexpr std::size_t maxRecentRequests = 32;

/// Control state that keeps a workspace at its quality target. The control variable is the price of
/// quality: the penalty (see Option::penalty) that is accepted for an increase of the quality by 1.
/// At a cost weight of 1, a penalty of 1 is the mean cost of the workspace's most expensive option.
/// A higher price leads to better and more expensive answers.
struct QualityPriceState
{
    double price = 0;
    /// Exponentially weighted moving average of the cost of the most expensive option, in
    /// micro-currency.
    double meanHighestCost = 0;
    std::int64_t choices = 0;
    /// Sum over past choices of the shortfall of the quality (between 0 and 1) below the target.
    /// Quality above the target reduces the sum, but not below 0, so that a surplus can't offset a
    /// later shortfall.
    double qualityDeficit = 0;
    std::vector<RequestFacts> recent;
    kernel::Instant plannedAt{};
};

struct WorkspaceQuality
{
    QualityPriceState priceState;
    /// Differences between ratings and the expected quality of the choices.
    RatingSum ratingResidual;
    std::unordered_map<kernel::KindId, KindQuality> kinds;
};

/// Ratings and confidence of a version's answers to one kind of request, over all workspaces.
struct PooledKind
{
    /// Ratings, corrected for the role of the answer in a cascade.
    RatingSum correctedRatings;
    /// Differences between the ratings of escalated answers and the version's estimated quality on
    /// all requests.
    RatingSum escalated;
    ConfidenceHistogram confidenceHistogram;
    /// Mean difference between the quality of this router's delivered answers and the quality on
    /// all requests. There is a difference because the steps of a cascade get easier or harder
    /// requests. The answers of other routers are assumed to have the same difference.
    double deliveredOffset = 0;
};

/// A version's ratings over all workspaces, in total and by kind of request.
struct PooledQuality
{
    RatingSum all;
    std::unordered_map<kernel::KindId, PooledKind> kinds;
};

/// Record of an answer of this router that may be rated later.
struct AnswerRecord
{
    std::uint8_t confidenceBin = 0;
    bool hasConfidence = false;
    bool escalated = false;
    /// The answer was the first step of a cascade and was delivered without escalation.
    bool keptFromCascade = false;
};

/// Quality estimates of all versions, learned from ratings.
struct QualityEstimates
{
    std::unordered_map<kernel::WorkspaceId, WorkspaceQuality> workspaces;
    std::unordered_map<kernel::VersionId, PooledQuality> pooled;
    std::unordered_map<kernel::RequestId, AnswerRecord> answers;
    /// Keys of `answers`, oldest first, for eviction.
    std::deque<kernel::RequestId> answerOrder;
    /// Number of (workspace, kind, version) cells in `workspaces`.
    std::size_t cells = 0;
    /// Sequence number of the last processed rating. Ratings up to this number are ignored as old
    /// or duplicate.
    std::int64_t lastSequence = 0;
    /// Time of the rating service's last response, or the start of the process before the first
    /// response.
    kernel::Instant lastResponseAt{};
};

/// After this time without a response of the rating service, ratings are considered missing.
constexpr kernel::Duration ratingsMissingAfter = std::chrono::minutes(10);
/// Maximum number of (workspace, kind, version) cells. Combinations beyond it use the pooled
/// quality.
constexpr std::size_t maxQualityCells = 16384;
/// Maximum number of this router's answers that are remembered until their ratings arrive.
constexpr std::size_t maxAnswerRecords = 16384;

/// Records a response of the rating service, which may contain no ratings.
void recordRatings(QualityEstimates &book, const table::Snapshot &snapshot,
                   std::span<const externals::Rating> ratings, kernel::Instant now);

/// Facts about one answer of this router.
struct AnswerFacts
{
    kernel::RequestId request;
    kernel::WorkspaceId workspace;
    kernel::KindId kind;
    kernel::VersionId version;
    /// Confidence in the answer, if known; see cascade.h.
    std::optional<double> signal;
    kernel::Duration latency{ 0 };
    /// The request was escalated: another version's answer was not good enough.
    bool escalated = false;
    /// The answer was the first step of a cascade.
    bool firstOfCascade = false;
    /// The caller received this answer. False for the first step of a cascade that was escalated.
    bool delivered = true;
};

/// Records an answer of this router: its confidence, its latency, and its role in a cascade, which
/// is needed to interpret its rating.
void recordAnswer(QualityEstimates &book, const table::Snapshot &snapshot,
                  const AnswerFacts &answer);

/// Records a choice: updates the deficit to the quality target, and adds the request to the recent
/// ones for which the price of quality is planned.
void recordChoice(QualityEstimates &book, const table::Snapshot &snapshot,
                  const RequestFacts &facts, const VersionDecision &decision, kernel::Instant now);

/// Period after which a price of quality is planned again.
constexpr kernel::Duration pricePlanPeriod = std::chrono::seconds(10);

/// Returns the estimated quality of a version for a kind of request of a workspace.
QualityEstimate estimateQuality(const QualityEstimates &book, const table::VersionRow &version,
                                const kernel::WorkspaceId &workspace, const kernel::KindId &kind);

/// Returns whether the rating service has not responded for more than `ratingsMissingAfter`.
bool ratingsMissing(const QualityEstimates &book, kernel::Instant now);

/// Returns the mean difference between a workspace's ratings and the expected quality of its
/// choices, shrunk towards 0.
double meanRatingResidual(const WorkspaceQuality &workspace);

/// Returns the lower or upper confidence bound of an estimate.
double lowerBound(const QualityEstimate &estimate);
double upperBound(const QualityEstimate &estimate);

} // namespace acaciasail::routing
