#include "forwarding/internal/request/job.h"

#include <utility>

namespace acaciasail::forwarding {

// This file holds the parts of Job that compute the expected cost of the request and record the
// actual one.

namespace {

double toExactMilliseconds(kernel::Duration duration)
{
    constexpr double millisecondsPerSecond = 1000;
    return kernel::toSeconds(duration) * millisecondsPerSecond;
}

} // namespace

CostKey Job::costKey() const
{
    return { m_plan.service, m_model, m_plan.route.name };
}

void Job::estimateCost()
{
    const ModelWork &work = *m_request.work;
    m_rates = costRates(m_state.costEstimates, costKey(),
                        relativePrice(*m_plan.configuration, m_plan.service, m_model));
    m_finish = { .promptTokens = static_cast<double>(work.promptTokens),
                 .sharedTokens = sharedTokens(work.parts),
                 .baseMs = m_rates.baseMs,
                 .readMsPerToken = m_rates.readMsPerToken,
                 .holders
                 = findHolders(m_state.sentPrompts, m_plan.service, m_model, work.parts, now()) };
}

ExpectedFinish Job::expectedFinishAt(const Upstream &upstream) const
{
    const auto record = m_state.records.find(upstream.id);
    if (!m_request.work || record == m_state.records.end())
        return {};
    return expectedFinish(upstream, record->second.backlog, m_finish, now());
}

void Job::startWorkAt(const Upstream &upstream)
{
    if (!m_request.work)
        return;
    const ExpectedFinish expected = expectedFinishAt(upstream);
    const double outputTokens = expectedOutputTokens(*m_request.work);
    m_attempt->expected = expected;
    m_attempt->workNumber = ++m_state.lastWorkNumber;
    m_expectedFirstMs = expected.firstMs;
    m_actualFirstMs = -1;
    startWork(m_state.records[upstream.id].backlog,
              { .number = m_attempt->workNumber,
                .readMs = expected.readMs,
                .outputWorkMs = outputTokens * m_rates.outputWorkMsPerToken,
                .outputMs = outputTokens * m_rates.outputMsPerToken,
                .expectedFirstMs = expected.firstMs,
                .startedAt = now() });
    recordReadMs(m_state.costEstimates, m_plan.service, expected.readMs);
    recordPrompt(m_state.sentPrompts, m_plan.service, m_model, m_request.work->parts,
                 m_attempt->process, now());
}

void Job::recordFirstEventTime()
{
    if (m_attempt->workNumber == 0 || std::exchange(m_attempt->firstEventRecorded, true))
        return;
    const ExpectedFinish &expected = m_attempt->expected;
    const double workMs = expected.aheadMs + expected.readMs;
    m_actualFirstMs = toExactMilliseconds(now() - m_attempt->startedAt);
    recordFirstEventOf(m_state.records[m_attempt->upstream].backlog, m_attempt->workNumber, workMs,
                       m_actualFirstMs - m_rates.baseMs, now());
    recordFirstEvent(
        m_state.costEstimates, { m_plan.service, m_attempt->model, m_plan.route.name },
        { .baseMs = m_rates.baseMs,
          .workMs = workMs,
          .actualMs = m_actualFirstMs,
          .upstream = m_attempt->upstream,
          .caller = m_plan.workspace.empty() ? m_plan.affinityKey : m_plan.workspace.str() });
    m_state.metrics
        .firstEventEstimates(m_plan.route.name.str(),
                             estimateError(expected.firstMs, m_actualFirstMs))
        .add();
}

void Job::recordOutput()
{
    if (m_attempt->workNumber == 0 || !m_attempt->firstByteSeen)
        return;
    recordOutputTime(m_state.costEstimates, { m_plan.service, m_attempt->model, m_plan.route.name },
                     expectedOutputTokens(*m_request.work) * m_rates.outputMsPerToken,
                     toExactMilliseconds(now() - m_attempt->firstEventAt));
}

// If a request is given up before its first event, the time waited is a lower bound of the actual
// time.
void Job::finishWorkInFlight(const Attempt &attempt, UpstreamRecord &record, AttemptOutcome outcome)
{
    if (attempt.workNumber == 0)
        return;
    const double waitedMs = toExactMilliseconds(now() - attempt.startedAt);
    const bool gaveUp = outcome == AttemptOutcome::Silent || outcome == AttemptOutcome::Cancelled;
    if (gaveUp && !attempt.firstEventRecorded && waitedMs > attempt.expected.firstMs) {
        recordFirstEventOf(record.backlog, attempt.workNumber,
                           attempt.expected.aheadMs + attempt.expected.readMs,
                           waitedMs - m_rates.baseMs, now());
    }
    finishWork(record.backlog, attempt.workNumber);
}

} // namespace acaciasail::forwarding
