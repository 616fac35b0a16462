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

bool mergeEncoded(PoisonBook &book, const PoisonBook &other)
{
    auto merged = merge(book, encode(other, 1000));
    return merged && *merged;
}

} // namespace

TEST(PoisonBook, TwoReportsOfOneCrashCountOnce)
{
    PoisonBook a;
    PoisonBook b;
    noteCrash(a, crashingRequest, upstream(1), at(100s));
    noteCrash(b, crashingRequest, upstream(1), at(103s));
    mergeEncoded(a, b);
    EXPECT_EQ(strikes(a, crashingRequest), 1);
    noteCrash(a, crashingRequest, upstream(1), at(120s));
    EXPECT_EQ(strikes(a, crashingRequest), 2);
}

TEST(PoisonBook, CompletionClearsEarlierCrashes)
{
    PoisonBook book;
    recordCompletion(book, harmlessRequest, at(1s));
    EXPECT_TRUE(book.evidence.empty());
    noteCrash(book, harmlessRequest, upstream(1), at(100s));
    recordCompletion(book, harmlessRequest, at(130s));
    EXPECT_EQ(strikes(book, harmlessRequest), 0);
    noteCrash(book, harmlessRequest, upstream(2), at(140s));
    EXPECT_EQ(strikes(book, harmlessRequest), 1);
}

TEST(PoisonBook, ExpiresOldEvidenceAndStaysBounded)
{
    PoisonBook book;
    book.capacity = 2;
    noteCrash(book, crashingRequest, upstream(1), at(1h));
    noteCrash(book, harmlessRequest, upstream(1), at(2h));
    noteCrash(book, Fingerprint("third"), upstream(1), at(3h));
    EXPECT_EQ(strikes(book, crashingRequest), 0);
    expire(book, at(26h + 30min));
    EXPECT_EQ(strikes(book, harmlessRequest), 0);
    EXPECT_EQ(strikes(book, Fingerprint("third")), 1);
}

TEST(PoisonBook, ManySuspectsDoNotEvictARefusedRequest)
{
    PoisonBook book;
    book.capacity = 4;
    noteCrash(book, crashingRequest, upstream(1), at(1s));
    noteCrash(book, crashingRequest, upstream(2), at(2s));
    for (int i = 0; i < 20; ++i)
        noteCrash(book, Fingerprint("suspect " + std::to_string(i)), upstream(3), at(10s));
    EXPECT_EQ(book.evidence.size(), 4U);
    EXPECT_EQ(strikes(book, crashingRequest), 2);
    EXPECT_TRUE(newestOf(book, 1).evidence.contains(crashingRequest));
}

TEST(PoisonBook, RefusedRequestsLeaveCapacityForNewSuspects)
{
    PoisonBook book;
    book.capacity = 4;
    for (int i = 0; i < 20; ++i) {
        const Fingerprint refused("refused " + std::to_string(i));
        noteCrash(book, refused, upstream(1), at(std::chrono::seconds(i)));
        noteCrash(book, refused, upstream(2), at(std::chrono::seconds(i)));
    }
    noteCrash(book, crashingRequest, upstream(1), at(100s));
    noteCrash(book, Fingerprint("other"), upstream(1), at(101s));
    noteCrash(book, crashingRequest, upstream(2), at(102s));
    EXPECT_EQ(strikes(book, crashingRequest), 2);
}

TEST(PoisonBook, RejectsMalformedEvidence)
{
    PoisonBook book;
    auto merged = kernel::capture([&] { return merge(book, "\x01 nonsense"); });
    ASSERT_FALSE(merged.ok());
    EXPECT_EQ(merged.error().code, kernel::ResultCode::PeerProtocol);
    EXPECT_TRUE(book.evidence.empty());
}

// Merging in any order, also repeatedly, gives all routers the same evidence.
RC_GTEST_PROP(PoisonBook, MergesInAnyOrder, ())
{
    std::vector<PoisonBook> books(3);
    const auto steps
        = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3 * 2 * 3 * 2 * 40));
    for (int step : steps) {
        PoisonBook &book = books[static_cast<std::size_t>(step % 3)];
        step /= 3;
        const Fingerprint &fingerprint = step % 2 == 0 ? crashingRequest : harmlessRequest;
        step /= 2;
        const int number = step % 3;
        step /= 3;
        const bool crash = step % 2 == 0;
        if (crash)
            noteCrash(book, fingerprint, upstream(number), at(std::chrono::seconds(step)));
        else
            recordCompletion(book, fingerprint, at(std::chrono::seconds(step)));
    }
    PoisonBook forward;
    PoisonBook backward;
    for (const PoisonBook &book : books)
        mergeEncoded(forward, book);
    for (auto book = books.rbegin(); book != books.rend(); ++book) {
        mergeEncoded(backward, *book);
        mergeEncoded(backward, forward);
    }
    RC_ASSERT(forward.evidence == backward.evidence);
    RC_ASSERT(!mergeEncoded(forward, backward));
}
