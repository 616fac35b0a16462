#include "ledger/internal/billorigin.h"

#include <algorithm>
#include <utility>

#include "ledger/internal/holders.h"

namespace acaciasail::ledger {

using kernel::ResultCode;

namespace {

/// Bills in one message.
constexpr std::size_t maxBillsPerMessage = 256;
/// Age of the list of candidates at which it is made again.
constexpr kernel::Duration candidatesLifetime = std::chrono::seconds(1);
/// Bills looked at in one turn for further copies.
constexpr std::size_t maxPlacedPerTick = 2000;

} // namespace

BillOrigin::BillOrigin(const LedgerEnvironment &environment, const BillOptions &options,
                       BillCounters &counters, BillFlusher &flusher)
    : m_environment(environment)
    , m_options(options)
    , m_counters(counters)
    , m_flusher(flusher)
    , m_candidatesAt(environment.scheduler->now() - std::chrono::hours(1))
{}

void BillOrigin::settle(BillText bill, kernel::Callback<kernel::Done> callback)
{
    ++m_counters.settled;
    place(insert(std::move(bill), std::move(callback)));
}

void BillOrigin::adopt(BillText bill)
{
    ++m_counters.adopted;
    const std::uint64_t sequence = insert(std::move(bill), nullptr);
    m_flusher.add({ ownOrigin, sequence }, true);
    place(sequence);
}

std::uint64_t BillOrigin::insert(BillText text, kernel::Callback<kernel::Done> callback)
{
    const std::uint64_t sequence = ++m_lastSequence;
    Bill bill;
    bill.text = std::move(text);
    bill.callback = std::move(callback);
    bill.since = m_environment.scheduler->now();
    m_bills.emplace(sequence, std::move(bill));
    m_unheld.insert(sequence);
    return sequence;
}

const BillText *BillOrigin::find(std::uint64_t sequence) const
{
    const auto found = m_bills.find(sequence);
    return found == m_bills.end() ? nullptr : &found->second.text;
}

kernel::Duration BillOrigin::oldestUnheldAge() const
{
    if (m_unheld.empty())
        return kernel::Duration::zero();
    return m_environment.scheduler->now() - m_bills.at(*m_unheld.begin()).since;
}

void BillOrigin::refreshCandidates()
{
    const kernel::Instant now = m_environment.scheduler->now();
    if (now - m_candidatesAt < candidatesLifetime)
        return;
    m_candidatesAt = now;
    const auto live = m_environment.peers.live();
    m_candidates = holderCandidates(m_environment.peers.self, live);
    for (const wire::Peer &peer : live) {
        const auto link = m_links.find(peer.id);
        if (link != m_links.end()) {
            link->second.peer = peer;
            link->second.lastLiveAt = now;
        }
    }
}

void BillOrigin::place(std::uint64_t sequence)
{
    refreshCandidates();
    const auto found = m_bills.find(sequence);
    if (found == m_bills.end())
        return;
    Bill &bill = found->second;
    std::vector<kernel::VmId> chosen;
    for (const wire::Peer &peer : m_candidates) {
        if (bill.placements.size() >= m_options.replicas)
            break;
        if (placeAt(sequence, bill, peer))
            chosen.push_back(peer.id);
    }
    if (bill.placements.size() < m_options.replicas)
        m_short.insert(sequence);
    else
        m_short.erase(sequence);
    if (bill.placements.empty())
        m_flusher.add({ ownOrigin, sequence }, true);
    for (const kernel::VmId &holder : chosen)
        pump(m_links[holder]);
}

bool BillOrigin::placeAt(std::uint64_t sequence, Bill &bill, const wire::Peer &peer)
{
    Link &link = m_links[peer.id];
    const kernel::Instant now = m_environment.scheduler->now();
    const bool placed = std::ranges::any_of(bill.placements, [&peer](const Placement &placement) {
        return placement.holder == peer.id;
    });
    if (placed || link.pausedUntil > now)
        return false;
    link.peer = peer;
    link.lastLiveAt = now;
    link.queue.push_back(sequence);
    Placement placement;
    placement.holder = peer.id;
    placement.primary = std::ranges::none_of(bill.placements, &Placement::primary);
    bill.placements.push_back(std::move(placement));
    return true;
}

void BillOrigin::unplace(std::uint64_t sequence, const kernel::VmId &holder)
{
    const auto found = m_bills.find(sequence);
    if (found == m_bills.end())
        return;
    std::erase_if(found->second.placements,
                  [&holder](const Placement &placement) { return placement.holder == holder; });
}

void BillOrigin::pump(Link &link)
{
    if (!link.busy && !link.queue.empty())
        send(link);
}

void BillOrigin::send(Link &link)
{
    HoldRequest request;
    request.origin = m_environment.peers.self.id;
    request.boot = m_environment.boot;
    request.drops = std::exchange(link.drops, {});
    std::vector<std::uint64_t> sent;
    while (!link.queue.empty() && sent.size() < maxBillsPerMessage) {
        const std::uint64_t sequence = link.queue.front();
        link.queue.pop_front();
        const auto bill = m_bills.find(sequence);
        if (bill == m_bills.end())
            continue;
        const auto placement
            = std::ranges::find(bill->second.placements, link.peer.id, &Placement::holder);
        if (placement == bill->second.placements.end())
            continue;
        request.bills.push_back(
            { sequence, bill->second.text.id, bill->second.text.text, placement->primary });
        sent.push_back(sequence);
    }
    link.busy = true;
    link.lastSentAt = m_environment.scheduler->now();
    wire::Message message{ holdMethod, encode(request) };
    ++m_counters.messages;
    m_counters.messageBytes += static_cast<std::int64_t>(message.payload.size());
    m_environment.transport.call(
        link.peer.endpoint, std::move(message), m_options.peerTimeout,
        [this, holder = link.peer.id, sent = std::move(sent),
         alive = std::weak_ptr(m_alive)](const kernel::Completion<std::string> &outcome) {
            if (!alive.expired())
                takeReply(holder, sent, outcome);
        });
}

void BillOrigin::takeReply(const kernel::VmId &holder, const std::vector<std::uint64_t> &sent,
                           const kernel::Completion<std::string> &outcome)
{
    Link &link = m_links[holder];
    link.busy = false;
    if (!outcome.ok()) {
        refused(link, sent, m_options.peerPause);
        return;
    }
    const auto reply = kernel::capture([&] { return decodeHoldReply(outcome.value()); });
    if (!reply.ok() || !reply.value().held) {
        refused(link, sent, m_options.heartbeatInterval);
        return;
    }
    if (!link.boot.empty() && link.boot != reply.value().boot)
        copiesLost(link);
    link.boot = reply.value().boot;
    for (const std::uint64_t sequence : sent)
        acknowledged(link, sequence);
    pump(link);
}

void BillOrigin::acknowledged(Link &link, std::uint64_t sequence)
{
    const auto found = m_bills.find(sequence);
    if (found == m_bills.end()) {
        // It was stored meanwhile, so this copy is of no use.
        link.drops.push_back(sequence);
        return;
    }
    const auto placement
        = std::ranges::find(found->second.placements, link.peer.id, &Placement::holder);
    if (placement == found->second.placements.end())
        return;
    placement->acknowledged = true;
    ++link.copies;
    hold(sequence, found->second);
}

void BillOrigin::hold(std::uint64_t sequence, Bill &bill)
{
    if (m_unheld.erase(sequence) == 0)
        return;
    kernel::logEvent(kernel::EventId::BillHeld, { { "bill", bill.text.id } });
    if (bill.callback)
        std::exchange(bill.callback, nullptr)(kernel::Done{});
}

void BillOrigin::refused(Link &link, const std::vector<std::uint64_t> &sent, kernel::Duration pause)
{
    link.pausedUntil = m_environment.scheduler->now() + pause;
    std::vector<std::uint64_t> waiting(sent);
    waiting.insert(waiting.end(), link.queue.begin(), link.queue.end());
    link.queue.clear();
    // The holder may have a copy all the same; it can let go of it.
    link.drops.insert(link.drops.end(), sent.begin(), sent.end());
    for (const std::uint64_t sequence : waiting)
        unplace(sequence, link.peer.id);
    for (const std::uint64_t sequence : waiting)
        place(sequence);
}

void BillOrigin::copiesLost(Link &link)
{
    link.copies = 0;
    link.drops.clear();
    std::vector<std::uint64_t> lost;
    for (auto &[sequence, bill] : m_bills) {
        const auto erased = std::erase_if(bill.placements, [&link](const Placement &placement) {
            return placement.holder == link.peer.id && placement.acknowledged;
        });
        if (erased > 0)
            lost.push_back(sequence);
    }
    for (const std::uint64_t sequence : lost)
        place(sequence);
}

void BillOrigin::stored(std::uint64_t sequence)
{
    const auto found = m_bills.find(sequence);
    if (found == m_bills.end())
        return;
    hold(sequence, found->second);
    const auto again = m_bills.find(sequence);
    if (again == m_bills.end())
        return;
    for (const Placement &placement : again->second.placements) {
        if (!placement.acknowledged)
            continue;
        Link &link = m_links[placement.holder];
        --link.copies;
        link.drops.push_back(sequence);
    }
    m_short.erase(sequence);
    m_bills.erase(again);
}

void BillOrigin::tick()
{
    refreshCandidates();
    expireWaiting();
    tickLinks();
    placeShort();
    flushOld();
}

void BillOrigin::expireWaiting()
{
    const kernel::Instant now = m_environment.scheduler->now();
    const std::vector<std::uint64_t> waiting(m_unheld.begin(), m_unheld.end());
    for (const std::uint64_t sequence : waiting) {
        const auto found = m_bills.find(sequence);
        if (found == m_bills.end() || !found->second.callback)
            continue;
        if (now - found->second.since < m_options.settleTimeout)
            break;
        kernel::logEvent(kernel::EventId::BillUnheld, { { "bill", found->second.text.id } });
        std::exchange(found->second.callback, nullptr)(kernel::Error{
            ResultCode::BillNotHeld, "neither a peer nor the store holds the bill" });
    }
}

void BillOrigin::tickLinks()
{
    const kernel::Instant now = m_environment.scheduler->now();
    for (auto &[holder, link] : m_links) {
        if (link.copies > 0 && now - link.lastLiveAt > m_options.goneAfter)
            copiesLost(link);
        const bool heartbeatDue
            = link.copies > 0 && now - link.lastSentAt >= m_options.heartbeatInterval;
        if (!link.busy && (heartbeatDue || !link.drops.empty()) && link.pausedUntil <= now)
            send(link);
    }
}

void BillOrigin::placeShort()
{
    std::vector<std::uint64_t> sequences;
    for (const std::uint64_t sequence : m_short) {
        if (sequences.size() == maxPlacedPerTick)
            break;
        sequences.push_back(sequence);
    }
    for (const std::uint64_t sequence : sequences)
        place(sequence);
}

void BillOrigin::flushOld()
{
    const auto upSince = m_flusher.storeUpSince();
    if (!upSince)
        return;
    const kernel::Instant now = m_environment.scheduler->now();
    for (const auto &[sequence, bill] : m_bills) {
        if (now - std::max(bill.since, *upSince) < m_options.ownFlushAfter)
            break;
        m_flusher.add({ ownOrigin, sequence }, false);
    }
}

} // namespace acaciasail::ledger
