#pragma once

#include <vector>

#include "externals/externals.h"
#include "peers/internal/node.h"
#include "peers/internal/prober.h"

namespace acaciasail::peers {

/// Selects at random at most `count` of the candidate addresses that belong to no present member.
std::vector<kernel::Endpoint> pickUnknown(const std::vector<kernel::Endpoint> &candidates,
                                          const std::vector<Member> &present,
                                          const wire::Peer &self, std::size_t count,
                                          kernel::Random &random);

/// Finds daemons that no peer has reported, by means of the configured seeds and the platform's
/// list of VMs, which may lag behind.
///
/// An address from the list is only a place to send a ping to; a daemon becomes a member only by
/// its own response. Only the root of a data centre's tree reads the list, so that the number of
/// calls to the platform doesn't grow with the number of daemons. A daemon that knows no other
/// daemon is its own root.
class Discovery
{
public:
    Discovery(Node &node, Prober &prober, externals::VmList vms);

    void start();
    /// Returns whether at least one other daemon is known, or `joinTime` has elapsed.
    bool settled() const { return m_settled; }
    /// Called once, when the join is complete.
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
