#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// Versions of a service's upstreams that a request may use.
enum class VersionChoice {
    Any,
    /// All versions except the roll-out's target.
    Old,
    /// Only the roll-out's target version.
    New,
};

/// Returns the version for a request of a session. The order in which sessions move depends on the
/// session and the share alone, so all routers agree, and a session moves once and never back.
VersionChoice chooseVersion(const Rollout &rollout, std::string_view session);

enum class ResponseResult {
    Good,
    Slow,
    Failed,
};

/// The latest responses of the target version or of the old version.
struct VersionEvidence
{
    int good = 0;
    /// Slow and failed responses.
    int bad = 0;
    int failed = 0;
    /// Result of each response, the oldest first.
    std::deque<ResponseResult> recentResults;
    /// Upstreams that gave bad responses, and those that gave failed ones.
    std::set<kernel::UpstreamId> badUpstreams;
    std::set<kernel::UpstreamId> failedUpstreams;
    std::set<kernel::UpstreamId> upstreams;

    int total() const { return good + bad; }
};

/// Class of comparable responses: those of one route and one model.
using ResponseClass = std::pair<RouteName, std::string>;

/// Evidence that a router has recorded for a roll-out.
struct RolloutEvidence
{
    SoftwareVersion target;
    /// Start of the roll-out, or the time at which this router learned of it if the start is
    /// unknown.
    kernel::Instant rolloutStartedAt{};
    /// Time at which this router learned of the present share.
    kernel::Instant shareSince{};
    /// Share of the sessions that use the target version, in thousandths.
    int sharePermille = 0;
    /// Evidence over all responses, and for each class of responses.
    VersionEvidence oldTotal;
    VersionEvidence newTotal;
    std::map<ResponseClass, VersionEvidence> newByClass;
    std::map<ResponseClass, VersionEvidence> oldByClass;
    /// Moving average of the time to the first byte on the old version, in seconds.
    std::map<ResponseClass, double> baselineFirstByteSeconds;
    /// Moving average of the time between events of the old version's streams, in seconds.
    std::map<ResponseClass, double> baselineEventIntervalSeconds;
    bool targetRejected = false;
};

/// Records one response and returns whether it counts as bad. `timeToFirstByte` is the time to its
/// first byte, which a failure does not have. Slowness counts only while both versions get
/// requests, because afterwards no response of the old version supplies a baseline.
bool recordResponse(RolloutEvidence &evidence, const ResponseClass &responseClass,
                    const kernel::UpstreamId &upstream, bool fromTargetVersion, bool failed,
                    std::optional<kernel::Duration> timeToFirstByte);

/// Records a response that is known to be slow before its first byte.
void recordSlowResponse(RolloutEvidence &evidence, const ResponseClass &responseClass,
                        const kernel::UpstreamId &upstream, bool fromTargetVersion);

/// Records that a response which counted as `before` has turned out to be `after`, which is worse.
void recountResponse(RolloutEvidence &evidence, const ResponseClass &responseClass,
                     const kernel::UpstreamId &upstream, bool fromTargetVersion,
                     ResponseResult before, ResponseResult after);

/// Records a time to the first byte on the old version.
void recordBaselineFirstByte(RolloutEvidence &evidence, const ResponseClass &responseClass,
                             kernel::Duration timeToFirstByte);
/// Records the mean time between the events of a stream of the old version.
void recordBaselineEventInterval(RolloutEvidence &evidence, const ResponseClass &responseClass,
                                 kernel::Duration perEvent);

/// Returns the time to the first byte from which a response is slow; nothing while there is no
/// baseline.
std::optional<kernel::Duration> slowFirstByteTime(const RolloutEvidence &evidence,
                                                  const ResponseClass &responseClass);
/// Returns the time since a stream's first event from which the stream is slow if it has sent
/// `events` further events; nothing while there is no baseline.
std::optional<kernel::Duration> slowStreamTime(const RolloutEvidence &evidence,
                                               const ResponseClass &responseClass, int events);

/// Returns whether the target is clearly worse than the old version.
bool isTargetWorse(const RolloutEvidence &evidence);

/// Returns this router's evidence against the target, if there is any.
std::optional<RolloutDoubt> ownDoubt(const RolloutEvidence &evidence, const kernel::VmId &vm);

/// Returns whether the doubts of several routers together reject the target, of which
/// `upstreamsInUse` upstreams are in use.
bool rejectedByDoubts(const std::vector<RolloutDoubt> &doubts, std::size_t upstreamsInUse);

/// Returns the time since a roll-out started: the wall-clock `age`, clamped to the times between
/// the start of the stage with the roll-out's share and the start of the next stage.
kernel::Duration clampAgeToShare(const Rollout &rollout, kernel::Duration age);

/// Update that a roll-out's status should get now.
struct RolloutStep
{
    RolloutState state = RolloutState::Running;
    int sharePermille = 0;
    std::vector<RolloutDoubt> doubts;

    friend bool operator==(const RolloutStep &, const RolloutStep &) = default;
};

/// Returns the upstreams of the target that serve its share: the fraction of them that equals the
/// share, but a minimum of four. Each of them then carries about as much load as an old upstream,
/// so a version that fails under load already fails while few requests use it. `target` is
/// ordered by id, so all routers select the same upstreams.
std::vector<const Upstream *> selectCanaries(std::vector<const Upstream *> target,
                                             int sharePermille);

/// Returns the next step of a roll-out, if the router on `vm` should take one now. `newUpstreams`
/// is the number of ready upstreams of the target, `oldUpstreams` that of the others.
std::optional<RolloutStep> nextStep(const Rollout &rollout, const RolloutEvidence &evidence,
                                    const kernel::VmId &vm, int newUpstreams, int oldUpstreams,
                                    kernel::Instant now);

} // namespace acaciasail::forwarding
