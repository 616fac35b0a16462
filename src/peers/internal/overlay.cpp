#include "peers/internal/overlay.h"

#include <algorithm>
#include <utility>

namespace acaciasail::peers {

namespace {

void sortByRank(const kernel::DataCentreId &dataCentre, std::vector<Member> &members)
{
    using Key = std::pair<bool, std::uint64_t>;
    std::vector<std::pair<Key, Member>> keyed;
    keyed.reserve(members.size());
    for (Member &member : members) {
        const std::uint64_t score = kernel::rendezvousScore(dataCentre.str(), member.peer.id.str());
        keyed.emplace_back(Key{ member.state == MemberState::Leaving, ~score }, std::move(member));
    }
    std::ranges::sort(keyed, {}, &std::pair<Key, Member>::first);
    for (std::size_t i = 0; i < keyed.size(); ++i)
        members[i] = std::move(keyed[i].second);
}

void addRemoteNeighbours(const Overlay &overlay, const kernel::DataCentreId &own,
                         std::size_t fanOut, Neighbours &neighbours)
{
    const auto &order = overlay.dataCentres;
    const auto position = std::ranges::find(order, own);
    if (position == order.end())
        return;
    const auto index = static_cast<std::size_t>(position - order.begin());
    const auto addRoot = [&](std::size_t at) {
        neighbours.remote.push_back(overlay.ranked.at(order[at]).front());
    };
    if (index > 0)
        addRoot((index - 1) / fanOut);
    for (std::size_t child = index * fanOut + 1; child <= index * fanOut + fanOut; ++child) {
        if (child < order.size())
            addRoot(child);
    }
}

} // namespace

Overlay buildOverlay(const std::vector<Member> &present,
                     const std::set<kernel::DataCentreId> &unreachable)
{
    Overlay overlay;
    for (const Member &member : present)
        overlay.ranked[member.peer.dataCentre].push_back(member);
    for (auto &[dataCentre, members] : overlay.ranked) {
        sortByRank(dataCentre, members);
        if (!unreachable.contains(dataCentre))
            overlay.dataCentres.push_back(dataCentre);
    }
    std::ranges::sort(overlay.dataCentres, {}, [](const kernel::DataCentreId &id) {
        return std::pair(kernel::hash64(id.str()), id.str());
    });
    return overlay;
}

std::optional<std::size_t> rankOf(const Overlay &overlay, const wire::Peer &peer)
{
    const auto found = overlay.ranked.find(peer.dataCentre);
    if (found == overlay.ranked.end())
        return std::nullopt;
    const auto &members = found->second;
    const auto position
        = std::ranges::find(members, peer.id, [](const Member &member) { return member.peer.id; });
    if (position == members.end())
        return std::nullopt;
    return static_cast<std::size_t>(position - members.begin());
}

Neighbours neighboursOf(const Overlay &overlay, const wire::Peer &peer, std::size_t fanOut)
{
    Neighbours neighbours;
    const std::optional<std::size_t> rank = rankOf(overlay, peer);
    if (!rank)
        return neighbours;
    const auto &members = overlay.ranked.at(peer.dataCentre);
    if (*rank > 0)
        neighbours.parent = members[(*rank - 1) / fanOut];
    for (std::size_t child = *rank * fanOut + 1; child <= *rank * fanOut + fanOut; ++child) {
        if (child < members.size())
            neighbours.children.push_back(members[child]);
    }
    if (*rank == 0)
        addRemoteNeighbours(overlay, peer.dataCentre, fanOut, neighbours);
    return neighbours;
}

std::vector<Member> watchersOf(const Overlay &overlay, const kernel::DataCentreId &dataCentre,
                               std::size_t count)
{
    const auto found = overlay.ranked.find(dataCentre);
    if (found == overlay.ranked.end())
        return {};
    const auto &members = found->second;
    std::vector<Member> watchers;
    const bool allLeaving = members.front().state == MemberState::Leaving;
    for (const Member &member : members) {
        if (watchers.size() < count && (allLeaving || member.state != MemberState::Leaving))
            watchers.push_back(member);
    }
    return watchers;
}

} // namespace acaciasail::peers
