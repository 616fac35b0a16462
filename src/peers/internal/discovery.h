#pragma once

#include <vector>

#include "externals/externals.h"
#include "peers/internal/node.h"
#include "peers/internal/prober.h"

namespace acaciasail::peers {

/// Picks the addresses to greet: those that belong to no live member, at most `count`, at random.
std::vector<kernel::Endpoint> pickUnknown(const std::vector<kernel::Endpoint> &candidates,
                                          const std::vector<Member> &present,
                                          const wire::Peer &self, std::size_t count,
                                          kernel::Random &random);

/// Finds daemons that no peer has told of: by seeds and by the platform's lagging list of VMs.
///
/// An address of the list is only a place to ask; a daemon becomes a member by its own answer. Only
/// the root of a data centre's tree reads the list, so its calls don't grow with the fleet. A
/// daemon that knows nobody is its own root.
class Discovery
{
public:
    Discovery(Node &node, Prober &prober, externals::VmList vms);

    void start();
    /// At least one other daemon is known, or the time to look for one is over.
    bool settled() const { return m_settled; }
    /// Called once settled.
    std::function<void()> onSettled;

private:
    void round();
    void takeList(const std::vector<externals::VmEntry> &entries);
    void greetSome();
    void settle();

    Node &m_node;
    Prober &m_prober;
    externals::VmList m_vms;
    std::vector<kernel::Endpoint> m_candidates;
    std::shared_ptr<bool> m_token = std::make_shared<bool>(true);
    bool m_settled = false;
    kernel::Timer m_timer;
    kernel::Timer m_settleTimer;
};

} // namespace acaciasail::peers
