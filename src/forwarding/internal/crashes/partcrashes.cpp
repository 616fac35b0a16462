#include "forwarding/internal/crashes/partcrashes.h"

#include <algorithm>
#include <utility>

#include "forwarding/internal/crashes/evidencetimes.h"

namespace acaciasail::forwarding {

namespace {

constexpr std::size_t maxSharedParts = 64;
constexpr std::size_t maxPartTimes = 4096;
constexpr std::size_t maxCrashedProcesses = 256;
// Evidence on a part that isn't completed within this time after a crash is shared.
constexpr kernel::Duration pendingTime = std::chrono::milliseconds(500);

void recordCrashedProcesses(CrashedProcesses &crashed, const PartEvidenceSet &evidence)
{
    for (const auto &[key, part] : evidence)
        crashed[key.service].insert(part.crashes.begin(), part.crashes.end());
}

void limitPartTimes(PartTimes &times)
{
    if (times.size() > maxPartTimes)
        keepNewest(times, maxPartTimes / 2);
}

std::optional<kernel::WallTime> completionOf(const PartCrashes &crashes, const PromptPartKey &key)
{
    const auto found = crashes.completedAt.find(key);
    return found == crashes.completedAt.end() ? std::nullopt : std::optional(found->second);
}

void recordCompletion(PartCrashes &crashes, const PromptPartKey &key, kernel::WallTime at)
{
    const auto known = crashes.known.find(key);
    if (known == crashes.known.end())
        return;
    // What clears no crash is no news for the other routers.
    const std::optional<kernel::WallTime> &before = known->second.completedAt;
    const bool clearsCrash = std::ranges::any_of(known->second.crashes, [&](const auto &crash) {
        return crash.second <= at && (!before || crash.second > *before);
    });
    if (!clearsCrash)
        return;
    known->second.completedAt = at;
    crashes.isBlameOutdated = true;
    const bool isShared = crashes.shared.contains(key);
    if (!isShared && unclearedCrashes(known->second).empty()) {
        crashes.own.erase(key);
        crashes.pending.erase(key);
        return;
    }
    crashes.own[key].completedAt = at;
    crashes.hasUnsharedEvidence = crashes.hasUnsharedEvidence || isShared;
}

} // namespace

void recordPartCrash(PartCrashes &crashes, const PartCrash &crash, kernel::Instant now)
{
    const kernel::WallTime at = toWholeMilliseconds(crash.crashedAt);
    PartEvidenceSet evidence;
    for (const PromptPartKey &key : crash.parts)
        evidence[key]
            = { { { crash.process, at } }, { crash.request }, completionOf(crashes, key) };
    recordCrashedProcesses(crashes.crashed, evidence);
    mergePartEvidence(crashes.own, evidence);
    if (!mergePartEvidence(crashes.known, evidence))
        return;
    for (const PromptPartKey &key : crash.parts)
        crashes.pending.try_emplace(key, now);
    crashes.isBlameOutdated = true;
}

void recordPartsCompleted(PartCrashes &crashes, const std::vector<PromptPartKey> &parts,
                          kernel::WallTime at)
{
    const kernel::WallTime rounded = toWholeMilliseconds(at);
    for (const PromptPartKey &key : parts) {
        kernel::WallTime &known = crashes.completedAt[key];
        known = std::max(known, rounded);
        recordCompletion(crashes, key, known);
    }
    limitPartTimes(crashes.completedAt);
}

void recordPartsWritten(PartCrashes &crashes, const std::vector<PromptPartKey> &parts,
                        kernel::WallTime at)
{
    for (const PromptPartKey &key : parts) {
        kernel::WallTime &known = crashes.writtenAt[key];
        known = std::max(known, at);
    }
    limitPartTimes(crashes.writtenAt);
}

bool recordProcessAlive(PartCrashes &crashes, const kernel::UpstreamId &process,
                        kernel::WallTime until)
{
    const bool wasReported = std::ranges::any_of(crashes.own, [&](const auto &item) {
        return crashes.shared.contains(item.first) && item.second.crashes.contains(process);
    });
    for (auto &[service, processes] : crashes.crashed) {
        const auto crash = processes.find(process);
        if (crash != processes.end() && crash->second <= until)
            processes.erase(crash);
    }
    if (dropCrash(crashes.known, process, until))
        crashes.isBlameOutdated = true;
    const bool isTakenBack = dropCrash(crashes.own, process, until) && wasReported;
    crashes.hasUnsharedEvidence = crashes.hasUnsharedEvidence || isTakenBack;
    return isTakenBack;
}

bool mergeReceivedParts(PartCrashes &crashes, const PartEvidenceSet &received)
{
    for (const auto &[key, part] : received)
        crashes.shared.insert(key);
    if (!mergePartEvidence(crashes.known, received))
        return false;
    recordCrashedProcesses(crashes.crashed, received);
    crashes.isBlameOutdated = true;
    // The sender may not know that the part was completed elsewhere.
    for (const auto &[key, part] : received) {
        const std::optional<kernel::WallTime> completedAt = completionOf(crashes, key);
        if (completedAt > crashes.known[key].completedAt)
            recordCompletion(crashes, key, *completedAt);
    }
    return true;
}

void expireParts(PartCrashes &crashes, kernel::WallTime wallNow)
{
    expirePartEvidence(crashes.known, wallNow);
    expirePartEvidence(crashes.own, wallNow);
    std::erase_if(crashes.shared, [&](const PromptPartKey &key) {
        return !crashes.known.contains(key) && !crashes.own.contains(key);
    });
    std::erase_if(crashes.reporters,
                  [&](const auto &item) { return !crashes.known.contains(item.first); });
    for (auto &[service, processes] : crashes.crashed)
        keepNewest(processes, maxCrashedProcesses);
    crashes.isBlameOutdated = true;
}

BlameChange updateBlame(PartCrashes &crashes)
{
    if (!std::exchange(crashes.isBlameOutdated, false))
        return {};
    const BlamedParts before = std::exchange(
        crashes.blamed, findBlamedParts(crashes.known, crashes.crashed, crashes.writtenAt));
    std::erase_if(crashes.trials, [&](const auto &item) {
        return !item.second.running && !crashes.blamed.parts.contains(item.first);
    });
    BlameChange change;
    std::ranges::set_difference(crashes.blamed.parts, before.parts,
                                std::back_inserter(change.blamed));
    std::ranges::set_difference(before.parts, crashes.blamed.parts,
                                std::back_inserter(change.cleared));
    return change;
}

std::optional<PromptPartKey> findBlamedPart(const PartCrashes &crashes,
                                            const std::vector<PromptPartKey> &parts)
{
    const auto found = std::ranges::find_if(
        parts, [&](const PromptPartKey &key) { return crashes.blamed.parts.contains(key); });
    return found == parts.end() ? std::nullopt : std::optional(*found);
}

bool isPartShareDue(PartCrashes &crashes, kernel::Instant now)
{
    std::erase_if(crashes.pending, [&](const auto &item) {
        if (now - item.second < pendingTime)
            return false;
        if (!unclearedCrashes(crashes.known[item.first]).empty()) {
            crashes.shared.insert(item.first);
            crashes.hasUnsharedEvidence = true;
        } else if (!crashes.shared.contains(item.first)) {
            crashes.own.erase(item.first);
        }
        return true;
    });
    return crashes.hasUnsharedEvidence;
}

PartEvidenceSet takePartsToShare(PartCrashes &crashes)
{
    crashes.hasUnsharedEvidence = false;
    PartEvidenceSet due;
    for (const auto &[key, part] : crashes.own) {
        if (crashes.shared.contains(key))
            due.insert({ key, part });
    }
    return mostImportantParts(due, maxSharedParts);
}

} // namespace acaciasail::forwarding
