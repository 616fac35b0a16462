#pragma once

#include <functional>
#include <string>

#include "externals/externals.h"
#include "kernel/kernel.h"
#include "wire/wire.h"

namespace acaciasail::ledger {

/// What the ledger uses of its process. The scheduler must outlive the ledger.
struct LedgerEnvironment
{
    const kernel::Scheduler *scheduler = nullptr;
    wire::Transport transport;
    wire::PeersView peers;
    externals::ObjectStore store;
    /// Differs at each start of the process, so that a VM that restarted without its memory is
    /// told from the one before.
    std::string boot;
    /// Whether the platform's list has dropped a VM that it once showed, so that its process can't
    /// act any more. May be empty; then no VM counts as gone for good.
    std::function<bool(const kernel::VmId &)> vmGone;
};

} // namespace acaciasail::ledger
