#include "gateway/internal/gateway.h"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "gateway/internal/apierror.h"
#include "gateway/internal/authentication.h"
#include "gateway/internal/chatflow.h"
#include "gateway/internal/chatrequest.h"
#include "gateway/internal/gatewaycontext.h"
#include "gateway/internal/serviceflow.h"

namespace acaciasail::gateway {

namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view modelsPath = "/v1/models";
constexpr std::string_view servicePrefix = "/services/";
constexpr std::chrono::milliseconds capacityInterval{ 50 };

struct CheckedChat
{
    Identity identity;
    ChatRequest request;
    table::Rank rank = table::Rank::Normal;
};

kernel::Result<CheckedChat> checkChat(const http::ServerRequest &request,
                                      const kernel::RequestId &id, const table::Snapshot &snapshot)
{
    CheckedChat checked;
    BOOST_LEAF_ASSIGN(checked.identity, authenticate(request.headers, snapshot));
    BOOST_LEAF_ASSIGN(checked.request, readChatRequest(request, id));
    BOOST_LEAF_ASSIGN(checked.rank, resolveRank(checked.identity, checked.request.rank));
    return checked;
}

struct CheckedService
{
    Identity identity;
    ServiceCall call;
    table::Rank rank = table::Rank::Normal;
};

kernel::Result<CheckedService> checkService(const http::ServerRequest &request,
                                            const kernel::RequestId &id,
                                            const table::Snapshot &snapshot, kernel::Instant now)
{
    CheckedService checked;
    BOOST_LEAF_ASSIGN(checked.identity, authenticate(request.headers, snapshot));
    BOOST_LEAF_ASSIGN(checked.call, readServiceCall(request, id, checked.identity, snapshot, now));
    const auto tier = http::findHeader(request.headers, "x-service-tier");
    BOOST_LEAF_ASSIGN(checked.rank,
                      resolveRank(checked.identity, tier ? rankOfTier(*tier) : std::nullopt));
    return checked;
}

nlohmann::json modelsOf(const table::Snapshot &snapshot, const table::WorkspaceRow &workspace)
{
    nlohmann::json data = nlohmann::json::array();
    data.push_back({ { "id", "auto" }, { "object", "model" }, { "owned_by", "acaciasail" } });
    std::set<kernel::ModelId> models(workspace.models.begin(), workspace.models.end());
    for (const kernel::ModelId &model : models) {
        if (snapshot.models.contains(model)) {
            data.push_back(
                { { "id", model.str() }, { "object", "model" }, { "owned_by", "acaciasail" } });
        }
    }
    return { { "object", "list" }, { "data", data } };
}

} // namespace

std::string serverErrorBody(int status)
{
    kernel::ResultCode code = kernel::ResultCode::MalformedRequest;
    if (status == kernel::describe(kernel::ResultCode::BodyTooLarge).httpStatus)
        code = kernel::ResultCode::BodyTooLarge;
    return errorBody(makeApiError(code, std::string(kernel::describe(code).meaning)), {});
}

Gateway::Gateway(const kernel::Scheduler &scheduler, upstreams::HttpSender sender,
                 GatewayOptions options, GatewayCallbacks ports, kernel::Random random)
    : m_context(std::make_unique<GatewayContext>())
{
    GatewayContext &context = *m_context;
    context.options = std::move(options);
    context.ports = std::move(ports);
    context.scheduler = &scheduler;
    context.random = random;
    context.router = std::make_unique<Router>(context.options, context.ports, scheduler,
                                              kernel::Random(context.random()));
    context.admitter = std::make_unique<Admitter>(scheduler);
    upstreams::DispatcherHooks hooks;
    hooks.onAttemptEnd = [this](const upstreams::AttemptReport &report) {
        m_context->router->attemptEnded(report);
    };
    hooks.onPoisonChanged = [this] {
        if (m_context->ports.poisonChanged)
            m_context->ports.poisonChanged();
    };
    context.dispatcher = std::make_unique<upstreams::Dispatcher>(
        scheduler, std::move(sender), kernel::Random(context.random()),
        upstreams::DispatcherOptions{}, std::move(hooks));
    updateCapacities();
}

Gateway::~Gateway() = default;

void Gateway::updateCapacities()
{
    m_context->router->setCapacities(*m_context->admitter);
    m_context->capacityTimer
        = kernel::Timer(*m_context->scheduler, capacityInterval, [this] { updateCapacities(); });
}

void Gateway::shareLimits(const wire::Transport &transport, const wire::PeersView &peers)
{
    m_context->limitSharer = std::make_unique<LimitSharer>(*m_context->scheduler, transport, peers,
                                                           *m_context->admitter);
}

void Gateway::handle(const http::ServerRequest &request,
                     const std::shared_ptr<http::Responder> &responder)
{
    const auto id = kernel::capture([&] { return readRequestId(request, m_context->random); });
    if (!id.ok()) {
        refuse(*responder, id.error(), {});
        return;
    }
    const bool chat = request.path == chatPath;
    const bool service = request.path.starts_with(servicePrefix);
    if (chat && request.method != "POST") {
        refuse(*responder,
               { kernel::ResultCode::MethodNotAllowed,
                 "path /v1/chat/completions accepts only the method POST" },
               id.value());
    } else if (!chat && !service && request.path != modelsPath) {
        refuse(*responder, { kernel::ResultCode::RouteNotFound, "unknown path " + request.path },
               id.value());
    } else if (m_context->draining) {
        refuse(*responder, { kernel::ResultCode::Draining, "the daemon is shutting down" },
               id.value());
    } else if (!m_context->ports.table()) {
        refuse(*responder, { kernel::ResultCode::NoTable, "the daemon has no configuration yet" },
               id.value());
    } else if (chat) {
        handleChat(request, id.value(), responder);
    } else if (service) {
        handleService(request, id.value(), responder);
    } else {
        handleModels(request, id.value(), *responder);
    }
}

void Gateway::handleChat(const http::ServerRequest &request, const kernel::RequestId &id,
                         const std::shared_ptr<http::Responder> &responder)
{
    const table::SnapshotPtr snapshot = m_context->ports.table();
    auto checked = kernel::capture([&] { return checkChat(request, id, *snapshot); });
    if (!checked.ok()) {
        refuse(*responder, checked.error(), id);
        return;
    }
    CheckedChat &chat = checked.value();
    std::make_shared<ChatFlow>(*m_context, std::move(chat.identity), std::move(chat.request),
                               chat.rank, responder)
        ->start();
}

void Gateway::handleService(const http::ServerRequest &request, const kernel::RequestId &id,
                            const std::shared_ptr<http::Responder> &responder)
{
    const table::SnapshotPtr snapshot = m_context->ports.table();
    auto checked
        = kernel::capture([&] { return checkService(request, id, *snapshot, m_context->now()); });
    if (!checked.ok()) {
        refuse(*responder, checked.error(), id);
        return;
    }
    CheckedService &service = checked.value();
    std::make_shared<ServiceFlow>(*m_context, std::move(service.identity), std::move(service.call),
                                  service.rank, responder)
        ->start();
}

void Gateway::handleModels(const http::ServerRequest &request, const kernel::RequestId &id,
                           http::Responder &responder)
{
    const table::SnapshotPtr snapshot = m_context->ports.table();
    const auto identity = kernel::capture([&] { return authenticate(request.headers, *snapshot); });
    if (!identity.ok()) {
        refuse(responder, identity.error(), id);
        return;
    }
    responder.send(200, { { "content-type", "application/json" }, { "x-request-id", id.str() } },
                   modelsOf(*snapshot, identity.value().workspace).dump());
}

void Gateway::refuse(http::Responder &responder, const kernel::Error &error,
                     const kernel::RequestId &id)
{
    kernel::logEvent(kernel::EventId::RequestRefused, { { "request", id },
                                                        { "code", kernel::toNumber(error.code) },
                                                        { "message", error.message } });
    const std::string name(kernel::describe(error.code).name);
    m_context->metrics
        .counter("acaciasail_requests_rejected_total", "Requests refused before routing.",
                 { { "code", name } })
        .add();
    ApiError apiError = makeApiError(error);
    if (kernel::describe(error.code).httpStatus == 503)
        apiError.retryAfter = std::chrono::seconds(1);
    sendError(responder, apiError, id);
}

void Gateway::setDaemons(std::vector<kernel::VmId> daemons)
{
    m_context->router->setDaemons(std::move(daemons));
}

void Gateway::recordRatings(const std::vector<externals::Rating> &ratings)
{
    m_context->router->recordRatings(ratings);
}

void Gateway::recordEvidence(const routing::DecodedEvidence &evidence)
{
    m_context->router->recordEvidence(evidence);
}

const routing::RolloutEvidenceStore &Gateway::rollouts() const
{
    return m_context->router->rollouts();
}

upstreams::Dispatcher &Gateway::dispatcher()
{
    return *m_context->dispatcher;
}

void Gateway::startDrain()
{
    m_context->draining = true;
}

} // namespace acaciasail::gateway
