#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

std::string_view toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Unsafe:
        return "unsafe";
    case RequestKind::Streaming:
        break;
    }
    return "streaming";
}

std::string_view toString(RolloutState state)
{
    switch (state) {
    case RolloutState::Ordered:
        return "ordered";
    case RolloutState::Running:
        return "running";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        break;
    }
    return "rolled_back";
}

} // namespace acaciasail::forwarding
