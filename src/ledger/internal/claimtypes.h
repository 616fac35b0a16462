#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::ledger {

/// A request that may run only once, and the key by which its repeats are known.
struct ClaimRequest
{
    kernel::WorkspaceId workspace;
    kernel::CallerId caller;
    kernel::IdempotencyKey key;
    /// Hash of what the request asks for; a repeat has the same.
    std::string fingerprint;
    kernel::RequestId request;
};

enum class ClaimOutcome {
    /// The request may run now, and no other with this key ever will.
    Granted,
    /// Another request with this key is in progress.
    Running,
    /// A request with this key was answered, and the answer is still held.
    Answered,
    /// A request with this key may have run; what came of it is not known any more.
    Unknown,
    /// The key was used with another request.
    KeyReused,
};

/// The answer of a request, for its repeats.
struct HeldAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// Names a granted claim.
struct ClaimHandle
{
    int range = 0;
    std::string key;
    /// Differs for each claim that is asked for.
    std::string claimant;
};

struct ClaimResult
{
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    /// Set if granted.
    ClaimHandle handle;
    /// Set if answered.
    HeldAnswer answer;
};

enum class ClaimState {
    /// Granted, or on the way to be.
    Held,
    /// The request surely did not run; another may have the claim.
    Free,
    /// The request was answered.
    Done,
    /// What came of the request is not known.
    Unknown,
};

/// A claim as its owner and the witnesses keep it.
struct ClaimEntry
{
    std::string key;
    std::string fingerprint;
    std::string claimant;
    /// VM that runs the request.
    kernel::VmId runner;
    /// Grows with each change of any claim of the range.
    std::uint64_t version = 0;
    ClaimState state = ClaimState::Held;
    kernel::WallTime at;
    HeldAnswer answer;
};

using ClaimEntries = std::map<std::string, ClaimEntry>;

/// Adds entries; of two of a key the one with the higher version stays.
void mergeEntries(ClaimEntries &entries, const ClaimEntries &others);

/// One term of a range's ownership.
struct EpochId
{
    std::uint64_t epoch = 0;
    std::string ownerBoot;

    friend auto operator<=>(const EpochId &, const EpochId &) = default;
};

/// A process that takes part in a range.
struct ClaimMember
{
    kernel::VmId vm;
    std::string boot;

    friend bool operator==(const ClaimMember &, const ClaimMember &) = default;
};

/// The range's object in the store.
struct RangeObject
{
    std::uint64_t epoch = 0;
    ClaimMember owner;
    /// Each holds every claim; without any, the object itself does.
    std::vector<ClaimMember> witnesses;
    /// Until then, claims that nobody knows of may have been granted.
    kernel::WallTime uncertainUntil;
    /// The claims at the last write, without answers.
    ClaimEntries entries;

    EpochId id() const { return { epoch, owner.boot }; }
};

/// Settings of the claims. All daemons must have the same number of ranges.
struct ClaimOptions
{
    int ranges = 64;
    std::size_t witnesses = 2;
    kernel::Duration peerTimeout = std::chrono::milliseconds(500);
    /// Longest that a claim is tried for.
    kernel::Duration claimTimeout = std::chrono::seconds(3);
    /// Age at which claims are forgotten.
    kernel::Duration retention = std::chrono::hours(24);
    /// Age at which a request that has not ended counts as unknown.
    kernel::Duration runLimit = std::chrono::minutes(10);
    kernel::Duration goneAfter = std::chrono::seconds(5);
    /// Time between two tries to repair a range.
    kernel::Duration repairPause = std::chrono::seconds(5);
    /// Time after a failed try to take a range over in which no other begins.
    kernel::Duration takingPause = std::chrono::milliseconds(200);
    /// Time between two looks for ranges without an owner.
    kernel::Duration searchInterval = std::chrono::seconds(5);
    /// Time between two writes of a range's claims to the store.
    kernel::Duration backupInterval = std::chrono::seconds(10);
    /// Claims of one range; further ones are refused.
    std::size_t maxEntries = 4000;
    /// Longest answer that is held, and all of a range's together.
    std::size_t maxAnswerBytes = 16U << 10U;
    std::size_t maxAnswersBytes = 256U << 10U;
};

} // namespace acaciasail::ledger
