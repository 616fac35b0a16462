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
    /// Target number of upstreams that this daemon sends requests to, out of all upstreams in the
    /// configuration table.
    std::size_t upstreamSubsetSize = 64;
};

/// Functions that request and end claims on idempotency keys. A claim is the exclusive right to run
/// the request with an idempotency key.
struct ClaimFunctions
{
    /// Requests a claim. The callback may be called before the function returns.
    std::function<void(const ledger::ClaimRequest &, kernel::Callback<ledger::ClaimResult>)>
        acquire;
    /// Ends a claim and stores the answer for repeated requests with the same key.
    std::function<void(const ledger::ClaimHandle &, const ledger::HeldAnswer &)> complete;
    /// Ends the claim of a request that certainly did not run, so that the key may be used again.
    std::function<void(const ledger::ClaimHandle &)> release;
    /// Ends the claim of a request that may have run.
    std::function<void(const ledger::ClaimHandle &)> abandon;
};

/// Functions of the rest of the daemon that the gateway uses.
struct GatewayCallbacks
{
    /// Returns the current configuration table (callers, limits, upstreams, versions), or null
    /// while the daemon has none.
    std::function<table::SnapshotPtr()> table;
    /// Returns the freshness of the configuration table.
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
    /// Called when the evidence (errors, latencies and ratings of the versions) that this daemon
    /// has collected for a roll-out changes.
    std::function<void()> evidenceChanged;
    /// Called when the evidence that this daemon has collected on poison requests, which crash
    /// upstreams, changes.
    std::function<void()> poisonChanged;
};

} // namespace acaciasail::gateway
