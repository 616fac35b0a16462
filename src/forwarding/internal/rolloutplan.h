#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// Which of a service's upstreams a request may use.
enum class VersionChoice {
    Any,
    /// All but the roll-out's target.
    Old,
    /// Only the roll-out's target.
    New,
};

/// The version for a request of a session. Which sessions move first depends on the session and the
/// share alone, so all daemons agree, and a session moves once and never back.
VersionChoice chooseVersion(const Rollout &rollout, std::string_view session);

/// The latest answers of one side of a roll-out.
struct VersionEvidence
{
    int good = 0;
    int bad = 0;
    /// Whether each was bad, the oldest first.
    std::deque<bool> answers;
    /// Upstreams that gave bad answers.
    std::set<kernel::UpstreamId> badUpstreams;
    std::set<kernel::UpstreamId> upstreams;

    int total() const { return good + bad; }
    double badShare() const { return total() == 0 ? 0 : static_cast<double>(bad) / total(); }
};

/// Answers that can be compared with each other: of one route by one model.
using AnswerKind = std::pair<RouteName, std::string>;

/// What a daemon has seen of a roll-out.
struct RolloutEvidence
{
    SoftwareVersion target;
    /// When this daemon learned of the order.
    kernel::Instant since{};
    /// When this daemon saw the share in force.
    kernel::Instant shareSince{};
    int share = 0;
    /// All answers together, and each kind by itself.
    VersionEvidence oldTotal;
    VersionEvidence newTotal;
    std::map<AnswerKind, VersionEvidence> newByKind;
    std::map<AnswerKind, VersionEvidence> oldByKind;
    /// Time to the first byte on the old version: a mean with decay, in seconds.
    std::map<AnswerKind, double> usualSeconds;
    /// Time between the events of its streams: a mean with decay, in seconds.
    std::map<AnswerKind, double> usualPaceSeconds;
    bool condemned = false;
};

/// Takes in one answer, and tells whether it counts as bad. `took` is the time to its first byte; a
/// failure has none. Slowness counts only while both versions get requests, as later nobody shows
/// what is usual.
bool noteAnswer(RolloutEvidence &evidence, const AnswerKind &kind,
                const kernel::UpstreamId &upstream, bool onTarget, bool failed,
                std::optional<kernel::Duration> took);

/// An answer that was taken for good has turned out bad.
void recountAsBad(RolloutEvidence &evidence, const AnswerKind &kind,
                  const kernel::UpstreamId &upstream, bool onTarget);

/// Takes in a time to the first byte on the old version.
void noteUsualTime(RolloutEvidence &evidence, const AnswerKind &kind, kernel::Duration took);
/// Takes in the mean time between the events of a stream of the old version.
void noteUsualPace(RolloutEvidence &evidence, const AnswerKind &kind, kernel::Duration perEvent);

/// The time to its first byte from which an answer is slow; none while that can't be told.
std::optional<kernel::Duration> slowFirstByteTime(const RolloutEvidence &evidence,
                                                  const AnswerKind &kind);
/// The time from a stream's first event from which it is slow if it has brought so many more; none
/// while that can't be told.
std::optional<kernel::Duration> slowStreamTime(const RolloutEvidence &evidence,
                                               const AnswerKind &kind, int events);

/// Whether the target is worse than the old version beyond doubt.
bool isBad(const RolloutEvidence &evidence);

/// What this daemon holds against the target, if anything.
std::optional<RolloutDoubt> doubtOf(const RolloutEvidence &evidence, const kernel::VmId &vm);

/// Whether the doubts of several daemons condemn the target, of which so many upstreams are in use.
bool condemnedTogether(const std::vector<RolloutDoubt> &doubts, std::size_t upstreamsInUse);

/// The time since a roll-out began, as far as its share bears out what the time of day says.
kernel::Duration plausibleAge(const Rollout &rollout, kernel::Duration age);

/// What should be done to a roll-out's status now.
struct RolloutStep
{
    RolloutState state = RolloutState::Running;
    int sharePermille = 0;
    std::vector<RolloutDoubt> doubts;

    friend bool operator==(const RolloutStep &, const RolloutStep &) = default;
};

/// The upstreams of the target that take its share: as many as carry it at the load that the others
/// have, so that a version which fails under load shows it while little is at stake. `target`
/// stands in order of id, so all daemons choose the same.
std::vector<const Upstream *> canaries(std::vector<const Upstream *> target, int sharePermille);

/// The next step of a roll-out, if one is due for the daemon on `vm`. `newUpstreams` is the number
/// of ready ones of the target, `oldUpstreams` that of the others.
std::optional<RolloutStep> nextStep(const Rollout &rollout, const RolloutEvidence &evidence,
                                    const kernel::VmId &vm, int newUpstreams, int oldUpstreams,
                                    kernel::Instant now);

} // namespace acaciasail::forwarding
