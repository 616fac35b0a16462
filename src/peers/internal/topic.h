#pragma once

#include <functional>
#include <string>

namespace acaciasail::peers {

/// State that all daemons share. Its merge is commutative, associative and idempotent, so the
/// result is independent of the order, the duplication and the path of updates.
struct Topic
{
    /// Unique among the topics of a daemon, and the same in all daemons.
    std::string name;
    /// Returns the serialized state. Equal states must give equal bytes, at most maxTopicBytes.
    std::function<std::string()> snapshot;
    /// Merges another daemon's state. Returns whether this daemon's state changed.
    std::function<bool(const std::string &state)> merge;
};

/// Maximum size of a topic's state that is sent, in bytes.
constexpr std::size_t maxTopicBytes = 64U << 10U;

} // namespace acaciasail::peers
