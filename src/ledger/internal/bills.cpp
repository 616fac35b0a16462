#include "ledger/internal/bills.h"

#include <utility>

namespace acaciasail::ledger {

using kernel::ResultCode;

namespace {

constexpr kernel::Duration tickInterval = std::chrono::seconds(1);
/// Parts of the memory for copies: new work ends first, then others' copies, so that the bills of
/// requests in progress find room here and at their holders.
constexpr double shareForWarning = 0.6;
constexpr double shareForNewWork = 0.8;
constexpr double shareForOthers = 0.9;

std::size_t part(std::size_t whole, double share)
{
    return static_cast<std::size_t>(static_cast<double>(whole) * share);
}

} // namespace

Bills::Bills(const LedgerEnvironment &environment, BillOptions options)
    : m_environment(environment)
    , m_options(options)
    , m_flusher(
          m_environment, m_options, m_counters,
          [this](const BillRef &ref) {
              return ref.origin == ownOrigin ? m_origin.find(ref.sequence) : m_holder.find(ref);
          },
          [this](const std::vector<BillRef> &refs) { stored(refs); })
    , m_origin(m_environment, m_options, m_counters, m_flusher)
    , m_holder(m_environment, m_options, m_counters, m_flusher)
{
    m_environment.transport.handle(
        holdMethod, [this](const kernel::Endpoint &, const wire::Message &message,
                           const wire::Reply &reply) { handleHold(message, reply); });
    m_environment.transport.handle(
        flushedMethod, [this](const kernel::Endpoint &, const wire::Message &message,
                              const wire::Reply &reply) { handleFlushed(message, reply); });
    m_timer = kernel::Timer(*m_environment.scheduler, tickInterval, [this] { tick(); });
}

Bills::~Bills()
{
    const auto refuse
        = [](const kernel::Endpoint &, const wire::Message &, const wire::Reply &reply) {
              reply(kernel::Error{ ResultCode::Draining, "the ledger has ended" });
          };
    m_environment.transport.handle(holdMethod, refuse);
    m_environment.transport.handle(flushedMethod, refuse);
}

kernel::Completion<kernel::Done> Bills::admit() const
{
    if (m_origin.size() + m_holder.size() >= part(m_options.maxCopies, shareForNewWork))
        return kernel::Error{ ResultCode::LedgerFull, "the memory for unwritten bills is full" };
    const bool waiting = m_origin.oldestUnheldAge() > m_options.unheldGrace;
    if (waiting && m_origin.unheld() > m_options.unheldLimit)
        return kernel::Error{ ResultCode::LedgerIsolated,
                              "neither a peer nor the store takes bills" };
    return kernel::Done{};
}

void Bills::settle(const BillRecord &record, kernel::Callback<kernel::Done> callback)
{
    m_origin.settle({ record.id.str(), toJsonText(record) }, std::move(callback));
}

void Bills::handleHold(const wire::Message &message, const wire::Reply &reply)
{
    const auto request = kernel::capture([&] { return decodeHoldRequest(message.payload); });
    if (!request.ok()) {
        reply(request.error());
        return;
    }
    const bool hasRoom
        = !m_leaving
          && m_origin.size() + m_holder.size() < part(m_options.maxCopies, shareForOthers);
    const bool held = m_holder.take(request.value(), hasRoom);
    reply(encode(HoldReply{ m_environment.boot, held }));
}

void Bills::handleFlushed(const wire::Message &message, const wire::Reply &reply)
{
    const auto notice = kernel::capture([&] { return decodeFlushedNotice(message.payload); });
    if (!notice.ok()) {
        reply(notice.error());
        return;
    }
    // A notice for the process before this one's start names other bills.
    if (notice.value().boot == m_environment.boot) {
        for (const std::uint64_t sequence : notice.value().sequences)
            m_origin.stored(sequence);
    }
    reply(std::string());
    checkHandedOver();
}

void Bills::stored(const std::vector<BillRef> &refs)
{
    for (const BillRef &ref : refs) {
        if (ref.origin == ownOrigin)
            m_origin.stored(ref.sequence);
    }
    m_holder.stored(refs);
    checkHandedOver();
}

void Bills::tick()
{
    m_timer = kernel::Timer(*m_environment.scheduler, tickInterval, [this] { tick(); });
    for (BillText &bill : m_holder.tick())
        m_origin.adopt(std::move(bill));
    m_origin.tick();
    warnWhenFull();
    checkHandedOver();
}

void Bills::warnWhenFull()
{
    const std::size_t copies = m_origin.size() + m_holder.size();
    const bool nearlyFull = copies >= part(m_options.maxCopies, shareForWarning);
    if (nearlyFull && !m_nearlyFull) {
        kernel::logEvent(kernel::EventId::LedgerNearlyFull,
                         { { "copies", copies }, { "limit", m_options.maxCopies } });
    }
    m_nearlyFull = nearlyFull;
}

void Bills::handOver(kernel::Callback<kernel::Done> callback)
{
    m_handedOver = std::move(callback);
    m_leaving = true;
    for (BillText &bill : m_holder.takeAll())
        m_origin.adopt(std::move(bill));
    m_flusher.hurry();
    checkHandedOver();
}

void Bills::checkHandedOver()
{
    if (m_leaving && m_origin.unheld() == 0 && m_handedOver)
        std::exchange(m_handedOver, nullptr)(kernel::Done{});
}

} // namespace acaciasail::ledger
