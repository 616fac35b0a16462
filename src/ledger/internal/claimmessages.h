#pragma once

#include <string>
#include <string_view>

#include "kernel/kernel.h"
#include "ledger/internal/claimtypes.h"

namespace acaciasail::ledger {

/// Names of the messages between ledgers.
constexpr const char *claimMethod = "ledger.claim";
constexpr const char *claimUpdateMethod = "ledger.claim.update";
constexpr const char *witnessMethod = "ledger.claim.witness";
constexpr const char *denyMethod = "ledger.claim.deny";
constexpr const char *takeMethod = "ledger.claim.take";

/// Asks a range's owner for a claim, or tells it what came of one.
struct ClaimAsk
{
    int range = 0;
    /// Its key, fingerprint, claimant and runner; of an update also state and answer.
    ClaimEntry entry;
};

enum class ClaimReplyKind {
    Granted,
    Running,
    Answered,
    Unknown,
    KeyReused,
    /// No claim can be made now; this one was not granted.
    Unavailable,
    /// Another VM owns the range.
    NotOwner,
    /// An update was taken.
    Updated,
};

struct ClaimReply
{
    ClaimReplyKind kind = ClaimReplyKind::Unavailable;
    /// Set with NotOwner.
    kernel::VmId owner;
    /// Set with Answered.
    HeldAnswer answer;
};

/// An owner's message to a witness.
struct WitnessRequest
{
    int range = 0;
    EpochId id;
    kernel::VmId owner;
    /// Begins a term; the entries are all there are. Otherwise adds to one.
    bool install = false;
    /// The witness's process; not set when it is not known yet.
    std::string witnessBoot;
    ClaimEntries entries;
};

struct WitnessReply
{
    std::string boot;
    /// The witness has the entries.
    bool accepted = false;
};

/// Asks a member to take no further claims of a term, and for the ones it has.
struct DenyRequest
{
    int range = 0;
    EpochId id;
};

struct DenyReply
{
    std::string boot;
    /// The member has the term's claims; without, its process is another than the member's was.
    bool intact = false;
    ClaimEntries entries;
};

/// Messages as bytes (CBOR). Errors of decoding: PeerProtocol.
std::string encode(const ClaimAsk &ask);
std::string encode(const ClaimReply &reply);
std::string encode(const WitnessRequest &request);
std::string encode(const WitnessReply &reply);
std::string encode(const DenyRequest &request);
std::string encode(const DenyReply &reply);
kernel::Result<ClaimAsk> decodeClaimAsk(std::string_view bytes);
kernel::Result<ClaimReply> decodeClaimReply(std::string_view bytes);
kernel::Result<WitnessRequest> decodeWitnessRequest(std::string_view bytes);
kernel::Result<WitnessReply> decodeWitnessReply(std::string_view bytes);
kernel::Result<DenyRequest> decodeDenyRequest(std::string_view bytes);
kernel::Result<DenyReply> decodeDenyReply(std::string_view bytes);

/// Key of a range's object.
std::string rangeKey(int range);
/// The object as the JSON text that stands in the store. Errors of parsing: PlatformProtocol.
std::string toJsonText(const RangeObject &object);
kernel::Result<RangeObject> parseRangeObject(std::string_view text);

} // namespace acaciasail::ledger
