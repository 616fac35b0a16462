#include "ledger/internal/billholder.h"

#include <algorithm>
#include <set>

namespace acaciasail::ledger {

BillHolder::BillHolder(const LedgerEnvironment &environment, const BillOptions &options,
                       BillCounters &counters, BillFlusher &flusher)
    : m_environment(environment)
    , m_options(options)
    , m_counters(counters)
    , m_flusher(flusher)
{}

BillHolder::Origin &BillHolder::originOf(const HoldRequest &request)
{
    OriginNumber &number = m_numbers[{ request.origin, request.boot }];
    if (number == ownOrigin) {
        number = ++m_lastNumber;
        for (auto &[other, origin] : m_origins)
            origin.replaced = origin.replaced || origin.vm == request.origin;
    }
    Origin &origin = m_origins[number];
    origin.vm = request.origin;
    origin.boot = request.boot;
    origin.lastHeardAt = m_environment.scheduler->now();
    origin.lastLiveAt = origin.lastHeardAt;
    return origin;
}

bool BillHolder::take(const HoldRequest &request, bool hasRoom)
{
    Origin &origin = originOf(request);
    const OriginNumber number = m_numbers.at({ request.origin, request.boot });
    for (const std::uint64_t sequence : request.drops)
        m_size -= origin.copies.erase(sequence);
    if (!hasRoom && !request.bills.empty())
        return false;
    for (const HeldBill &bill : request.bills) {
        const Copy copy{ { bill.id, bill.text }, m_environment.scheduler->now() };
        if (origin.copies.emplace(bill.sequence, copy).second)
            ++m_size;
        if (bill.primary)
            m_flusher.add({ number, bill.sequence }, false);
    }
    return true;
}

const BillText *BillHolder::find(const BillRef &ref) const
{
    const auto origin = m_origins.find(ref.origin);
    if (origin == m_origins.end())
        return nullptr;
    const auto copy = origin->second.copies.find(ref.sequence);
    return copy == origin->second.copies.end() ? nullptr : &copy->second.text;
}

void BillHolder::stored(const std::vector<BillRef> &refs)
{
    std::set<OriginNumber> touched;
    for (const BillRef &ref : refs) {
        const auto origin = m_origins.find(ref.origin);
        if (origin == m_origins.end())
            continue;
        m_size -= origin->second.copies.erase(ref.sequence);
        origin->second.untold.push_back(ref.sequence);
        touched.insert(ref.origin);
    }
    for (const OriginNumber number : touched)
        tell(number, m_origins.at(number));
}

void BillHolder::tell(OriginNumber number, Origin &origin)
{
    if (origin.telling || origin.untold.empty())
        return;
    const auto live = m_environment.peers.live();
    const auto peer = std::ranges::find(live, origin.vm, &wire::Peer::id);
    if (peer == live.end())
        return;
    origin.telling = true;
    const std::size_t told = origin.untold.size();
    wire::Message message{ flushedMethod, encode(FlushedNotice{ origin.boot, origin.untold }) };
    ++m_counters.messages;
    m_counters.messageBytes += static_cast<std::int64_t>(message.payload.size());
    m_environment.transport.call(peer->endpoint, std::move(message), m_options.peerTimeout,
                                 [this, number, told, alive = std::weak_ptr(m_alive)](
                                     const kernel::Completion<std::string> &outcome) {
                                     if (alive.expired())
                                         return;
                                     const auto found = m_origins.find(number);
                                     if (found == m_origins.end())
                                         return;
                                     Origin &origin = found->second;
                                     origin.telling = false;
                                     if (outcome.ok()) {
                                         const auto end = origin.untold.begin()
                                                          + static_cast<std::ptrdiff_t>(told);
                                         origin.untold.erase(origin.untold.begin(), end);
                                     }
                                 });
}

void BillHolder::flushStrays(OriginNumber number, const Origin &origin)
{
    const auto upSince = m_flusher.storeUpSince();
    if (!upSince)
        return;
    const kernel::Instant now = m_environment.scheduler->now();
    for (const auto &[sequence, copy] : origin.copies) {
        if (now - std::max(copy.since, *upSince) < m_options.strayFlushAfter)
            break;
        m_flusher.add({ number, sequence }, false);
    }
}

void BillHolder::noteLive()
{
    std::set<kernel::VmId> live;
    for (const wire::Peer &peer : m_environment.peers.live())
        live.insert(peer.id);
    for (auto &[number, origin] : m_origins) {
        if (live.contains(origin.vm))
            origin.lastLiveAt = m_environment.scheduler->now();
    }
}

bool BillHolder::isGone(const Origin &origin) const
{
    const kernel::Instant now = m_environment.scheduler->now();
    return origin.replaced || now - origin.lastHeardAt > m_options.adoptAfter
           || now - origin.lastLiveAt > m_options.goneAfter;
}

std::vector<BillText> BillHolder::tick()
{
    noteLive();
    std::vector<BillText> orphans;
    for (auto next = m_origins.begin(); next != m_origins.end();) {
        auto &[number, origin] = *next;
        if (!isGone(origin)) {
            tell(number, origin);
            flushStrays(number, origin);
            ++next;
            continue;
        }
        for (auto &[sequence, copy] : origin.copies)
            orphans.push_back(std::move(copy.text));
        m_size -= origin.copies.size();
        m_numbers.erase({ origin.vm, origin.boot });
        next = m_origins.erase(next);
    }
    return orphans;
}

std::vector<BillText> BillHolder::takeAll()
{
    std::vector<BillText> bills;
    for (auto &[number, origin] : m_origins) {
        for (auto &[sequence, copy] : origin.copies)
            bills.push_back(std::move(copy.text));
    }
    m_origins.clear();
    m_numbers.clear();
    m_size = 0;
    return bills;
}

} // namespace acaciasail::ledger
