#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"

namespace acaciasail::ledger {

/// A bill on its way to a holder.
struct HeldBill
{
    /// Number at its origin; it and the origin's boot name the copy.
    std::uint64_t sequence = 0;
    std::string id;
    std::string text;
    /// The holder is the one to flush it.
    bool primary = false;
};

/// An origin's message to a holder: new copies, and copies that are of no more use. Without any,
/// it is a heartbeat.
struct HoldRequest
{
    kernel::VmId origin;
    std::string boot;
    std::vector<HeldBill> bills;
    std::vector<std::uint64_t> drops;
};

/// A holder's answer.
struct HoldReply
{
    std::string boot;
    /// False if the holder has no room; it then took no copy.
    bool held = true;
};

/// A holder's word to the origin that bills are in the store.
struct FlushedNotice
{
    std::string boot;
    std::vector<std::uint64_t> sequences;
};

/// Names of the messages between ledgers.
constexpr const char *holdMethod = "ledger.hold";
constexpr const char *flushedMethod = "ledger.flushed";

/// Messages as bytes (CBOR). Errors of decoding: PeerProtocol.
std::string encode(const HoldRequest &request);
std::string encode(const HoldReply &reply);
std::string encode(const FlushedNotice &notice);
kernel::Result<HoldRequest> decodeHoldRequest(std::string_view bytes);
kernel::Result<HoldReply> decodeHoldReply(std::string_view bytes);
kernel::Result<FlushedNotice> decodeFlushedNotice(std::string_view bytes);

} // namespace acaciasail::ledger
