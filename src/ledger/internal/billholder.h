#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "ledger/internal/billflusher.h"
#include "ledger/internal/billmessages.h"
#include "ledger/internal/billtypes.h"
#include "ledger/internal/environment.h"

namespace acaciasail::ledger {

/// Copies of other daemons' bills that this daemon holds.
///
/// It writes those of which it is the primary holder and tells their origins. When an origin has
/// been silent for long, all its copies become this daemon's matter.
class BillHolder
{
public:
    BillHolder(const LedgerEnvironment &environment, const BillOptions &options,
               BillCounters &counters, BillFlusher &flusher);

    /// Takes an origin's message; false if there is no room for its copies.
    bool take(const HoldRequest &request, bool hasRoom);
    const BillText *find(const BillRef &ref) const;
    /// The copies are in the store: lets go of them and tells their origins.
    void stored(const std::vector<BillRef> &refs);
    /// Tells origins again, and gives the bills whose origin is gone; they are kept no longer.
    std::vector<BillText> tick();
    /// Gives up all copies, for a daemon that leaves.
    std::vector<BillText> takeAll();

    std::size_t size() const { return m_size; }

private:
    struct Copy
    {
        BillText text;
        kernel::Instant since;
    };

    struct Origin
    {
        kernel::VmId vm;
        std::string boot;
        kernel::Instant lastHeardAt;
        kernel::Instant lastLiveAt;
        /// Its VM's process has started anew.
        bool replaced = false;
        std::map<std::uint64_t, Copy> copies;
        /// Stored copies that the origin has not confirmed to know of.
        std::vector<std::uint64_t> untold;
        bool telling = false;
    };

    Origin &originOf(const HoldRequest &request);
    void noteLive();
    bool isGone(const Origin &origin) const;
    void tell(OriginNumber number, Origin &origin);
    void flushStrays(OriginNumber number, const Origin &origin);

    const LedgerEnvironment &m_environment;
    const BillOptions &m_options;
    BillCounters &m_counters;
    BillFlusher &m_flusher;
    OriginNumber m_lastNumber = ownOrigin;
    std::map<std::pair<kernel::VmId, std::string>, OriginNumber> m_numbers;
    std::map<OriginNumber, Origin> m_origins;
    std::size_t m_size = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace acaciasail::ledger
