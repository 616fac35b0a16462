#include "record.h"

#include <algorithm>

#include "evacuations.h"
#include "findings.h"
#include "runnernotices.h"
#include "silences.h"

namespace acaciasail::soak {

namespace {

using platform::testing::RunnerStandin;

constexpr int httpOk = 200;
constexpr int refusedStatus = 503;
constexpr int eventsPerStream = 30;
// A request may be affected by a disturbance that ended this long before the request was sent, and
// by one that began this long after the request ended.
constexpr kernel::Duration disturbanceAftermath = std::chrono::milliseconds(2500);
constexpr kernel::Duration disturbanceOnset = std::chrono::milliseconds(200);
// A request that was sent while the router closed the connection fails within this time.
constexpr kernel::Duration closeRaceTime = std::chrono::milliseconds(200);
// A runner's limit binds the routers this long after it was first named, and each router this long
// after it got its first response that names the limit.
constexpr kernel::Duration limitEffectTime = std::chrono::seconds(3);
constexpr kernel::Duration limitNotice = std::chrono::milliseconds(700);
// Requests that a runner with a limit may get in a window: this factor times what the limit allows,
// plus the slack.
constexpr kernel::Duration limitWindow = std::chrono::seconds(4);
constexpr double limitFactor = 1.5;
constexpr double limitSlack = 5;
// A disturbance also excuses violations for this time after its end.
constexpr kernel::Duration recoveryTime = std::chrono::seconds(3);
// A restart or pause of a router excuses it from limits for this time.
constexpr kernel::Duration limitExcuse = std::chrono::seconds(1);

bool promisesNotRun(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

int runsOf(const Record &record, const std::string &id)
{
    const auto found = record.runs.find(id);
    return found == record.runs.end() ? 0 : found->second;
}

bool isDisturbed(const std::vector<Disturbance> &disturbances, const Asked &asked)
{
    return std::ranges::any_of(disturbances, [&](const Disturbance &one) {
        if (one.router && *one.router != asked.router)
            return false;
        return one.from <= asked.ended + disturbanceOnset
               && one.to + disturbanceAftermath >= asked.sent;
    });
}

std::string describe(const Asked &asked)
{
    return asked.id + " at router " + std::to_string(asked.router) + " process "
           + std::to_string(asked.process) + ", sent at "
           + std::to_string(kernel::toMilliseconds(asked.sent.time_since_epoch())) + " ms, took "
           + std::to_string(kernel::toMilliseconds(asked.ended - asked.sent)) + " ms, status "
           + std::to_string(asked.status) + (asked.complete ? "" : ", cut") + " " + asked.error;
}

std::string expectedBody(const Asked &asked)
{
    if (asked.kind != AskKind::Stream)
        return "answer to " + asked.id;
    std::string body;
    for (int number = 1; number <= eventsPerStream; ++number)
        body += RunnerStandin::event(asked.id, number);
    return body;
}

// Checks what must be true of every answer, whatever faults happen.
void judgeTruth(const Record &record, std::vector<std::string> &broken)
{
    Findings wrong("an answer is the request's own and whole", broken);
    Findings malformed("an answer is one by the grammar", broken);
    Findings order("a stream's events come once each and in order", broken);
    Findings twice("an unsafe request runs once at most", broken);
    Findings refused("a refused request has not run", broken);
    for (const Asked &asked : record.asked) {
        const std::string expected = expectedBody(asked);
        if (asked.malformed)
            malformed.add(describe(asked));
        if (asked.status == httpOk && asked.complete && asked.body != expected)
            wrong.add(describe(asked));
        if (asked.status == httpOk && asked.kind == AskKind::Stream
            && !expected.starts_with(asked.body))
            order.add(describe(asked));
        const int runs = runsOf(record, asked.id);
        if (asked.kind == AskKind::Unsafe && runs > 1)
            twice.add(describe(asked));
        if (asked.kind == AskKind::Unsafe && promisesNotRun(asked.status) && runs > 0)
            refused.add(describe(asked));
    }
}

// Checks that requests are served while no unplanned fault affects them.
void judgeService(const Record &record, std::vector<std::string> &broken)
{
    Findings lost("a request that was passed on is answered through restarts", broken);
    Findings served("without trouble each request is served", broken);
    for (const Asked &asked : record.asked) {
        if (isDisturbed(record.unplanned, asked))
            continue;
        const bool good = asked.status == httpOk && asked.complete;
        if (!isDisturbed(record.planned, asked)) {
            if (!good)
                served.add(describe(asked));
            continue;
        }
        const bool cut = !asked.complete;
        const bool ran = runsOf(record, asked.id) > 0;
        const bool lostOnTheWay
            = cut && asked.passedOn && (ran || asked.ended - asked.sent > closeRaceTime);
        const bool failed = !cut && !good && asked.status != refusedStatus;
        if (lostOnTheWay || failed)
            lost.add(describe(asked));
    }
}

void judgeRepeats(const Record &record, const RepeatBound &bound, std::vector<std::string> &broken)
{
    Findings repeats("repeats stay within their budget", broken);
    const auto &totals = record.totals;
    for (std::size_t end = bound.window; end < totals.size(); ++end) {
        const std::size_t begin = end - bound.window;
        const std::size_t earlier = begin >= bound.window ? begin - bound.window : 0;
        const auto requests = std::max(totals[end].first - totals[begin].first,
                                       totals[begin].first - totals[earlier].first);
        const auto extra = (totals[end].second - totals[begin].second)
                           - (totals[end].first - totals[begin].first);
        if (static_cast<double>(extra) > bound.ratio * static_cast<double>(requests) + bound.slack)
            repeats.add(std::to_string(extra) + " beside " + std::to_string(requests)
                        + " requests in the window to second " + std::to_string(end));
    }
}

// Returns the arrivals from undisturbed routers that had received the limit.
std::vector<kernel::Instant> boundArrivals(const Record &record, const LimitedTime &limited,
                                           const AskedById &byId)
{
    std::map<Process, kernel::Instant> firstArrivals;
    std::vector<kernel::Instant> result;
    for (const auto &arrival : record.arrivals.at(limited.runner)) {
        const kernel::Instant time = arrival.time;
        const auto asked = byId.find(arrival.request);
        if (time < limited.from || time > limited.to || asked == byId.end())
            continue;
        const Process process = processOf(*asked->second);
        const kernel::Instant first = firstArrivals.try_emplace(process, time).first->second;
        const bool told = time - first >= limitNotice;
        if (told && time >= limited.from + limitEffectTime
            && !isRouterDisturbed(record, process.first, time - limitExcuse, time))
            result.push_back(time);
    }
    return result;
}

void judgeLimits(const Record &record, std::vector<std::string> &broken)
{
    Findings limits("the routers together keep the limit that a runner names", broken);
    const AskedById byId = indexById(record);
    for (const LimitedTime &limited : record.limited) {
        const std::vector<kernel::Instant> arrivals = boundArrivals(record, limited, byId);
        const double allowed
            = limitFactor * limited.perSecond * kernel::toSeconds(limitWindow) + limitSlack;
        for (const kernel::Instant start : arrivals) {
            const auto count = std::ranges::count_if(arrivals, [&](kernel::Instant time) {
                return time >= start && time < start + limitWindow;
            });
            if (static_cast<double>(count) > allowed)
                limits.add(std::to_string(count) + " at " + limited.runner + " with a limit of "
                           + std::to_string(limited.perSecond) + ", from "
                           + std::to_string(kernel::toMilliseconds(start.time_since_epoch()))
                           + " ms");
        }
    }
}

} // namespace

Process processOf(const Asked &asked)
{
    return { asked.router, asked.process };
}

AskedById indexById(const Record &record)
{
    AskedById byId;
    for (const Asked &asked : record.asked)
        byId[asked.id] = &asked;
    return byId;
}

bool isRouterDisturbed(const Record &record, std::size_t router, kernel::Instant from,
                       kernel::Instant to)
{
    const auto touches = [&](const Disturbance &one) {
        return one.router == router && one.from <= to && one.to >= from;
    };
    return std::ranges::any_of(record.unplanned, touches)
           || std::ranges::any_of(record.planned, touches);
}

// Bytes that a router sent before it was killed may still arrive, so disturbances of the router
// count from the time at which the request was sent.
bool isExcused(const Record &record, const std::string &runner, const Asked &asked,
               kernel::Instant at)
{
    const auto affects = [&](const Disturbance &one) {
        return (!one.router || *one.router == asked.router) && one.from <= at
               && one.to + recoveryTime >= at;
    };
    const auto path = record.pathTrouble.find(runner);
    return isRouterDisturbed(record, asked.router, std::min(asked.sent, at - recoveryTime), at)
           || std::ranges::any_of(record.storeTrouble, affects)
           || (path != record.pathTrouble.end() && std::ranges::any_of(path->second, affects));
}

std::vector<std::string> judge(const Record &record, const RepeatBound &repeats)
{
    std::vector<std::string> broken = record.broken;
    judgeTruth(record, broken);
    judgeService(record, broken);
    judgeRepeats(record, repeats, broken);
    judgeLimits(record, broken);
    judgeNotices(record, broken);
    judgeRegisteredLeaving(record, broken);
    judgeEvacuations(record, broken);
    judgeColdRunners(record, broken);
    return broken;
}

} // namespace acaciasail::soak
