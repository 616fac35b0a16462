#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// An upstream process that has read the start of a prompt.
struct PromptHolder
{
    kernel::UpstreamId process;
    /// Expected number of tokens at the prompt's start that the process still has in its cache.
    double tokens = 0;
};

/// What a router remembers of the prompts that it has sent: which upstream processes have read
/// which starts of prompts for which model. The memory is bounded; the oldest entries go first.
struct SentPrompts
{
    struct Reader
    {
        kernel::UpstreamId process;
        kernel::Instant at{};
    };
    struct Entry
    {
        std::vector<Reader> readers;
        kernel::Instant usedAt{};
    };
    /// By a hash of the service, the model and the parts up to one of them.
    std::unordered_map<std::uint64_t, Entry> starts;
    /// Uses of the entries, oldest first.
    std::deque<std::pair<std::uint64_t, kernel::Instant>> uses;
};

/// Records that a process reads the parts that other requests may share: all but the last.
void recordPrompt(SentPrompts &sent, const kernel::ServiceName &service, const std::string &model,
                  const std::vector<PromptPart> &parts, const kernel::UpstreamId &process,
                  kernel::Instant now);

/// Returns the processes that have read the start of a prompt, in no order.
std::vector<PromptHolder> findHolders(const SentPrompts &sent, const kernel::ServiceName &service,
                                      const std::string &model,
                                      const std::vector<PromptPart> &parts, kernel::Instant now);

/// Returns the tokens of the parts that other requests may share.
double sharedTokens(const std::vector<PromptPart> &parts);

} // namespace acaciasail::forwarding
