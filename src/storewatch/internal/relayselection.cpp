#include "storewatch/internal/relayselection.h"

#include <algorithm>
#include <utility>

namespace acaciasail::storewatch {

namespace {

constexpr kernel::Duration firstRest = std::chrono::milliseconds(500);
constexpr kernel::Duration maxRest = std::chrono::seconds(8);
constexpr int maxRestDoublings = 4;
// Number of routers ranked before this one that it may read from.
constexpr std::size_t maxAsked = 6;

} // namespace

void RelaySelection::setRouter(const kernel::VmId &vm,
                               const std::optional<kernel::Endpoint> &endpoint,
                               const kernel::DataCentreId &dataCentre)
{
    m_stale = true;
    if (endpoint && m_dataCentre && dataCentre == *m_dataCentre)
        m_routers[vm] = *endpoint;
    else
        m_routers.erase(vm);
}

void RelaySelection::clear()
{
    m_stale = true;
    m_routers.clear();
}

bool RelaySelection::relaysInUse() const
{
    return m_dataCentre
           && m_routers.size() + (m_routers.contains(m_self) ? 0 : 1) >= minRoutersForRelays;
}

void RelaySelection::rank()
{
    m_stale = false;
    const auto score = [this](const kernel::VmId &vm) {
        return kernel::rendezvousScore(m_dataCentre->str(), vm.str());
    };
    std::vector<std::pair<std::uint64_t, kernel::VmId>> before;
    for (const auto &[vm, endpoint] : m_routers) {
        if (vm != m_self && std::pair(score(vm), vm) > std::pair(score(m_self), m_self))
            before.emplace_back(score(vm), vm);
    }
    std::ranges::sort(before, std::greater<>());
    before.resize(std::min(before.size(), maxAsked));
    m_before.clear();
    if (before.size() < relaysPerDataCentre)
        return;
    for (const auto &[value, vm] : before)
        m_before.push_back(vm);
    // Half of the routers ask the second relay first.
    if (score(m_self) % 2 == 1)
        std::swap(m_before[0], m_before[1]);
    std::erase_if(m_rests, [this](const auto &rest) { return !m_routers.contains(rest.first); });
}

bool RelaySelection::isUsable(const kernel::VmId &vm, kernel::Instant now) const
{
    const auto rest = m_rests.find(vm);
    return rest == m_rests.end() || now >= rest->second.until;
}

std::optional<kernel::VmId> RelaySelection::source(kernel::Instant now)
{
    if (!relaysInUse())
        return std::nullopt;
    if (m_stale)
        rank();
    if (m_current && std::ranges::find(m_before, *m_current) != m_before.end()
        && isUsable(*m_current, now))
        return m_current;
    const auto first
        = std::ranges::find_if(m_before, [&](const auto &vm) { return isUsable(vm, now); });
    m_current = first == m_before.end() ? std::nullopt : std::optional(*first);
    return m_current;
}

std::optional<kernel::Endpoint> RelaySelection::endpoint(const kernel::VmId &vm) const
{
    const auto found = m_routers.find(vm);
    return found == m_routers.end() ? std::nullopt : std::optional(found->second);
}

void RelaySelection::recordFailure(const kernel::VmId &vm, kernel::Instant now)
{
    Rest &rest = m_rests[vm];
    // The calls that were open together fail together.
    if (now < rest.until)
        return;
    const int doublings = std::min(rest.failures++, maxRestDoublings);
    rest.until = now + std::min(firstRest * (1 << doublings), maxRest);
}

void RelaySelection::recordSuccess(const kernel::VmId &vm)
{
    m_rests.erase(vm);
}

} // namespace acaciasail::storewatch
