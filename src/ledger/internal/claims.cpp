#include "ledger/internal/claims.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace acaciasail::ledger {

using kernel::Completion;
using kernel::ResultCode;

namespace {

constexpr kernel::Duration tickInterval = std::chrono::seconds(1);
/// Pause before the second try; it doubles with each further one.
constexpr kernel::Duration firstPause = std::chrono::milliseconds(25);
constexpr int maxDoublings = 4;
/// Longest that an owner is told of a claim's end.
constexpr kernel::Duration updateTimeout = std::chrono::seconds(30);

/// Hides workspace, caller and key, and gives all keys one length.
std::string claimKey(const ClaimRequest &request)
{
    constexpr std::size_t keyLength = 32;
    const std::string text
        = request.workspace.str() + "\n" + request.caller.str() + "\n" + request.key.str();
    return kernel::sha256Hex(text).substr(0, keyLength);
}

ClaimOutcome toOutcome(ClaimReplyKind kind)
{
    switch (kind) {
    case ClaimReplyKind::Granted:
        return ClaimOutcome::Granted;
    case ClaimReplyKind::Running:
        return ClaimOutcome::Running;
    case ClaimReplyKind::Answered:
        return ClaimOutcome::Answered;
    case ClaimReplyKind::KeyReused:
        return ClaimOutcome::KeyReused;
    default:
        return ClaimOutcome::Unknown;
    }
}

} // namespace

Claims::Claims(const LedgerEnvironment &environment, const ClaimOptions &options)
    : m_environment(environment)
    , m_options(options)
    , m_lastSearchAt(environment.scheduler->now())
{
    handleMessages();
    m_timer = kernel::Timer(*m_environment.scheduler, tickInterval, [this] { tick(); });
}

Claims::~Claims()
{
    const auto refuse
        = [](const kernel::Endpoint &, const wire::Message &, const wire::Reply &reply) {
              reply(kernel::Error{ ResultCode::Draining, "the ledger has ended" });
          };
    for (const char *method :
         { claimMethod, claimUpdateMethod, witnessMethod, denyMethod, takeMethod })
        m_environment.transport.handle(method, refuse);
}

std::size_t Claims::ownedRanges() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_ranges, [](const auto &entry) { return entry.second->active(); }));
}

ClaimRange &Claims::range(int number)
{
    auto &range = m_ranges[number];
    if (!range)
        range = std::make_unique<ClaimRange>(m_environment, m_options, m_witnessBook, number);
    return *range;
}

void Claims::claim(const ClaimRequest &request, kernel::Callback<ClaimResult> callback)
{
    ++m_counters.asked;
    auto question = std::make_shared<Question>();
    ClaimEntry &entry = question->ask.entry;
    entry.key = claimKey(request);
    entry.fingerprint = kernel::sha256Hex(request.fingerprint);
    entry.claimant = m_environment.boot + "/" + std::to_string(++m_lastClaimant);
    entry.runner = m_environment.peers.self.id;
    question->ask.range = static_cast<int>(kernel::hash64(entry.key)
                                           % static_cast<std::uint64_t>(m_options.ranges));
    question->deadline = m_environment.scheduler->now() + m_options.claimTimeout;
    const ClaimHandle handle{ question->ask.range, entry.key, entry.claimant };
    question->callback = [this, handle, request = request.request,
                          callback = std::move(callback)](const Completion<ClaimReply> &reply) {
        if (!reply.ok()) {
            ++m_counters.refused;
            kernel::logEvent(kernel::EventId::ClaimRefused,
                             { { "request", request }, { "reason", reply.error().message } });
            callback(reply.error());
            return;
        }
        const ClaimOutcome outcome = toOutcome(reply.value().kind);
        if (outcome == ClaimOutcome::Granted) {
            ++m_counters.granted;
            kernel::logEvent(kernel::EventId::ClaimGranted,
                             { { "request", request }, { "range", handle.range } });
        }
        callback(ClaimResult{ outcome, handle, reply.value().answer });
    };
    step(question);
}

void Claims::complete(const ClaimHandle &handle, HeldAnswer answer)
{
    finish(handle, ClaimState::Done, std::move(answer));
}

void Claims::release(const ClaimHandle &handle)
{
    finish(handle, ClaimState::Free, {});
}

void Claims::abandon(const ClaimHandle &handle)
{
    finish(handle, ClaimState::Unknown, {});
}

void Claims::finish(const ClaimHandle &handle, ClaimState state, HeldAnswer answer)
{
    auto question = std::make_shared<Question>();
    question->isUpdate = true;
    question->ask.range = handle.range;
    ClaimEntry &entry = question->ask.entry;
    entry.key = handle.key;
    entry.claimant = handle.claimant;
    entry.state = state;
    if (answer.body.size() <= m_options.maxAnswerBytes)
        entry.answer = std::move(answer);
    question->deadline = m_environment.scheduler->now() + updateTimeout;
    question->callback = [](const Completion<ClaimReply> &) {};
    step(question);
}

kernel::VmId Claims::preferredOwner(int range, const std::set<kernel::VmId> &without,
                                    bool withSelf) const
{
    kernel::VmId best;
    std::uint64_t bestScore = 0;
    const std::string key = rangeKey(range);
    const auto consider = [&](const kernel::VmId &vm) {
        const std::uint64_t score = kernel::rendezvousScore(key, vm.str());
        if (!without.contains(vm) && (best.empty() || score > bestScore)) {
            best = vm;
            bestScore = score;
        }
    };
    for (const wire::Peer &peer : m_environment.peers.live())
        consider(peer.id);
    if (withSelf)
        consider(m_environment.peers.self.id);
    return best;
}

kernel::VmId Claims::chooseTarget(const Question &question) const
{
    const auto owner = m_owners.find(question.ask.range);
    if (owner != m_owners.end() && !question.unreachable.contains(owner->second))
        return owner->second;
    return preferredOwner(question.ask.range, question.unreachable, true);
}

void Claims::step(const QuestionPtr &question)
{
    if (m_environment.scheduler->now() > question->deadline) {
        giveUp(question, ResultCode::ClaimUnavailable);
        return;
    }
    question->target = chooseTarget(*question);
    const bool local = question->target == m_environment.peers.self.id;
    const auto handler = [this, question, alive = std::weak_ptr(m_alive)](const ClaimReply &reply) {
        if (!alive.expired())
            answered(question, reply);
    };
    if (local && question->isUpdate) {
        range(question->ask.range).update(question->ask.entry, handler);
        return;
    }
    if (local) {
        range(question->ask.range).claim(question->ask.entry, handler);
        return;
    }
    const auto live = m_environment.peers.live();
    const auto peer = std::ranges::find(live, question->target, &wire::Peer::id);
    if (peer == live.end()) {
        unreachable(question);
        return;
    }
    const char *method = question->isUpdate ? claimUpdateMethod : claimMethod;
    m_environment.transport.call(
        peer->endpoint, { method, encode(question->ask) }, m_options.peerTimeout * 2,
        [this, question, handler,
         alive = std::weak_ptr(m_alive)](const Completion<std::string> &outcome) {
            if (alive.expired())
                return;
            const auto reply = kernel::capture([&]() -> kernel::Result<ClaimReply> {
                if (!outcome.ok())
                    return kernel::fail(outcome.error().code, outcome.error().message);
                return decodeClaimReply(outcome.value());
            });
            if (reply.ok())
                handler(reply.value());
            else
                unreachable(question);
        });
}

void Claims::stepLater(const QuestionPtr &question)
{
    const kernel::Duration pause = firstPause * (1U << std::min(question->tries++, maxDoublings));
    m_environment.scheduler->startTimer(pause, [this, question, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            step(question);
    });
}

void Claims::unreachable(const QuestionPtr &question)
{
    question->unreachable.insert(question->target);
    m_owners.erase(question->ask.range);
    stepLater(question);
}

void Claims::answered(const QuestionPtr &question, const ClaimReply &reply)
{
    const int range = question->ask.range;
    switch (reply.kind) {
    case ClaimReplyKind::NotOwner:
        if (question->unreachable.contains(reply.owner)) {
            giveUp(question, ResultCode::ClaimHeldElsewhere);
            return;
        }
        m_owners[range] = reply.owner;
        if (question->tries++ == 0)
            step(question);
        else
            stepLater(question);
        return;
    case ClaimReplyKind::Unavailable:
        m_owners.erase(range);
        stepLater(question);
        return;
    default:
        m_owners[range] = question->target;
        question->callback(reply);
        return;
    }
}

void Claims::giveUp(const QuestionPtr &question, ResultCode code)
{
    if (!question->isUpdate) {
        // The claim may have been granted without a word; nobody will use it.
        const ClaimEntry &entry = question->ask.entry;
        release({ question->ask.range, entry.key, entry.claimant });
    }
    question->callback(kernel::Error{ code, "the claim could not be made" });
}

void Claims::handleMessages()
{
    const wire::Transport &transport = m_environment.transport;
    transport.handle(claimMethod,
                     [this](const kernel::Endpoint &, const wire::Message &message,
                            const wire::Reply &reply) { handleClaim(message, reply, false); });
    transport.handle(claimUpdateMethod,
                     [this](const kernel::Endpoint &, const wire::Message &message,
                            const wire::Reply &reply) { handleClaim(message, reply, true); });
    transport.handle(witnessMethod, [this](const kernel::Endpoint &, const wire::Message &message,
                                           const wire::Reply &reply) {
        const auto request = kernel::capture([&] { return decodeWitnessRequest(message.payload); });
        reply(request.ok() ? Completion<std::string>(handleWitness(request.value()))
                           : Completion<std::string>(request.error()));
    });
    transport.handle(denyMethod, [this](const kernel::Endpoint &, const wire::Message &message,
                                        const wire::Reply &reply) {
        const auto request = kernel::capture([&] { return decodeDenyRequest(message.payload); });
        reply(request.ok() ? Completion<std::string>(handleDeny(request.value()))
                           : Completion<std::string>(request.error()));
    });
    transport.handle(takeMethod, [this](const kernel::Endpoint &, const wire::Message &message,
                                        const wire::Reply &reply) {
        const auto ask = kernel::capture([&] { return decodeClaimAsk(message.payload); });
        if (!ask.ok())
            reply(ask.error());
        else
            range(ask.value().range).takeOver([reply] { reply(std::string()); });
    });
}

void Claims::handleClaim(const wire::Message &message, const wire::Reply &reply, bool isUpdate)
{
    const auto ask = kernel::capture([&] { return decodeClaimAsk(message.payload); });
    if (!ask.ok()) {
        reply(ask.error());
        return;
    }
    const ClaimReplyHandler handler = [reply](const ClaimReply &answer) { reply(encode(answer)); };
    if (isUpdate)
        range(ask.value().range).update(ask.value().entry, handler);
    else
        range(ask.value().range).claim(ask.value().entry, handler);
}

std::string Claims::handleWitness(const WitnessRequest &request)
{
    WitnessReply reply;
    reply.boot = m_environment.boot;
    const bool forThisProcess
        = request.witnessBoot.empty() ? request.install : request.witnessBoot == m_environment.boot;
    reply.accepted = forThisProcess && takeClaims(m_witnessBook, request);
    return encode(reply);
}

std::string Claims::handleDeny(const DenyRequest &request)
{
    DenyReply reply;
    reply.boot = m_environment.boot;
    if (auto entries = denyTerm(m_witnessBook, request)) {
        reply.intact = true;
        reply.entries = std::move(*entries);
    }
    if (auto entries = range(request.range).deny(request.id)) {
        reply.intact = true;
        mergeEntries(reply.entries, *entries);
    }
    return encode(reply);
}

void Claims::tick()
{
    m_timer = kernel::Timer(*m_environment.scheduler, tickInterval, [this] { tick(); });
    for (const wire::Peer &peer : m_environment.peers.live())
        m_lastLiveAt[peer.id] = m_environment.scheduler->now();
    for (auto &[number, range] : m_ranges)
        range->tick();
    repairWitnessed();
    beginRanges();
    forgetClaims(m_witnessBook, m_environment.scheduler->wallNow() - m_options.retention);
}

void Claims::repairWitnessed()
{
    const kernel::Instant now = m_environment.scheduler->now();
    std::set<int> orphaned;
    for (const auto &[number, witnessed] : m_witnessBook.ranges) {
        if (witnessed.terms.empty())
            continue;
        const auto &[id, term] = *witnessed.terms.rbegin();
        // The witnesses don't all come forward at the same time.
        const std::uint64_t turn
            = kernel::rendezvousScore(rangeKey(number), m_environment.peers.self.id.str()) % 5;
        const auto patience
            = m_options.goneAfter + std::chrono::seconds(static_cast<std::int64_t>(turn));
        const auto lastLive = m_lastLiveAt.find(term.owner);
        const bool ownerGone = lastLive == m_lastLiveAt.end() || now - lastLive->second > patience;
        if (ownerGone && term.owner != m_environment.peers.self.id
            && id.epoch > witnessed.closedEpoch)
            orphaned.insert(number);
    }
    for (const int number : orphaned)
        range(number).repair();
}

/// Looks at the ranges that would best be this daemon's, so that each has an owner before the first
/// claim, and before the store may fail.
void Claims::beginRanges()
{
    const kernel::Instant now = m_environment.scheduler->now();
    if (now - m_lastSearchAt < m_options.searchInterval)
        return;
    m_lastSearchAt = now;
    for (int number = 0; number < m_options.ranges; ++number) {
        if (preferredOwner(number, {}, true) != m_environment.peers.self.id)
            continue;
        ClaimRange &own = range(number);
        if (!own.active() && own.otherOwner().empty())
            own.repair();
    }
}

void Claims::handOver(kernel::Callback<kernel::Done> callback)
{
    auto open = std::make_shared<std::size_t>(1);
    const auto one = [open, callback = std::move(callback)] {
        if (--*open == 0)
            callback(kernel::Done{});
    };
    const auto live = m_environment.peers.live();
    for (const auto &[number, owned] : m_ranges) {
        const kernel::VmId heir = preferredOwner(number, {}, false);
        const auto peer = std::ranges::find(live, heir, &wire::Peer::id);
        if (!owned->active() || peer == live.end())
            continue;
        ++*open;
        ClaimAsk ask;
        ask.range = number;
        m_environment.transport.call(peer->endpoint, { takeMethod, encode(ask) },
                                     m_options.claimTimeout,
                                     [one](const Completion<std::string> &) { one(); });
    }
    one();
}

} // namespace acaciasail::ledger
