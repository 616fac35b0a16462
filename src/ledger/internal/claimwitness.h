#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "ledger/internal/claimmessages.h"
#include "ledger/internal/claimtypes.h"

namespace acaciasail::ledger {

/// A term of which this process is a witness.
struct WitnessedTerm
{
    kernel::VmId owner;
    bool denied = false;
    ClaimEntries entries;
};

/// The terms of one range. A term is denied once, for good; whatever comes late, no term up to
/// the closed one begins or takes claims again.
struct WitnessedRange
{
    std::uint64_t closedEpoch = 0;
    std::map<EpochId, WitnessedTerm> terms;
};

/// All ranges of which this process is a witness.
struct WitnessBook
{
    std::map<int, WitnessedRange> ranges;
};

/// Begins a term or adds claims to it; false if the term is closed or unknown.
bool takeClaims(WitnessBook &book, const WitnessRequest &request);

/// Closes a term; gives its claims, or nothing if this process is no witness of it.
std::optional<ClaimEntries> denyTerm(WitnessBook &book, const DenyRequest &request);

/// Forgets claims from before that time.
void forgetClaims(WitnessBook &book, kernel::WallTime before);

} // namespace acaciasail::ledger
