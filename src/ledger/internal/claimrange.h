#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ledger/internal/claimmessages.h"
#include "ledger/internal/claimtypes.h"
#include "ledger/internal/claimwitness.h"
#include "ledger/internal/environment.h"

namespace acaciasail::ledger {

using ClaimReplyHandler = std::function<void(const ClaimReply &)>;

/// One range of keys, as this daemon owns it or takes it over.
///
/// A claim is granted once every witness of the term has it. A term ends when one witness, or its
/// owner, denies further claims; the next owner takes the claims from that one and writes itself
/// into the range's object. No time is measured for it, so pauses can't break it. Without any
/// witness, a claim is granted once the object itself has it.
class ClaimRange
{
public:
    ClaimRange(const LedgerEnvironment &environment, const ClaimOptions &options,
               WitnessBook &witnesses, int range);
    ~ClaimRange();
    ClaimRange(const ClaimRange &) = delete;
    ClaimRange &operator=(const ClaimRange &) = delete;

    /// Decides on a claim, after taking the range over if its owner is gone.
    void claim(const ClaimEntry &ask, ClaimReplyHandler reply);
    /// Notes what came of a claim.
    void update(const ClaimEntry &ask, const ClaimReplyHandler &reply);
    /// Ends the term if it is this daemon's, and gives its claims.
    std::optional<ClaimEntries> deny(const EpochId &id);
    /// Takes the range over though its owner may be there, as it asks for it.
    void takeOver(std::function<void()> done);
    void tick();
    /// Takes the range over if its owner is gone; for a witness that noticed.
    void repair();

    bool active() const { return m_state == State::Active; }
    /// Owner at the last look into the store, if it was another VM.
    const kernel::VmId &otherOwner() const { return m_otherOwner; }
    std::size_t entries() const { return m_entries.size(); }

private:
    enum class State {
        /// Another owns the range, or nobody.
        Idle,
        /// The range is being taken over, or gets other witnesses.
        Taking,
        Active,
    };

    enum class WriteFailure {
        NoEffect,
        /// It may have taken effect, or may yet.
        Unsettled,
        /// The object has another's term.
        Replaced,
    };

    struct Waiting
    {
        ClaimEntry ask;
        ClaimReplyHandler reply;
    };

    /// A claim on its way to the witnesses or the store.
    struct Grant
    {
        std::uint64_t version = 0;
        std::size_t missing = 0;
        std::vector<ClaimReplyHandler> replies;
    };

    // Decisions (claimdecide.cpp)
    void decide(const ClaimEntry &ask, const ClaimReplyHandler &reply);
    ClaimReply replyFor(const ClaimEntry &entry) const;
    void grant(const ClaimEntry &ask, const ClaimReplyHandler &reply);
    void sendToWitnesses(const ClaimEntry &entry, bool isGrant);
    void witnessAnswered(const std::string &key, std::uint64_t version, bool accepted);
    void failGrant(const std::string &key);
    void failGrants();
    void dropAnswers();
    void forgetOld();

    // Taking over (claimtakeover.cpp)
    void startTaking();
    void takeObject(const kernel::Completion<externals::StoredObject> &outcome);
    void closeTerm(const RangeObject &object);
    void askMember(const ClaimMember &member, const EpochId &id);
    void memberAnswered(const DenyReply *reply, const ClaimMember &member);
    void installAtWitnesses();
    void installNext();
    void installed(const ClaimMember &member, bool accepted);
    void failTaking(ClaimReplyKind kind, const kernel::VmId &owner);
    void activate(kernel::Revision revision);

    // The object in the store (claimstore.cpp)
    RangeObject currentObject() const;
    void writeObject();
    void takeWriteOutcome(const kernel::Completion<kernel::Revision> &outcome);
    void settleWrite(const kernel::Completion<externals::StoredObject> &outcome);
    void writeDone(kernel::Revision revision);
    void writeFailed(WriteFailure failure);

    void lose();
    template<class Value>
    kernel::Callback<Value>
    guarded(std::function<void(const kernel::Completion<Value> &)> function);
    void callPeer(const kernel::VmId &vm, const char *method, std::string payload,
                  std::function<void(const kernel::Completion<std::string> &)> function);

    const LedgerEnvironment &m_environment;
    const ClaimOptions &m_options;
    WitnessBook &m_witnessBook;
    const int m_range;

    State m_state = State::Idle;
    /// Term in force, or the last one.
    EpochId m_id;
    /// Terms of this process that were in force.
    std::set<std::uint64_t> m_begunEpochs;
    std::vector<ClaimMember> m_witnesses;
    ClaimEntries m_entries;
    /// Claims that were granted, or may have been by an earlier owner.
    std::set<std::string> m_granted;
    std::map<std::string, Grant> m_grants;
    std::uint64_t m_lastVersion = 0;
    kernel::WallTime m_uncertainUntil;
    std::optional<kernel::Revision> m_revision;
    std::deque<Waiting> m_waiting;
    std::function<void()> m_taken;

    // While taking over:
    bool m_forced = false;
    /// This daemon owned the range before, and may go on with that term if nothing was written.
    bool m_wasActive = false;
    RangeObject m_found;
    std::size_t m_lostMembers = 0;
    std::size_t m_askedMembers = 0;
    std::size_t m_answeredMembers = 0;
    bool m_termClosed = false;
    EpochId m_nextId;
    std::vector<ClaimMember> m_nextWitnesses;
    std::vector<wire::Peer> m_candidates;

    // Writing:
    bool m_writing = false;
    int m_writeTries = 0;
    /// A write of unknown outcome may yet take effect.
    bool m_mayBeWritten = false;
    std::uint64_t m_writtenVersion = 0;
    bool m_dirty = false;
    kernel::Instant m_lastWriteAt;
    kernel::Instant m_lastRepairAt;
    kernel::Instant m_lastTakingAt;
    kernel::VmId m_otherOwner;
    /// A witness did not take a claim.
    bool m_needsRepair = false;
    std::map<kernel::VmId, kernel::Instant> m_lastLiveAt;
    /// Grows when what was begun before must not go on.
    std::uint64_t m_generation = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

template<class Value>
kernel::Callback<Value>
ClaimRange::guarded(std::function<void(const kernel::Completion<Value> &)> function)
{
    return [this, alive = std::weak_ptr(m_alive), generation = m_generation,
            function = std::move(function)](const kernel::Completion<Value> &outcome) {
        if (!alive.expired() && generation == m_generation)
            function(outcome);
    };
}

} // namespace acaciasail::ledger
