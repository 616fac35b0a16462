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

/// The versions on which sessions ran last; bounded, by the time of their last request.
struct SessionVersions
{
    struct Entry
    {
        bool onTarget = false;
        kernel::Instant lastUsed{};
    };
    std::map<std::string, Entry, std::less<>> sessions;
    std::size_t capacity = 4096;
};

/// Time within which a session's requests follow each other, else it is a new one.
struct SessionRules
{
    kernel::Duration gap = std::chrono::seconds(5);
};

/// The version for a request. Sessions move to the target once and never back; a session that ran
/// lately on the old version moves only in the roll-out's second half.
VersionChoice chooseVersion(const Rollout &rollout, const SessionVersions &sessions,
                            std::string_view session, const SessionRules &rules,
                            kernel::Instant now);

void noteSession(SessionVersions &sessions, std::string_view session, bool onTarget,
                 kernel::Instant now);

/// Answers of one side of a roll-out.
struct VersionEvidence
{
    int good = 0;
    int bad = 0;
    /// Upstreams that gave bad answers.
    std::set<kernel::UpstreamId> badUpstreams;
    std::set<kernel::UpstreamId> upstreams;

    int total() const { return good + bad; }
    double badShare() const { return total() == 0 ? 0 : static_cast<double>(bad) / total(); }
};

/// What a daemon has seen of a roll-out.
struct RolloutEvidence
{
    SoftwareVersion target;
    /// When this daemon learned of the order.
    kernel::Instant since{};
    /// When this daemon saw the share in force.
    kernel::Instant shareSince{};
    int share = 0;
    /// All routes together, and each route by itself.
    VersionEvidence oldTotal;
    VersionEvidence newTotal;
    std::map<RouteName, VersionEvidence> newByRoute;
    std::map<RouteName, VersionEvidence> oldByRoute;
    /// Time to the first byte on the old version, by route: a mean with decay, in seconds.
    std::map<RouteName, double> usualSeconds;
    bool condemned = false;
};

/// Takes in one answer. `took` is the time to its first byte; a failure has none.
void noteAnswer(RolloutEvidence &evidence, const RouteName &route, const kernel::UpstreamId &upstream,
                bool onTarget, bool failed, std::optional<kernel::Duration> took);

/// Whether the target is worse than the old version beyond doubt.
bool isBad(const RolloutEvidence &evidence);

/// What should be done to a roll-out's status now.
struct RolloutStep
{
    RolloutState state = RolloutState::Running;
    int sharePermille = 0;

    friend bool operator==(const RolloutStep &, const RolloutStep &) = default;
};

/// The next step of a roll-out, if one is due. `newUpstreams` is the number of ready ones of the
/// target, `oldUpstreams` that of the others.
std::optional<RolloutStep> nextStep(const Rollout &rollout, const RolloutEvidence &evidence,
                                    int newUpstreams, int oldUpstreams, kernel::Instant now);

} // namespace acaciasail::forwarding
