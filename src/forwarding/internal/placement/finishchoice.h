#pragma once

#include <vector>

#include "forwarding/internal/placement/promptholders.h"
#include "forwarding/internal/placement/upstreamchoice.h"

namespace acaciasail::forwarding {

/// With fewer upstreams, a router's own requests show well enough which of them are busy.
constexpr std::size_t minUpstreamsForFinishChoice = 24;

/// Cost of a request, from which its finish at each upstream follows.
struct FinishQuery
{
    double promptTokens = 0;
    /// Tokens of the prompt that other requests may share.
    double sharedTokens = 0;
    double baseMs = 0;
    double readMsPerToken = 0;
    /// Processes known to have read the start of the prompt.
    std::vector<PromptHolder> holders;
};

/// Expected times of a request at one upstream, in milliseconds.
struct ExpectedFinish
{
    /// Time to read the prompt at usual speed.
    double readMs = 0;
    /// Work that is ahead of the request, at usual speed.
    double aheadMs = 0;
    double speed = 1;
    /// Time to the first event.
    double firstMs = 0;
};

/// Returns the expected times of the request at this upstream.
ExpectedFinish expectedFinish(const Upstream &upstream, const UpstreamBacklog &backlog,
                              const FinishQuery &query, kernel::Instant now);

/// Selects the upstream at which the request is expected to get its first event earliest, among a
/// few: the first in the rendezvous-hash order of the affinity key, those that have read the start
/// of the prompt, and some at random. Routers whose knowledge is out of date therefore don't all
/// select the same upstream.
const Upstream *chooseByFinish(const std::vector<const Upstream *> &candidates,
                               const UpstreamRecords &records, const UpstreamQuery &query,
                               kernel::Random &random);

} // namespace acaciasail::forwarding
