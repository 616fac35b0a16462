#include "forwarding/internal/request/job.h"

#include "forwarding/internal/limits/requestlimits.h"
#include "forwarding/internal/request/requestreport.h"

namespace acaciasail::forwarding {

// This file holds the parts of Job that record the notices in upstreams' responses.

void Job::recordNotices(const ResponseHead &head)
{
    const auto known = m_state.directory.upstreams.find(m_attempt->upstream);
    // A response of another process under the same upstream id carries no notices for this record.
    const bool replaced = head.wrongUpstream
                          || (known != m_state.directory.upstreams.end()
                              && processIdOf(known->second.entry) != m_attempt->process);
    if (replaced)
        return;
    recordNamedLimit(head);
    if (!(head.leaving || head.cooldown || head.cooldownUnparsable))
        return;
    UpstreamNotices &notices = m_state.records[m_attempt->upstream].notices;
    if (head.leaving && recordLeaving(notices, now(), m_state.options.leaveTime))
        logUpstreamLeaving(m_state, m_request, m_attempt->upstream);
    if (head.cooldown)
        recordCooldown(notices, now(), *head.cooldown, m_state.random);
    if (head.cooldown || head.cooldownUnparsable)
        logUpstreamCooldown(m_state, m_request, m_attempt->upstream);
}

void Job::recordNamedLimit(const ResponseHead &head)
{
    if (head.limitUnparsable) {
        logUnparsableLimit(m_state, m_request, m_attempt->upstream);
        return;
    }
    // A response without proof of its origin must not end a limit.
    if (!head.limitPerSecond && !head.hasProof)
        return;
    const auto known = m_state.directory.upstreams.find(m_attempt->upstream);
    if (known != m_state.directory.upstreams.end())
        updateLimit(known->second.entry, head.limitPerSecond, m_attempt->startedAt);
}

// Updates the limit of an upstream from its response to a request that was sent at `sentAt`.
void Job::updateLimit(const Upstream &upstream, std::optional<double> perSecond,
                      kernel::Instant sentAt)
{
    const LimitChange change
        = recordLimit(m_state.records[upstream.id].notices, perSecond, sentAt, now());
    if (change == LimitChange::None)
        return;
    logUpstreamLimit(m_state, m_request, upstream.id, change);
    if (change == LimitChange::Ended) {
        const kernel::UpstreamId process = processIdOf(upstream);
        m_state.limitSharing.ended[process] = now();
        forgetReportedLimit(m_state.limitSharing, process);
    }
    applyLimit(m_state, upstream, std::nullopt);
}

} // namespace acaciasail::forwarding
