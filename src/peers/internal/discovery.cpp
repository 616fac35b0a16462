#include "peers/internal/discovery.h"

#include <algorithm>

namespace acaciasail::peers {

namespace {

// Maximum number of addresses that are pinged in one round.
constexpr std::size_t greetingsPerRound = 4;

// Time between two rounds of a daemon that knows no other daemon and is still joining.
constexpr kernel::Duration lonelyInterval = std::chrono::milliseconds(500);

} // namespace

std::vector<kernel::Endpoint> pickUnknown(const std::vector<kernel::Endpoint> &candidates,
                                          const std::vector<Member> &present,
                                          const wire::Peer &self, std::size_t count,
                                          kernel::Random &random)
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

Discovery::Discovery(Node &node, Prober &prober, externals::VmList vms)
    : m_node(node)
    , m_prober(prober)
    , m_vms(std::move(vms))
    , m_candidates(node.options.seeds)
{}

void Discovery::start()
{
    m_settleTimer = kernel::Timer(m_node.scheduler, m_node.options.joinTime, [this] { settle(); });
    round();
}

void Discovery::settle()
{
    if (m_settled)
        return;
    m_settled = true;
    if (onSettled)
        onSettled();
}

void Discovery::round()
{
    const bool lonely = m_node.members.present().size() < 2;
    if (!lonely)
        settle();
    m_timer = kernel::Timer(m_node.scheduler,
                            lonely && !m_settled ? lonelyInterval : m_node.options.vmListInterval,
                            [this] { round(); });
    if (!m_node.isRoot() && !lonely)
        return;
    greetSome();
    if (!m_vms.list)
        return;
    m_vms.list([this, token = std::weak_ptr<bool>(m_token)](
                   const kernel::Completion<std::vector<externals::VmEntry>> &completion) {
        if (!token.expired() && completion.ok())
            takeList(completion.value());
    });
}

void Discovery::takeList(const std::vector<externals::VmEntry> &entries)
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
    greetSome();
}

void Discovery::greetSome()
{
    const std::vector<kernel::Endpoint> unknown
        = pickUnknown(m_candidates, m_node.members.present(), m_node.members.self().peer,
                      greetingsPerRound, m_node.random);
    for (const kernel::Endpoint &endpoint : unknown)
        m_prober.greet(endpoint);
}

} // namespace acaciasail::peers
