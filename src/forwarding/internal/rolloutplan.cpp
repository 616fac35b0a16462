#include "forwarding/internal/rolloutplan.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace acaciasail::forwarding {

namespace {

constexpr int permille = 1000;

// A stage of a roll-out: the share from a part of the wanted time on.
struct Stage
{
    double fromPart;
    int sharePermille;
};

// Sessions keep their version in the first half. Then the share grows in steps so that the target
// has got about a seventh of all requests when the time is over: a version may turn bad at any
// moment, and what it got until then counts.
constexpr std::array<Stage, 5> stages{ {
    { 0.0, 0 },
    { 0.51, 100 },
    { 0.71, 200 },
    { 0.83, 250 },
    { 0.945, 1000 },
} };
// Part of the wanted time at which the old upstreams may be stopped.
constexpr double completePart = 0.965;
// Canaries at least: some may fail by themselves, which says nothing of their version.
constexpr std::size_t minCanaries = 4;

// Bad answers before the target is judged at all.
constexpr int minBad = 4;
constexpr double minBadShareExcess = 0.15;
constexpr double badShareFactor = 2;
// Part of the target's upstreams that must have given bad answers: one that fails by itself says
// nothing of the version.
constexpr double minBadUpstreamPart = 0.6;

// An answer is slow when it takes this many times the usual, and longer than the usual by this.
constexpr double slowFactor = 3;
constexpr double slowExcessSeconds = 0.1;
constexpr double usualDecay = 0.05;
// A stream that has lasted for less is not slow: a pause may be an engine's long prompt.
constexpr double leastSlowStreamSeconds = 1;

bool clearlyWorse(const VersionEvidence &target, const VersionEvidence &old)
{
    if (target.bad < minBad)
        return false;
    if (target.badShare() < old.badShare() * badShareFactor
        || target.badShare() < old.badShare() + minBadShareExcess)
        return false;
    const auto needed = static_cast<std::size_t>(
        std::ceil(minBadUpstreamPart * static_cast<double>(target.upstreams.size())));
    return target.badUpstreams.size() >= needed;
}

void count(VersionEvidence &evidence, const kernel::UpstreamId &upstream, bool bad)
{
    evidence.upstreams.insert(upstream);
    if (bad) {
        ++evidence.bad;
        evidence.badUpstreams.insert(upstream);
    } else {
        ++evidence.good;
    }
}

void recount(VersionEvidence &evidence, const kernel::UpstreamId &upstream)
{
    --evidence.good;
    ++evidence.bad;
    evidence.badUpstreams.insert(upstream);
}

void noteUsual(std::map<AnswerKind, double> &usual, const AnswerKind &kind, kernel::Duration took)
{
    const double seconds = kernel::toSeconds(took);
    double &mean = usual.try_emplace(kind, seconds).first->second;
    mean += usualDecay * (seconds - mean);
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

bool noteAnswer(RolloutEvidence &evidence, const AnswerKind &kind,
                const kernel::UpstreamId &upstream, bool onTarget, bool failed,
                std::optional<kernel::Duration> took)
{
    bool bad = failed;
    if (took) {
        const auto slow = slowFirstByteTime(evidence, kind);
        bad = bad || (slow && *took > *slow);
        if (!onTarget)
            noteUsualTime(evidence, kind, *took);
    }
    count(onTarget ? evidence.newTotal : evidence.oldTotal, upstream, bad);
    count((onTarget ? evidence.newByKind : evidence.oldByKind)[kind], upstream, bad);
    return bad;
}

void recountAsBad(RolloutEvidence &evidence, const AnswerKind &kind,
                  const kernel::UpstreamId &upstream, bool onTarget)
{
    recount(onTarget ? evidence.newTotal : evidence.oldTotal, upstream);
    recount((onTarget ? evidence.newByKind : evidence.oldByKind)[kind], upstream);
}

void noteUsualTime(RolloutEvidence &evidence, const AnswerKind &kind, kernel::Duration took)
{
    noteUsual(evidence.usualSeconds, kind, took);
}

void noteUsualPace(RolloutEvidence &evidence, const AnswerKind &kind, kernel::Duration perEvent)
{
    noteUsual(evidence.usualPaceSeconds, kind, perEvent);
}

std::optional<kernel::Duration> slowFirstByteTime(const RolloutEvidence &evidence,
                                                  const AnswerKind &kind)
{
    const auto usual = evidence.usualSeconds.find(kind);
    if (usual == evidence.usualSeconds.end() || evidence.share >= permille)
        return std::nullopt;
    return kernel::fromSeconds(usual->second * slowFactor + slowExcessSeconds);
}

std::optional<kernel::Duration> slowStreamTime(const RolloutEvidence &evidence,
                                               const AnswerKind &kind, int events)
{
    const auto usual = evidence.usualPaceSeconds.find(kind);
    if (usual == evidence.usualPaceSeconds.end() || evidence.share >= permille)
        return std::nullopt;
    const double seconds = usual->second * slowFactor * std::max(events, 1);
    return kernel::fromSeconds(std::max(seconds, leastSlowStreamSeconds));
}

bool isBad(const RolloutEvidence &evidence)
{
    if (clearlyWorse(evidence.newTotal, evidence.oldTotal))
        return true;
    return std::ranges::any_of(evidence.newByKind, [&](const auto &item) {
        const auto old = evidence.oldByKind.find(item.first);
        return clearlyWorse(item.second,
                            old == evidence.oldByKind.end() ? VersionEvidence{} : old->second);
    });
}

std::vector<const Upstream *> canaries(std::vector<const Upstream *> target, int sharePermille)
{
    const auto part = static_cast<double>(sharePermille) / permille;
    const auto wanted
        = static_cast<std::size_t>(std::ceil(part * static_cast<double>(target.size())));
    target.resize(std::min(target.size(), std::max(wanted, minCanaries)));
    return target;
}

std::optional<RolloutStep> nextStep(const Rollout &rollout, const RolloutEvidence &evidence,
                                    int newUpstreams, int oldUpstreams, kernel::Instant now)
{
    if (rollout.state == RolloutState::Completed || rollout.state == RolloutState::RolledBack)
        return std::nullopt;
    if (evidence.condemned)
        return RolloutStep{ RolloutState::RolledBack, 0 };
    if (newUpstreams == 0)
        return std::nullopt;
    const double part = kernel::toSeconds(now - evidence.since)
                        / std::max(kernel::toSeconds(rollout.wantedTime), 1.0);
    const bool full = rollout.state == RolloutState::Running && rollout.sharePermille >= permille;
    if (full && part >= completePart && newUpstreams * 2 >= oldUpstreams)
        return RolloutStep{ RolloutState::Completed, permille };
    int share = 0;
    for (const Stage &stage : stages) {
        if (part >= stage.fromPart)
            share = stage.sharePermille;
    }
    if (rollout.state == RolloutState::Running && share <= rollout.sharePermille)
        return std::nullopt;
    return RolloutStep{ RolloutState::Running, share };
}

} // namespace acaciasail::forwarding
