#include "forwarding/internal/requestreport.h"

#include <algorithm>

namespace acaciasail::forwarding {

namespace {

constexpr int httpOk = 200;
constexpr int firstErrorStatus = 400;

void count(ForwardingState &state, const Request &request, const RequestPlan &plan,
           const RequestSummary &end)
{
    state.metrics.requests(plan.route.name.str(), end.status).add();
    if (end.status < httpOk || end.status >= firstErrorStatus)
        return;
    const kernel::Duration took = state.scheduler.now() - request.arrived;
    const std::string kind(toString(plan.route.kind));
    state.metrics.firstByte(kind).add(end.firstByteAt - request.arrived);
    state.metrics.responseTime(kind).add(took);
    recordResponseTime(state, plan.route.name, took);
}

} // namespace

void reportFinish(ForwardingState &state, const Request &request, const RequestPlan &plan,
                  const RequestSummary &end)
{
    count(state, request, plan, end);
    const kernel::Instant now = state.scheduler.now();
    const bool known = plan.configuration != nullptr;
    const bool hasFirstByte = end.firstByteAt != kernel::Instant{};
    kernel::logEvent(
        kernel::EventId::RequestFinished,
        { { "request", request.id },
          { "route", plan.route.name },
          { "workspace", plan.workspace },
          { "status", end.status },
          { "outcome", end.outcome },
          { "upstream", end.upstream },
          { "model", end.model },
          { "sends", end.sends },
          { "may_have_run", end.mayHaveRun },
          { "configuration", known ? plan.configuration->number.count() : 0 },
          { "configuration_age_ms",
            known ? kernel::toMilliseconds(now - state.directory.configuredAt) : -1 },
          { "store_away", state.directory.storeUnreachable },
          { "first_ms",
            hasFirstByte ? kernel::toMilliseconds(end.firstByteAt - request.arrived) : -1 },
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

void logPoisonRefused(const ForwardingState &state, const Request &request, const RequestPlan &plan)
{
    kernel::logEvent(kernel::EventId::PoisonRefused,
                     { { "request", request.id },
                       { "route", plan.route.name },
                       { "fingerprint", plan.fingerprint },
                       { "crashes", countCrashes(state.crashes, plan.fingerprint) },
                       { "own", poison::unclearedCrashes(state.crashes.own, plan.fingerprint) } });
}

} // namespace acaciasail::forwarding
