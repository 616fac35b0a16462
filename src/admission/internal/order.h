#pragma once

#include <optional>

#include "admission/internal/admission.h"

namespace acaciasail::admission {

/// The rank to serve next, and the reason.
struct Turn
{
    table::Rank rank = table::Rank::Urgent;
    AdmissionReason reason = AdmissionReason::FairTurn;
};

/// Returns the rank whose first waiting request may start now, or nullopt if no request may start.
std::optional<Turn> nextTurn(const PoolState &pool, const AdmissionConfig &config);

/// Returns whether an urgent request may start above the pool's capacity now.
bool headroomFree(const PoolState &pool, const AdmissionConfig &config);

/// Charges the cost of a started request to its rank, and credits the floors of all ranks with
/// waiting requests.
void chargeStart(PoolState &pool, const AdmissionConfig &config, table::Rank rank, double cost,
                 kernel::Instant now);

/// Corrects an earlier charge by the difference between the actual and the estimated cost.
void correctCharge(PoolState &pool, const AdmissionConfig &config, table::Rank rank,
                   double difference);

/// Updates the measured service rate of a pool with a finished request.
void recordServiceRate(PoolState &pool, double cost, kernel::Duration runTime);

/// Returns the expected time until a request starts, based on the measured service rate, or zero if
/// no request has finished yet. `ownCost` is the cost of the request plus the cost ahead of the
/// request in its caller's queue.
kernel::Duration expectedWait(const PoolState &pool, const AdmissionConfig &config,
                              table::Rank rank, const CallerQueueState &caller, double ownCost,
                              kernel::Instant now);

} // namespace acaciasail::admission
