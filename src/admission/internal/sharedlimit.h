#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/internal/limits.h"

namespace acaciasail::admission {

/// Settings for sharing limits between daemons.
struct SharedLimitConfig
{
    /// Fraction of each limit that is split evenly among all daemons and may be used without a
    /// grant.
    double guaranteedFraction = 0.05;
    /// Demand above which a daemon requests grants from the owner, as a fraction of its
    /// guaranteed share.
    double busyDemandFraction = 0.5;
    /// Interval between two requests for the same subject.
    kernel::Duration requestInterval = std::chrono::seconds(1);
    /// Interval between two requests for the same subject while the last request is unanswered.
    kernel::Duration retryInterval = std::chrono::milliseconds(500);
    /// Lifetime of a grant. The receiver counts it from the time at which it sent the request.
    kernel::Duration grantLifetime = std::chrono::seconds(4);
    /// Maximum number of requests that one call of dueRequests returns.
    std::size_t maxRequestsPerCall = 32;
    /// Fraction of the limit's unrequested rest that is granted in addition to the demands, to
    /// cover demand that grows between two requests.
    double spareFraction = 0.5;
};

/// The daemons that share limits, as seen by one daemon.
///
/// Each subject has one owner, the daemon that grants fractions of the subject's limit to the other
/// daemons. Rendezvous hashing over the live daemons selects the owner.
struct FleetView
{
    kernel::VmId self;
    /// Daemons believed to be alive, including this one.
    std::vector<kernel::VmId> live;
    /// Number of daemons in the fleet, reachable or not; at least the size of `live`.
    std::size_t fleetSize = 1;
};

/// A request of a busy daemon to the owner of a subject for a fraction of the subject's limit.
struct GrantRequest
{
    LimitSubject subject;
    kernel::VmId from;
    /// Request number, which increases with each request of a daemon, also across its restarts.
    std::uint64_t number = 0;
    /// Demand at the sender, as a fraction of the fleet-wide limit; may exceed 1.
    double demand = 0;
    /// Fraction of the limit that the sender uses in addition to its guaranteed share, and the
    /// remaining time of that use.
    double held = 0;
    kernel::Duration heldFor{};
    /// Sequence number of the grant in use if the receiver of this message issued it, otherwise 0.
    std::uint64_t heldSequence = 0;
};

/// The owner's response to a grant request.
struct Grant
{
    LimitSubject subject;
    /// Number of the answered request.
    std::uint64_t number = 0;
    /// Sequence number, which increases with each grant of an owner to a daemon.
    std::uint64_t sequence = 0;
    /// Fraction of the limit granted in addition to the receiver's guaranteed share.
    double fraction = 0;
};

/// The grants that this daemon, as the owner, has issued for one subject.
struct OwnedLimit
{
    /// An issued grant that its receiver may still use until `expiresAt`.
    struct Outstanding
    {
        std::uint64_t sequence = 0;
        double fraction = 0;
        kernel::Instant expiresAt;
    };

    /// A daemon that requests grants for the subject.
    struct Borrower
    {
        std::uint64_t lastNumber = 0;
        std::uint64_t lastSequence = 0;
        double demand = 0;
        kernel::Instant lastContactAt;
        std::vector<Outstanding> outstanding;
    };

    std::map<kernel::VmId, Borrower> borrowers;
};

/// A subject that is busy at this daemon, with the grant in use.
struct BorrowedLimit
{
    double demand = 0;
    std::optional<kernel::Instant> lastRequestAt;
    /// Send time of the first request since the last grant was received.
    std::optional<kernel::Instant> firstUnansweredAt;
    /// Send times of recent requests by request number.
    std::map<std::uint64_t, kernel::Instant> sentAt;
    double fraction = 0;
    std::uint64_t sequence = 0;
    kernel::VmId grantedBy;
    kernel::Instant expiresAt;
};

/// A former set of live daemons, and the time at which a newer set replaced it.
struct PreviousView
{
    std::vector<kernel::VmId> live;
    kernel::Instant replacedAt;
};

/// The complete state of limit sharing of one daemon, both as owner and as borrower.
struct SharedLimitState
{
    /// Last number that was used for a request or a grant.
    std::uint64_t lastNumber = 0;
    std::vector<kernel::VmId> live;
    /// Views that were replaced within the last grant lifetime. Grants of the owners at that time
    /// may still be in use.
    std::vector<PreviousView> previousViews;
    std::unordered_map<LimitSubject, OwnedLimit, LimitSubjectHash> owned;
    std::unordered_map<LimitSubject, BorrowedLimit, LimitSubjectHash> borrowed;
};

/// A request and the daemon to send it to, which may be this daemon.
struct OutgoingRequest
{
    kernel::VmId to;
    GrantRequest request;
};

/// Returns an empty state. `firstNumber` must exceed the numbers used by all earlier processes on
/// this VM; the wall-clock time in microseconds, for example, meets this requirement.
SharedLimitState makeSharedLimitState(std::uint64_t firstNumber);

/// Returns the owner of a subject's limit.
const kernel::VmId &ownerOf(const FleetView &fleet, const LimitSubject &subject);

/// Records the current view of the fleet. Must be called when the view changes, before any other
/// function.
void recordFleetView(SharedLimitState &state, const SharedLimitConfig &config,
                     const FleetView &fleet, kernel::Instant now);

/// Records the current demand of a subject at this daemon, as a fraction of the fleet-wide limit.
void recordDemand(SharedLimitState &state, const SharedLimitConfig &config, const FleetView &fleet,
                  const LimitSubject &subject, double demand, kernel::Instant now);

/// Returns the requests to send now. Only subjects that are busy at this daemon need requests.
std::vector<OutgoingRequest> dueRequests(SharedLimitState &state, const SharedLimitConfig &config,
                                         const FleetView &fleet, kernel::Instant now);

/// Answers a request as the owner of its subject. Returns nullopt if the request is a duplicate or
/// older than one already answered, or if this daemon does not own the subject.
std::optional<Grant> answerRequest(SharedLimitState &state, const SharedLimitConfig &config,
                                   const FleetView &fleet, const GrantRequest &request,
                                   kernel::Instant now);

/// Applies a received grant. Late, duplicate and unknown grants are ignored.
void applyGrant(SharedLimitState &state, const SharedLimitConfig &config, const kernel::VmId &from,
                const Grant &grant, kernel::Instant now);

/// Returns the fraction of a subject's limit that this daemon may use now.
double fractionOf(const SharedLimitState &state, const SharedLimitConfig &config,
                  const FleetView &fleet, const LimitSubject &subject, kernel::Instant now);

/// Returns the fractions of all limits that this daemon may use now.
LimitShares sharesAt(const SharedLimitState &state, const SharedLimitConfig &config,
                     const FleetView &fleet, kernel::Instant now);

/// Removes idle subjects from the state of this daemon as owner and as borrower.
void sweepSharedLimits(SharedLimitState &state, const SharedLimitConfig &config,
                       const FleetView &fleet, kernel::Instant now);

/// Encode and decode the messages as JSON. Decoding errors: PeerProtocol.
std::string encode(const GrantRequest &request);
std::string encode(const Grant &grant);
kernel::Result<GrantRequest> decodeGrantRequest(const std::string &text);
kernel::Result<Grant> decodeGrant(const std::string &text);

} // namespace acaciasail::admission
