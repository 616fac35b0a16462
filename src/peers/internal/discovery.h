#pragma once

#include <vector>

#include "externals/externals.h"
#include "peers/internal/failuredetector.h"
#include "peers/internal/node.h"

namespace acaciasail::peers {

/// Selects at random at most `count` of the candidate addresses that belong to no present member.
std::vector<kernel::Endpoint>
selectUnknownAddresses(const std::vector<kernel::Endpoint> &candidates,
                       const std::vector<Member> &present, const wire::Peer &self,
                       std::size_t count, kernel::Random &random);

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
    Discovery(Node &node, FailureDetector &failureDetector, externals::VmList vms);

    void start();
    /// Returns whether at least one other daemon is known, or `joinTimeout` has elapsed.
    bool joinComplete() const { return m_joinComplete; }
    /// Called once, when the join is complete.
    std::function<void()> onJoinComplete;

private:
    void runRound();
    void applyVmList(const std::vector<externals::VmEntry> &entries);
    void pingUnknownAddresses();
    void completeJoin();

    Node &m_node;
    FailureDetector &m_failureDetector;
    externals::VmList m_vms;
    std::vector<kernel::Endpoint> m_candidates;
    std::shared_ptr<bool> m_lifetimeToken = std::make_shared<bool>(true);
    bool m_joinComplete = false;
    kernel::Timer m_timer;
    kernel::Timer m_joinTimer;
};

} // namespace acaciasail::peers
