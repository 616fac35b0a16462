#include "peers/internal/disseminator.h"

#include <algorithm>

namespace acaciasail::peers {

namespace {

constexpr const char *pushMethod = "peers.push";

// Maximum size of the rows in one push; the remaining rows follow in the next one.
constexpr std::size_t maxPushRowBytes = 256U << 10U;

bool isEmpty(const proto::Push &push)
{
    return push.members().empty() && push.rows().empty() && push.topics().empty();
}

} // namespace

Disseminator::Disseminator(Node &node, RowSource rowSource, RowSink rowSink)
    : source(std::move(rowSource))
    , sink(std::move(rowSink))
    , m_node(node)
    , m_topicByteBudget(maxTopicBytes)
{
    m_node.serve<proto::Push>(pushMethod, [this](const proto::Push &push, const auto &reply) {
        std::vector<Member> members;
        for (const proto::Member &member : push.members())
            members.push_back(decode(member));
        std::vector<RowUpdate> rows;
        for (const proto::Row &row : push.rows())
            rows.push_back(decode(row));
        std::vector<std::pair<std::string, std::string>> topics;
        for (const proto::TopicState &topic : push.topics())
            topics.emplace_back(topic.name(), topic.state());
        receive(push.from(), members, rows, topics);
        reply(proto::Push());
    });
}

void Disseminator::addTopic(Topic topic)
{
    const std::string name = topic.name;
    m_topics[name] = std::move(topic);
    updateTopicHash(name);
}

void Disseminator::updateTopicHash(const std::string &name)
{
    m_topicHashes[name] = kernel::hash64(m_topics.at(name).snapshot());
}

void Disseminator::topicChanged(const std::string &name)
{
    if (m_topics.contains(name))
        markTopicDirty(name, {});
}

void Disseminator::markTopicDirty(const std::string &name, const std::string &from)
{
    updateTopicHash(name);
    // If the changes came from two daemons, the topic has to be sent to all neighbours.
    const auto [found, added] = m_dirtyTopics.try_emplace(name, from);
    if (!added && found->second != from)
        found->second.clear();
    scheduleFlush();
}

std::optional<std::string> Disseminator::topicState(const std::string &name) const
{
    const auto found = m_topics.find(name);
    if (found == m_topics.end())
        return std::nullopt;
    std::string state = found->second.snapshot();
    if (state.size() > maxTopicBytes)
        return std::nullopt;
    return state;
}

void Disseminator::disseminateRows(const std::vector<RowUpdate> &rows)
{
    for (const RowUpdate &row : rows)
        m_dirtyRows[row.key] = DirtyRow{ row, {} };
    if (!rows.empty())
        scheduleFlush();
}

void Disseminator::memberChanged(const Member &member)
{
    m_dirtyMembers[member.peer.id] = m_receivingFrom;
    scheduleFlush();
}

void Disseminator::receive(const std::string &from, const std::vector<Member> &members,
                           const std::vector<RowUpdate> &rows,
                           const std::vector<std::pair<std::string, std::string>> &topics)
{
    m_receivingFrom = from;
    for (const Member &member : members)
        m_node.members.apply(member, m_node.now());
    m_receivingFrom.clear();
    // Rows that a new daemon loads for the first time aren't new to the other daemons.
    const bool forwardRows = source.complete();
    std::size_t applied = 0;
    for (const RowUpdate &row : rows) {
        if (!sink.apply(row))
            continue;
        ++applied;
        if (forwardRows)
            m_dirtyRows[row.key] = DirtyRow{ row, from };
    }
    for (const auto &[name, state] : topics) {
        const auto topic = m_topics.find(name);
        if (topic != m_topics.end() && topic->second.merge(state))
            markTopicDirty(name, from);
    }
    if (applied == 0)
        return;
    scheduleFlush();
    if (onRowsFromPeers)
        onRowsFromPeers(applied);
}

void Disseminator::scheduleFlush()
{
    if (m_flushScheduled)
        return;
    m_flushScheduled = true;
    const kernel::Duration sinceLast = m_node.now() - m_lastFlush;
    const kernel::Duration wait
        = std::max(kernel::Duration::zero(), m_node.options.pushInterval - sinceLast);
    m_timer = kernel::Timer(m_node.scheduler, wait, [this] { flush(); });
}

/// Selects the dirty topics whose minimum interval has elapsed, as far as the byte budget allows.
std::set<std::string> Disseminator::selectTopics(std::size_t neighbours)
{
    const kernel::Instant now = m_node.now();
    const double rate = m_node.options.topicBytesPerSecond;
    m_topicByteBudget = std::min<double>(
        maxTopicBytes,
        m_topicByteBudget + kernel::toSeconds(now - m_topicByteBudgetUpdatedAt) * rate);
    m_topicByteBudgetUpdatedAt = now;
    std::set<std::string> names;
    std::vector<std::string> tooLarge;
    for (const auto &[name, from] : m_dirtyTopics) {
        const std::optional<std::string> state = topicState(name);
        if (!state) {
            tooLarge.push_back(name);
            continue;
        }
        const bool due = now - m_topicSentAt[name] >= m_node.options.topicInterval;
        if (!due || m_topicByteBudget <= 0)
            continue;
        // The budget may go below zero once, so that a large topic isn't delayed forever.
        m_topicByteBudget -= static_cast<double>(state->size() * neighbours);
        m_topicSentAt[name] = now;
        names.insert(name);
    }
    for (const std::string &name : tooLarge) {
        m_dirtyTopics.erase(name);
        kernel::logEvent(kernel::EventId::FindingsTooLarge, { { "topic", name } });
    }
    return names;
}

void Disseminator::flush()
{
    m_flushScheduled = false;
    m_lastFlush = m_node.now();
    const Neighbours neighbours = m_node.neighbours();
    std::vector<std::pair<Member, bool>> targets;
    if (neighbours.parent)
        targets.emplace_back(*neighbours.parent, false);
    for (const Member &child : neighbours.children)
        targets.emplace_back(child, false);
    for (const Member &remote : neighbours.remote)
        targets.emplace_back(remote, true);
    m_topicsToPush = selectTopics(targets.size());
    for (const auto &[target, remote] : targets) {
        const proto::Push push = pushFor(target, remote);
        if (!isEmpty(push))
            pushTo(target, push);
    }
    m_dirtyMembers.clear();
    std::size_t bytes = 0;
    std::erase_if(m_dirtyRows, [&bytes](const auto &item) {
        const bool sent = bytes < maxPushRowBytes;
        bytes += item.second.row.value.size();
        return sent;
    });
    for (const std::string &name : m_topicsToPush)
        m_dirtyTopics.erase(name);
    if (!m_dirtyRows.empty() || !m_dirtyTopics.empty())
        scheduleFlush();
}

proto::Push Disseminator::pushFor(const Member &neighbour, bool remote) const
{
    const std::string &to = neighbour.peer.id.str();
    proto::Push push;
    push.set_from(m_node.members.self().peer.id.str());
    for (const auto &[id, from] : m_dirtyMembers) {
        const Member *member = m_node.members.find(id);
        if (from != to && member != nullptr)
            encode(*member, *push.add_members());
    }
    for (const std::string &name : m_topicsToPush) {
        if (m_dirtyTopics.at(name) == to)
            continue;
        proto::TopicState *topic = push.add_topics();
        topic->set_name(name);
        topic->set_state(topicState(name).value_or(std::string()));
    }
    // Other data centres watch the store themselves; rows that they miss are repaired by the
    // comparison of digests.
    if (remote)
        return push;
    std::size_t bytes = 0;
    for (const auto &[key, dirty] : m_dirtyRows) {
        if (bytes >= maxPushRowBytes)
            break;
        bytes += dirty.row.value.size();
        if (dirty.from != to)
            encode(dirty.row, *push.add_rows());
    }
    return push;
}

void Disseminator::pushTo(const Member &neighbour, const proto::Push &push)
{
    const bool suspect = neighbour.state == MemberState::Suspect;
    if (suspect)
        bypass(neighbour, push);
    m_node.call<proto::Push>(
        neighbour.peer.endpoint, pushMethod, push, m_node.options.pushTimeout,
        [this, neighbour, push, suspect](const std::optional<proto::Push> &answer) {
            if (answer)
                return;
            // Possibly only the message was lost, and the neighbour still runs.
            sendOnce(neighbour.peer.endpoint, push);
            if (!suspect)
                bypass(neighbour, push);
        });
}

void Disseminator::sendOnce(const kernel::Endpoint &endpoint, const proto::Push &push)
{
    m_node.call<proto::Push>(endpoint, pushMethod, push, [](const std::optional<proto::Push> &) {});
}

/// Sends a push to the neighbours of a neighbour that is suspected or doesn't answer.
void Disseminator::bypass(const Member &neighbour, const proto::Push &push)
{
    const Neighbours beyond = neighboursOf(m_node.overlay(), neighbour.peer, m_node.options.fanOut);
    std::vector<Member> targets = beyond.children;
    targets.insert(targets.end(), beyond.remote.begin(), beyond.remote.end());
    if (beyond.parent)
        targets.push_back(*beyond.parent);
    for (const Member &target : targets) {
        if (target.peer.id != m_node.members.self().peer.id)
            sendOnce(target.peer.endpoint, push);
    }
}

void Disseminator::sendOwnRecord(const kernel::Endpoint &endpoint)
{
    proto::Push push;
    push.set_from(m_node.members.self().peer.id.str());
    encode(m_node.members.self(), *push.add_members());
    sendOnce(endpoint, push);
}

void Disseminator::sendRows(const kernel::Endpoint &endpoint, const std::vector<RowUpdate> &rows)
{
    proto::Push push;
    push.set_from(m_node.members.self().peer.id.str());
    for (const RowUpdate &row : rows)
        encode(row, *push.add_rows());
    sendOnce(endpoint, push);
}

} // namespace acaciasail::peers
