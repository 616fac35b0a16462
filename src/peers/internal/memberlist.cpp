#include "peers/internal/memberlist.h"

#include <string>

namespace acaciasail::peers {

namespace {

std::size_t bucketOf(const kernel::VmId &id)
{
    return kernel::hash64(id.str()) % memberBucketCount;
}

std::uint64_t hashOf(const Member &member)
{
    const std::uint64_t seed = member.incarnation * 8 + static_cast<std::uint64_t>(member.state);
    return kernel::hash64(member.peer.id.str(), seed);
}

} // namespace

MemberList::MemberList(wire::Peer self, std::uint64_t incarnation)
    : m_selfId(self.id)
{
    Entry &entry = m_entries[m_selfId];
    entry.member = Member{ std::move(self), incarnation, MemberState::Alive };
    toggleHash(entry.member);
}

bool MemberList::apply(const Member &record, kernel::Instant now)
{
    if (record.peer.id.empty())
        return false;
    if (record.peer.id == m_selfId)
        return applyToSelf(record, now);
    const auto found = m_entries.find(record.peer.id);
    if (found != m_entries.end() && !supersedes(record, found->second.member))
        return false;
    store(record, now);
    if (record.state != MemberState::Failed)
        markReplacedFailed(record, now);
    return true;
}

bool MemberList::applyToSelf(const Member &record, kernel::Instant now)
{
    const Member &own = self();
    if (!supersedes(record, own))
        return false;
    Member next = own;
    if (record.incarnation == own.incarnation && record.state == MemberState::Leaving)
        next.state = MemberState::Leaving;
    else
        next.incarnation = record.incarnation + 1;
    store(next, now);
    return true;
}

void MemberList::leave(kernel::Instant now)
{
    Member next = self();
    next.state = MemberState::Leaving;
    store(next, now);
}

void MemberList::store(const Member &record, kernel::Instant now)
{
    const auto [found, joined] = m_entries.try_emplace(record.peer.id);
    const MemberState before = joined ? MemberState::Alive : found->second.member.state;
    if (!joined)
        toggleHash(found->second.member);
    found->second = Entry{ record, now };
    toggleHash(record);
    ++m_version;
    if (onChange)
        onChange(MemberChange{ record, joined, before });
}

/// Marks other members with the same address as failed if they started earlier: a daemon that
/// started later at that address proves that they no longer run.
void MemberList::markReplacedFailed(const Member &record, kernel::Instant now)
{
    std::vector<Member> replaced;
    for (const auto &[id, entry] : m_entries) {
        const Member &other = entry.member;
        if (id != record.peer.id && id != m_selfId && other.peer.endpoint == record.peer.endpoint
            && other.state != MemberState::Failed && other.incarnation < record.incarnation)
            replaced.push_back(other);
    }
    for (Member &member : replaced) {
        member.state = MemberState::Failed;
        store(member, now);
    }
}

void MemberList::purge(kernel::Instant now)
{
    std::erase_if(m_entries, [now](const auto &item) {
        const Entry &entry = item.second;
        return entry.member.state == MemberState::Failed
               && now - entry.changedAt > failedRecordRetention;
    });
}

const Member *MemberList::find(const kernel::VmId &id) const
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.member;
}

std::vector<Member> MemberList::present() const
{
    std::vector<Member> members;
    for (const auto &[id, entry] : m_entries) {
        if (entry.member.state != MemberState::Failed)
            members.push_back(entry.member);
    }
    return members;
}

std::vector<Member> MemberList::all() const
{
    std::vector<Member> members;
    for (const auto &[id, entry] : m_entries)
        members.push_back(entry.member);
    return members;
}

std::uint64_t MemberList::digest() const
{
    std::uint64_t digest = 0;
    for (const std::uint64_t bucket : m_buckets)
        digest = digest * 31 + bucket;
    return digest;
}

std::vector<Member> MemberList::bucket(std::size_t index) const
{
    std::vector<Member> members;
    for (const auto &[id, entry] : m_entries) {
        if (bucketOf(id) == index)
            members.push_back(entry.member);
    }
    return members;
}

/// Adds a record to the hash of its bucket, or removes the record from the hash. Failed members are
/// left out, so that purging them doesn't make the digests of two daemons differ.
void MemberList::toggleHash(const Member &member)
{
    if (member.state != MemberState::Failed)
        m_buckets[bucketOf(member.peer.id)] ^= hashOf(member);
}

} // namespace acaciasail::peers
