#include "routing/internal/quality.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

#include "routing/internal/scoredoptions.h"

namespace acaciasail::routing {

namespace {

/// Standard deviation of one rating.
constexpr double ratingDeviation = 0.18;
/// Standard deviation of a version's true quality around its configured prior quality.
constexpr double priorDeviation = 0.12;
/// Standard deviation of the quality for one kind of request around the version's quality.
constexpr double kindDeviation = 0.12;
/// Standard deviation of the quality in one workspace around the quality for that kind of request.
constexpr double workspaceDeviation = 0.04;
/// Prior difference between the quality on escalated requests and on all requests, and its standard
/// deviation.
constexpr double escalatedOffset = -0.03;
constexpr double escalatedDeviation = 0.05;
/// Number of ratings beyond which older ones lose weight.
constexpr double maxEffectiveRatings = 1000;
/// Number of answers with known confidence beyond which older ones lose weight.
constexpr double maxEffectiveAnswers = 2000;
/// Prior standard deviation of the confidence around the quality, and the weight of the prior, in
/// answers.
constexpr double priorConfidenceDeviation = 0.18;
constexpr double priorAnswers = 10;
/// Prior slope of quality over confidence, used before there are ratings, and its weight, as a sum
/// over ratings of the squared distance from the mean confidence.
constexpr double priorSlope = 0.4;
constexpr double priorSlopeWeight = 0.5;
/// Weight of the fitted line in each bin of a histogram, in ratings.
constexpr double binPriorRatings = 20;
/// Weight of a new answer in the moving average of the offset of delivered answers.
constexpr double offsetEwmaWeight = 0.02;
/// Number of standard deviations between an estimate's mean and its bounds.
constexpr double boundDeviations = 0.1;
/// Weight of the prior residual of 0, in ratings.
constexpr double residualPriorRatings = 100;
/// Weight of a new choice in the moving average of the expected quality.
constexpr double expectedQualityEwmaWeight = 0.05;
/// Weight of a new latency in the moving average.
constexpr double latencyEwmaWeight = 0.05;
/// Weight of a new cost in the moving average.
constexpr double costEwmaWeight = 0.01;
/// Maximum deficit to the quality target, as a sum of shortfalls over choices. A deficit of 20 is,
/// for example, 200 choices whose quality is 0.1 below the target.
constexpr double maxQualityDeficit = 20;

void addRating(RatingSum &sum, double score)
{
    if (sum.count >= maxEffectiveRatings) {
        const double kept = 1 - 1 / maxEffectiveRatings;
        sum.count *= kept;
        sum.sum *= kept;
    }
    sum.count += 1;
    sum.sum += score;
}

// Returns the posterior of a group's mean. Its prior is the posterior of the parent group, widened
// by the spread among groups.
QualityEstimate refine(const QualityEstimate &parent, double spread, const RatingSum &ratings)
{
    const double priorVariance = parent.deviation * parent.deviation + spread * spread;
    const double ratingVariance = ratingDeviation * ratingDeviation;
    const double precision = 1 / priorVariance + ratings.count / ratingVariance;
    const double weighted = parent.mean / priorVariance + ratings.sum / ratingVariance;
    return { .mean = weighted / precision, .deviation = std::sqrt(1 / precision) };
}

QualityEstimate pooledEstimate(const QualityEstimates &book, const table::VersionRow &version,
                               const kernel::KindId &kind)
{
    const QualityEstimate prior{ .mean = version.priorQuality, .deviation = priorDeviation };
    const auto pooled = book.pooled.find(version.id);
    if (pooled == book.pooled.end())
        return refine(prior, kindDeviation, {});
    const QualityEstimate allKinds = refine(prior, 0, pooled->second.all);
    const auto pooledKind = pooled->second.kinds.find(kind);
    if (pooledKind == pooled->second.kinds.end())
        return refine(allKinds, kindDeviation, {});
    return refine(allKinds, kindDeviation, pooledKind->second.correctedRatings);
}

const VersionQuality *findCell(const QualityEstimates &book, const kernel::WorkspaceId &workspace,
                               const kernel::KindId &kind, const kernel::VersionId &version)
{
    const auto workspaceQuality = book.workspaces.find(workspace);
    if (workspaceQuality == book.workspaces.end())
        return nullptr;
    const auto kindQuality = workspaceQuality->second.kinds.find(kind);
    if (kindQuality == workspaceQuality->second.kinds.end())
        return nullptr;
    const auto cell = kindQuality->second.versions.find(version);
    return cell == kindQuality->second.versions.end() ? nullptr : &cell->second;
}

const table::VersionRow *findVersion(const table::Snapshot &snapshot,
                                     const kernel::VersionId &version)
{
    const auto row = snapshot.versions.find(version);
    return row == snapshot.versions.end() ? nullptr : &row->second;
}

double binCentre(std::size_t bin)
{
    return (static_cast<double>(bin) + 0.5) / confidenceBins;
}

/// Quality as a linear function of confidence, through the mean of the rated answers.
struct ConfidenceLine
{
    double confidence = 0;
    double quality = 0;
    double slope = priorSlope;

    double at(double atConfidence) const { return quality + slope * (atConfidence - confidence); }
};

ConfidenceLine fitLine(const ConfidenceHistogram &histogram)
{
    ConfidenceLine line;
    double count = 0;
    for (std::size_t bin = 0; bin < confidenceBins; ++bin) {
        count += histogram.rated.at(bin).count;
        line.confidence += histogram.rated.at(bin).count * binCentre(bin);
        line.quality += histogram.rated.at(bin).sum;
    }
    if (count == 0)
        return line;
    line.confidence /= count;
    line.quality /= count;
    double squares = priorSlopeWeight;
    double products = priorSlopeWeight * priorSlope;
    for (std::size_t bin = 0; bin < confidenceBins; ++bin) {
        const RatingSum &rated = histogram.rated.at(bin);
        const double distance = binCentre(bin) - line.confidence;
        squares += rated.count * distance * distance;
        products += distance * (rated.sum - rated.count * line.quality);
    }
    line.slope = products / squares;
    return line;
}

// Returns the fraction of answers expected in a confidence bin, for a normal distribution around
// `mean`.
double priorShare(std::size_t bin, double mean)
{
    const auto below = [&](double confidence) {
        return 0.5 * std::erfc((mean - confidence) / (priorConfidenceDeviation * std::sqrt(2.0)));
    };
    const double from = bin == 0 ? 0 : below(static_cast<double>(bin) / confidenceBins);
    const double to
        = bin + 1 == confidenceBins ? 1 : below(static_cast<double>(bin + 1) / confidenceBins);
    return to - from;
}

ConfidenceCurve makeConfidenceCurve(const ConfidenceHistogram &histogram, double quality)
{
    ConfidenceCurve curve;
    const double total = std::accumulate(histogram.answers.begin(), histogram.answers.end(), 0.0);
    double meanConfidence = 0;
    for (std::size_t bin = 0; bin < confidenceBins; ++bin) {
        const double answers = histogram.answers.at(bin) + priorAnswers * priorShare(bin, quality);
        const double share = answers / (total + priorAnswers);
        curve.share.at(bin) = static_cast<float>(share);
        meanConfidence += share * binCentre(bin);
    }
    const ConfidenceLine line = fitLine(histogram);
    const double overall = line.at(meanConfidence);
    for (std::size_t bin = 0; bin < confidenceBins; ++bin) {
        const RatingSum &rated = histogram.rated.at(bin);
        const double fitted = line.at(binCentre(bin));
        const double residual
            = (rated.sum - rated.count * fitted) / (rated.count + binPriorRatings);
        curve.offset.at(bin) = static_cast<float>(fitted + residual - overall);
    }
    return curve;
}

QualityEstimate escalatedEstimate(const QualityEstimate &overall, const RatingSum &differences)
{
    const QualityEstimate prior{ .mean = escalatedOffset, .deviation = 0 };
    const QualityEstimate offset = refine(prior, escalatedDeviation, differences);
    return { .mean = overall.mean + offset.mean, .deviation = overall.deviation };
}

void refreshCell(const QualityEstimates &book, const table::VersionRow &version,
                 const kernel::KindId &kind, VersionQuality &cell)
{
    cell.estimate
        = refine(pooledEstimate(book, version, kind), workspaceDeviation, cell.correctedRatings);
    static const PooledKind noRatings;
    const PooledKind *pooledKind = &noRatings;
    if (const auto pooled = book.pooled.find(version.id); pooled != book.pooled.end()) {
        const auto found = pooled->second.kinds.find(kind);
        pooledKind = found == pooled->second.kinds.end() ? &noRatings : &found->second;
    }
    cell.escalated = escalatedEstimate(cell.estimate, pooledKind->escalated);
    cell.confidenceCurve = makeConfidenceCurve(pooledKind->confidenceHistogram, cell.estimate.mean);
}

// Returns the cell, and creates it if it does not exist. Returns null if the maximum number of
// cells is reached.
VersionQuality *findOrCreateCell(QualityEstimates &book, const kernel::WorkspaceId &workspace,
                                 const kernel::KindId &kind, const table::VersionRow &version)
{
    if (const VersionQuality *cell = findCell(book, workspace, kind, version.id); cell != nullptr)
        return const_cast<VersionQuality *>(cell);
    if (book.cells >= maxQualityCells)
        return nullptr;
    ++book.cells;
    VersionQuality &cell = book.workspaces[workspace].kinds[kind].versions[version.id];
    refreshCell(book, version, kind, cell);
    return &cell;
}

// Returns the difference between the quality of answers in this role and the quality on all
// requests. Escalated requests are the harder ones, and answers kept from a cascade are better, as
// their confidence shows.
double roleOffset(const VersionQuality &cell, const AnswerRecord &answer)
{
    if (answer.escalated)
        return cell.escalated.mean - cell.estimate.mean;
    if (answer.keptFromCascade && answer.hasConfidence)
        return cell.confidenceCurve.offset.at(answer.confidenceBin);
    return 0;
}

// The residual includes the ratings of other routers' answers, because all routers make similar
// choices.
void recordRatingResidual(QualityEstimates &book, const externals::Rating &rating, double score)
{
    const auto workspace = book.workspaces.find(rating.workspace);
    if (workspace == book.workspaces.end())
        return;
    const auto kind = workspace->second.kinds.find(rating.kind);
    if (kind != workspace->second.kinds.end() && kind->second.expected > 0)
        addRating(workspace->second.ratingResidual, score - kind->second.expected);
}

void recordRating(QualityEstimates &book, const table::VersionRow &version,
                  const externals::Rating &rating)
{
    const double score = std::clamp(rating.score, 0.0, 1.0);
    VersionQuality *cell = findOrCreateCell(book, rating.workspace, rating.kind, version);
    recordRatingResidual(book, rating, score);
    PooledQuality &pooled = book.pooled[version.id];
    PooledKind &kind = pooled.kinds[rating.kind];
    const auto answer = book.answers.find(rating.request);
    const bool hasRecord = answer != book.answers.end();
    if (hasRecord && answer->second.hasConfidence && !answer->second.escalated)
        addRating(kind.confidenceHistogram.rated.at(answer->second.confidenceBin), score);
    if (hasRecord && answer->second.escalated) {
        const double overall = cell != nullptr ? cell->estimate.mean : score;
        addRating(kind.escalated, score - overall);
    }
    // The rating of an escalated answer updates only the escalation offset. An update of the other
    // estimates would use the same rating twice.
    if (hasRecord && answer->second.escalated)
        return;
    const double offset
        = hasRecord && cell != nullptr ? roleOffset(*cell, answer->second) : kind.deliveredOffset;
    if (cell != nullptr)
        addRating(cell->correctedRatings, score - offset);
    addRating(pooled.all, score - offset);
    addRating(kind.correctedRatings, score - offset);
}

// Creates the cells that a workspace's choices for a kind of request need.
void createCells(QualityEstimates &book, const table::Snapshot &snapshot, const RequestFacts &facts)
{
    const auto allowed = snapshot.allowedVersions.find(facts.workspace);
    if (allowed == snapshot.allowedVersions.end())
        return;
    const KindQuality &kind = book.workspaces[facts.workspace].kinds[facts.kind];
    if (kind.versions.size() >= allowed->second.size())
        return;
    for (const table::AllowedVersion &version : allowed->second)
        findOrCreateCell(book, facts.workspace, facts.kind, version.row);
}

void refreshEstimates(QualityEstimates &book, const table::Snapshot &snapshot)
{
    for (auto &[workspace, workspaceQuality] : book.workspaces) {
        for (auto &[kind, kindQuality] : workspaceQuality.kinds) {
            for (auto &[version, cell] : kindQuality.versions) {
                if (const auto *row = findVersion(snapshot, version); row != nullptr)
                    refreshCell(book, *row, kind, cell);
            }
        }
    }
}

void rememberAnswer(QualityEstimates &book, const kernel::RequestId &request,
                    const AnswerRecord &record)
{
    if (!book.answers.insert_or_assign(request, record).second)
        return;
    book.answerOrder.push_back(request);
    if (book.answerOrder.size() > maxAnswerRecords) {
        book.answers.erase(book.answerOrder.front());
        book.answerOrder.pop_front();
    }
}

void addConfidence(ConfidenceHistogram &histogram, std::size_t bin)
{
    histogram.answers.at(bin) += 1;
    const double total = std::accumulate(histogram.answers.begin(), histogram.answers.end(), 0.0);
    if (total <= maxEffectiveAnswers)
        return;
    for (double &answers : histogram.answers)
        answers *= maxEffectiveAnswers / total;
}

} // namespace

void recordRatings(QualityEstimates &book, const table::Snapshot &snapshot,
                   std::span<const externals::Rating> ratings, kernel::Instant now)
{
    book.lastResponseAt = now;
    bool changed = false;
    for (const externals::Rating &rating : ratings) {
        if (rating.sequence <= book.lastSequence)
            continue;
        book.lastSequence = rating.sequence;
        const table::VersionRow *version = findVersion(snapshot, rating.version);
        if (version == nullptr || !std::isfinite(rating.score))
            continue;
        recordRating(book, *version, rating);
        changed = true;
    }
    if (changed)
        refreshEstimates(book, snapshot);
}

void recordAnswer(QualityEstimates &book, const table::Snapshot &snapshot,
                  const AnswerFacts &answer)
{
    const table::VersionRow *version = findVersion(snapshot, answer.version);
    if (version == nullptr)
        return;
    const double confidence = std::clamp(answer.signal.value_or(0), 0.0, 1.0);
    const auto bin
        = std::min(static_cast<std::size_t>(confidence * confidenceBins), confidenceBins - 1);
    const AnswerRecord record{ .confidenceBin = static_cast<std::uint8_t>(bin),
                               .hasConfidence = answer.signal.has_value(),
                               .escalated = answer.escalated,
                               .keptFromCascade = answer.firstOfCascade };
    PooledKind &kind = book.pooled[version->id].kinds[answer.kind];
    // Escalated requests are the harder ones, so their confidence must not enter the histogram of
    // first answers.
    if (answer.signal && !answer.escalated)
        addConfidence(kind.confidenceHistogram, bin);
    VersionQuality *cell = findOrCreateCell(book, answer.workspace, answer.kind, *version);
    if (answer.delivered) {
        rememberAnswer(book, answer.request, record);
        const double offset = cell == nullptr ? 0 : roleOffset(*cell, record);
        kind.deliveredOffset += offsetEwmaWeight * (offset - kind.deliveredOffset);
    }
    if (cell == nullptr)
        return;
    const double seconds = kernel::toSeconds(answer.latency);
    cell->latencySeconds += cell->latencySeconds == 0
                                ? seconds
                                : latencyEwmaWeight * (seconds - cell->latencySeconds);
}

void recordChoice(QualityEstimates &book, const table::Snapshot &snapshot,
                  const RequestFacts &facts, const VersionDecision &decision, kernel::Instant now)
{
    const auto workspace = snapshot.workspaces.find(facts.workspace);
    if (!decision.ok() || facts.model || workspace == snapshot.workspaces.end())
        return;
    createCells(book, snapshot, facts);
    QualityPriceState &priceState = book.workspaces[facts.workspace].priceState;
    if (priceState.choices == 0)
        priceState.meanHighestCost = decision.highestCost;
    priceState.meanHighestCost
        += costEwmaWeight * (decision.highestCost - priceState.meanHighestCost);
    const double reached
        = decision.qualityBound + meanRatingResidual(book.workspaces[facts.workspace]);
    const double shortfall = workspace->second.qualityTarget - reached;
    priceState.qualityDeficit
        = std::clamp(priceState.qualityDeficit + shortfall, 0.0, maxQualityDeficit);
    if (priceState.recent.size() < maxRecentRequests)
        priceState.recent.push_back(facts);
    else
        priceState.recent[static_cast<std::size_t>(priceState.choices) % maxRecentRequests] = facts;
    priceState.choices += 1;
    double &expected = book.workspaces[facts.workspace].kinds[facts.kind].expected;
    expected += expected == 0 ? decision.expectedQuality
                              : expectedQualityEwmaWeight * (decision.expectedQuality - expected);
    // The first choices give little data for a plan, so the plan is renewed each time their number
    // doubles.
    const bool doubled = priceState.choices <= static_cast<std::int64_t>(maxRecentRequests)
                         && std::has_single_bit(static_cast<std::uint64_t>(priceState.choices));
    if (doubled || now - priceState.plannedAt >= pricePlanPeriod) {
        priceState.price = planPrice(snapshot, book, facts.workspace);
        priceState.plannedAt = now;
    }
}

QualityEstimate estimateQuality(const QualityEstimates &book, const table::VersionRow &version,
                                const kernel::WorkspaceId &workspace, const kernel::KindId &kind)
{
    const VersionQuality *cell = findCell(book, workspace, kind, version.id);
    if (cell != nullptr)
        return cell->estimate;
    return refine(pooledEstimate(book, version, kind), workspaceDeviation, {});
}

bool ratingsMissing(const QualityEstimates &book, kernel::Instant now)
{
    return now - book.lastResponseAt > ratingsMissingAfter;
}

double meanRatingResidual(const WorkspaceQuality &workspace)
{
    return workspace.ratingResidual.sum / (workspace.ratingResidual.count + residualPriorRatings);
}

double lowerBound(const QualityEstimate &estimate)
{
    return estimate.mean - boundDeviations * estimate.deviation;
}

double upperBound(const QualityEstimate &estimate)
{
    return estimate.mean + boundDeviations * estimate.deviation;
}

} // namespace acaciasail::routing
