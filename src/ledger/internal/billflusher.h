#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

#include "ledger/internal/billrecord.h"
#include "ledger/internal/billtypes.h"
#include "ledger/internal/environment.h"

namespace acaciasail::ledger {

/// A copy's content.
struct BillText
{
    std::string id;
    std::string text;
};

/// Writes copies to the store in batches, one write at a time.
///
/// A batch whose write failed or whose reply was lost is written again under the same key and with
/// the same content until the store has it.
class BillFlusher
{
public:
    /// Gives a copy's content; null if it is of no more use.
    using Lookup = std::function<const BillText *(const BillRef &)>;
    using StoredHandler = std::function<void(const std::vector<BillRef> &)>;

    BillFlusher(const LedgerEnvironment &environment, const BillOptions &options,
                BillCounters &counters, Lookup lookup, StoredHandler onStored);

    /// Queues a copy. An urgent one is written as soon as the rate of writes allows.
    void add(const BillRef &ref, bool urgent);
    /// Writes all that is queued as soon as the rate allows.
    void hurry();

    /// Since when the store has taken the writes; nothing while it fails.
    std::optional<kernel::Instant> storeUpSince() const { return m_upSince; }
    bool idle() const { return !m_batch && m_queue.empty(); }

private:
    /// A batch that is being written.
    struct Batch
    {
        BillBatch content;
        std::vector<BillRef> refs;
    };

    void schedule();
    void flush();
    void buildBatch();
    void writeBatch();
    void takeOutcome(const kernel::Completion<kernel::Revision> &outcome);
    kernel::Duration leastGap() const;

    const LedgerEnvironment &m_environment;
    const BillOptions &m_options;
    BillCounters &m_counters;
    Lookup m_lookup;
    StoredHandler m_onStored;
    std::deque<BillRef> m_queue;
    std::set<BillRef> m_queued;
    std::optional<Batch> m_batch;
    std::optional<kernel::Instant> m_upSince;
    kernel::Instant m_oldestQueuedAt;
    kernel::Instant m_lastWriteAt;
    bool m_urgent = false;
    kernel::Timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace acaciasail::ledger
