#include "ledger/internal/holders.h"

#include <algorithm>
#include <map>

#include "kernel/kernel.h"

namespace acaciasail::ledger {

namespace {

/// A peer's place in the order of candidates; the lowest comes first.
struct Place
{
    /// Flushers elsewhere come first, by their rank in their data centre, then those of the own
    /// data centre, then all others.
    std::size_t tier = 0;
    std::uint64_t score = 0;
    const wire::Peer *peer = nullptr;
};

void sortByScore(std::vector<const wire::Peer *> &members, const std::string &key)
{
    std::ranges::sort(members, std::ranges::greater{}, [&key](const wire::Peer *peer) {
        return kernel::rendezvousScore(key, peer->id.str());
    });
}

} // namespace

std::vector<wire::Peer> holderCandidates(const wire::Peer &self,
                                         const std::vector<wire::Peer> &peers)
{
    std::map<kernel::DataCentreId, std::vector<const wire::Peer *>> dataCentres;
    for (const wire::Peer &peer : peers)
        dataCentres[peer.dataCentre].push_back(&peer);
    constexpr std::size_t ownTier = flushersPerDataCentre;
    constexpr std::size_t restTier = ownTier + 1;
    std::vector<Place> places;
    places.reserve(peers.size());
    for (auto &[dataCentre, members] : dataCentres) {
        sortByScore(members, "flusher/" + dataCentre.str());
        // The daemons divide the first places among a data centre's flushers.
        const std::size_t flushers = std::min(flushersPerDataCentre, members.size());
        const std::uint64_t turn = kernel::rendezvousScore(self.id.str(), dataCentre.str());
        for (std::size_t i = 0; i < members.size(); ++i) {
            Place place;
            place.peer = members[i];
            place.tier = i >= flushers                   ? restTier
                         : dataCentre == self.dataCentre ? ownTier
                                                         : (i + turn) % flushers;
            place.score = place.tier < ownTier
                              ? turn
                              : kernel::rendezvousScore(self.id.str(), members[i]->id.str());
            places.push_back(place);
        }
    }
    std::ranges::sort(places, [](const Place &a, const Place &b) {
        return a.tier != b.tier ? a.tier < b.tier : a.score > b.score;
    });
    if (places.size() > maxHolderCandidates)
        places.resize(maxHolderCandidates);
    std::vector<wire::Peer> candidates;
    candidates.reserve(places.size());
    for (const Place &place : places)
        candidates.push_back(*place.peer);
    return candidates;
}

} // namespace acaciasail::ledger
