#include "forwarding/internal/crashes/partevidence.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace acaciasail::forwarding {

namespace {

// Bounds of the evidence that is kept.
constexpr std::size_t maxTrackedParts = 1024;
constexpr std::size_t maxCrashesOfPart = 32;
constexpr std::size_t maxRequestsOfPart = 4;
constexpr std::size_t maxTrialsOfPart = 4;
// A sound part that was blamed would stay blamed for this time, unless one of its requests that
// are in progress completes.
constexpr kernel::Duration partEvidenceLifetime = std::chrono::hours(1);

// Number of crashes from which a part is blamed. A single request is refused after three crashes,
// so they show nothing about its parts.
constexpr std::size_t crashesToBlame = 4;
constexpr std::size_t requestsToBlame = 2;
// A part that was sound within this time before its first crash needs stronger evidence.
constexpr kernel::Duration recentlySound = std::chrono::minutes(1);
// Upstreams that crash within this time of each other may have a common cause, so for such a part
// they count as one event.
constexpr kernel::Duration commonCauseWindow = std::chrono::milliseconds(500);
constexpr int eventsToBlame = 3;

// A part that was at this share of another part's crashes or more was at about as many.
constexpr double similarCrashesShare = 0.75;

using ProcessSet = std::set<kernel::UpstreamId>;

struct Suspect
{
    PromptPartKey key;
    const PartEvidence *evidence = nullptr;
    // Crashes that count against the part and have no other explanation.
    ProcessSet crashes;
};

// What is known beside the evidence on the suspects.
struct BlameContext
{
    const CrashedProcesses &crashed;
    const PartTimes &writtenAt;
    // Crashes that parts which are blamed already explain.
    const ProcessSet &explained;
};

std::vector<kernel::WallTime> sortedCrashTimes(const Suspect &suspect)
{
    std::vector<kernel::WallTime> times;
    for (const kernel::UpstreamId &process : suspect.crashes)
        times.push_back(suspect.evidence->crashes.at(process));
    std::ranges::sort(times);
    return times;
}

int countSeparateEvents(const std::vector<kernel::WallTime> &sortedTimes)
{
    int count = 0;
    std::optional<kernel::WallTime> start;
    for (const kernel::WallTime time : sortedTimes) {
        if (start && time - *start <= commonCauseWindow)
            continue;
        start = time;
        ++count;
    }
    return count;
}

// Returns whether the part was at half or more of the crashes between its first and its last one
// that have no other explanation.
bool explainsMostCrashes(const Suspect &suspect, const std::vector<kernel::WallTime> &sortedTimes,
                         const BlameContext &context)
{
    const auto ofService = context.crashed.find(suspect.key.service);
    if (ofService == context.crashed.end())
        return true;
    const kernel::WallTime from = sortedTimes.front() - commonCauseWindow;
    const kernel::WallTime to = sortedTimes.back() + commonCauseWindow;
    const auto others = std::ranges::count_if(ofService->second, [&](const auto &item) {
        const auto &[process, time] = item;
        return time >= from && time <= to && !suspect.crashes.contains(process)
               && !context.explained.contains(process);
    });
    return static_cast<std::size_t>(others) <= suspect.crashes.size();
}

// Returns the latest time at which the part is known to have been sound; nothing if there is none.
std::optional<kernel::WallTime> lastSoundAt(const Suspect &suspect, const PartTimes &writtenAt)
{
    const auto written = writtenAt.find(suspect.key);
    const std::optional<kernel::WallTime> &completedAt = suspect.evidence->completedAt;
    return written == writtenAt.end() ? completedAt
                                      : std::max(completedAt, std::optional(written->second));
}

bool wasSoundBefore(const Suspect &suspect, kernel::WallTime firstCrash, const PartTimes &writtenAt)
{
    const std::optional<kernel::WallTime> soundAt = lastSoundAt(suspect, writtenAt);
    return soundAt && firstCrash - *soundAt < recentlySound;
}

bool isBlamable(const Suspect &suspect, const BlameContext &context)
{
    if (suspect.crashes.size() < crashesToBlame
        || suspect.evidence->requests.size() < requestsToBlame)
        return false;
    const std::vector<kernel::WallTime> times = sortedCrashTimes(suspect);
    if (wasSoundBefore(suspect, times.front(), context.writtenAt)
        && countSeparateEvents(times) < eventsToBlame)
        return false;
    return explainsMostCrashes(suspect, times, context);
}

// Returns the suspect to blame next. Sound parts that the crashing requests share are at about as
// many crashes as the crashing part, but have been completed or written on more recently, as an
// upstream crashes soon after it has begun to write on the crashing part.
const Suspect *selectSuspect(const std::vector<Suspect> &suspects, const BlameContext &context)
{
    std::vector<const Suspect *> blamable;
    std::size_t mostCrashes = 0;
    for (const Suspect &suspect : suspects) {
        if (!isBlamable(suspect, context))
            continue;
        blamable.push_back(&suspect);
        mostCrashes = std::max(mostCrashes, suspect.crashes.size());
    }
    const double minCrashes = similarCrashesShare * static_cast<double>(mostCrashes);
    std::erase_if(blamable, [&](const Suspect *suspect) {
        return static_cast<double>(suspect->crashes.size()) < minCrashes;
    });
    const auto selected
        = std::ranges::min_element(blamable, [&](const Suspect *a, const Suspect *b) {
              return std::tuple(lastSoundAt(*a, context.writtenAt), b->crashes.size(), a->key)
                     < std::tuple(lastSoundAt(*b, context.writtenAt), a->crashes.size(), b->key);
          });
    return selected == blamable.end() ? nullptr : *selected;
}

kernel::WallTime newestTime(const PartEvidence &evidence)
{
    kernel::WallTime newest = evidence.completedAt.value_or(kernel::WallTime{});
    for (const auto &[process, time] : evidence.crashes)
        newest = std::max(newest, time);
    return newest;
}

void limitSize(PartEvidence &evidence)
{
    while (evidence.requests.size() > maxRequestsOfPart)
        evidence.requests.erase(std::prev(evidence.requests.end()));
    while (evidence.trials.size() > maxTrialsOfPart)
        evidence.trials.erase(evidence.trials.begin());
    while (evidence.crashes.size() > maxCrashesOfPart) {
        evidence.crashes.erase(std::ranges::min_element(
            evidence.crashes, {}, [](const auto &item) { return item.second; }));
    }
}

bool mergeEvidence(PartEvidence &evidence, const PartEvidence &other)
{
    const PartEvidence before = evidence;
    for (const auto &[process, time] : other.crashes) {
        const auto [known, added] = evidence.crashes.try_emplace(process, time);
        known->second = std::min(known->second, time);
    }
    evidence.requests.insert(other.requests.begin(), other.requests.end());
    evidence.trials.insert(other.trials.begin(), other.trials.end());
    evidence.completedAt = std::max(evidence.completedAt, other.completedAt);
    limitSize(evidence);
    return evidence != before;
}

} // namespace

std::set<kernel::UpstreamId> unclearedCrashes(const PartEvidence &evidence)
{
    ProcessSet uncleared;
    for (const auto &[process, time] : evidence.crashes) {
        if (!evidence.completedAt || time > *evidence.completedAt)
            uncleared.insert(process);
    }
    return uncleared;
}

bool dropCrash(PartEvidenceSet &evidence, const kernel::UpstreamId &process, kernel::WallTime until)
{
    bool dropped = false;
    for (auto &[key, part] : evidence) {
        const auto crash = part.crashes.find(process);
        if (crash == part.crashes.end() || crash->second > until)
            continue;
        part.crashes.erase(crash);
        dropped = true;
    }
    return dropped;
}

bool mergePartEvidence(PartEvidenceSet &evidence, const PartEvidenceSet &other)
{
    bool changed = false;
    for (const auto &[key, part] : other)
        changed |= mergeEvidence(evidence[key], part);
    return changed;
}

BlamedParts findBlamedParts(const PartEvidenceSet &evidence, const CrashedProcesses &crashed,
                            const PartTimes &writtenAt)
{
    std::vector<Suspect> suspects;
    for (const auto &[key, part] : evidence)
        suspects.push_back({ key, &part, unclearedCrashes(part) });
    BlamedParts blamed;
    const BlameContext context{ crashed, writtenAt, blamed.processes };
    while (const Suspect *suspect = selectSuspect(suspects, context)) {
        blamed.parts.insert(suspect->key);
        const ProcessSet explained = suspect->crashes;
        blamed.processes.insert(explained.begin(), explained.end());
        for (Suspect &other : suspects) {
            std::erase_if(other.crashes, [&](const kernel::UpstreamId &process) {
                return explained.contains(process);
            });
        }
    }
    return blamed;
}

PartEvidenceSet mostImportantParts(const PartEvidenceSet &evidence, std::size_t maxParts)
{
    using Item = const PartEvidenceSet::value_type *;
    std::vector<Item> items;
    for (const auto &item : evidence)
        items.push_back(&item);
    std::ranges::sort(items, [](Item a, Item b) {
        return std::tuple(b->second.crashes.size(), newestTime(b->second), a->first)
               < std::tuple(a->second.crashes.size(), newestTime(a->second), b->first);
    });
    items.resize(std::min(items.size(), maxParts));
    PartEvidenceSet result;
    for (const Item item : items)
        result.insert(*item);
    return result;
}

void expirePartEvidence(PartEvidenceSet &evidence, kernel::WallTime now)
{
    std::erase_if(evidence, [&](const auto &item) {
        return now - newestTime(item.second) > partEvidenceLifetime;
    });
    if (evidence.size() > maxTrackedParts)
        evidence = mostImportantParts(evidence, maxTrackedParts);
}

} // namespace acaciasail::forwarding
