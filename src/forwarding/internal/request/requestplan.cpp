#include "forwarding/internal/request/requestplan.h"

#include <algorithm>
#include <cctype>

#include "forwarding/internal/request/attemptstate.h"
#include "forwarding/internal/request/requestreport.h"
#include "forwarding/internal/request/routematch.h"

namespace acaciasail::forwarding {

namespace {

constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;
constexpr int unavailable = 503;

// A router that starts has read the store within this time, unless the store is unreachable.
constexpr kernel::Duration startRetryAfter = std::chrono::milliseconds(250);
// Another router accepts the requests that this router refuses during its shutdown.
constexpr kernel::Duration stoppingRetryAfter = std::chrono::milliseconds(50);
// Time from the exit of a process until its successor accepts requests.
constexpr kernel::Duration restartTime = std::chrono::milliseconds(800);
// Bounds of what is kept of a caller's prompt parts.
constexpr std::size_t maxSharedParts = 64;
constexpr std::size_t maxPartIdLength = 32;
constexpr kernel::Duration noServiceRetryAfter = std::chrono::seconds(1);

std::optional<Refusal> findRoute(const ForwardingState &state, const Request &request,
                                 RequestPlan &plan)
{
    if (request.id.empty())
        return Refusal{ badRequest, "request_id_missing" };
    if (!canServe(state.directory))
        return Refusal{ unavailable, "no_configuration", startRetryAfter };
    plan.configuration = state.directory.configuration;
    const Route *route = matchRoute(*plan.configuration, request.host, request.target);
    if (route == nullptr)
        return Refusal{ notFound, "route_unknown" };
    plan.route = *route;
    plan.effectiveRank = route->rank;
    if (!canFinishBeforeExit(state, plan.route, request)) {
        const kernel::Duration untilBack = *state.exitDeadline - request.arrived + restartTime;
        return Refusal{ unavailable, "stopping",
                        state.isOnlyRouter ? untilBack : stoppingRetryAfter };
    }
    return std::nullopt;
}

std::optional<Refusal> identifyCaller(const Request &request, RequestPlan &plan)
{
    const bool keysInUse = !plan.configuration->workspaces.empty();
    if (!keysInUse || (!plan.route.requiresKey && request.key.empty()))
        return std::nullopt;
    const Workspace *workspace = findWorkspaceByKey(*plan.configuration, request.key);
    if (workspace == nullptr) {
        if (plan.route.requiresKey)
            return Refusal{ unauthorized, "key_unknown" };
        return std::nullopt;
    }
    plan.workspace = workspace->name;
    plan.effectiveRank = workspace->rank.value_or(plan.effectiveRank);
    return std::nullopt;
}

// Returns the affinity key. The last part of a prompt usually belongs to the request alone; the
// part before it is shared by the session.
std::string affinityKeyOf(const ModelWork &work)
{
    const std::vector<PromptPart> &parts = work.parts;
    return parts.empty() ? "" : parts[parts.size() > 1 ? parts.size() - 2 : 0].id;
}

// Returns the part's id, or a hash of an id that is not short plain text.
std::string boundedPartId(const std::string &id)
{
    const bool isPlain = std::ranges::all_of(id, [](unsigned char byte) {
        return std::isalnum(byte) != 0 || byte == '-' || byte == '_';
    });
    if (isPlain && id.size() <= maxPartIdLength)
        return id;
    return "hash-" + std::to_string(kernel::hash64(id));
}

std::vector<PromptPartKey> sharedPartsOf(const ModelWork &work, const kernel::ServiceName &service)
{
    std::vector<PromptPartKey> shared;
    for (std::size_t i = 0; i + 1 < std::min(work.parts.size(), maxSharedParts + 1); ++i)
        shared.push_back({ service, boundedPartId(work.parts[i].id) });
    return shared;
}

std::optional<Refusal> chooseService(ForwardingState &state, RequestPlan &plan)
{
    const double point = plan.affinityKey.empty() ? kernel::uniform01(state.random)
                                                  : hashToUnitInterval(plan.affinityKey);
    const kernel::ServiceName *service = pickService(plan.route, point);
    if (service == nullptr)
        return Refusal{ unavailable, "route_without_service", noServiceRetryAfter };
    plan.service = *service;
    return std::nullopt;
}

} // namespace

std::optional<Refusal> refuseByHead(const ForwardingState &state, const Request &request)
{
    RequestPlan plan;
    if (auto refusal = findRoute(state, request, plan))
        return refusal;
    return identifyCaller(request, plan);
}

std::optional<Refusal> planRequest(ForwardingState &state, const Request &request,
                                   RequestPlan &plan)
{
    if (auto refusal = findRoute(state, request, plan))
        return refusal;
    if (auto refusal = identifyCaller(request, plan))
        return refusal;
    if (request.work) {
        plan.affinityKey = affinityKeyOf(*request.work);
        plan.firstModel = firstModel(plan.route, *request.work);
    }
    if (auto refusal = chooseService(state, plan))
        return refusal;
    if (request.work) {
        plan.sharedParts = sharedPartsOf(*request.work, plan.service);
        plan.lane = laneOf(state.tightestObjectives, plan.service, plan.route);
        LaneWork &recent = state.laneWork[plan.service];
        recordWork(recent, plan.lane, expectedWork(*request.work));
        plan.meanWork = meanWork(recent);
    }
    plan.fingerprint = poison::makeFingerprint(plan.workspace, request.target, request.body);
    if (crashesUpstreams(state.crashes, plan.fingerprint, plan.sharedParts)
        && !isTrialUnderWay(state.crashes, plan.fingerprint, plan.sharedParts)
        && !partToTry(state.crashes, plan.fingerprint, plan.sharedParts, state.options.vm,
                      state.scheduler.now(), state.scheduler.wallNow())) {
        logPoisonRefused(state, request, plan);
        return Refusal{ finalStatus({ .mayHaveRun = true }, EndReason::Failed),
                        "crashes_upstreams" };
    }
    return std::nullopt;
}

} // namespace acaciasail::forwarding
