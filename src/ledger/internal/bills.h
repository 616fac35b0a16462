#pragma once

#include "ledger/internal/billflusher.h"
#include "ledger/internal/billholder.h"
#include "ledger/internal/billorigin.h"
#include "ledger/internal/billrecord.h"
#include "ledger/internal/billtypes.h"
#include "ledger/internal/environment.h"

namespace acaciasail::ledger {

/// The keeping of bills: own ones, copies of others', and their way to the store.
class Bills
{
public:
    Bills(const LedgerEnvironment &environment, BillOptions options);
    Bills(const Bills &) = delete;
    Bills &operator=(const Bills &) = delete;
    ~Bills();

    /// Whether new work may start. Errors: LedgerFull, LedgerIsolated.
    kernel::Completion<kernel::Done> admit() const;
    void settle(const BillRecord &record, kernel::Callback<kernel::Done> callback);
    /// Hands all bills over and calls back once each is held by another VM or stored.
    void handOver(kernel::Callback<kernel::Done> callback);

    const BillCounters &counters() const { return m_counters; }
    /// Own bills that are not in the store yet.
    std::size_t ownBills() const { return m_origin.size(); }
    /// Copies of others' bills.
    std::size_t heldCopies() const { return m_holder.size(); }
    std::size_t unheldBills() const { return m_origin.unheld(); }

private:
    void handleHold(const wire::Message &message, const wire::Reply &reply);
    void handleFlushed(const wire::Message &message, const wire::Reply &reply);
    void stored(const std::vector<BillRef> &refs);
    void tick();
    void checkHandedOver();
    void warnWhenFull();

    LedgerEnvironment m_environment;
    BillOptions m_options;
    BillCounters m_counters;
    BillFlusher m_flusher;
    BillOrigin m_origin;
    BillHolder m_holder;
    kernel::Callback<kernel::Done> m_handedOver;
    bool m_leaving = false;
    bool m_nearlyFull = false;
    kernel::Timer m_timer;
};

} // namespace acaciasail::ledger
