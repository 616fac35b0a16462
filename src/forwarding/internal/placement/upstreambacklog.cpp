#include "forwarding/internal/placement/upstreambacklog.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::forwarding {

namespace {

// Output tokens are produced in batches, so they delay the first event of another request by a part
// of their work only.
constexpr double outputDelayShare = 0.25;
// Part of the output that counts as remaining however long the response takes.
constexpr double smallestOutputLeft = 0.1;
// Times after which what was reported or learned has faded to a third.
constexpr double othersFadeSeconds = 0.7;
constexpr double reportFadeSeconds = 1;
constexpr double speedFadeSeconds = 30;
constexpr double speedWeight = 0.1;
constexpr double maxLogSpeedStep = 1.5;
constexpr double minSpeed = 0.1;
constexpr double maxSpeed = 3;
// Expected work below which a time tells nothing about the speed.
constexpr double minWorkMsForSpeed = 5;
// A request that waits for more than this many times the expected time shows a slow upstream.
constexpr double overdueFactor = 2;
constexpr double minOverdueMs = 100;

double fade(kernel::Instant from, kernel::Instant now, double seconds)
{
    return std::exp(-std::max(kernel::toSeconds(now - from), 0.0) / seconds);
}

double remainingOf(const WorkInFlight &work, kernel::Instant now)
{
    if (!work.firstEventAt)
        return work.readMs + outputDelayShare * work.outputWorkMs;
    const double doneMs = kernel::toSeconds(now - *work.firstEventAt) * 1000;
    const double left = work.outputMs > 0 ? 1 - doneMs / work.outputMs : 0;
    return outputDelayShare * work.outputWorkMs * std::max(left, smallestOutputLeft);
}

auto findWork(UpstreamBacklog &backlog, std::uint64_t number)
{
    return std::ranges::find(backlog.own, number, &WorkInFlight::number);
}

double learnedSpeed(const UpstreamBacklog &backlog, kernel::Instant now)
{
    return std::exp(backlog.logSpeed * fade(backlog.speedAt, now, speedFadeSeconds));
}

} // namespace

void startWork(UpstreamBacklog &backlog, const WorkInFlight &work)
{
    backlog.own.push_back(work);
}

void recordFirstEventOf(UpstreamBacklog &backlog, std::uint64_t number, double expectedWorkMs,
                        double actualMs, kernel::Instant now)
{
    const auto work = findWork(backlog, number);
    if (work != backlog.own.end())
        work->firstEventAt = now;
    if (expectedWorkMs < minWorkMsForSpeed || actualMs <= 0)
        return;
    const double current = backlog.logSpeed * fade(backlog.speedAt, now, speedFadeSeconds);
    const double distance = std::log(expectedWorkMs / actualMs) - current;
    backlog.logSpeed
        = current + speedWeight * std::clamp(distance, -maxLogSpeedStep, maxLogSpeedStep);
    backlog.speedAt = now;
}

void finishWork(UpstreamBacklog &backlog, std::uint64_t number)
{
    const auto work = findWork(backlog, number);
    if (work == backlog.own.end())
        return;
    *work = backlog.own.back();
    backlog.own.pop_back();
}

void recordReportedWork(UpstreamBacklog &backlog, double ms, kernel::Instant now)
{
    backlog.reportedMs = ms;
    backlog.reportedAt = now;
}

double ownRemainingMs(const UpstreamBacklog &backlog, kernel::Instant now)
{
    double total = 0;
    for (const WorkInFlight &work : backlog.own)
        total += remainingOf(work, now);
    return total;
}

double remainingMs(const UpstreamBacklog &backlog, kernel::Instant now)
{
    const double own = ownRemainingMs(backlog, now);
    const double told = backlog.othersMs * fade(backlog.othersAt, now, othersFadeSeconds);
    const double reported = std::max(backlog.reportedMs - own, 0.0)
                            * fade(backlog.reportedAt, now, reportFadeSeconds);
    return own + std::max(told, reported);
}

double speedOf(const UpstreamBacklog &backlog, kernel::Instant now)
{
    double speed = learnedSpeed(backlog, now);
    for (const WorkInFlight &work : backlog.own) {
        if (work.firstEventAt)
            continue;
        const double waitedMs = kernel::toSeconds(now - work.startedAt) * 1000;
        const double lateMs = std::max(overdueFactor * work.expectedFirstMs, minOverdueMs);
        if (waitedMs > lateMs)
            speed = std::min(speed, lateMs / waitedMs);
    }
    return std::clamp(speed, minSpeed, maxSpeed);
}

} // namespace acaciasail::forwarding
