#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "kernel/kernel.h"

namespace acaciasail::forwarding {

/// Decayed sums for a linear regression of the time to a response's first event over the tokens of
/// its prompt.
struct FirstEventEstimate
{
    double weight = 0;
    double tokens = 0;
    double seconds = 0;
    double tokensSquared = 0;
    double tokensTimesSeconds = 0;
    kernel::Instant recordedAt{};
};

/// Estimates by service and model.
using FirstEventEstimates
    = std::map<std::pair<kernel::ServiceName, std::string>, FirstEventEstimate>;

/// Records the time from the start of an attempt to its first event.
void recordFirstEvent(FirstEventEstimate &estimate, std::int64_t promptTokens,
                      kernel::Duration took, kernel::Instant now);

/// Returns the expected time to the first event of a request with this prompt; nothing while too
/// few times were recorded, or if the last one is old.
std::optional<kernel::Duration> expectedFirstEvent(const FirstEventEstimate &estimate,
                                                   std::int64_t promptTokens, kernel::Instant now);

} // namespace acaciasail::forwarding
