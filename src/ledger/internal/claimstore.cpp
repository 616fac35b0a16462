/// How a range's object is written, and how a write of unknown outcome is settled.

#include <utility>

#include "ledger/internal/claimrange.h"

namespace acaciasail::ledger {

using kernel::Completion;
using kernel::ResultCode;

namespace {

constexpr int maxWriteTries = 3;

} // namespace

RangeObject ClaimRange::currentObject() const
{
    const bool taking = m_state == State::Taking;
    RangeObject object;
    object.epoch = taking ? m_nextId.epoch : m_id.epoch;
    object.owner = { m_environment.peers.self.id, m_environment.boot };
    object.witnesses = taking ? m_nextWitnesses : m_witnesses;
    object.uncertainUntil = m_uncertainUntil;
    object.entries = m_entries;
    return object;
}

void ClaimRange::writeObject()
{
    if (m_writing)
        return;
    m_writing = true;
    m_dirty = false;
    m_writtenVersion = m_lastVersion;
    m_lastWriteAt = m_environment.scheduler->now();
    const std::string value = toJsonText(currentObject());
    auto callback = guarded<kernel::Revision>(
        [this](const Completion<kernel::Revision> &outcome) { takeWriteOutcome(outcome); });
    if (m_revision)
        m_environment.store.update(rangeKey(m_range), value, *m_revision, std::move(callback));
    else
        m_environment.store.create(rangeKey(m_range), value, std::move(callback));
}

void ClaimRange::takeWriteOutcome(const Completion<kernel::Revision> &outcome)
{
    if (outcome.ok()) {
        writeDone(outcome.value());
        return;
    }
    const ResultCode code = outcome.error().code;
    if (code == ResultCode::PlatformUnreachable || code == ResultCode::PlatformThrottled) {
        writeFailed(WriteFailure::NoEffect);
        return;
    }
    if (code == ResultCode::WriteOutcomeUnknown || code == ResultCode::PlatformProtocol)
        m_mayBeWritten = true;
    // Whether the object is this daemon's tells what became of the write.
    m_environment.store.read(
        rangeKey(m_range),
        guarded<externals::StoredObject>(
            [this](const Completion<externals::StoredObject> &read) { settleWrite(read); }));
}

void ClaimRange::settleWrite(const Completion<externals::StoredObject> &outcome)
{
    const bool absent = !outcome.ok() && outcome.error().code == ResultCode::ObjectNotFound;
    if (!outcome.ok() && !absent) {
        writeFailed(WriteFailure::Unsettled);
        return;
    }
    const EpochId writing = m_state == State::Taking ? m_nextId : m_id;
    bool own = false;
    if (!absent) {
        const auto object
            = kernel::capture([&] { return parseRangeObject(outcome.value().value); });
        own = object.ok() && object.value().id() == writing;
    }
    const bool unchanged = absent ? !m_revision : m_revision == outcome.value().revision;
    if (own && m_state == State::Taking) {
        writeDone(outcome.value().revision);
        return;
    }
    if (!own && !unchanged) {
        writeFailed(WriteFailure::Replaced);
        return;
    }
    if (++m_writeTries >= maxWriteTries) {
        writeFailed(WriteFailure::Unsettled);
        return;
    }
    // Only this daemon writes under its term: the object has this write or an earlier one of ours.
    if (!absent)
        m_revision = outcome.value().revision;
    m_writing = false;
    writeObject();
}

void ClaimRange::writeDone(kernel::Revision revision)
{
    m_writing = false;
    m_writeTries = 0;
    if (m_state == State::Taking) {
        activate(revision);
        return;
    }
    m_revision = revision;
    m_mayBeWritten = false;
    if (!m_witnesses.empty())
        return;
    std::vector<std::string> written;
    for (const auto &[key, grant] : m_grants) {
        if (grant.version <= m_writtenVersion)
            written.push_back(key);
    }
    for (const std::string &key : written) {
        const auto found = m_grants.find(key);
        const Grant grant = std::move(found->second);
        m_grants.erase(found);
        m_granted.insert(key);
        ClaimReply reply;
        reply.kind = ClaimReplyKind::Granted;
        for (const ClaimReplyHandler &handler : grant.replies)
            handler(reply);
    }
    if (!m_grants.empty())
        writeObject();
}

void ClaimRange::writeFailed(WriteFailure failure)
{
    m_writing = false;
    m_writeTries = 0;
    m_dirty = true;
    if (m_state == State::Active) {
        // Only this daemon writes under its term, so the term stands unless another's is there.
        if (failure == WriteFailure::Replaced)
            lose();
        else if (m_witnesses.empty())
            failGrants();
        return;
    }
    // With nothing written, the term before is still the one in the object.
    const bool goesOn = m_wasActive && failure == WriteFailure::NoEffect && !m_mayBeWritten;
    if (!goesOn) {
        m_mayBeWritten = false;
        failTaking(ClaimReplyKind::Unavailable, {});
        return;
    }
    m_state = State::Active;
    m_wasActive = false;
    const auto waiting = std::exchange(m_waiting, {});
    for (const Waiting &one : waiting)
        claim(one.ask, one.reply);
}

} // namespace acaciasail::ledger
