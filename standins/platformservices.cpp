#include "platformservices.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace acaciasail::standins {

namespace {

using Json = nlohmann::json;

constexpr std::size_t keptRatings = 100000;
constexpr std::size_t ratingsInAnAnswer = 1000;
// Ratings lie this far around the version's quality.
constexpr double ratingSpread = 0.1;

Json toJson(const externals::VmEntry &vm)
{
    return { { "id", vm.id.str() },
             { "role", vm.role == externals::VmRole::Entry ? "entry" : "upstream" },
             { "data_centre", vm.dataCentre.str() },
             { "ip", vm.endpoint.ip },
             { "port", vm.endpoint.port },
             { "leaving", vm.leaving } };
}

Json toJson(const externals::Rating &rating)
{
    return { { "sequence", rating.sequence },         { "request", rating.request.str() },
             { "workspace", rating.workspace.str() }, { "kind", rating.kind.str() },
             { "version", rating.version.str() },     { "score", rating.score } };
}

std::string dump(const Json &json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

PlatformServices::PlatformServices(const kernel::Scheduler &scheduler,
                                   const StandinSettings &settings)
    : m_scheduler(&scheduler)
    , m_settings(&settings)
    , m_random(settings.seed)
    , m_vms(settings.vms)
    , m_shownVms(settings.vms)
    , m_loadInterval(settings.loadInterval)
{}

void PlatformServices::handle(const http::ServerRequest &request, const ResponderPtr &responder)
{
    if (m_down)
        sendError(responder, 503, "down");
    else if (request.path == "/vms")
        sendVms(responder);
    else if (request.path == "/ratings")
        sendRatings(request, responder);
    else if (request.path == "/weights/reserve")
        reserve(responder);
    else
        sendError(responder, 404, "not_found");
}

void PlatformServices::setVms(std::vector<externals::VmEntry> vms)
{
    m_vms = std::move(vms);
    m_scheduler->startTimer(m_settings->vmListLag, [this, shown = m_vms] { m_shownVms = shown; });
}

void PlatformServices::rate(const RunRecord &run, const http::Headers &headers, double quality)
{
    if (kernel::uniform01(m_random) >= m_settings->ratedShare)
        return;
    externals::Rating rating;
    rating.request = kernel::RequestId(run.request);
    rating.workspace
        = kernel::WorkspaceId(std::string(http::findHeader(headers, "x-workspace").value_or("")));
    rating.kind
        = kernel::KindId(std::string(http::findHeader(headers, "x-request-kind").value_or("")));
    rating.version = kernel::VersionId(run.version);
    const double noise = (2 * kernel::uniform01(m_random) - 1) * ratingSpread;
    rating.score = std::clamp(quality + noise, 0.0, 1.0);
    m_scheduler->startTimer(m_settings->ratingDelay,
                            [this, rating = std::move(rating)] { addRating(rating); });
}

void PlatformServices::addRating(externals::Rating rating)
{
    rating.sequence = ++m_ratingSequence;
    m_ratings.push_back(std::move(rating));
    if (m_ratings.size() > keptRatings)
        m_ratings.pop_front();
}

void PlatformServices::sendVms(const ResponderPtr &responder) const
{
    Json list = Json::array();
    for (const externals::VmEntry &vm : m_shownVms)
        list.push_back(toJson(vm));
    sendJson(responder, 200, dump(list));
}

void PlatformServices::sendRatings(const http::ServerRequest &request,
                                   const ResponderPtr &responder) const
{
    const std::string text = http::queryParameter(request.query, "after").value_or("0");
    const std::int64_t after = std::strtoll(text.c_str(), nullptr, 10);
    Json list = Json::array();
    const auto first = std::ranges::upper_bound(m_ratings, after, {}, &externals::Rating::sequence);
    for (auto it = first; it != m_ratings.end() && list.size() < ratingsInAnAnswer; ++it)
        list.push_back(toJson(*it));
    sendJson(responder, 200, dump(list));
}

// Gives each load its turn, one after every interval.
void PlatformServices::reserve(const ResponderPtr &responder)
{
    const kernel::Instant now = m_scheduler->now();
    const kernel::Duration wait = std::max(kernel::Duration::zero(), m_nextLoad - now);
    if (wait.count() == 0)
        m_nextLoad = now + m_loadInterval;
    sendJson(responder, 200, dump({ { "wait_ms", kernel::toMilliseconds(wait) } }));
}

} // namespace acaciasail::standins
