#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "kernel/kernel.h"

namespace acaciasail::ledger {

/// Number of an origin of copies within this process; 0 is the process itself.
using OriginNumber = std::uint32_t;
constexpr OriginNumber ownOrigin = 0;

/// Names one copy in this process.
struct BillRef
{
    OriginNumber origin = ownOrigin;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const BillRef &, const BillRef &) = default;
};

/// Settings of the keeping of bills.
struct BillOptions
{
    /// Peers that hold a copy of each bill.
    std::size_t replicas = 2;
    /// Longest a bill waits to be held before the caller is told BillNotHeld.
    kernel::Duration settleTimeout = std::chrono::seconds(5);
    /// Time for a peer to answer.
    kernel::Duration peerTimeout = std::chrono::milliseconds(500);
    /// Time for which a peer that failed gets no new copies.
    kernel::Duration peerPause = std::chrono::seconds(1);
    /// Time from the first bill that a batch waits for further ones.
    kernel::Duration flushInterval = std::chrono::seconds(2);
    /// Least time between two writes of all VMs of a data centre, on average.
    kernel::Duration writeGap = std::chrono::milliseconds(50);
    /// Pause after a failed write.
    kernel::Duration storePause = std::chrono::seconds(1);
    kernel::Duration heartbeatInterval = std::chrono::seconds(5);
    /// Silence after which an origin's copies are this daemon's matter.
    kernel::Duration adoptAfter = std::chrono::seconds(30);
    /// Time for which a peer has to be missing among the live ones before it counts as gone.
    kernel::Duration goneAfter = std::chrono::seconds(5);
    /// Age at which the origin writes a bill that its holders have not written.
    kernel::Duration ownFlushAfter = std::chrono::seconds(60);
    /// Age at which a holder writes a copy that nobody has dropped.
    kernel::Duration strayFlushAfter = std::chrono::minutes(10);
    /// Copies in memory, own and others'.
    std::size_t maxCopies = 60000;
    std::size_t maxBatchBytes = 900U << 10U;
    /// Bills that may wait without being held before new work is refused.
    std::size_t unheldLimit = 0;
    /// Time for a bill to be held before it counts as waiting.
    kernel::Duration unheldGrace = std::chrono::seconds(1);
};

/// Counts since the start, for metrics and measurements.
struct BillCounters
{
    std::int64_t settled = 0;
    std::int64_t storeWrites = 0;
    std::int64_t storedCopies = 0;
    std::int64_t messages = 0;
    std::int64_t messageBytes = 0;
    std::int64_t adopted = 0;
};

} // namespace acaciasail::ledger
