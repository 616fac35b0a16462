#include "ledger/internal/billflusher.h"

#include <algorithm>
#include <utility>

namespace acaciasail::ledger {

using kernel::ResultCode;

BillFlusher::BillFlusher(const LedgerEnvironment &environment, const BillOptions &options,
                         BillCounters &counters, Lookup lookup, StoredHandler onStored)
    : m_environment(environment)
    , m_options(options)
    , m_counters(counters)
    , m_lookup(std::move(lookup))
    , m_onStored(std::move(onStored))
    , m_upSince(environment.scheduler->now())
    , m_lastWriteAt(environment.scheduler->now() - std::chrono::hours(1))
{}

void BillFlusher::add(const BillRef &ref, bool urgent)
{
    const bool becameUrgent = urgent && !std::exchange(m_urgent, m_urgent || urgent);
    if (m_queued.insert(ref).second) {
        if (m_queue.empty())
            m_oldestQueuedAt = m_environment.scheduler->now();
        m_queue.push_back(ref);
    }
    if (m_queue.size() == 1 || becameUrgent)
        schedule();
}

void BillFlusher::hurry()
{
    m_urgent = true;
    schedule();
}

kernel::Duration BillFlusher::leastGap() const
{
    // The VMs of a data centre share its rate of writes.
    std::int64_t vms = 1;
    for (const wire::Peer &peer : m_environment.peers.live())
        vms += peer.dataCentre == m_environment.peers.self.dataCentre ? 1 : 0;
    return m_options.writeGap * vms;
}

void BillFlusher::schedule()
{
    if (m_batch || m_queue.empty())
        return;
    kernel::Instant due = m_lastWriteAt + leastGap();
    if (!m_urgent)
        due = std::max(due, m_oldestQueuedAt + m_options.flushInterval);
    const kernel::Duration wait
        = std::max(kernel::Duration::zero(), due - m_environment.scheduler->now());
    m_timer = kernel::Timer(*m_environment.scheduler, wait, [this] { flush(); });
}

void BillFlusher::flush()
{
    buildBatch();
    if (m_batch)
        writeBatch();
}

void BillFlusher::buildBatch()
{
    std::vector<BillRef> refs;
    std::vector<std::string> ids;
    std::vector<std::string> texts;
    std::set<std::string> known;
    std::size_t bytes = 0;
    while (!m_queue.empty() && bytes < m_options.maxBatchBytes) {
        const BillRef ref = m_queue.front();
        m_queue.pop_front();
        m_queued.erase(ref);
        const BillText *bill = m_lookup(ref);
        if (bill == nullptr)
            continue;
        refs.push_back(ref);
        if (!known.insert(bill->id).second)
            continue;
        ids.push_back(bill->id);
        texts.push_back(bill->text);
        bytes += bill->text.size();
    }
    m_oldestQueuedAt = m_environment.scheduler->now();
    if (m_queue.empty())
        m_urgent = false;
    if (!refs.empty())
        m_batch = Batch{ makeBatch(std::move(ids), texts), std::move(refs) };
}

void BillFlusher::writeBatch()
{
    ++m_counters.storeWrites;
    m_lastWriteAt = m_environment.scheduler->now();
    m_environment.store.create(m_batch->content.key, m_batch->content.value,
                               [this, alive = std::weak_ptr(m_alive)](
                                   const kernel::Completion<kernel::Revision> &outcome) {
                                   if (!alive.expired())
                                       takeOutcome(outcome);
                               });
}

void BillFlusher::takeOutcome(const kernel::Completion<kernel::Revision> &outcome)
{
    // A batch that exists already is this one: the key is made of its bills' ids.
    const bool stored = outcome.ok() || outcome.error().code == ResultCode::ObjectExists;
    if (!stored) {
        m_upSince.reset();
        m_timer
            = kernel::Timer(*m_environment.scheduler, std::max(m_options.storePause, leastGap()),
                            [this] { writeBatch(); });
        return;
    }
    if (!m_upSince)
        m_upSince = m_environment.scheduler->now();
    const Batch batch = std::move(*m_batch);
    m_batch.reset();
    m_counters.storedCopies += static_cast<std::int64_t>(batch.refs.size());
    kernel::logEvent(kernel::EventId::BillsFlushed,
                     { { "key", batch.content.key }, { "bills", batch.refs.size() } });
    m_onStored(batch.refs);
    schedule();
}

} // namespace acaciasail::ledger
