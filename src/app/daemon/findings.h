#pragma once

namespace acaciasail::daemon {

/// Topics under which daemons share what they found out.
constexpr const char *rolloutTopicName = "rollout-evidence";
constexpr const char *poisonTopicName = "poison";

} // namespace acaciasail::daemon
