#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing/routing.h"
#include "routing/tests/snapshots.h"

using namespace acaciasail;
using namespace acaciasail::routing;
using namespace acaciasail::routing::tests;
using namespace std::chrono_literals;

namespace {

const kernel::WorkspaceId workspace("ws");
const kernel::KindId kind("answer");
const kernel::VersionId cheap("cheap");
const kernel::VersionId expensive("expensive");

RequestFacts factsOf(int number)
{
    return { .request = kernel::RequestId("r" + std::to_string(number)),
             .workspace = workspace,
             .kind = kind,
             .inputTokens = kernel::Tokens(1000),
             .expectedOutput = kernel::Tokens(500),
             .stickyKey = "r" + std::to_string(number) };
}

table::Snapshot twoModels()
{
    return makeSnapshot(
        { { .id = "cheap", .model = "a", .priorQuality = 0.7, .price = 100'000 },
          { .id = "expensive", .model = "b", .priorQuality = 0.9, .price = 4'000'000 } });
}

externals::Rating ratingOf(const kernel::VersionId &version, double score, std::int64_t sequence)
{
    return { .request = kernel::RequestId("other-" + std::to_string(sequence)),
             .workspace = workspace,
             .kind = kind,
             .version = version,
             .score = score,
             .sequence = sequence };
}

// Returns a quality book in which both versions have many ratings.
QualityEstimates ratedBook(const table::Snapshot &snapshot, double cheapScore,
                           double expensiveScore)
{
    QualityEstimates book;
    std::vector<externals::Rating> ratings;
    constexpr int count = 400;
    ratings.reserve(count);
    for (int i = 0; i < count; ++i)
        ratings.push_back(ratingOf(i % 2 == 0 ? cheap : expensive,
                                   i % 2 == 0 ? cheapScore : expensiveScore, i + 1));
    recordRatings(book, snapshot, ratings, {});
    return book;
}

// Routes many requests that have the rank of `prototype`, and returns the cheap version's share of
// first answers.
double cheapShare(const table::Snapshot &snapshot, QualityEstimates &book,
                  const RequestFacts &prototype, kernel::Instant now = {})
{
    constexpr int count = 600;
    int hits = 0;
    for (int i = 0; i < count; ++i) {
        RequestFacts facts = factsOf(i);
        facts.rank = prototype.rank;
        const auto decision = chooseVersion(snapshot, book, {}, facts, {}, now);
        recordChoice(book, snapshot, facts, decision, now);
        hits += decision.version == cheap ? 1 : 0;
    }
    return static_cast<double>(hits) / count;
}

} // namespace

TEST(Quality, TheCheapVersionIsChosenIfItReachesTheTarget)
{
    const auto snapshot = twoModels();
    auto good = ratedBook(snapshot, 0.85, 0.9);
    EXPECT_GT(cheapShare(snapshot, good, {}), 0.9);
    auto bad = ratedBook(snapshot, 0.5, 0.9);
    EXPECT_LT(cheapShare(snapshot, bad, { .rank = table::Rank::Urgent }), 0.05)
        << "the quality of the cheap version alone is too far below the target";
}

TEST(Quality, DuplicateAndOldRatingsAreIgnored)
{
    const auto snapshot = twoModels();
    auto book = ratedBook(snapshot, 0.85, 0.9);
    const auto before = estimateQuality(book, snapshot.versions.at(cheap), workspace, kind);
    const std::vector<externals::Rating> old{ ratingOf(cheap, 0, 1), ratingOf(cheap, 0, 400) };
    recordRatings(book, snapshot, old, {});
    const auto after = estimateQuality(book, snapshot.versions.at(cheap), workspace, kind);
    EXPECT_EQ(before.mean, after.mean);
    EXPECT_EQ(before.deviation, after.deviation);
}

TEST(Quality, FallbackForMissingRatingsIsConfiguredByWorkspace)
{
    auto snapshot = twoModels();
    auto &row = snapshot.workspaces.at(workspace);
    for (const auto fallback :
         { table::RatingsFallback::KeepLast, table::RatingsFallback::UseDearest }) {
        row.ratingsFallback = fallback;
        auto book = ratedBook(snapshot, 0.85, 0.9);
        const double share = cheapShare(snapshot, book, {}, kernel::Instant(11min));
        const bool keeps = fallback == table::RatingsFallback::KeepLast;
        EXPECT_EQ(share > 0.9, keeps);
        EXPECT_EQ(share == 0, !keeps);
    }
}

TEST(Quality, CostAndLatencyWeightsDecideTheVersion)
{
    auto snapshot = twoModels();
    auto book = ratedBook(snapshot, 0.85, 0.9);
    for (const auto &[version, latency] : { std::pair{ cheap, 9s }, std::pair{ expensive, 1s } }) {
        recordAnswer(
            book, snapshot,
            { .workspace = workspace, .kind = kind, .version = version, .latency = latency });
    }
    auto &row = snapshot.workspaces.at(workspace);
    row.costWeight = 0.1;
    row.latencyWeight = 1;
    auto fast = book;
    EXPECT_LT(cheapShare(snapshot, fast, {}), 0.1);
    row.costWeight = 1;
    row.latencyWeight = 0;
    EXPECT_GT(cheapShare(snapshot, book, {}), 0.9);
}

TEST(Quality, UrgentRequestsSkipTheCascadeIfTheWorkspaceIsConfiguredSo)
{
    auto snapshot = twoModels();
    for (const bool skips : { true, false }) {
        snapshot.workspaces.at(workspace).urgentSkipsCascade = skips;
        auto book = ratedBook(snapshot, 0.74, 0.9);
        int cascades = 0;
        for (int i = 0; i < 200; ++i) {
            auto facts = factsOf(i);
            facts.rank = table::Rank::Urgent;
            const auto decision = chooseVersion(snapshot, book, {}, facts, {}, {});
            recordChoice(book, snapshot, facts, decision, {});
            cascades += decision.escalateTo ? 1 : 0;
        }
        EXPECT_EQ(cascades > 0, !skips);
    }
}

TEST(Cascade, EscalatesBelowItsThresholdAndOnlyToAnAllowedVersion)
{
    auto snapshot = twoModels();
    const VersionDecision decision{ .version = cheap,
                                    .escalateTo = expensive,
                                    .escalateBelow = 0.5 };
    // Nearly all requests are escalated; a few are kept to learn their quality.
    const auto escalated = [&](std::optional<double> confidence) {
        int count = 0;
        for (int i = 0; i < 1000; ++i) {
            count += decideEscalation(snapshot, {}, factsOf(i), decision, confidence, {}).escalates
                         ? 1
                         : 0;
        }
        return count;
    };
    EXPECT_GT(escalated(0.4), 930);
    EXPECT_LT(escalated(0.4), 1000);
    EXPECT_EQ(escalated(0.5), 0);
    EXPECT_EQ(escalated(std::nullopt), 0);
    snapshot.versions.at(expensive).state = table::VersionState::Withdrawn;
    EXPECT_EQ(escalated(0.1), 0);
    EXPECT_EQ(decideEscalation(snapshot, {}, factsOf(1), decision, 0.1, {}).reason,
              EscalationReason::NotAllowed);
}

TEST(Cascade, ConfidenceOfTruncatedAndFilteredAnswersIsLow)
{
    EXPECT_EQ(answerConfidence({ .finish = FinishReason::ContentFilter, .selfRating = 1 }), 0);
    EXPECT_EQ(answerConfidence({ .finish = FinishReason::Stop, .selfRating = 1 }), 0)
        << "the answer is empty";
    const AnswerQualitySignals truncated{ .finish = FinishReason::Length,
                                          .selfRating = 0.9,
                                          .outputTokens = 5 };
    EXPECT_LT(answerConfidence(truncated).value(), 0.5);
    const AnswerQualitySignals complete{ .finish = FinishReason::Stop,
                                         .selfRating = 0.9,
                                         .outputTokens = 5 };
    EXPECT_EQ(answerConfidence(complete), 0.9);
    EXPECT_EQ(answerConfidence({ .finish = FinishReason::Stop, .outputTokens = 5 }), std::nullopt);
}

// For any ratings, the estimated mean stays within [0, 1], and the deviation never exceeds the
// prior one.
RC_GTEST_PROP(Quality, EstimatesStayInRange, ())
{
    const auto snapshot = twoModels();
    QualityEstimates book;
    std::vector<externals::Rating> ratings;
    const int count = *rc::gen::inRange(0, 200);
    ratings.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        ratings.push_back(ratingOf(cheap, *rc::gen::inRange(-5, 16) / 10.0, i + 1));
    const auto &row = snapshot.versions.at(cheap);
    const auto prior = estimateQuality(book, row, workspace, kind);
    recordRatings(book, snapshot, ratings, {});
    const auto estimate = estimateQuality(book, row, workspace, kind);
    RC_ASSERT(estimate.mean >= 0 && estimate.mean <= 1);
    RC_ASSERT(estimate.deviation <= prior.deviation + 1e-12);
}
