#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>

#include "admission/internal/decayingrate.h"
#include "admission/internal/tokenbucket.h"
#include "admission/internal/types.h"

namespace acaciasail::admission {

/// The caller or workspace that a limit applies to.
struct LimitSubject
{
    table::LimitScope scope = table::LimitScope::Caller;
    std::string id;

    friend bool operator==(const LimitSubject &, const LimitSubject &) = default;
    friend auto operator<=>(const LimitSubject &, const LimitSubject &) = default;
};

struct LimitSubjectHash
{
    std::size_t operator()(const LimitSubject &subject) const noexcept
    {
        return std::hash<std::string>{}(subject.id) * 2 + static_cast<std::size_t>(subject.scope);
    }
};

/// Fractions of the limits, between 0 and 1, that this daemon may use.
struct LimitShares
{
    /// Fraction for subjects that are not in `fractions`; 1 if the daemon runs alone.
    double defaultFraction = 1;
    std::unordered_map<LimitSubject, double, LimitSubjectHash> fractions;
};

/// Returns the fraction of a subject's limit that this daemon may use.
double shareOf(const LimitShares &shares, const LimitSubject &subject);

/// The usage of one limited subject at this daemon.
struct LimitUsage
{
    /// The limit, and this daemon's fraction of the limit, that the buckets are sized for.
    table::LimitRow row;
    double fraction = 1;
    TokenBucket requests;
    TokenBucket tokens;
    std::int64_t inProgress = 0;
    /// Rates of all submitted requests and of their tokens, whether admitted or refused.
    DecayingRate requestDemand;
    DecayingRate tokenDemand;
};

/// The usage of all subjects that have used some of their limits recently.
struct LimitState
{
    LimitShares shares;
    std::unordered_map<LimitSubject, LimitUsage, LimitSubjectHash> usages;
    kernel::Instant lastSweep;
};

/// Records which limits a request was counted against. Only these limits are released when the
/// request ends.
struct LimitReservation
{
    bool caller = false;
    bool workspace = false;
};

/// The reason why a limit refuses a request.
struct LimitRefusal
{
    kernel::ResultCode code = kernel::ResultCode::Ok;
    AdmissionReason reason = AdmissionReason::CallerRequestRate;
    kernel::Duration retryAfter{};
};

/// Checks the limits of the caller and of the workspace. Reserves capacity in both or in neither.
std::variant<LimitReservation, LimitRefusal>
reserveLimits(LimitState &state, const AdmissionConfig &config, const table::Snapshot &snapshot,
              const AdmissionRequest &ask, kernel::Instant now);

/// Releases everything that a request reserved, because the request did not run.
void refundLimits(LimitState &state, const AdmissionRequest &ask, LimitReservation reservation,
                  kernel::Instant now);

/// Releases the concurrency slot of a request that ran, and corrects the reserved tokens to the
/// tokens that the request used.
void settleLimits(LimitState &state, const AdmissionRequest &ask, LimitReservation reservation,
                  kernel::Tokens actual, kernel::Instant now);

/// Returns a subject's demand as a fraction of its fleet-wide limit, for the limit (request rate,
/// token rate or concurrency) with the highest relative demand. Returns 0 if the subject is not
/// tracked.
double demandOf(const LimitState &state, const LimitSubject &subject, kernel::Instant now);

/// Removes idle subjects. Runs at most once per second.
void sweepLimits(LimitState &state, kernel::Instant now);

} // namespace acaciasail::admission
