#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "kernel/kernel.h"
#include "peers/internal/member.h"

namespace acaciasail::peers {

/// The overlay network along which data is disseminated: the members of each data centre in rank
/// order, and the data centres in their own order. The overlay is a function of the members alone,
/// so daemons that know the same members agree on it without communication.
struct Overlay
{
    /// Members of each data centre in order of their rendezvous hash; leaving members come last.
    std::map<kernel::DataCentreId, std::vector<Member>> ranked;
    /// Data centres that are part of the tree, in the order of their positions in it.
    std::vector<kernel::DataCentreId> dataCentres;
};

/// A daemon's neighbours in the tree.
struct Neighbours
{
    /// Next daemon towards the root of the data centre; nullopt for the root.
    std::optional<Member> parent;
    /// At most `fanOut` daemons.
    std::vector<Member> children;
    /// Roots of at most `fanOut` + 1 other data centres; only the root has them.
    std::vector<Member> remote;
};

/// Builds the overlay of the members that are not failed. Unreachable data centres are left out of
/// the tree but stay in `ranked`.
Overlay buildOverlay(const std::vector<Member> &present,
                     const std::set<kernel::DataCentreId> &unreachable);

/// Returns the position of a daemon in its data centre's order; nullopt if it isn't there.
std::optional<std::size_t> rankOf(const Overlay &overlay, const wire::Peer &peer);

/// Returns the neighbours of a daemon in the tree with the given fan-out.
Neighbours neighboursOf(const Overlay &overlay, const wire::Peer &peer, std::size_t fanOut);

/// Returns the daemons of a data centre that watch the store: the first `count` that aren't
/// leaving, or the first `count` if all are leaving.
std::vector<Member> watchersOf(const Overlay &overlay, const kernel::DataCentreId &dataCentre,
                               std::size_t count);

} // namespace acaciasail::peers
