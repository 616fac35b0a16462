#include "peers/internal/discovery.h"

#include <algorithm>

namespace acaciasail::peers {

namespace {

// Maximum number of addresses that are pinged in one round.
constexpr std::size_t maxPingsPerRound = 4;

// Time between two rounds of a daemon that knows no other daemon and is still joining.
constexpr kernel::Duration isolatedRoundInterval = std::chrono::milliseconds(500);

} // namespace

std::vector<kernel::Endpoint>
selectUnknownAddresses(const std::vector<kernel::Endpoint> &candidates,
                       const std::vector<Member> &present, const wire::Peer &self,
                       std::size_t count, kernel::Random &random)
{
    std::set<kernel::Endpoint> known{ self.endpoint };
    for (const Member &member : present)
        known.insert(member.peer.endpoint);
    std::vector<kernel::Endpoint> unknown;
    for (const kernel::Endpoint &candidate : candidates) {
        if (known.insert(candidate).second)
            unknown.push_back(candidate);
    }
    std::ranges::shuffle(unknown, random);
    unknown.resize(std::min(unknown.size(), count));
    return unknown;
}

Discovery::Discovery(Node &node, FailureDetector &failureDetector, externals::VmList vms)
    : m_node(node)
    , m_failureDetector(failureDetector)
    , m_vms(std::move(vms))
    , m_candidates(node.options.seeds)
{}

void Discovery::start()
{
    m_joinTimer
        = kernel::Timer(m_node.scheduler, m_node.options.joinTimeout, [this] { completeJoin(); });
    runRound();
}

void Discovery::completeJoin()
{
    if (m_joinComplete)
        return;
    m_joinComplete = true;
    if (onJoinComplete)
        onJoinComplete();
}

void Discovery::runRound()
{
    const bool isolated = m_node.members.present().size() < 2;
    if (!isolated)
        completeJoin();
    m_timer = kernel::Timer(m_node.scheduler,
                            isolated && !m_joinComplete ? isolatedRoundInterval
                                                        : m_node.options.vmListInterval,
                            [this] { runRound(); });
    if (!m_node.isRoot() && !isolated)
        return;
    pingUnknownAddresses();
    if (!m_vms.list)
        return;
    m_vms.list([this, token = std::weak_ptr<bool>(m_lifetimeToken)](
                   const kernel::Completion<std::vector<externals::VmEntry>> &completion) {
        if (!token.expired() && completion.ok())
            applyVmList(completion.value());
    });
}

void Discovery::applyVmList(const std::vector<externals::VmEntry> &entries)
{
    m_candidates = m_node.options.seeds;
    for (const externals::VmEntry &entry : entries) {
        if (entry.role != externals::VmRole::Entry)
            continue;
        m_candidates.push_back(entry.endpoint);
        const Member *member = m_node.members.find(entry.id);
        if (!entry.leaving || member == nullptr || member->state != MemberState::Alive)
            continue;
        Member leaving = *member;
        leaving.state = MemberState::Leaving;
        m_node.members.apply(leaving, m_node.now());
    }
    pingUnknownAddresses();
}

void Discovery::pingUnknownAddresses()
{
    const std::vector<kernel::Endpoint> unknown
        = selectUnknownAddresses(m_candidates, m_node.members.present(), m_node.members.self().peer,
                                 maxPingsPerRound, m_node.random);
    for (const kernel::Endpoint &endpoint : unknown)
        m_failureDetector.pingAddress(endpoint);
}

} // namespace acaciasail::peers
