#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "peers/internal/antientropy.h"
#include "peers/internal/node.h"

namespace acaciasail::peers {

/// The table revision that one daemon has in force.
struct SurveyEntry
{
    kernel::VmId id;
    /// Highest revision among the rows of the daemon's table.
    kernel::Revision revision;
    /// Hash of the daemon's complete table.
    std::uint64_t rowsHash = 0;
    /// Time since the daemon's table was last known to be current; nullopt if never.
    std::optional<kernel::Duration> age;
};

/// Queries all daemons, along the tree, for the table revision that they have in force. A survey is
/// run only on an operator's request.
class Survey
{
public:
    Survey(Node &node, AntiEntropy &antiEntropy, const RowSource &source);

    /// Passes the entries of all daemons that answered, this one included, to the callback. If a
    /// daemon doesn't answer, the daemons behind it in the tree are missing too, until that daemon
    /// is known to have failed.
    void run(std::function<void(std::vector<SurveyEntry>)> callback);

private:
    void collect(const std::string &senderId, std::uint32_t hopsLeft,
                 std::function<void(const proto::SurveyAnswer &)> done);
    proto::SurveyEntry ownEntry() const;

    Node &m_node;
    AntiEntropy &m_antiEntropy;
    const RowSource &m_source;
};

} // namespace acaciasail::peers
