#pragma once

#include <cstdint>
#include <string_view>

#include "kernel/kernel.h"
#include "wire/wire.h"

namespace acaciasail::peers {

/// State of a member. Of two records with the same incarnation, the record whose state is listed
/// later here supersedes the other.
enum class MemberState : std::uint8_t {
    Alive,
    /// Probes failed; the member may still refute the suspicion by a higher incarnation.
    Suspect,
    /// The member announced its shutdown, or the platform is about to remove its VM.
    Leaving,
    Failed,
};

/// Returns the name of a state: "alive", "suspect", "leaving" or "failed".
constexpr std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Failed:
        break;
    }
    return "failed";
}

/// The membership record of one daemon.
struct Member
{
    wire::Peer peer;
    /// Version of the record, chosen by the member itself: its start time in microseconds. The
    /// member increments it to refute a suspicion.
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
};

/// Returns whether `record` replaces `known`, where both are records of the same VM.
constexpr bool supersedes(const Member &record, const Member &known)
{
    if (record.incarnation != known.incarnation)
        return record.incarnation > known.incarnation;
    return record.state > known.state;
}

/// A change of a member's state, as it is published to other libraries.
struct MemberChange
{
    Member member;
    /// The daemon was not known before this change.
    bool joined = false;
    /// State before this change.
    MemberState before = MemberState::Alive;
};

} // namespace acaciasail::peers
