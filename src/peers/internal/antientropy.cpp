#include "peers/internal/antientropy.h"

#include <algorithm>
#include <unordered_map>

namespace acaciasail::peers {

namespace {

constexpr const char *digestMethod = "peers.digest";
constexpr const char *exchangeMethod = "peers.exchange";

// Maximum size of the rows in one answer; the requesting daemon requests the remaining rows with
// its next request.
constexpr std::size_t maxAnswerRowBytes = 256U << 10U;

// Maximum size of the keys and revisions in one request; further buckets follow in the next one.
constexpr std::size_t maxRequestKeyBytes = 128U << 10U;

// Delay before differing digests are compared again. Changes that are still being disseminated make
// digests differ for a moment; only a lasting difference is repaired.
constexpr kernel::Duration recheckDelay = std::chrono::milliseconds(400);

std::uint64_t combine(const std::vector<std::uint64_t> &hashes)
{
    std::uint64_t combined = 0;
    for (const std::uint64_t hash : hashes)
        combined = combined * 1099511628211U + hash;
    return combined;
}

kernel::Duration jittered(kernel::Duration interval, kernel::Random &random)
{
    const std::int64_t quarter = interval.count() / 4;
    const auto spread = kernel::uniformBelow(random, static_cast<std::uint64_t>(quarter) * 2);
    return kernel::Duration(interval.count() - quarter + static_cast<std::int64_t>(spread));
}

} // namespace

AntiEntropy::AntiEntropy(Node &node, Disseminator &disseminator)
    : m_node(node)
    , m_disseminator(disseminator)
{
    m_node.serve<proto::Digest>(
        digestMethod,
        [this](const proto::Digest &digest, const auto &reply) { reply(answerDigest(digest)); });
    m_node.serve<proto::Exchange>(exchangeMethod,
                                  [this](const proto::Exchange &request, const auto &reply) {
                                      reply(answerExchange(request));
                                  });
}

void AntiEntropy::start()
{
    m_parentComparisonTimer = kernel::Timer(
        m_node.scheduler, jittered(m_node.options.parentDigestInterval, m_node.random), [this] {
            start();
            compareWithParent();
        });
    if (m_randomComparisonScheduled)
        return;
    m_randomComparisonScheduled = true;
    m_randomComparisonTimer = kernel::Timer(
        m_node.scheduler, jittered(m_node.options.randomDigestInterval, m_node.random), [this] {
            m_randomComparisonScheduled = false;
            compareWithRandomMember();
        });
}

void AntiEntropy::watchHeard()
{
    m_currentAt = m_node.now();
}

std::optional<kernel::Duration> AntiEntropy::sinceHeard() const
{
    if (!m_currentAt)
        return std::nullopt;
    return m_node.now() - *m_currentAt;
}

std::uint64_t AntiEntropy::rowsHash() const
{
    return combine(m_disseminator.source.digest());
}

std::uint64_t AntiEntropy::topicsHash() const
{
    std::uint64_t combined = 0;
    for (const auto &[name, hash] : m_disseminator.topicHashes())
        combined ^= kernel::hash64(name, hash);
    return combined;
}

void AntiEntropy::compareWithParent()
{
    const Neighbours neighbours = m_node.neighbours();
    if (neighbours.parent) {
        sendDigest(neighbours.parent->peer.endpoint, false);
        return;
    }
    // A root compares digests with one daemon selected at random: another watcher of its data
    // centre or the root of another data centre.
    const wire::Peer &self = m_node.members.self().peer;
    const Overlay &overlay = m_node.overlay();
    std::vector<Member> others
        = watchersOf(overlay, self.dataCentre, m_node.options.watchersPerDataCentre);
    std::erase_if(others, [&](const Member &member) { return member.peer.id == self.id; });
    for (const kernel::DataCentreId &dataCentre : overlay.dataCentres) {
        if (dataCentre != self.dataCentre)
            others.push_back(overlay.ranked.at(dataCentre).front());
    }
    if (!others.empty())
        sendDigest(others[kernel::uniformBelow(m_node.random, others.size())].peer.endpoint, false);
}

void AntiEntropy::compareWithRandomMember()
{
    std::vector<Member> others;
    for (const Member &member : m_node.overlay().ranked.at(m_node.members.self().peer.dataCentre)) {
        if (member.state == MemberState::Alive && member.peer.id != m_node.members.self().peer.id)
            others.push_back(member);
    }
    if (!others.empty())
        sendDigest(others[kernel::uniformBelow(m_node.random, others.size())].peer.endpoint, false);
}

void AntiEntropy::compare(const kernel::Endpoint &endpoint)
{
    sendDigest(endpoint, true);
}

void AntiEntropy::sendDigest(const kernel::Endpoint &endpoint, bool detailed)
{
    proto::Digest digest;
    digest.set_from(m_node.members.self().peer.id.str());
    digest.set_members(m_node.members.digest());
    digest.set_rows(rowsHash());
    digest.set_topics(topicsHash());
    digest.set_complete(m_disseminator.source.complete());
    digest.set_detailed(detailed);
    const kernel::Instant askedAt = m_node.now();
    m_node.call<proto::DigestAnswer>(
        endpoint, digestMethod, digest,
        [this, endpoint, detailed, askedAt](const std::optional<proto::DigestAnswer> &answer) {
            if (answer)
                handleDigestAnswer(endpoint, detailed, askedAt, *answer);
        });
}

proto::DigestAnswer AntiEntropy::answerDigest(const proto::Digest &digest)
{
    proto::DigestAnswer answer;
    const Member &self = m_node.members.self();
    answer.set_id(self.peer.id.str());
    answer.set_members(m_node.members.digest());
    answer.set_rows(rowsHash());
    answer.set_topics(topicsHash());
    answer.set_complete(m_disseminator.source.complete());
    if (const std::optional<kernel::Duration> age = sinceHeard())
        answer.set_age_plus_one(static_cast<std::uint64_t>(age->count()) + 1);
    const Member *sender = m_node.members.find(kernel::VmId(digest.from()));
    if (sender != nullptr && sender->peer.dataCentre == self.peer.dataCentre) {
        for (const kernel::DataCentreId &dataCentre : m_node.unreachable)
            answer.add_unreachable(dataCentre.str());
    }
    if (!digest.detailed())
        return answer;
    if (digest.members() != answer.members()) {
        for (const std::uint64_t bucket : m_node.members.buckets())
            answer.add_member_buckets(bucket);
    }
    if (digest.rows() != answer.rows()) {
        for (const std::uint64_t bucket : m_disseminator.source.digest())
            answer.add_row_buckets(bucket);
    }
    if (digest.topics() != answer.topics()) {
        for (const auto &[name, hash] : m_disseminator.topicHashes()) {
            proto::TopicState *topic = answer.add_topic_hashes();
            topic->set_name(name);
            topic->set_hash(hash);
        }
    }
    return answer;
}

void AntiEntropy::handleDigestAnswer(const kernel::Endpoint &endpoint, bool detailed,
                                     kernel::Instant askedAt, const proto::DigestAnswer &answer)
{
    applyReachability(answer);
    const bool sameRows = answer.rows() == rowsHash();
    if (sameRows)
        updateCurrentAt(askedAt, answer);
    if (sameRows && answer.members() == m_node.members.digest() && answer.topics() == topicsHash())
        return;
    if (!detailed)
        scheduleRecheck(endpoint);
    else if (!m_exchangeInFlight)
        exchange(endpoint, answer);
}

void AntiEntropy::scheduleRecheck(const kernel::Endpoint &endpoint)
{
    if (m_recheckScheduled)
        return;
    m_recheckScheduled = true;
    m_recheckTimer = kernel::Timer(m_node.scheduler, recheckDelay, [this, endpoint] {
        m_recheckScheduled = false;
        sendDigest(kernel::Endpoint(endpoint), true);
    });
}

/// Updates the time at which this table was known to be current, after an answer with an equal
/// table. The other daemon's table was known to be current at some time before it answered. The
/// age in the answer is counted from the time of the request, so that network delay makes the
/// result older, not younger.
void AntiEntropy::updateCurrentAt(kernel::Instant askedAt, const proto::DigestAnswer &answer)
{
    if (answer.complete() && !m_disseminator.source.complete())
        m_disseminator.sink.markComplete();
    if (answer.age_plus_one() == 0 || !m_disseminator.source.complete())
        return;
    const kernel::Duration age(static_cast<std::int64_t>(answer.age_plus_one() - 1));
    const kernel::Instant currentAt = askedAt - age;
    if (!m_currentAt || currentAt > *m_currentAt)
        m_currentAt = currentAt;
}

/// Adopts the parent's set of unreachable data centres; answers from other daemons are ignored.
/// Only the root of a data centre probes the other data centres; its result is passed down the
/// tree.
void AntiEntropy::applyReachability(const proto::DigestAnswer &answer)
{
    const std::optional<Member> parent = m_node.neighbours().parent;
    if (!parent || parent->peer.id.str() != answer.id())
        return;
    std::set<kernel::DataCentreId> unreachable;
    for (const std::string &dataCentre : answer.unreachable())
        unreachable.insert(kernel::DataCentreId(dataCentre));
    const std::set<kernel::DataCentreId> before = m_node.unreachable;
    for (const kernel::DataCentreId &dataCentre : before) {
        if (!unreachable.contains(dataCentre))
            m_node.setReachable(dataCentre, true);
    }
    for (const kernel::DataCentreId &dataCentre : unreachable)
        m_node.setReachable(dataCentre, false);
}

void AntiEntropy::exchange(const kernel::Endpoint &endpoint, const proto::DigestAnswer &answer)
{
    proto::Exchange request;
    request.set_from(m_node.members.self().peer.id.str());
    const auto &memberBuckets = m_node.members.buckets();
    if (answer.member_buckets_size() == static_cast<int>(memberBuckets.size())) {
        for (std::size_t i = 0; i < memberBuckets.size(); ++i) {
            if (answer.member_buckets(static_cast<int>(i)) == memberBuckets.at(i))
                continue;
            request.add_member_buckets(static_cast<std::uint32_t>(i));
            for (const Member &member : m_node.members.bucket(i))
                encode(member, *request.add_members());
        }
    }
    std::vector<std::uint32_t> rowBuckets;
    const std::vector<std::uint64_t> ownHashes = m_disseminator.source.digest();
    if (answer.row_buckets_size() == static_cast<int>(ownHashes.size())) {
        for (std::size_t i = 0; i < ownHashes.size(); ++i) {
            if (answer.row_buckets(static_cast<int>(i)) != ownHashes[i])
                rowBuckets.push_back(static_cast<std::uint32_t>(i));
        }
    }
    for (const proto::TopicState &topic : answer.topic_hashes()) {
        const auto own = m_disseminator.topicHashes().find(topic.name());
        if (own == m_disseminator.topicHashes().end() || own->second == topic.hash())
            continue;
        if (const std::optional<std::string> state = m_disseminator.topicState(topic.name())) {
            proto::TopicState *sent = request.add_topics();
            sent->set_name(topic.name());
            sent->set_state(*state);
        }
    }
    sendExchange(endpoint, std::move(request), std::move(rowBuckets), answer.complete());
}

/// Adds buckets, with the keys and revisions of their rows, to a request up to its size limit.
/// Returns the remaining buckets.
std::vector<std::uint32_t> AntiEntropy::fillRowBuckets(std::vector<std::uint32_t> &rowBuckets,
                                                       proto::Exchange &request) const
{
    std::size_t bytes = 0;
    std::size_t taken = 0;
    for (; taken < rowBuckets.size() && bytes < maxRequestKeyBytes; ++taken) {
        request.add_row_buckets(rowBuckets[taken]);
        for (const RowUpdate &row : m_disseminator.source.rowsOfBucket(rowBuckets[taken])) {
            proto::RowHead *head = request.add_rows();
            head->set_key(row.key);
            head->set_revision(row.revision.count());
            bytes += row.key.size() + sizeof(std::int64_t);
        }
    }
    return { rowBuckets.begin() + static_cast<std::ptrdiff_t>(taken), rowBuckets.end() };
}

/// Sends an exchange request for the first of the buckets; requests for the others follow after its
/// answer. `remoteComplete` states that the other daemon's table is complete, so that this daemon's
/// table is complete once all differing buckets have been exchanged.
void AntiEntropy::sendExchange(const kernel::Endpoint &endpoint, proto::Exchange request,
                               std::vector<std::uint32_t> rowBuckets, bool remoteComplete)
{
    m_exchangeInFlight = true;
    const std::vector<std::uint32_t> remaining = fillRowBuckets(rowBuckets, request);
    m_node.call<proto::ExchangeAnswer>(endpoint, exchangeMethod, request,
                                       [this, endpoint, request, remaining, remoteComplete](
                                           const std::optional<proto::ExchangeAnswer> &answer) {
                                           m_exchangeInFlight = false;
                                           if (answer)
                                               handleExchangeAnswer(endpoint, request, remaining,
                                                                    remoteComplete, *answer);
                                       });
}

void AntiEntropy::handleExchangeAnswer(const kernel::Endpoint &endpoint,
                                       const proto::Exchange &request,
                                       std::vector<std::uint32_t> remainingBuckets,
                                       bool remoteComplete, const proto::ExchangeAnswer &answer)
{
    std::vector<Member> members;
    for (const proto::Member &member : answer.members())
        members.push_back(decode(member));
    std::vector<RowUpdate> rows;
    for (const proto::Row &row : answer.rows())
        rows.push_back(decode(row));
    std::vector<std::pair<std::string, std::string>> topics;
    for (const proto::TopicState &topic : answer.topics())
        topics.emplace_back(topic.name(), topic.state());
    m_disseminator.receive({}, members, rows, topics);
    sendRequestedRows(endpoint, request, answer);
    std::vector<std::uint32_t> buckets;
    if (answer.more()) {
        for (auto i = static_cast<int>(answer.row_buckets_done()); i < request.row_buckets_size();
             ++i)
            buckets.push_back(request.row_buckets(i));
    }
    buckets.insert(buckets.end(), remainingBuckets.begin(), remainingBuckets.end());
    if (!buckets.empty()) {
        proto::Exchange rest;
        rest.set_from(request.from());
        sendExchange(endpoint, std::move(rest), std::move(buckets), remoteComplete);
    } else if (remoteComplete && answer.complete() && !m_disseminator.source.complete()) {
        m_disseminator.sink.markComplete();
    }
}

void AntiEntropy::sendRequestedRows(const kernel::Endpoint &endpoint,
                                    const proto::Exchange &request,
                                    const proto::ExchangeAnswer &answer)
{
    const std::set<std::string> wanted(answer.wanted().begin(), answer.wanted().end());
    if (wanted.empty())
        return;
    std::vector<RowUpdate> rows;
    std::size_t bytes = 0;
    for (const std::uint32_t bucket : request.row_buckets()) {
        for (RowUpdate &row : m_disseminator.source.rowsOfBucket(bucket)) {
            if (!wanted.contains(row.key) || bytes >= maxAnswerRowBytes)
                continue;
            bytes += row.key.size() + row.value.size();
            rows.push_back(std::move(row));
        }
    }
    m_disseminator.sendRows(endpoint, rows);
}

proto::ExchangeAnswer AntiEntropy::answerExchange(const proto::Exchange &request)
{
    proto::ExchangeAnswer answer;
    answer.set_complete(m_disseminator.source.complete());
    for (const std::uint32_t bucket : request.member_buckets()) {
        if (bucket >= memberBucketCount)
            continue;
        for (const Member &member : m_node.members.bucket(bucket))
            encode(member, *answer.add_members());
    }
    answerRows(request, answer);
    std::vector<Member> members;
    for (const proto::Member &member : request.members())
        members.push_back(decode(member));
    std::vector<std::pair<std::string, std::string>> topics;
    for (const proto::TopicState &topic : request.topics()) {
        topics.emplace_back(topic.name(), topic.state());
        if (const std::optional<std::string> state = m_disseminator.topicState(topic.name())) {
            proto::TopicState *sent = answer.add_topics();
            sent->set_name(topic.name());
            sent->set_state(*state);
        }
    }
    m_disseminator.receive({}, members, {}, topics);
    return answer;
}

void AntiEntropy::answerRows(const proto::Exchange &request, proto::ExchangeAnswer &answer) const
{
    std::unordered_map<std::string, std::int64_t> remoteRevisions;
    for (const proto::RowHead &head : request.rows())
        remoteRevisions[head.key()] = head.revision();
    const std::size_t bucketCount = m_disseminator.source.digest().size();
    std::size_t bytes = 0;
    std::uint32_t done = 0;
    for (const std::uint32_t bucket : request.row_buckets()) {
        if (bucket >= bucketCount)
            break;
        for (const RowUpdate &row : m_disseminator.source.rowsOfBucket(bucket)) {
            const auto head = remoteRevisions.find(row.key);
            const std::int64_t remoteRevision = head == remoteRevisions.end() ? -1 : head->second;
            if (head != remoteRevisions.end())
                remoteRevisions.erase(head);
            if (remoteRevision > row.revision.count())
                answer.add_wanted(row.key);
            if (remoteRevision >= row.revision.count())
                continue;
            if (bytes >= maxAnswerRowBytes) {
                answer.set_more(true);
                answer.set_row_buckets_done(done);
                return;
            }
            bytes += row.key.size() + row.value.size();
            encode(row, *answer.add_rows());
        }
        ++done;
    }
    answer.set_row_buckets_done(done);
    // This daemon doesn't have the remaining rows.
    for (const auto &[key, revision] : remoteRevisions)
        answer.add_wanted(key);
}

} // namespace acaciasail::peers
