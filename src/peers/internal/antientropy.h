#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "peers/internal/disseminator.h"
#include "peers/internal/node.h"

namespace acaciasail::peers {

/// Anti-entropy: compares digests with other daemons and repairs differences in both directions.
///
/// Each second, a daemon compares its digests with those of its parent in the tree, and a root with
/// those of another watcher of its data centre or of the root of another data centre. The
/// comparison also shows since when the table is known to be current: if both tables are equal,
/// this table is as current as the other daemon's, whose age is counted from before the request was
/// sent.
class AntiEntropy
{
public:
    AntiEntropy(Node &node, Disseminator &disseminator);

    void start();
    /// Compares digests with the daemon at an address, and repairs differences at once.
    void compare(const kernel::Endpoint &endpoint);

    /// Records that this daemon's own watch shows that the table is current now.
    void watchHeard();
    /// Returns the time since the table was last known to be current; nullopt if never.
    std::optional<kernel::Duration> sinceHeard() const;

    /// Returns the hash of the complete table.
    std::uint64_t rowsHash() const;

private:
    void compareWithParent();
    void compareWithRandomMember();
    void sendDigest(const kernel::Endpoint &endpoint, bool detailed);
    void handleDigestAnswer(const kernel::Endpoint &endpoint, bool detailed,
                            kernel::Instant askedAt, const proto::DigestAnswer &answer);
    void updateCurrentAt(kernel::Instant askedAt, const proto::DigestAnswer &answer);
    void applyReachability(const proto::DigestAnswer &answer);
    void scheduleRecheck(const kernel::Endpoint &endpoint);
    void exchange(const kernel::Endpoint &endpoint, const proto::DigestAnswer &answer);
    void sendExchange(const kernel::Endpoint &endpoint, proto::Exchange request,
                      std::vector<std::uint32_t> rowBuckets, bool remoteComplete);
    std::vector<std::uint32_t> fillRowBuckets(std::vector<std::uint32_t> &rowBuckets,
                                              proto::Exchange &request) const;
    void handleExchangeAnswer(const kernel::Endpoint &endpoint, const proto::Exchange &request,
                              std::vector<std::uint32_t> remainingBuckets, bool remoteComplete,
                              const proto::ExchangeAnswer &answer);
    void sendRequestedRows(const kernel::Endpoint &endpoint, const proto::Exchange &request,
                           const proto::ExchangeAnswer &answer);

    proto::DigestAnswer answerDigest(const proto::Digest &digest);
    proto::ExchangeAnswer answerExchange(const proto::Exchange &request);
    void answerRows(const proto::Exchange &request, proto::ExchangeAnswer &answer) const;
    std::uint64_t topicsHash() const;

    Node &m_node;
    Disseminator &m_disseminator;
    std::optional<kernel::Instant> m_currentAt;
    kernel::Timer m_parentComparisonTimer;
    kernel::Timer m_randomComparisonTimer;
    kernel::Timer m_recheckTimer;
    bool m_randomComparisonScheduled = false;
    bool m_recheckScheduled = false;
    /// Only one exchange is in flight at a time, so that a new daemon doesn't load the table from
    /// several peers.
    bool m_exchangeInFlight = false;
};

} // namespace acaciasail::peers
