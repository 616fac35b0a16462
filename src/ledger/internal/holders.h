#pragma once

#include <vector>

#include "wire/wire.h"

namespace acaciasail::ledger {

/// Flushers in each data centre; only they write bills in calm times.
constexpr std::size_t flushersPerDataCentre = 2;
/// Longest list of candidates.
constexpr std::size_t maxHolderCandidates = 16;

/// The peers that may hold a daemon's bills, best first: the flushers of other data centres, each
/// data centre once before any twice, then those of its own, then any peers. Daemons are spread
/// over the flushers by rendezvous hashing.
std::vector<wire::Peer> holderCandidates(const wire::Peer &self,
                                         const std::vector<wire::Peer> &peers);

} // namespace acaciasail::ledger
