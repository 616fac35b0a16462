#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "kernel/kernel.h"
#include "peers/internal/member.h"

namespace acaciasail::peers {

/// Number of buckets into which member records are hashed, so that peers can compare digests.
constexpr std::size_t memberBucketCount = 16;

/// How long the record of a failed member is kept, so that a stale record can't revive the member.
constexpr kernel::Duration failedRecordRetention = std::chrono::minutes(10);

/// All daemons that this daemon knows, itself included: the merge of all records received.
///
/// For each VM, the record with the highest incarnation wins, and among records with the same
/// incarnation the one with the later state. The merge is therefore independent of the order, the
/// duplication and the path of records.
class MemberList
{
public:
    MemberList(wire::Peer self, std::uint64_t incarnation);

    /// Called on each change, before apply() returns, also for the daemon's own record.
    std::function<void(const MemberChange &)> onChange;

    /// Merges a record. Returns whether it changed anything. A record that marks this daemon as
    /// suspected or failed is refuted: the own record gets a higher incarnation.
    bool apply(const Member &record, kernel::Instant now);
    /// Marks this daemon's own record as leaving.
    void leave(kernel::Instant now);
    /// Removes the records of members that failed more than failedRecordRetention ago.
    void purge(kernel::Instant now);

    const Member &self() const { return m_entries.at(m_selfId).member; }
    const Member *find(const kernel::VmId &id) const;
    /// Returns the members that are not failed, this daemon included, in order of id.
    std::vector<Member> present() const;
    /// Returns all records, in order of id.
    std::vector<Member> all() const;

    /// Returns a counter that is incremented by each change.
    std::uint64_t version() const { return m_version; }
    /// Returns the hash of all records that are not failed.
    std::uint64_t digest() const;
    const std::array<std::uint64_t, memberBucketCount> &buckets() const { return m_buckets; }
    /// Returns all records of a bucket, including those of failed members.
    std::vector<Member> bucket(std::size_t index) const;

private:
    struct Entry
    {
        Member member;
        kernel::Instant changedAt{};
    };

    bool applyToSelf(const Member &record, kernel::Instant now);
    void store(const Member &record, kernel::Instant now);
    void markReplacedFailed(const Member &record, kernel::Instant now);
    void toggleHash(const Member &member);

    kernel::VmId m_selfId;
    std::map<kernel::VmId, Entry> m_entries;
    std::array<std::uint64_t, memberBucketCount> m_buckets{};
    std::uint64_t m_version = 0;
};

} // namespace acaciasail::peers
