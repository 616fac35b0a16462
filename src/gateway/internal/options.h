#pragma once

#include <array>
#include <functional>
#include <string>

#include "externals/externals.h"
#include "kernel/kernel.h"
#include "ledger/ledger.h"
#include "routing/routing.h"
#include "table/table.h"

namespace acaciasail::gateway {

/// Settings of the gateway.
struct GatewayOptions
{
    kernel::VmId vm;
    kernel::DataCentreId dataCentre;
    /// Key under which session ids are signed; the same on every daemon of the fleet.
    std::string sessionSecret;
    /// Maximum number of queued answer bytes for a slow caller; the stream is aborted beyond that.
    std::size_t maxCallerQueueBytes = 4U << 20U;
    /// Expected output tokens of a request that sets no maximum.
    kernel::Tokens defaultOutputTokens{ 256 };
    /// Default timeout for a complete answer by rank, most urgent first.
    std::array<kernel::Duration, table::rankCount> defaultTimeouts{ std::chrono::seconds(60),
                                                                    std::chrono::seconds(120),
                                                                    std::chrono::seconds(600) };
    /// Target number of upstreams in the subset of the table that this daemon sends requests to.
    std::size_t upstreamSubsetSize = 64;
};

/// Claims on idempotency keys.
struct ClaimFunctions
{
    /// Requests a claim. The callback may be called before the function returns.
    std::function<void(const ledger::ClaimRequest &, kernel::Callback<ledger::ClaimResult>)>
        acquire;
    std::function<void(const ledger::ClaimHandle &, const ledger::HeldAnswer &)> complete;
    std::function<void(const ledger::ClaimHandle &)> release;
    std::function<void(const ledger::ClaimHandle &)> abandon;
};

/// Functions of the rest of the daemon that the gateway uses.
struct GatewayCallbacks
{
    /// Returns the table in force, or null while the daemon has no table.
    std::function<table::SnapshotPtr()> table;
    std::function<routing::TableFreshness()> freshness;
    /// Checks whether the ledger can store the bill of another request; called before the request
    /// runs.
    std::function<kernel::Completion<kernel::Done>()> checkLedgerCapacity;
    /// Stores a bill durably. The gateway waits for the callback before it sends the last byte to
    /// the caller.
    std::function<void(const ledger::BillRecord &, kernel::Callback<kernel::Done>)> storeBill;
    ClaimFunctions claims;
    /// Writes the halt of a roll-out to the roll-out's row.
    std::function<void(const kernel::RolloutId &)> haltRollout;
    /// Called when this daemon's evidence on a roll-out changes.
    std::function<void()> evidenceChanged;
    /// Called when this daemon's evidence on poison requests changes.
    std::function<void()> poisonChanged;
};

} // namespace acaciasail::gateway
