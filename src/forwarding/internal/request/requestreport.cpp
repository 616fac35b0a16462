#include "forwarding/internal/request/requestreport.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

constexpr int httpOk = 200;
constexpr int firstErrorStatus = 400;
constexpr std::size_t maxLoggedParts = 8;

void recordMetrics(ForwardingState &state, const Request &request, const RequestPlan &plan,
                   const RequestSummary &summary)
{
    state.metrics.requests(plan.route.name.str(), summary.status).add();
    if (summary.status < httpOk || summary.status >= firstErrorStatus)
        return;
    const kernel::Duration responseTime = state.scheduler.now() - request.arrived;
    const std::string kind(toString(plan.route.kind));
    state.metrics.firstByte(kind).add(summary.firstByteAt - request.arrived);
    state.metrics.responseTime(kind).add(responseTime);
    recordResponseTime(state, plan.route.name, responseTime);
}

void logPartBlame(const PartCrashes &crashes, const PromptPartKey &key, bool blamed)
{
    const auto known = crashes.known.find(key);
    const PartEvidence evidence = known == crashes.known.end() ? PartEvidence() : known->second;
    const auto crashed = crashes.crashed.find(key.service);
    const std::int64_t completedAt
        = evidence.completedAt ? kernel::toMilliseconds(evidence.completedAt->time_since_epoch())
                               : 0;
    kernel::logEvent(
        kernel::EventId::PromptPartBlamed,
        { { "service", key.service },
          { "part", key.part },
          { "blamed", blamed },
          { "crashes", unclearedCrashes(evidence).size() },
          { "requests", evidence.requests.size() },
          // Zero if no router has seen a request with the part run to completion.
          { "completed_ms", completedAt },
          { "crashed_upstreams", crashed == crashes.crashed.end() ? 0 : crashed->second.size() } });
}

} // namespace

std::string listPromptParts(const std::vector<PromptPartKey> &parts)
{
    std::string list;
    for (std::size_t i = 0; i < std::min(parts.size(), maxLoggedParts); ++i) {
        list += i == 0 ? "" : ",";
        list += parts[i].part;
    }
    return list;
}

void reportFinish(ForwardingState &state, const Request &request, const RequestPlan &plan,
                  const RequestSummary &summary)
{
    recordMetrics(state, request, plan, summary);
    const kernel::Instant now = state.scheduler.now();
    const bool hasConfiguration = plan.configuration != nullptr;
    const bool hasFirstByte = summary.firstByteAt != kernel::Instant{};
    kernel::logEvent(
        kernel::EventId::RequestFinished,
        { { "request", request.id },
          { "route", plan.route.name },
          { "workspace", plan.workspace },
          { "status", summary.status },
          { "outcome", summary.outcome },
          { "upstream", summary.upstream },
          { "model", summary.model },
          { "sends", summary.sends },
          { "may_have_run", summary.mayHaveRun },
          { "configuration", hasConfiguration ? plan.configuration->number.count() : 0 },
          { "configuration_age_ms",
            hasConfiguration ? kernel::toMilliseconds(now - state.directory.configuredAt) : -1 },
          { "store_away", state.directory.storeUnreachable },
          { "first_ms",
            hasFirstByte ? kernel::toMilliseconds(summary.firstByteAt - request.arrived) : -1 },
          { "expected_event_ms", summary.expectedFirstMs },
          { "event_ms", summary.actualFirstMs },
          { "took_ms", kernel::toMilliseconds(now - request.arrived) } });
}

void logPoisonSuspected(ForwardingState &state, const LostRun &run)
{
    state.metrics.crashes().add();
    kernel::logEvent(kernel::EventId::PoisonSuspected,
                     { { "request", run.request },
                       { "fingerprint", run.fingerprint },
                       { "upstream", run.upstream },
                       { "process", run.process },
                       { "crashes", countCrashes(state.crashes, run.fingerprint) } });
}

void logUpstreamLeaving(ForwardingState &state, const Request &request,
                        const kernel::UpstreamId &upstream)
{
    state.metrics.notices("leaving").add();
    kernel::logEvent(kernel::EventId::UpstreamLeaving,
                     { { "upstream", upstream }, { "request", request.id } });
}

void logUpstreamCooldown(ForwardingState &state, const Request &request,
                         const kernel::UpstreamId &upstream)
{
    state.metrics.notices("rest").add();
    const kernel::Duration cooldown
        = state.records[upstream].notices.cooldownUntil - state.scheduler.now();
    kernel::logEvent(
        kernel::EventId::UpstreamRests,
        { { "upstream", upstream },
          { "request", request.id },
          // Zero if the upstream's cooldown could not be parsed as a time.
          { "rest_ms", std::max<std::int64_t>(kernel::toMilliseconds(cooldown), 0) } });
}

void logUpstreamLimit(ForwardingState &state, const Request &request,
                      const kernel::UpstreamId &upstream, LimitChange change)
{
    state.metrics.notices("limit_" + std::string(toString(change))).add();
    const std::optional<UpstreamLimit> &limit = state.records[upstream].notices.limit;
    kernel::logEvent(kernel::EventId::UpstreamLimited,
                     { { "upstream", upstream },
                       { "request", request.id },
                       { "change", toString(change) },
                       { "per_second", limit ? limit->perSecond : 0 } });
}

void logUnparsableLimit(ForwardingState &state, const Request &request,
                        const kernel::UpstreamId &upstream)
{
    state.metrics.notices("limit_unparsable").add();
    kernel::logEvent(
        kernel::EventId::UpstreamLimited,
        { { "upstream", upstream }, { "request", request.id }, { "change", "unparsable" } });
}

void logBlamedParts(ForwardingState &state, const BlameChange &change)
{
    for (const PromptPartKey &key : change.blamed) {
        state.metrics.blamedParts().add();
        logPartBlame(state.crashes.parts, key, true);
    }
    for (const PromptPartKey &key : change.cleared)
        logPartBlame(state.crashes.parts, key, false);
}

void logPoisonRefused(const ForwardingState &state, const Request &request, const RequestPlan &plan)
{
    const std::optional<PromptPartKey> blamed
        = findBlamedPart(state.crashes.parts, plan.sharedParts);
    kernel::logEvent(kernel::EventId::PoisonRefused,
                     { { "request", request.id },
                       { "route", plan.route.name },
                       { "fingerprint", plan.fingerprint },
                       { "crashes", countCrashes(state.crashes, plan.fingerprint) },
                       { "own", poison::unclearedCrashes(state.crashes.own, plan.fingerprint) },
                       { "prompt_part", blamed ? blamed->part : "" } });
}

void logPartTried(const Request &request, const PromptPartKey &part)
{
    kernel::logEvent(
        kernel::EventId::PromptPartTried,
        { { "request", request.id }, { "service", part.service }, { "part", part.part } });
}

void logAdmission(ForwardingState &state, const Request &request, const RequestPlan &plan,
                  const admission::AdmissionDecision &decision, kernel::Duration waited)
{
    const std::string_view outcome = admission::toString(decision.outcome);
    const std::string_view reason = admission::toString(decision.reason);
    state.metrics.admissions(outcome, reason).add();
    if (decision.outcome != admission::AdmissionOutcome::Queued)
        state.metrics.queueTime().add(waited);
    kernel::logEvent(kernel::EventId::AdmissionDecided,
                     { { "request", request.id },
                       { "route", plan.route.name },
                       { "service", plan.service },
                       { "outcome", outcome },
                       { "reason", reason },
                       { "rank", plan.effectiveRank },
                       { "waited_ms", kernel::toMilliseconds(waited) },
                       { "expected_ms", kernel::toMilliseconds(decision.expectedWait) },
                       { "retry_ms", kernel::toMilliseconds(decision.retryAfter) } });
}

void logWaitForRoom(ForwardingState &state, const Request &request, const RequestPlan &plan,
                    std::string_view reason, kernel::Duration delay)
{
    state.metrics.admissions("queued", reason).add();
    kernel::logEvent(kernel::EventId::AdmissionDecided,
                     { { "request", request.id },
                       { "route", plan.route.name },
                       { "service", plan.service },
                       { "outcome", "queued" },
                       { "reason", reason },
                       { "rank", plan.effectiveRank },
                       { "expected_ms", kernel::toMilliseconds(delay) } });
}

} // namespace acaciasail::forwarding
