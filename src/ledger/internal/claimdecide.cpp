/// How an owner decides on claims, and how claims get to the witnesses.

#include <algorithm>
#include <utility>

#include "ledger/internal/claimrange.h"

namespace acaciasail::ledger {

namespace {

ClaimReply makeReply(ClaimReplyKind kind)
{
    ClaimReply reply;
    reply.kind = kind;
    return reply;
}

} // namespace

void ClaimRange::claim(const ClaimEntry &ask, ClaimReplyHandler reply)
{
    if (m_state == State::Active) {
        decide(ask, reply);
        return;
    }
    // Each try reads the store, so claims that come in a row share one.
    const bool triedJustNow
        = m_environment.scheduler->now() - m_lastTakingAt < m_options.takingPause;
    if (m_state == State::Idle && triedJustNow) {
        ClaimReply answer = makeReply(m_otherOwner.empty() ? ClaimReplyKind::Unavailable
                                                           : ClaimReplyKind::NotOwner);
        answer.owner = m_otherOwner;
        reply(answer);
        return;
    }
    m_waiting.push_back({ ask, std::move(reply) });
    if (m_state == State::Idle)
        startTaking();
}

void ClaimRange::decide(const ClaimEntry &ask, const ClaimReplyHandler &reply)
{
    const auto found = m_entries.find(ask.key);
    if (found == m_entries.end()) {
        if (m_environment.scheduler->wallNow() < m_uncertainUntil)
            reply(makeReply(ClaimReplyKind::Unknown));
        else if (m_entries.size() >= m_options.maxEntries)
            reply(makeReply(ClaimReplyKind::Unavailable));
        else
            grant(ask, reply);
        return;
    }
    const ClaimEntry &entry = found->second;
    const auto pending = m_grants.find(ask.key);
    const bool own = entry.claimant == ask.claimant;
    const bool isPending = pending != m_grants.end();
    const bool neverGranted = !isPending && !m_granted.contains(ask.key);
    const bool sameRequest = entry.fingerprint == ask.fingerprint;
    if (entry.state == ClaimState::Free || (sameRequest && neverGranted))
        grant(ask, reply);
    else if (!sameRequest)
        reply(makeReply(ClaimReplyKind::KeyReused));
    else if (isPending && own)
        pending->second.replies.push_back(reply);
    else if (own && entry.state == ClaimState::Held)
        reply(makeReply(ClaimReplyKind::Granted));
    else
        reply(replyFor(entry));
}

ClaimReply ClaimRange::replyFor(const ClaimEntry &entry) const
{
    if (entry.state == ClaimState::Done && entry.answer.status != 0) {
        ClaimReply reply = makeReply(ClaimReplyKind::Answered);
        reply.answer = entry.answer;
        return reply;
    }
    const auto live = m_environment.peers.live();
    const bool runnerLives
        = entry.runner == m_environment.peers.self.id
          || std::ranges::find(live, entry.runner, &wire::Peer::id) != live.end();
    const bool young = m_environment.scheduler->wallNow() - entry.at < m_options.runLimit;
    return makeReply(entry.state == ClaimState::Held && runnerLives && young
                         ? ClaimReplyKind::Running
                         : ClaimReplyKind::Unknown);
}

void ClaimRange::grant(const ClaimEntry &ask, const ClaimReplyHandler &reply)
{
    ClaimEntry entry = ask;
    entry.version = ++m_lastVersion;
    entry.state = ClaimState::Held;
    entry.at = m_environment.scheduler->wallNow();
    entry.answer = {};
    m_granted.erase(ask.key);
    m_entries.insert_or_assign(ask.key, entry);
    Grant grant;
    grant.version = entry.version;
    grant.missing = m_witnesses.size();
    grant.replies.push_back(reply);
    m_grants.insert_or_assign(ask.key, std::move(grant));
    m_dirty = true;
    if (m_witnesses.empty())
        writeObject();
    else
        sendToWitnesses(entry, true);
}

void ClaimRange::sendToWitnesses(const ClaimEntry &entry, bool isGrant)
{
    for (const ClaimMember &witness : m_witnesses) {
        WitnessRequest request;
        request.range = m_range;
        request.id = m_id;
        request.owner = m_environment.peers.self.id;
        request.witnessBoot = witness.boot;
        request.entries.emplace(entry.key, entry);
        callPeer(witness.vm, witnessMethod, encode(request),
                 [this, key = entry.key, version = entry.version, isGrant,
                  boot = witness.boot](const kernel::Completion<std::string> &outcome) {
                     if (!isGrant)
                         return;
                     bool accepted = false;
                     if (outcome.ok()) {
                         const auto reply
                             = kernel::capture([&] { return decodeWitnessReply(outcome.value()); });
                         accepted
                             = reply.ok() && reply.value().accepted && reply.value().boot == boot;
                     }
                     witnessAnswered(key, version, accepted);
                 });
    }
}

void ClaimRange::witnessAnswered(const std::string &key, std::uint64_t version, bool accepted)
{
    const auto found = m_grants.find(key);
    if (found == m_grants.end() || found->second.version != version)
        return;
    if (!accepted) {
        failGrant(key);
        m_needsRepair = true;
        return;
    }
    if (--found->second.missing > 0)
        return;
    const Grant grant = std::move(found->second);
    m_grants.erase(found);
    m_granted.insert(key);
    for (const ClaimReplyHandler &reply : grant.replies)
        reply(makeReply(ClaimReplyKind::Granted));
}

void ClaimRange::failGrant(const std::string &key)
{
    const auto found = m_grants.find(key);
    if (found == m_grants.end())
        return;
    const Grant grant = std::move(found->second);
    m_grants.erase(found);
    for (const ClaimReplyHandler &reply : grant.replies)
        reply(makeReply(ClaimReplyKind::Unavailable));
}

void ClaimRange::failGrants()
{
    while (!m_grants.empty())
        failGrant(std::string(m_grants.begin()->first));
}

void ClaimRange::update(const ClaimEntry &ask, const ClaimReplyHandler &reply)
{
    if (m_state != State::Active) {
        reply(makeReply(ClaimReplyKind::Unavailable));
        return;
    }
    const auto found = m_entries.find(ask.key);
    const bool known = found != m_entries.end() && found->second.claimant == ask.claimant
                       && found->second.state == ClaimState::Held && !m_grants.contains(ask.key);
    if (known) {
        ClaimEntry &entry = found->second;
        entry.version = ++m_lastVersion;
        entry.state = ask.state;
        if (ask.answer.body.size() <= m_options.maxAnswerBytes)
            entry.answer = ask.answer;
        m_dirty = true;
        sendToWitnesses(entry, false);
        dropAnswers();
    }
    reply(makeReply(ClaimReplyKind::Updated));
}

void ClaimRange::dropAnswers()
{
    std::size_t bytes = 0;
    for (const auto &[key, entry] : m_entries)
        bytes += entry.answer.body.size();
    while (bytes > m_options.maxAnswersBytes) {
        auto oldest = m_entries.end();
        for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
            const bool older
                = oldest == m_entries.end() || entry->second.version < oldest->second.version;
            if (!entry->second.answer.body.empty() && older)
                oldest = entry;
        }
        if (oldest == m_entries.end())
            return;
        bytes -= oldest->second.answer.body.size();
        oldest->second.answer = {};
    }
}

void ClaimRange::forgetOld()
{
    const kernel::WallTime before = m_environment.scheduler->wallNow() - m_options.retention;
    std::erase_if(m_entries, [this, before](const auto &entry) {
        if (entry.second.at >= before || m_grants.contains(entry.first))
            return false;
        m_granted.erase(entry.first);
        return true;
    });
}

} // namespace acaciasail::ledger
