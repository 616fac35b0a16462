#include "forwarding/internal/rollouts/rolloutplan.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace acaciasail::forwarding {

namespace {

constexpr int permille = 1000;

// A stage of a roll-out: its share, and the fraction of the target duration from which the share
// applies.
struct Stage
{
    double fromFraction;
    int sharePermille;
};

// Sessions keep their version during the first half of the target duration. Then the share grows in
// steps, so that the target has served about a seventh of all requests at its end: a version may
// turn bad at any moment, and the requests that it served until then were exposed to the fault.
constexpr std::array<Stage, 5> stages{ {
    { 0.0, 0 },
    { 0.51, 100 },
    { 0.71, 200 },
    { 0.83, 250 },
    { 0.945, 1000 },
} };
// Fraction of the target duration from which the old upstreams may be stopped.
constexpr double completeFraction = 0.965;
// Minimum number of canaries: some of them may fail for reasons that have nothing to do with their
// version.
constexpr std::size_t minCanaries = 4;

// Minimum number of bad responses to judge the target, and to share a doubt with other routers.
constexpr int minBadResponses = 4;
constexpr int minBadResponsesToDoubt = 2;
constexpr std::size_t minDoubters = 2;
// Maximum number of upstreams that a router names in its doubt.
constexpr std::size_t maxUpstreamsPerDoubt = 8;
// Number of latest responses of each version that are judged: a version may turn bad at any moment.
constexpr std::size_t maxNewResponses = 32;
constexpr std::size_t maxOldResponses = 256;
constexpr double minBadFractionExcess = 0.15;
constexpr double badFractionFactor = 2;
// Fraction of the target's upstreams that must have given bad responses: the failure of a single
// upstream tells nothing about the version.
constexpr double minBadUpstreamFraction = 0.6;

// In a large fleet some responses of any version are slow. They delay the last step only if at
// least this fraction of the canaries gave them.
constexpr double minSlowUpstreamFraction = 0.4;

// A response is slow if it takes this many times the baseline plus this excess.
constexpr double slowFactor = 3;
constexpr double slowExcessSeconds = 0.1;
constexpr double baselineWeight = 0.05;
// A stream that has lasted less than this is not slow: a pause may be caused by another long prompt
// at the engine.
constexpr double minSlowStreamSeconds = 1;

// A measure of one version: the responses that count against it, and the upstreams that gave them.
// Failures are measured alone as well, because the load of the old version may make many of its
// responses slow, which would hide the failures of the target.
struct Measure
{
    int bad = 0;
    int total = 0;
    const std::set<kernel::UpstreamId> *badUpstreams = nullptr;
    const std::set<kernel::UpstreamId> *upstreams = nullptr;

    double badFraction() const { return total == 0 ? 0 : static_cast<double>(bad) / total; }
};

// Index of the failures in measuresOf().
constexpr std::size_t failureMeasure = 1;

std::array<Measure, 2> measuresOf(const VersionEvidence &evidence)
{
    return { Measure{ evidence.bad, evidence.total(), &evidence.badUpstreams, &evidence.upstreams },
             Measure{ evidence.failed, evidence.total(), &evidence.failedUpstreams,
                      &evidence.upstreams } };
}

bool isMoreOftenBad(const Measure &target, const Measure &old)
{
    return target.badFraction() >= old.badFraction() * badFractionFactor
           && target.badFraction() >= old.badFraction() + minBadFractionExcess;
}

bool mostAreBad(std::size_t badUpstreams, std::size_t upstreams)
{
    return static_cast<double>(badUpstreams)
           >= std::ceil(minBadUpstreamFraction * static_cast<double>(upstreams));
}

bool isClearlyWorse(const Measure &target, const Measure &old)
{
    return target.bad >= minBadResponses && isMoreOftenBad(target, old)
           && mostAreBad(target.badUpstreams->size(), target.upstreams->size());
}

bool isClearlyWorse(const VersionEvidence &target, const VersionEvidence &old)
{
    const auto targetMeasures = measuresOf(target);
    const auto oldMeasures = measuresOf(old);
    return isClearlyWorse(targetMeasures[0], oldMeasures[0])
           || isClearlyWorse(targetMeasures[1], oldMeasures[1]);
}

const VersionEvidence &oldOfClass(const RolloutEvidence &evidence,
                                  const ResponseClass &responseClass)
{
    static const VersionEvidence none;
    const auto found = evidence.oldByClass.find(responseClass);
    return found == evidence.oldByClass.end() ? none : found->second;
}

RolloutDoubt makeDoubt(const Measure &target, const kernel::VmId &vm, bool onlySlow)
{
    RolloutDoubt doubt{ vm, target.bad, {}, onlySlow };
    for (const kernel::UpstreamId &id : *target.badUpstreams) {
        if (doubt.upstreams.size() < maxUpstreamsPerDoubt)
            doubt.upstreams.push_back(id);
    }
    return doubt;
}

void addResult(VersionEvidence &evidence, ResponseResult result, int count)
{
    (result == ResponseResult::Good ? evidence.good : evidence.bad) += count;
    if (result == ResponseResult::Failed)
        evidence.failed += count;
}

void recordUpstream(VersionEvidence &evidence, const kernel::UpstreamId &upstream,
                    ResponseResult result)
{
    evidence.upstreams.insert(upstream);
    if (result != ResponseResult::Good)
        evidence.badUpstreams.insert(upstream);
    if (result == ResponseResult::Failed)
        evidence.failedUpstreams.insert(upstream);
}

void recordResult(VersionEvidence &evidence, std::size_t maxResponses,
                  const kernel::UpstreamId &upstream, ResponseResult result)
{
    recordUpstream(evidence, upstream, result);
    addResult(evidence, result, 1);
    evidence.recentResults.push_back(result);
    if (evidence.recentResults.size() > maxResponses) {
        addResult(evidence, evidence.recentResults.front(), -1);
        evidence.recentResults.pop_front();
    }
}

// The latest response with the earlier result is counted anew; which of them makes no difference.
void replaceResult(VersionEvidence &evidence, const kernel::UpstreamId &upstream,
                   ResponseResult before, ResponseResult after)
{
    recordUpstream(evidence, upstream, after);
    const auto found
        = std::find(evidence.recentResults.rbegin(), evidence.recentResults.rend(), before);
    if (found == evidence.recentResults.rend())
        return;
    *found = after;
    addResult(evidence, before, -1);
    addResult(evidence, after, 1);
}

void recordResult(RolloutEvidence &evidence, const ResponseClass &responseClass,
                  const kernel::UpstreamId &upstream, bool fromTargetVersion, ResponseResult result)
{
    const std::size_t maxResponses = fromTargetVersion ? maxNewResponses : maxOldResponses;
    recordResult(fromTargetVersion ? evidence.newTotal : evidence.oldTotal, maxResponses, upstream,
                 result);
    recordResult((fromTargetVersion ? evidence.newByClass : evidence.oldByClass)[responseClass],
                 maxResponses, upstream, result);
}

void updateBaseline(std::map<ResponseClass, double> &baseline, const ResponseClass &responseClass,
                    kernel::Duration duration)
{
    const double seconds = kernel::toSeconds(duration);
    double &mean = baseline.try_emplace(responseClass, seconds).first->second;
    mean += baselineWeight * (seconds - mean);
}

// Returns whether the doubt names more upstreams than the one that this router has shared, or is no
// longer about slow responses only.
bool hasNewDoubt(const Rollout &rollout, const std::optional<RolloutDoubt> &doubt)
{
    if (!doubt)
        return false;
    const auto shared = std::ranges::find(rollout.doubts, doubt->vm, &RolloutDoubt::vm);
    return shared == rollout.doubts.end() || shared->upstreams.size() < doubt->upstreams.size()
           || (shared->onlySlow && !doubt->onlySlow);
}

// Returns the number of the target's upstreams that gave bad responses according to any router.
std::size_t countDoubtedUpstreams(const std::vector<RolloutDoubt> &doubts)
{
    std::set<kernel::UpstreamId> upstreams;
    for (const RolloutDoubt &doubt : doubts)
        upstreams.insert(doubt.upstreams.begin(), doubt.upstreams.end());
    return upstreams.size();
}

std::size_t countCanaries(std::size_t target, int sharePermille)
{
    const auto fraction = static_cast<double>(sharePermille) / permille;
    const auto canaries
        = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(target)));
    return std::min(target, std::max(canaries, minCanaries));
}

// Returns whether the doubts delay the roll-out's last step.
bool delaysLastStep(const std::vector<RolloutDoubt> &doubts, std::size_t canaries)
{
    if (countDoubtedUpstreams(doubts) <= 1)
        return false;
    std::vector<RolloutDoubt> failures;
    std::ranges::copy_if(doubts, std::back_inserter(failures),
                         [](const RolloutDoubt &doubt) { return !doubt.onlySlow; });
    return countDoubtedUpstreams(failures) > 1
           || static_cast<double>(countDoubtedUpstreams(doubts))
                  >= minSlowUpstreamFraction * static_cast<double>(canaries);
}

std::vector<RolloutDoubt> addDoubt(std::vector<RolloutDoubt> doubts,
                                   const std::optional<RolloutDoubt> &doubt)
{
    if (doubt) {
        std::erase_if(doubts, [&](const RolloutDoubt &shared) { return shared.vm == doubt->vm; });
        doubts.push_back(*doubt);
    }
    return doubts;
}

} // namespace

VersionChoice chooseVersion(const Rollout &rollout, std::string_view session)
{
    switch (rollout.state) {
    case RolloutState::Ordered:
    case RolloutState::RolledBack:
        return VersionChoice::Old;
    case RolloutState::Completed:
        return VersionChoice::New;
    case RolloutState::Running:
        break;
    }
    const auto point = static_cast<int>(kernel::hash64(session) % permille);
    return point < rollout.sharePermille ? VersionChoice::New : VersionChoice::Old;
}

bool recordResponse(RolloutEvidence &evidence, const ResponseClass &responseClass,
                    const kernel::UpstreamId &upstream, bool fromTargetVersion, bool failed,
                    std::optional<kernel::Duration> timeToFirstByte)
{
    ResponseResult result = failed ? ResponseResult::Failed : ResponseResult::Good;
    if (timeToFirstByte) {
        const auto slow = slowFirstByteTime(evidence, responseClass);
        if (!failed && slow && *timeToFirstByte > *slow)
            result = ResponseResult::Slow;
        if (!fromTargetVersion)
            recordBaselineFirstByte(evidence, responseClass, *timeToFirstByte);
    }
    recordResult(evidence, responseClass, upstream, fromTargetVersion, result);
    return result != ResponseResult::Good;
}

void recordSlowResponse(RolloutEvidence &evidence, const ResponseClass &responseClass,
                        const kernel::UpstreamId &upstream, bool fromTargetVersion)
{
    recordResult(evidence, responseClass, upstream, fromTargetVersion, ResponseResult::Slow);
}

void recountResponse(RolloutEvidence &evidence, const ResponseClass &responseClass,
                     const kernel::UpstreamId &upstream, bool fromTargetVersion,
                     ResponseResult before, ResponseResult after)
{
    replaceResult(fromTargetVersion ? evidence.newTotal : evidence.oldTotal, upstream, before,
                  after);
    replaceResult((fromTargetVersion ? evidence.newByClass : evidence.oldByClass)[responseClass],
                  upstream, before, after);
}

void recordBaselineFirstByte(RolloutEvidence &evidence, const ResponseClass &responseClass,
                             kernel::Duration timeToFirstByte)
{
    updateBaseline(evidence.baselineFirstByteSeconds, responseClass, timeToFirstByte);
}

void recordBaselineEventInterval(RolloutEvidence &evidence, const ResponseClass &responseClass,
                                 kernel::Duration perEvent)
{
    updateBaseline(evidence.baselineEventIntervalSeconds, responseClass, perEvent);
}

std::optional<kernel::Duration> slowFirstByteTime(const RolloutEvidence &evidence,
                                                  const ResponseClass &responseClass)
{
    const auto baseline = evidence.baselineFirstByteSeconds.find(responseClass);
    if (baseline == evidence.baselineFirstByteSeconds.end() || evidence.sharePermille >= permille)
        return std::nullopt;
    return kernel::fromSeconds(baseline->second * slowFactor + slowExcessSeconds);
}

std::optional<kernel::Duration> slowStreamTime(const RolloutEvidence &evidence,
                                               const ResponseClass &responseClass, int events)
{
    const auto baseline = evidence.baselineEventIntervalSeconds.find(responseClass);
    if (baseline == evidence.baselineEventIntervalSeconds.end()
        || evidence.sharePermille >= permille)
        return std::nullopt;
    const double seconds = baseline->second * slowFactor * std::max(events, 1);
    return kernel::fromSeconds(std::max(seconds, minSlowStreamSeconds));
}

bool isTargetWorse(const RolloutEvidence &evidence)
{
    if (isClearlyWorse(evidence.newTotal, evidence.oldTotal))
        return true;
    return std::ranges::any_of(evidence.newByClass, [&](const auto &item) {
        return isClearlyWorse(item.second, oldOfClass(evidence, item.first));
    });
}

std::optional<RolloutDoubt> ownDoubt(const RolloutEvidence &evidence, const kernel::VmId &vm)
{
    std::optional<Measure> worst;
    bool onlySlow = true;
    const auto consider = [&](const VersionEvidence &target, const VersionEvidence &old) {
        const auto targetMeasures = measuresOf(target);
        const auto oldMeasures = measuresOf(old);
        for (std::size_t i = 0; i < targetMeasures.size(); ++i) {
            const Measure &measure = targetMeasures[i];
            if (measure.bad < minBadResponsesToDoubt || !isMoreOftenBad(measure, oldMeasures[i]))
                continue;
            onlySlow = onlySlow && i != failureMeasure;
            if (!worst || measure.bad > worst->bad)
                worst = measure;
        }
    };
    consider(evidence.newTotal, evidence.oldTotal);
    for (const auto &[responseClass, target] : evidence.newByClass)
        consider(target, oldOfClass(evidence, responseClass));
    if (!worst)
        return std::nullopt;
    return makeDoubt(*worst, vm, onlySlow);
}

bool rejectedByDoubts(const std::vector<RolloutDoubt> &doubts, std::size_t upstreamsInUse)
{
    if (doubts.size() < minDoubters)
        return false;
    int bad = 0;
    for (const RolloutDoubt &doubt : doubts)
        bad += doubt.badResponses;
    return bad >= minBadResponses && mostAreBad(countDoubtedUpstreams(doubts), upstreamsInUse);
}

kernel::Duration clampAgeToShare(const Rollout &rollout, kernel::Duration age)
{
    double minFraction = 0;
    double maxFraction = 1;
    for (const Stage &stage : stages) {
        if (stage.sharePermille <= rollout.sharePermille)
            minFraction = stage.fromFraction;
        else
            maxFraction = std::min(maxFraction, stage.fromFraction);
    }
    return std::clamp(age, kernel::scaled(rollout.targetDuration, minFraction),
                      kernel::scaled(rollout.targetDuration, maxFraction));
}

std::vector<const Upstream *> selectCanaries(std::vector<const Upstream *> target,
                                             int sharePermille)
{
    target.resize(countCanaries(target.size(), sharePermille));
    return target;
}

std::optional<RolloutStep> nextStep(const Rollout &rollout, const RolloutEvidence &evidence,
                                    const kernel::VmId &vm, int newUpstreams, int oldUpstreams,
                                    kernel::Instant now)
{
    if (rollout.state == RolloutState::Completed || rollout.state == RolloutState::RolledBack)
        return std::nullopt;
    if (evidence.targetRejected)
        return RolloutStep{ RolloutState::RolledBack, 0, rollout.doubts };
    if (newUpstreams == 0)
        return std::nullopt;
    const double elapsedFraction = kernel::toSeconds(now - evidence.rolloutStartedAt)
                                   / std::max(kernel::toSeconds(rollout.targetDuration), 1.0);
    const bool full = rollout.state == RolloutState::Running && rollout.sharePermille >= permille;
    if (full && elapsedFraction >= completeFraction && newUpstreams * 2 >= oldUpstreams)
        return RolloutStep{ RolloutState::Completed, permille, rollout.doubts };
    const bool doubtful
        = delaysLastStep(rollout.doubts, countCanaries(static_cast<std::size_t>(newUpstreams),
                                                       rollout.sharePermille));
    int share = rollout.sharePermille;
    for (const Stage &stage : stages) {
        // The last step can't be undone, so a doubt delays it.
        if (stage.sharePermille >= permille && doubtful)
            continue;
        if (elapsedFraction >= stage.fromFraction)
            share = std::max(share, stage.sharePermille);
    }
    const auto doubt = ownDoubt(evidence, vm);
    if (rollout.state == RolloutState::Running && share == rollout.sharePermille
        && !hasNewDoubt(rollout, doubt))
        return std::nullopt;
    return RolloutStep{ RolloutState::Running, share, addDoubt(rollout.doubts, doubt) };
}

} // namespace acaciasail::forwarding
