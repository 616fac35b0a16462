/// How a range gets a new owner or other witnesses.

#include <algorithm>
#include <utility>

#include "ledger/internal/claimrange.h"
#include "ledger/internal/holders.h"

namespace acaciasail::ledger {

using kernel::Completion;
using kernel::ResultCode;

ClaimRange::ClaimRange(const LedgerEnvironment &environment, const ClaimOptions &options,
                       WitnessBook &witnesses, int range)
    : m_environment(environment)
    , m_options(options)
    , m_witnessBook(witnesses)
    , m_range(range)
    , m_lastRepairAt(environment.scheduler->now() - options.repairPause)
    , m_lastTakingAt(environment.scheduler->now() - options.takingPause)
{}

ClaimRange::~ClaimRange() = default;

void ClaimRange::callPeer(const kernel::VmId &vm, const char *method, std::string payload,
                          std::function<void(const Completion<std::string> &)> function)
{
    const auto live = m_environment.peers.live();
    const auto peer = std::ranges::find(live, vm, &wire::Peer::id);
    auto callback = guarded<std::string>(std::move(function));
    if (peer == live.end()) {
        // Later, as every answer: the caller may be in the middle of its step.
        m_environment.scheduler->startTimer(kernel::Duration::zero(), [callback, vm] {
            callback(kernel::Error{ ResultCode::PeerUnreachable, vm.str() + " is not live" });
        });
        return;
    }
    m_environment.transport.call(peer->endpoint, { method, std::move(payload) },
                                 m_options.peerTimeout, std::move(callback));
}

void ClaimRange::startTaking()
{
    ++m_generation;
    m_state = State::Taking;
    m_wasActive = false;
    m_termClosed = false;
    m_writing = false;
    m_otherOwner = {};
    m_lastRepairAt = m_environment.scheduler->now();
    m_environment.store.read(
        rangeKey(m_range),
        guarded<externals::StoredObject>(
            [this](const Completion<externals::StoredObject> &outcome) { takeObject(outcome); }));
}

void ClaimRange::takeOver(std::function<void()> done)
{
    m_forced = true;
    m_taken = std::move(done);
    if (m_state == State::Idle)
        startTaking();
}

void ClaimRange::takeObject(const Completion<externals::StoredObject> &outcome)
{
    if (!outcome.ok()) {
        if (outcome.error().code != ResultCode::ObjectNotFound) {
            failTaking(ClaimReplyKind::Unavailable, {});
            return;
        }
        m_revision.reset();
        m_found = RangeObject{};
        m_entries.clear();
        m_id.ownerBoot.clear();
        m_uncertainUntil = {};
        installAtWitnesses();
        return;
    }
    auto object = kernel::capture([&] { return parseRangeObject(outcome.value().value); });
    if (!object.ok()) {
        failTaking(ClaimReplyKind::Unavailable, {});
        return;
    }
    m_revision = outcome.value().revision;
    m_found = std::move(object.value());
    const auto live = m_environment.peers.live();
    const bool ownerLives
        = std::ranges::find(live, m_found.owner.vm, &wire::Peer::id) != live.end();
    if (ownerLives && !m_forced) {
        failTaking(ClaimReplyKind::NotOwner, m_found.owner.vm);
        return;
    }
    closeTerm(m_found);
}

void ClaimRange::closeTerm(const RangeObject &object)
{
    m_uncertainUntil = object.uncertainUntil;
    if (object.id() == m_id) {
        // This daemon's own term: it has all claims and grants none meanwhile.
        mergeEntries(m_entries, object.entries);
        installAtWitnesses();
        return;
    }
    const bool ownWrite
        = object.owner.boot == m_environment.boot && !m_begunEpochs.contains(object.epoch);
    // The claims kept so far belong to another term than the one to be taken over.
    m_id.ownerBoot.clear();
    m_entries = object.entries;
    m_granted.clear();
    m_lostMembers = 0;
    m_askedMembers = object.witnesses.size() + 1;
    m_answeredMembers = 0;
    if (object.witnesses.empty() || ownWrite) {
        // The object has every claim: the term has no witness, or is a write of this process that
        // took effect late and granted nothing. The next write to the object ends it.
        installAtWitnesses();
        return;
    }
    for (const ClaimMember &witness : object.witnesses)
        askMember(witness, object.id());
    askMember(object.owner, object.id());
}

void ClaimRange::askMember(const ClaimMember &member, const EpochId &id)
{
    if (member.vm == m_environment.peers.self.id) {
        DenyReply reply;
        reply.boot = m_environment.boot;
        if (auto entries = denyTerm(m_witnessBook, { m_range, id })) {
            reply.intact = true;
            reply.entries = std::move(*entries);
        }
        m_environment.scheduler->startTimer(
            kernel::Duration::zero(),
            [this, reply, member, alive = std::weak_ptr(m_alive), generation = m_generation] {
                if (!alive.expired() && generation == m_generation)
                    memberAnswered(&reply, member);
            });
        return;
    }
    callPeer(member.vm, denyMethod, encode(DenyRequest{ m_range, id }),
             [this, member](const Completion<std::string> &outcome) {
                 if (!outcome.ok()) {
                     memberAnswered(nullptr, member);
                     return;
                 }
                 const auto reply
                     = kernel::capture([&] { return decodeDenyReply(outcome.value()); });
                 memberAnswered(reply.ok() ? &reply.value() : nullptr, member);
             });
}

void ClaimRange::memberAnswered(const DenyReply *reply, const ClaimMember &member)
{
    if (m_termClosed)
        return;
    ++m_answeredMembers;
    if (reply != nullptr && reply->intact && reply->boot == member.boot) {
        m_termClosed = true;
        mergeEntries(m_entries, reply->entries);
        installAtWitnesses();
        return;
    }
    // Who answers without the claims has lost them and will not take any of this term.
    const bool gone = m_environment.vmGone && m_environment.vmGone(member.vm);
    if (reply != nullptr || gone)
        ++m_lostMembers;
    if (m_answeredMembers < m_askedMembers)
        return;
    if (m_lostMembers < m_askedMembers) {
        failTaking(ClaimReplyKind::Unavailable, {});
        return;
    }
    // All who had the claims are lost; some may be missing from the object.
    m_termClosed = true;
    m_uncertainUntil = m_environment.scheduler->wallNow() + m_options.retention;
    installAtWitnesses();
}

void ClaimRange::installAtWitnesses()
{
    // Never the same term twice: a write of an earlier try may yet take effect.
    const std::uint64_t last = std::max({ m_found.epoch, m_id.epoch, m_nextId.epoch });
    m_nextId = { last + 1, m_environment.boot };
    m_nextWitnesses.clear();
    m_candidates = holderCandidates(m_environment.peers.self, m_environment.peers.live());
    constexpr std::size_t maxTried = 4;
    if (m_candidates.size() > maxTried)
        m_candidates.resize(maxTried);
    std::ranges::reverse(m_candidates);
    installNext();
}

void ClaimRange::installNext()
{
    if (m_nextWitnesses.size() >= m_options.witnesses || m_candidates.empty()) {
        m_writeTries = 0;
        writeObject();
        return;
    }
    const wire::Peer peer = m_candidates.back();
    m_candidates.pop_back();
    WitnessRequest request;
    request.range = m_range;
    request.id = m_nextId;
    request.owner = m_environment.peers.self.id;
    request.install = true;
    request.entries = m_entries;
    callPeer(peer.id, witnessMethod, encode(request),
             [this, vm = peer.id](const Completion<std::string> &outcome) {
                 ClaimMember member{ vm, {} };
                 bool accepted = false;
                 if (outcome.ok()) {
                     const auto reply
                         = kernel::capture([&] { return decodeWitnessReply(outcome.value()); });
                     accepted = reply.ok() && reply.value().accepted;
                     member.boot = reply.ok() ? reply.value().boot : std::string();
                 }
                 installed(member, accepted);
             });
}

void ClaimRange::installed(const ClaimMember &member, bool accepted)
{
    if (accepted)
        m_nextWitnesses.push_back(member);
    installNext();
}

void ClaimRange::failTaking(ClaimReplyKind kind, const kernel::VmId &owner)
{
    m_state = State::Idle;
    m_lastTakingAt = m_environment.scheduler->now();
    m_otherOwner = owner;
    m_forced = false;
    ++m_generation;
    m_writing = false;
    ClaimReply reply;
    reply.kind = kind;
    reply.owner = owner;
    const auto waiting = std::exchange(m_waiting, {});
    for (const Waiting &one : waiting)
        one.reply(reply);
    if (m_taken)
        std::exchange(m_taken, nullptr)();
}

void ClaimRange::activate(kernel::Revision revision)
{
    m_state = State::Active;
    m_forced = false;
    m_mayBeWritten = false;
    m_revision = revision;
    m_id = m_nextId;
    m_begunEpochs.insert(m_id.epoch);
    m_found.epoch = m_id.epoch;
    m_witnesses = m_nextWitnesses;
    m_dirty = false;
    for (const auto &[key, entry] : m_entries) {
        m_lastVersion = std::max(m_lastVersion, entry.version);
        // An earlier owner may have granted whatever it had.
        if (!m_wasActive)
            m_granted.insert(key);
    }
    m_wasActive = false;
    kernel::logEvent(kernel::EventId::ClaimRangeTaken, { { "range", m_range },
                                                         { "epoch", m_id.epoch },
                                                         { "witnesses", m_witnesses.size() },
                                                         { "claims", m_entries.size() } });
    const auto waiting = std::exchange(m_waiting, {});
    for (const Waiting &one : waiting)
        claim(one.ask, one.reply);
    if (m_taken)
        std::exchange(m_taken, nullptr)();
}

void ClaimRange::lose()
{
    const bool owned = m_state == State::Active;
    m_state = State::Idle;
    ++m_generation;
    m_writing = false;
    if (owned) {
        kernel::logEvent(kernel::EventId::ClaimRangeLost,
                         { { "range", m_range }, { "epoch", m_id.epoch } });
    }
    failGrants();
    failTaking(ClaimReplyKind::Unavailable, {});
}

std::optional<ClaimEntries> ClaimRange::deny(const EpochId &id)
{
    if (id == m_id) {
        m_wasActive = false;
        if (m_state == State::Active)
            lose();
        return m_entries;
    }
    if (id.ownerBoot != m_environment.boot || m_begunEpochs.contains(id.epoch))
        return std::nullopt;
    // This term is in the object but has granted nothing, and won't: the object has its claims.
    if (m_state == State::Taking && id == m_nextId)
        failTaking(ClaimReplyKind::Unavailable, {});
    return ClaimEntries{};
}

void ClaimRange::repair()
{
    const kernel::Duration sinceLast = m_environment.scheduler->now() - m_lastRepairAt;
    if (m_state == State::Idle && sinceLast >= m_options.repairPause)
        startTaking();
}

void ClaimRange::tick()
{
    forgetOld();
    if (m_state != State::Active || m_writing)
        return;
    const kernel::Instant now = m_environment.scheduler->now();
    const auto live = m_environment.peers.live();
    for (const wire::Peer &peer : live)
        m_lastLiveAt[peer.id] = now;
    const bool allLive = std::ranges::all_of(m_witnesses, [&](const ClaimMember &witness) {
        return now - m_lastLiveAt[witness.vm] < m_options.goneAfter;
    });
    const bool enough = m_witnesses.size() >= std::min(m_options.witnesses, live.size());
    const bool mayRepair = now - m_lastRepairAt >= m_options.repairPause;
    if ((!allLive || !enough || m_needsRepair) && mayRepair) {
        m_lastRepairAt = now;
        m_needsRepair = false;
        failGrants();
        m_state = State::Taking;
        m_wasActive = true;
        installAtWitnesses();
    } else if (m_dirty && now - m_lastWriteAt >= m_options.backupInterval) {
        writeObject();
    }
}

} // namespace acaciasail::ledger
