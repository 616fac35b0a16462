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

/// Ratings counted together; older ones fade once there are many.
struct RatingSum
{
    double count = 0;
    double sum = 0;
};

/// What is believed of a mean quality: normal, with this mean and standard deviation.
struct QualityEstimate
{
    double mean = 0.5;
    double deviation = 0.2;
};

/// Parts of [0, 1] by which the confidence of answers is counted.
constexpr std::size_t signalBins = 8;

/// How a version's answers divide by confidence, and how each part was rated.
struct SignalProfile
{
    std::array<double, signalBins> answers{};
    std::array<RatingSum, signalBins> rated{};
};

/// A profile as cascades use it: the share of answers of each confidence, and how far their mean
/// quality lies from that of all.
struct SignalCurve
{
    std::array<float, signalBins> share{};
    std::array<float, signalBins> offset{};
};

/// What is known of one version's answers to one kind of request of a workspace.
struct VersionQuality
{
    RatingSum direct;
    /// Mean time to the whole answer, in seconds; 0 while unknown.
    double latencySeconds = 0;
    QualityEstimate estimate;
    /// Quality on requests for which another version's answer was not good enough.
    QualityEstimate escalated;
    SignalCurve signals;
};

/// A kind of request of one workspace.
struct KindQuality
{
    /// Mean of the quality expected of recent choices; 0 before the first.
    double expected = 0;
    std::unordered_map<kernel::VersionId, VersionQuality> versions;
};

/// Recent requests of a workspace, for which its price of quality is planned.
constexpr std::size_t plannedRequests = 32;

/// What holds a workspace at its target: the price of quality, in mean costs of its dearest
/// option. A higher one buys better and dearer answers.
struct QualityBalance
{
    double price = 0;
    /// Mean cost of the dearest option, in micro-currency.
    double costScale = 0;
    std::int64_t choices = 0;
    /// Quality still owed to the target by the choices so far, in whole answers. What was above the
    /// target is not spent later.
    double owed = 0;
    std::vector<RequestFacts> recent;
    kernel::Instant plannedAt{};
};

struct WorkspaceQuality
{
    QualityBalance balance;
    /// Differences of ratings from what was expected of the choices.
    RatingSum surprise;
    std::unordered_map<kernel::KindId, KindQuality> kinds;
};

/// A version's answers to one kind of request over all workspaces.
struct PooledKind
{
    RatingSum direct;
    /// Differences from the quality on all requests, of answers that followed another version's.
    RatingSum escalated;
    SignalProfile signals;
    /// How far the quality of this daemon's delivered answers lies from that on all requests,
    /// because steps of cascades get easier or harder ones; other daemons' are taken to be alike.
    double deliveredOffset = 0;
};

/// A version's ratings over all workspaces, whole and by kind.
struct PooledQuality
{
    RatingSum all;
    std::unordered_map<kernel::KindId, PooledKind> kinds;
};

/// An answer of this daemon that may be rated later.
struct AnswerRecord
{
    std::uint8_t signalBin = 0;
    bool hasSignal = false;
    bool escalated = false;
    /// Given as the first step of a cascade and kept.
    bool keptFromCascade = false;
};

/// Quality of versions as ratings show it.
struct QualityBook
{
    std::unordered_map<kernel::WorkspaceId, WorkspaceQuality> workspaces;
    std::unordered_map<kernel::VersionId, PooledQuality> pooled;
    std::unordered_map<kernel::RequestId, AnswerRecord> answers;
    std::deque<kernel::RequestId> answerOrder;
    std::size_t cells = 0;
    /// Last rating taken in; earlier and repeated ones are ignored.
    std::int64_t lastSequence = 0;
    /// When the rating service last answered, or the daemon's start.
    kernel::Instant heardAt{};
};

/// After this long without an answer of the rating service, its ratings count as missing.
constexpr kernel::Duration ratingsMissingAfter = std::chrono::minutes(10);
/// Most (workspace, kind, version) cells; beyond it the pooled quality stands in.
constexpr std::size_t maxQualityCells = 16384;
/// Most own answers remembered until their ratings come.
constexpr std::size_t maxAnswerRecords = 16384;

/// Takes in an answer of the rating service, which may be empty.
void noteRatings(QualityBook &book, const table::Snapshot &snapshot,
                 std::span<const externals::Rating> ratings, kernel::Instant now);

/// One answer of this daemon.
struct AnswerFacts
{
    kernel::RequestId request;
    kernel::WorkspaceId workspace;
    kernel::KindId kind;
    kernel::VersionId version;
    /// Confidence in the answer, if known; see cascade.h.
    std::optional<double> signal;
    kernel::Duration latency{ 0 };
    /// The answer followed another version's that was not good enough.
    bool escalated = false;
    /// The answer was the first step of a cascade.
    bool firstOfCascade = false;
    /// The caller got this answer; false for the first step that was not good enough.
    bool delivered = true;
};

/// Takes in an answer of this daemon: its confidence, its latency, and what its rating will mean.
void noteAnswer(QualityBook &book, const table::Snapshot &snapshot, const AnswerFacts &answer);

/// Takes in a choice: what it owes to the target, and its request among those for which the price
/// of quality is planned.
void noteChoice(QualityBook &book, const table::Snapshot &snapshot, const RequestFacts &facts,
                const VersionDecision &decision, kernel::Instant now);

/// Prices of quality are planned again after this long.
constexpr kernel::Duration pricePlanPeriod = std::chrono::seconds(10);

/// Quality of a version for a kind of request of a workspace.
QualityEstimate estimateQuality(const QualityBook &book, const table::VersionRow &version,
                                const kernel::WorkspaceId &workspace, const kernel::KindId &kind);

/// Whether ratings are missing for long.
bool ratingsMissing(const QualityBook &book, kernel::Instant now);

/// How far a workspace's ratings lie above what is expected of its choices; shrunk towards 0.
double expectedSurprise(const WorkspaceQuality &workspace);

/// The lower and upper confidence bounds of an estimate.
double lowerBound(const QualityEstimate &estimate);
double upperBound(const QualityEstimate &estimate);

} // namespace acaciasail::routing
