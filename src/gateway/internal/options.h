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
    /// Most bytes of an answer that wait for a slow caller before its stream is cut.
    std::size_t maxCallerQueueBytes = 4U << 20U;
    /// Tokens expected of an answer whose request sets no bound.
    kernel::Tokens defaultOutput{ 256 };
    /// Time for a whole answer where the caller sets none, by rank, most urgent first.
    std::array<kernel::Duration, table::rankCount> deadlines{ std::chrono::seconds(60),
                                                              std::chrono::seconds(120),
                                                              std::chrono::seconds(600) };
    /// Most upstreams of a version that this daemon sends to.
    std::size_t subsetSize = 64;
};

/// Claims on idempotency keys.
struct ClaimPorts
{
    /// Asks for a claim; the callback may come before the call returns.
    std::function<void(const ledger::ClaimRequest &, kernel::Callback<ledger::ClaimResult>)> ask;
    std::function<void(const ledger::ClaimHandle &, const ledger::HeldAnswer &)> complete;
    std::function<void(const ledger::ClaimHandle &)> release;
    std::function<void(const ledger::ClaimHandle &)> abandon;
};

/// What the gateway asks of the rest of the daemon.
struct GatewayPorts
{
    /// The table in force; null while the daemon has none.
    std::function<table::SnapshotPtr()> table;
    std::function<routing::TableFreshness()> freshness;
    /// Whether the ledger can keep the bill of one more request; asked before it runs.
    std::function<kernel::Completion<kernel::Done>()> ledgerAdmit;
    /// Secures a bill; called back before the last byte goes to the caller.
    std::function<void(const ledger::BillRecord &, kernel::Callback<kernel::Done>)> settle;
    ClaimPorts claims;
    /// Writes the halt of a roll-out to its row.
    std::function<void(const kernel::RolloutId &)> haltRollout;
    /// This daemon's evidence on a roll-out changed.
    std::function<void()> evidenceChanged;
    /// This daemon's evidence on poison requests changed.
    std::function<void()> poisonChanged;
};

} // namespace acaciasail::gateway
