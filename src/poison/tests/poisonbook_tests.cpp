#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "poison/poison.h"

using namespace acaciasail;
using namespace acaciasail::poison;
using namespace std::chrono_literals;

namespace {

const Fingerprint crashingRequest("crasher");
const Fingerprint harmlessRequest("innocent");

kernel::WallTime at(kernel::Duration time)
{
    return kernel::WallTime(time);
}

kernel::UpstreamId upstream(int number)
{
    return kernel::UpstreamId("u" + std::to_string(number));
}

bool mergeEncoded(PoisonEvidenceSet &book, const PoisonEvidenceSet &other)
{
    auto merged = merge(book, encode(other, 1000));
    return merged && *merged;
}

} // namespace

TEST(PoisonEvidenceSet, TwoReportsOfOneCrashCountOnce)
{
    PoisonEvidenceSet a;
    PoisonEvidenceSet b;
    recordCrash(a, crashingRequest, upstream(1), at(100s));
    recordCrash(b, crashingRequest, upstream(1), at(103s));
    mergeEncoded(a, b);
    EXPECT_EQ(unclearedCrashes(a, crashingRequest), 1);
    recordCrash(a, crashingRequest, upstream(1), at(120s));
    EXPECT_EQ(unclearedCrashes(a, crashingRequest), 2);
}

TEST(PoisonEvidenceSet, CompletionClearsEarlierCrashes)
{
    PoisonEvidenceSet book;
    recordCompletion(book, harmlessRequest, at(1s));
    EXPECT_TRUE(book.evidence.empty());
    recordCrash(book, harmlessRequest, upstream(1), at(100s));
    recordCompletion(book, harmlessRequest, at(130s));
    EXPECT_EQ(unclearedCrashes(book, harmlessRequest), 0);
    recordCrash(book, harmlessRequest, upstream(2), at(140s));
    EXPECT_EQ(unclearedCrashes(book, harmlessRequest), 1);
}

TEST(PoisonEvidenceSet, ExpiresOldEvidenceAndStaysBounded)
{
    PoisonEvidenceSet book;
    book.capacity = 2;
    recordCrash(book, crashingRequest, upstream(1), at(1h));
    recordCrash(book, harmlessRequest, upstream(1), at(2h));
    recordCrash(book, Fingerprint("third"), upstream(1), at(3h));
    EXPECT_EQ(unclearedCrashes(book, crashingRequest), 0);
    expire(book, at(26h + 30min));
    EXPECT_EQ(unclearedCrashes(book, harmlessRequest), 0);
    EXPECT_EQ(unclearedCrashes(book, Fingerprint("third")), 1);
}

TEST(PoisonEvidenceSet, ManySuspectsDoNotEvictARefusedRequest)
{
    PoisonEvidenceSet book;
    book.capacity = 4;
    recordCrash(book, crashingRequest, upstream(1), at(1s));
    recordCrash(book, crashingRequest, upstream(2), at(2s));
    for (int i = 0; i < 20; ++i)
        recordCrash(book, Fingerprint("suspect " + std::to_string(i)), upstream(3), at(10s));
    EXPECT_EQ(book.evidence.size(), 4U);
    EXPECT_EQ(unclearedCrashes(book, crashingRequest), 2);
    EXPECT_TRUE(mostImportantEvidence(book, 1).evidence.contains(crashingRequest));
}

TEST(PoisonEvidenceSet, RefusedRequestsLeaveCapacityForNewSuspects)
{
    PoisonEvidenceSet book;
    book.capacity = 4;
    for (int i = 0; i < 20; ++i) {
        const Fingerprint refused("refused " + std::to_string(i));
        recordCrash(book, refused, upstream(1), at(std::chrono::seconds(i)));
        recordCrash(book, refused, upstream(2), at(std::chrono::seconds(i)));
    }
    recordCrash(book, crashingRequest, upstream(1), at(100s));
    recordCrash(book, Fingerprint("other"), upstream(1), at(101s));
    recordCrash(book, crashingRequest, upstream(2), at(102s));
    EXPECT_EQ(unclearedCrashes(book, crashingRequest), 2);
}

TEST(PoisonEvidenceSet, RejectsMalformedEvidence)
{
    PoisonEvidenceSet book;
    auto merged = kernel::capture([&] { return merge(book, "\x01 nonsense"); });
    ASSERT_FALSE(merged.ok());
    EXPECT_EQ(merged.error().code, kernel::ResultCode::PeerProtocol);
    EXPECT_TRUE(book.evidence.empty());
}

// Merging in any order, also repeatedly, gives all routers the same evidence.
RC_GTEST_PROP(PoisonEvidenceSet, MergesInAnyOrder, ())
{
    std::vector<PoisonEvidenceSet> books(3);
    const auto steps
        = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3 * 2 * 3 * 2 * 40));
    for (int step : steps) {
        PoisonEvidenceSet &book = books[static_cast<std::size_t>(step % 3)];
        step /= 3;
        const Fingerprint &fingerprint = step % 2 == 0 ? crashingRequest : harmlessRequest;
        step /= 2;
        const int number = step % 3;
        step /= 3;
        const bool crash = step % 2 == 0;
        if (crash)
            recordCrash(book, fingerprint, upstream(number), at(std::chrono::seconds(step)));
        else
            recordCompletion(book, fingerprint, at(std::chrono::seconds(step)));
    }
    PoisonEvidenceSet forward;
    PoisonEvidenceSet backward;
    for (const PoisonEvidenceSet &book : books)
        mergeEncoded(forward, book);
    for (auto book = books.rbegin(); book != books.rend(); ++book) {
        mergeEncoded(backward, *book);
        mergeEncoded(backward, forward);
    }
    RC_ASSERT(forward.evidence == backward.evidence);
    RC_ASSERT(!mergeEncoded(forward, backward));
}
