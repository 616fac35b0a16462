#include "forwarding/internal/crashes/parttrial.h"

#include <algorithm>
#include <utility>

#include "forwarding/internal/crashes/evidencetimes.h"

namespace acaciasail::forwarding {

namespace {

constexpr std::ptrdiff_t maxTrials = 2;
// Time between two trials of a part; the cause of earlier crashes may still be there.
constexpr kernel::Duration trialInterval = std::chrono::seconds(15);
// Time for which other routers may clear the part before it is tried.
constexpr kernel::Duration firstTrialDelay = std::chrono::seconds(1);
// Routers try a part one after the other, so that each learns of the trials before its own.
constexpr kernel::Duration trialStagger = std::chrono::seconds(5);

const PartEvidence *findEvidence(const PartEvidenceSet &evidence, const PromptPartKey &key)
{
    const auto found = evidence.find(key);
    return found == evidence.end() ? nullptr : &found->second;
}

std::size_t countUnclearedCrashes(const PartEvidenceSet &evidence, const PromptPartKey &key)
{
    const PartEvidence *found = findEvidence(evidence, key);
    return found == nullptr ? 0 : unclearedCrashes(*found).size();
}

// Returns whether the part was at more than half of the crashes of the blamed one, so that it may
// be the one that causes them.
bool isOtherSuspect(const PartCrashes &crashes, const PromptPartKey &key,
                    const PromptPartKey &blamed)
{
    return 2 * countUnclearedCrashes(crashes.known, key)
           > countUnclearedCrashes(crashes.known, blamed);
}

// Returns the only blamed one of the parts; nothing if another one may cause the crashes.
std::optional<PromptPartKey> onlySuspect(const PartCrashes &crashes,
                                         const std::vector<PromptPartKey> &parts)
{
    const auto blamed = findBlamedPart(crashes, parts);
    const bool hasOther = blamed && std::ranges::any_of(parts, [&](const PromptPartKey &key) {
                              return key != *blamed
                                     && (crashes.blamed.parts.contains(key)
                                         || isOtherSuspect(crashes, key, *blamed));
                          });
    return hasOther ? std::nullopt : blamed;
}

// Returns whether the trials so far allow another one, a time after the last one at the earliest.
bool areTrialsLeft(const PartEvidence &evidence, kernel::Duration interval,
                   kernel::WallTime wallNow)
{
    const auto trials = std::ranges::count_if(evidence.trials, [&](kernel::WallTime time) {
        return !evidence.completedAt || time > *evidence.completedAt;
    });
    return trials < maxTrials
           && (evidence.trials.empty() || wallNow - *evidence.trials.rbegin() >= interval);
}

// Returns the number of routers whose turn comes before that of this one.
std::ptrdiff_t countEarlierReporters(const PartCrashes &crashes, const PromptPartKey &key,
                                     const kernel::VmId &self)
{
    const auto reporters = crashes.reporters.find(key);
    if (reporters == crashes.reporters.end())
        return 0;
    return std::distance(reporters->second.begin(), reporters->second.lower_bound(self));
}

} // namespace

void recordReporter(PartCrashes &crashes, const kernel::VmId &from, const PartEvidenceSet &received)
{
    for (const auto &[key, part] : received) {
        if (!part.crashes.empty())
            crashes.reporters[key].insert(from);
    }
}

void recordBlame(PartCrashes &crashes, const std::vector<PromptPartKey> &parts, kernel::Instant now)
{
    for (const PromptPartKey &key : parts)
        crashes.trials.try_emplace(key, PartTrialState{ now });
}

std::optional<PromptPartKey> partToTry(const PartCrashes &crashes,
                                       const std::vector<PromptPartKey> &parts,
                                       const kernel::VmId &self, kernel::Instant now,
                                       kernel::WallTime wallNow)
{
    const std::optional<PromptPartKey> key = onlySuspect(crashes, parts);
    if (!key || countUnclearedCrashes(crashes.own, *key) == 0)
        return std::nullopt;
    const auto state = crashes.trials.find(*key);
    const PartEvidence *evidence = findEvidence(crashes.known, *key);
    if (state == crashes.trials.end() || state->second.running || evidence == nullptr)
        return std::nullopt;
    const kernel::Duration turn = trialStagger * countEarlierReporters(crashes, *key, self);
    const bool isTurn = now - state->second.blamedSince >= firstTrialDelay + turn;
    return isTurn && areTrialsLeft(*evidence, trialInterval + turn, wallNow) ? key : std::nullopt;
}

bool isTrialUnderWay(const PartCrashes &crashes, const std::vector<PromptPartKey> &parts)
{
    const std::optional<PromptPartKey> key = onlySuspect(crashes, parts);
    const auto state = key ? crashes.trials.find(*key) : crashes.trials.end();
    return state != crashes.trials.end() && state->second.running;
}

PartTrial::PartTrial(PartCrashes &crashes, PromptPartKey part)
    : m_crashes(crashes)
    , m_part(std::move(part))
{
    m_crashes.trials[m_part].running = true;
}

PartTrial::~PartTrial()
{
    const auto state = m_crashes.trials.find(m_part);
    if (state != m_crashes.trials.end())
        state->second.running = false;
}

void PartTrial::recordSent(kernel::WallTime wallNow)
{
    m_sent = true;
    const PartEvidenceSet trial{ { m_part, { .trials = { toWholeMilliseconds(wallNow) } } } };
    mergePartEvidence(m_crashes.known, trial);
    mergePartEvidence(m_crashes.own, trial);
    m_crashes.hasUnsharedEvidence = true;
}

} // namespace acaciasail::forwarding
