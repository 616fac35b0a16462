#include "http/internal/closingorder.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace acaciasail::http {

namespace {

// An ordinary request holds no more than this.
constexpr std::size_t ordinaryBytes = 16U << 10U;
// A response of which nothing was taken for this time has stopped.
constexpr kernel::Duration stoppedReadingAfter = std::chrono::milliseconds(200);
// Added to each silence, so that among connections that just moved the one that holds most is
// first.
constexpr double silenceOffsetSeconds = 1;

bool isWorking(const ClosingCandidate &candidate)
{
    return candidate.activity == CallerActivity::Waiting
           || (candidate.activity == CallerActivity::Reading
               && candidate.silence < stoppedReadingAfter);
}

// Lower goes first.
std::tuple<int, double> memoryRank(const ClosingCandidate &candidate)
{
    const double weight = static_cast<double>(candidate.heldBytes)
                          * (silenceOffsetSeconds + kernel::toSeconds(candidate.silence));
    const int group = candidate.heldBytes <= ordinaryBytes ? 2 : isWorking(candidate) ? 1 : 0;
    return { group, -weight };
}

std::optional<int> roomGroup(const ClosingCandidate &candidate)
{
    if (isWorking(candidate))
        return std::nullopt;
    return candidate.served && candidate.activity == CallerActivity::Idle ? 1 : 0;
}

} // namespace

std::vector<std::size_t> chooseForMemory(const std::vector<ClosingCandidate> &candidates,
                                         std::size_t bytes)
{
    std::vector<std::pair<std::tuple<int, double>, std::size_t>> order;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].heldBytes > 0)
            order.emplace_back(memoryRank(candidates[i]), i);
    }
    std::ranges::sort(order);
    std::vector<std::size_t> chosen;
    std::size_t freed = 0;
    for (const auto &[rank, index] : order) {
        if (freed >= bytes)
            break;
        freed += candidates[index].heldBytes;
        chosen.push_back(index);
    }
    return chosen;
}

std::vector<std::size_t> chooseForRoom(const std::vector<ClosingCandidate> &candidates,
                                       std::size_t count)
{
    std::vector<std::tuple<int, kernel::Duration, std::size_t>> order;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (const auto group = roomGroup(candidates[i]))
            order.emplace_back(*group, -candidates[i].silence, i);
    }
    std::ranges::sort(order);
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < std::min(count, order.size()); ++i)
        chosen.push_back(std::get<std::size_t>(order[i]));
    return chosen;
}

} // namespace acaciasail::http
