#include "forwarding/internal/crashes/suspectedprocesses.h"

#include <algorithm>

#include "poison/poison.h"

namespace acaciasail::forwarding {

namespace {

// Time for which the registration must stay the same once the process can be reached. A process
// that ended and was replaced at its address is registered anew, or no more, by then.
constexpr kernel::Duration confirmationTime = std::chrono::seconds(2);
// A crashed process may stay registered for this time.
constexpr kernel::Duration registeredAfterCrash = std::chrono::seconds(2);
constexpr std::size_t maxSuspectedProcesses = 512;

} // namespace

kernel::UpstreamId upstreamOfProcess(const kernel::UpstreamId &process)
{
    return kernel::UpstreamId(process.str().substr(0, process.str().rfind('@')));
}

void recordSuspicion(SuspectedProcesses &suspected, const kernel::UpstreamId &process,
                     kernel::Instant now)
{
    suspected.processes.try_emplace(process,
                                    SuspectedProcess{ upstreamOfProcess(process), now, {} });
    if (suspected.processes.size() > maxSuspectedProcesses) {
        suspected.processes.erase(std::ranges::min_element(
            suspected.processes, {}, [](const auto &item) { return item.second.learnedAt; }));
    }
}

void recordReached(SuspectedProcesses &suspected, const kernel::UpstreamId &process,
                   kernel::Instant now)
{
    const auto found = suspected.processes.find(process);
    if (found != suspected.processes.end() && !found->second.reachedAt)
        found->second.reachedAt = now;
}

void recordUnreached(SuspectedProcesses &suspected, const kernel::UpstreamId &upstream)
{
    for (auto &[process, suspicion] : suspected.processes) {
        if (suspicion.upstream == upstream)
            suspicion.reachedAt.reset();
    }
}

SuspicionReview reviewSuspicions(SuspectedProcesses &suspected, const RegisteredProcess &registered,
                                 kernel::Instant now)
{
    SuspicionReview review;
    for (auto &[process, suspicion] : suspected.processes) {
        if (registered(suspicion.upstream) != process)
            suspicion.reachedAt.reset();
        else if (suspicion.reachedAt && now - *suspicion.reachedAt >= confirmationTime)
            review.alive.push_back(process);
        else if (!suspicion.reachedAt && now - suspicion.learnedAt >= registeredAfterCrash)
            review.toProbe.push_back(process);
    }
    for (const kernel::UpstreamId &process : review.alive)
        suspected.processes.erase(process);
    return review;
}

void restartConfirmations(SuspectedProcesses &suspected)
{
    for (auto &[process, suspicion] : suspected.processes)
        suspicion.reachedAt.reset();
}

void expireSuspicions(SuspectedProcesses &suspected, kernel::Instant now)
{
    std::erase_if(suspected.processes, [now](const auto &item) {
        return now - item.second.learnedAt > poison::evidenceLifetime;
    });
}

} // namespace acaciasail::forwarding
