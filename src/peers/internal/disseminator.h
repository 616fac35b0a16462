#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "peers/internal/node.h"
#include "peers/internal/rows.h"
#include "peers/internal/topic.h"

namespace acaciasail::peers {

/// Disseminates changes along the tree: rows within the data centre, members and topics to all
/// daemons.
///
/// Each daemon forwards a change that was new to it to all its neighbours except the one that sent
/// the change, so a change crosses each edge of the tree once. A neighbour that doesn't answer is
/// bypassed: the changes are also sent to its own neighbours. Changes that are lost nevertheless
/// are repaired by the comparison of digests.
class Disseminator
{
public:
    Disseminator(Node &node, RowSource source, RowSink sink);

    void addTopic(Topic topic);
    /// Schedules a push of a topic whose owner changed its state.
    void topicChanged(const std::string &name);
    /// Schedules a push of rows that changed in this daemon's watch of the store and have already
    /// been applied.
    void disseminateRows(const std::vector<RowUpdate> &rows);
    /// Schedules a push of a member whose record changed.
    void memberChanged(const Member &member);

    /// Merges the rows, members and topics from a peer, and forwards those that were new.
    void receive(const std::string &from, const std::vector<Member> &members,
                 const std::vector<RowUpdate> &rows,
                 const std::vector<std::pair<std::string, std::string>> &topics);

    /// Sends this daemon's own record to an address.
    void sendOwnRecord(const kernel::Endpoint &endpoint);
    /// Sends rows to one peer, for repair.
    void sendRows(const kernel::Endpoint &endpoint, const std::vector<RowUpdate> &rows);

    /// Returns the hash of each topic's state, by name.
    const std::map<std::string, std::uint64_t> &topicHashes() const { return m_topicHashes; }
    /// Returns the state of a topic; nullopt if the topic is unknown or its state is too large.
    std::optional<std::string> topicState(const std::string &name) const;

    RowSource source;
    RowSink sink;
    /// Called once for each batch of rows from peers that changed the table.
    std::function<void(std::size_t rows)> onRowsFromPeers;

private:
    struct DirtyRow
    {
        RowUpdate row;
        std::string from;
    };

    void scheduleFlush();
    void flush();
    proto::Push pushFor(const Member &neighbour, bool remote) const;
    void pushTo(const Member &neighbour, const proto::Push &push);
    void sendOnce(const kernel::Endpoint &endpoint, const proto::Push &push);
    void bypass(const Member &neighbour, const proto::Push &push);
    std::set<std::string> selectTopics(std::size_t neighbours);
    void updateTopicHash(const std::string &name);
    void markTopicDirty(const std::string &name, const std::string &from);

    Node &m_node;
    std::map<std::string, Topic> m_topics;
    std::map<std::string, std::uint64_t> m_topicHashes;
    std::map<std::string, kernel::Instant> m_topicSentAt;
    /// Members, rows and topics that wait to be pushed, each with the id of the daemon that sent
    /// the change; empty for a change by this daemon.
    std::map<kernel::VmId, std::string> m_dirtyMembers;
    std::map<std::string, DirtyRow> m_dirtyRows;
    std::map<std::string, std::string> m_dirtyTopics;
    std::set<std::string> m_topicsToPush;
    std::string m_receivingFrom;
    kernel::Instant m_lastFlush{};
    bool m_flushScheduled = false;
    double m_topicByteBudget;
    kernel::Instant m_topicByteBudgetUpdatedAt{};
    kernel::Timer m_timer;
};

} // namespace acaciasail::peers
