#include <gtest/gtest.h>

#include "http/internal/closingorder.h"

namespace acaciasail::http::tests {

namespace {

using namespace std::chrono_literals;
using Indices = std::vector<std::size_t>;

constexpr std::size_t megabyte = 1U << 20U;

TEST(ClosingOrder, ThoseWhoHoldMostAndMoveLeastGoFirst)
{
    const std::vector<ClosingCandidate> candidates{
        { CallerActivity::Sending, megabyte, 0s, false },
        { CallerActivity::Sending, megabyte, 10s, false },
        { CallerActivity::Sending, 4 * megabyte, 10s, false },
        { CallerActivity::Reading, megabyte, 20s, false },
    };
    EXPECT_EQ(chooseForMemory(candidates, 7 * megabyte), (Indices{ 2, 3, 1, 0 }));
}

TEST(ClosingOrder, RequestsThatRunAndOrdinaryCallersGoLast)
{
    const std::vector<ClosingCandidate> candidates{
        { CallerActivity::Sending, 1000, 60s, false },
        { CallerActivity::Waiting, 4 * megabyte, 10s, false },
        { CallerActivity::Reading, 4 * megabyte, 0s, false },
        { CallerActivity::Sending, megabyte, 0s, false },
        { CallerActivity::Idle, 0, 60s, true },
    };
    EXPECT_EQ(chooseForMemory(candidates, megabyte), (Indices{ 3 }));
    EXPECT_EQ(chooseForMemory(candidates, 100 * megabyte), (Indices{ 3, 1, 2, 0 }));
}

TEST(ClosingOrder, NoMoreAreClosedThanNeeded)
{
    const std::vector<ClosingCandidate> candidates(
        10, { CallerActivity::Sending, megabyte, 1s, false });
    EXPECT_EQ(chooseForMemory(candidates, 2 * megabyte + 1).size(), 3U);
    EXPECT_TRUE(chooseForMemory(candidates, 0).empty());
    EXPECT_EQ(chooseForRoom(candidates, 4).size(), 4U);
}

TEST(ClosingOrder, RoomIsMadeBySilentNewcomersBeforeIdleOrdinaryCallers)
{
    const std::vector<ClosingCandidate> candidates{
        { CallerActivity::Idle, 0, 100s, true },     { CallerActivity::Idle, 0, 1s, false },
        { CallerActivity::Sending, 100, 5s, false }, { CallerActivity::Waiting, 100, 100s, true },
        { CallerActivity::Reading, 100, 0s, true },  { CallerActivity::Reading, 100, 9s, true },
    };
    EXPECT_EQ(chooseForRoom(candidates, 10), (Indices{ 5, 2, 1, 0 }));
}

} // namespace

} // namespace acaciasail::http::tests
