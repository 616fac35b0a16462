#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "ledger/internal/billflusher.h"
#include "ledger/internal/billmessages.h"
#include "ledger/internal/billtypes.h"
#include "ledger/internal/environment.h"

namespace acaciasail::ledger {

/// The bills of this daemon's own requests, until they are in the store.
///
/// Each is sent to holders and counts as held at the first one's word; holders answer in any
/// order. Where no peer can hold it, this daemon writes it to the store itself.
class BillOrigin
{
public:
    BillOrigin(const LedgerEnvironment &environment, const BillOptions &options,
               BillCounters &counters, BillFlusher &flusher);

    /// Takes a bill and calls back once it is held or stored. Errors: BillNotHeld; the bill is
    /// then kept all the same.
    void settle(BillText bill, kernel::Callback<kernel::Done> callback);
    /// Takes a bill over from an origin that is gone; it is written here, too.
    void adopt(BillText bill);

    const BillText *find(std::uint64_t sequence) const;
    /// The bill is in the store, by this daemon's write or by a holder's.
    void stored(std::uint64_t sequence);
    /// Does what is due: heartbeats, drops, copies that were lost, bills that grow old.
    void tick();

    std::size_t size() const { return m_bills.size(); }
    std::size_t unheld() const { return m_unheld.size(); }
    /// Age of the oldest bill that is not held.
    kernel::Duration oldestUnheldAge() const;

private:
    /// A copy at a holder, or on its way to it.
    struct Placement
    {
        kernel::VmId holder;
        bool primary = false;
        bool acknowledged = false;
    };

    struct Bill
    {
        BillText text;
        kernel::Callback<kernel::Done> callback;
        kernel::Instant since;
        std::vector<Placement> placements;
    };

    /// What goes to one holder.
    struct Link
    {
        wire::Peer peer;
        /// Boot of the holder's process that has the copies.
        std::string boot;
        std::deque<std::uint64_t> queue;
        std::vector<std::uint64_t> drops;
        std::size_t copies = 0;
        bool busy = false;
        kernel::Instant lastSentAt;
        kernel::Instant pausedUntil;
        kernel::Instant lastLiveAt;
    };

    std::uint64_t insert(BillText bill, kernel::Callback<kernel::Done> callback);
    void place(std::uint64_t sequence);
    bool placeAt(std::uint64_t sequence, Bill &bill, const wire::Peer &peer);
    void unplace(std::uint64_t sequence, const kernel::VmId &holder);
    void pump(Link &link);
    void send(Link &link);
    void takeReply(const kernel::VmId &holder, const std::vector<std::uint64_t> &sent,
                   const kernel::Completion<std::string> &outcome);
    void acknowledged(Link &link, std::uint64_t sequence);
    void refused(Link &link, const std::vector<std::uint64_t> &sent, kernel::Duration pause);
    void copiesLost(Link &link);
    void hold(std::uint64_t sequence, Bill &bill);
    void expireWaiting();
    void refreshCandidates();
    void tickLinks();
    void placeShort();
    void flushOld();

    const LedgerEnvironment &m_environment;
    const BillOptions &m_options;
    BillCounters &m_counters;
    BillFlusher &m_flusher;
    std::uint64_t m_lastSequence = 0;
    std::map<std::uint64_t, Bill> m_bills;
    /// Bills that neither a holder nor the store has.
    std::set<std::uint64_t> m_unheld;
    /// Bills with fewer copies than wanted.
    std::set<std::uint64_t> m_short;
    std::map<kernel::VmId, Link> m_links;
    std::vector<wire::Peer> m_candidates;
    kernel::Instant m_candidatesAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace acaciasail::ledger
