#include "forwarding/tests/crashingfleet.h"

#include <algorithm>
#include <utility>

namespace acaciasail::forwarding::tests {

namespace {

using namespace std::chrono_literals;

constexpr kernel::Duration stepTime = 5ms;
constexpr kernel::Duration promptTime = 60ms;
constexpr kernel::Duration eventInterval = 50ms;
constexpr int eventsBeforeCrash = 3;
// Time from a crash until the store no longer lists the process, and until another one runs.
constexpr kernel::Duration listedAfterCrash = 1500ms;
constexpr kernel::Duration timeToReplace = 3s;
// Number of subjects that sound requests are about.
constexpr std::size_t subjects = 40;
// Time after which a connect that nobody answers fails.
constexpr kernel::Duration silentConnectTime = 300ms;

std::shared_ptr<Configuration> makeConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->number = ConfigurationNumber(1);
    Route route;
    route.name = RouteName("chat");
    route.host = "site.example";
    route.pathPrefix = "/chat/";
    route.kind = RequestKind::Streaming;
    route.resumable = true;
    route.maxAttempts = 3;
    route.timeout = 20s;
    route.latencyObjective = 1500ms;
    route.services.push_back({ kernel::ServiceName("engines"), 1 });
    configuration->routes.push_back(route);
    configuration->workspaces.push_back({ kernel::WorkspaceId("makers"), std::nullopt });
    configuration->keys.emplace("key", 0);
    return configuration;
}

PromptPart part(const std::string &id)
{
    return { id, 100 };
}

bool hasCrashingPart(const http::ClientRequest &request)
{
    return http::findHeader(request.headers, "crashing").has_value();
}

} // namespace

CrashingFleet::CrashingFleet(const CrashingFleetOptions &options)
    : m_options(options)
    , m_random(options.seed)
    , m_configuration(makeConfiguration())
{
    m_clock.advance(100s);
    for (std::size_t i = 0; i < options.upstreams; ++i) {
        Upstream upstream;
        upstream.id = kernel::UpstreamId("u" + std::to_string(m_lastProcess++));
        upstream.service = kernel::ServiceName("engines");
        upstream.endpoint = { "10.0.0.1", static_cast<unsigned short>(1000 + i) };
        upstream.version = SoftwareVersion("v1");
        upstream.slots = 64;
        upstream.startedAtMs = 1;
        m_upstreams.push_back({ upstream });
    }
    for (std::size_t i = 0; i < options.routers; ++i)
        m_routers.push_back(std::make_unique<Member>());
    for (std::size_t i = 0; i < options.routers; ++i)
        startRouter(i);
}

template<class Report>
void CrashingFleet::share(std::size_t number, const Report &report)
{
    const kernel::VmId vm("vm-" + std::to_string(number));
    const auto deliverTo = [this, number, vm, report](std::size_t to) {
        Forwarder &forwarder = *m_routers[to]->forwarder;
        if (to == number)
            forwarder.restoreCrashEvidence(report);
        else
            forwarder.mergeCrashEvidence(vm, report);
    };
    m_store[number] = deliverTo;
    for (std::size_t to = 0; to < m_routers.size(); ++to) {
        if (to != number)
            m_deliveries.push_back(
                { now() + m_options.reportTime, [deliverTo, to] { deliverTo(to); }, std::nullopt });
    }
}

ForwarderCallbacks CrashingFleet::makeCallbacks(std::size_t number)
{
    Member &member = *m_routers[number];
    ForwarderCallbacks callbacks;
    callbacks.send = member.http.sender();
    callbacks.connect = member.http.connector();
    callbacks.wire = makeTestWire();
    callbacks.writeRollout = [](const Rollout &, const RolloutStep &) {};
    callbacks.shareCrashEvidence = [this, number](const auto &report) { share(number, report); };
    return callbacks;
}

void CrashingFleet::startRouter(std::size_t number)
{
    Member &member = *m_routers[number];
    for (const std::shared_ptr<FakeSend> &send : member.http.sends)
        send->cancelled = true;
    std::erase_if(m_deliveries, [number](const Delivery &one) { return one.router == number; });
    member.forwarder = nullptr;
    member.http.connects.clear();
    member.handledConnects = 0;
    member.handledSends = member.http.sends.size();
    ForwardingOptions options;
    options.vm = kernel::VmId("vm-" + std::to_string(number));
    options.retries = { 0.9, 500, 10s };
    member.forwarder = std::make_unique<Forwarder>(m_clock.scheduler(), makeCallbacks(number),
                                                   options, kernel::Random(m_random()));
    member.forwarder->setConfiguration(m_configuration, kernel::Revision(1));
    std::vector<Upstream> entries;
    for (const FleetProcess &upstream : m_upstreams) {
        if (upstream.listed)
            entries.push_back(upstream.entry);
    }
    member.forwarder->setUpstreams(entries);
    member.forwarder->setStoreReachable(true);
    for (const auto &[from, deliverTo] : m_store)
        deliverTo(number);
}

void CrashingFleet::sendFromCaller(bool crashing)
{
    sendRequest(std::nullopt, crashing);
}

// Sends to the router, or to a random one.
void CrashingFleet::sendRequest(std::optional<std::size_t> router, bool crashing)
{
    Request request;
    request.id = kernel::RequestId("r" + std::to_string(++m_lastRequest));
    request.method = "POST";
    request.host = "site.example";
    request.target = "/chat/x";
    request.key = "key";
    request.body = request.id.str();
    request.arrived = now();
    const std::size_t systemPrompt
        = crashing ? 0 : kernel::uniformBelow(m_random, m_options.systemPrompts);
    const PromptPart system = part("system" + std::to_string(systemPrompt));
    const PromptPart own = part("own" + request.id.str());
    const std::size_t subject = kernel::uniformBelow(m_random, subjects);
    request.work = ModelWork{ "model", 300, 50, {} };
    if (!crashing)
        request.work->parts = { system, part("subject" + std::to_string(subject)), own };
    else if (m_options.crashingPartOpensPrompt)
        request.work->parts = { part(m_options.crashingPart), system, own };
    else
        request.work->parts = { system, part(m_options.crashingPart), own };
    if (crashing)
        request.headers.push_back({ "crashing", "1" });
    auto responder = std::make_shared<FakeResponder>();
    if (crashing)
        m_crashingResponders.push_back(responder);
    else
        m_sound.push_back({ now(), systemPrompt == 0, responder });
    const std::size_t to = router ? *router : kernel::uniformBelow(m_random, m_routers.size());
    m_routers[to]->forwarder->handle(std::move(request), responder);
}

std::size_t CrashingFleet::upstreamWithId(std::string_view id) const
{
    const auto found = std::ranges::find_if(
        m_upstreams, [&](const FleetProcess &one) { return one.entry.id.str() == id; });
    return static_cast<std::size_t>(found - m_upstreams.begin());
}

bool CrashingFleet::isCut(std::size_t router) const
{
    return m_cutRouters.contains(router);
}

void CrashingFleet::cutLinks(const std::set<std::size_t> &routers, CutKind kind)
{
    m_cutRouters = routers;
    m_cutKind = kind;
    if (kind == CutKind::Silent)
        return;
    for (Run &run : m_runs) {
        if (isCut(run.router))
            run.dueAt = now();
    }
}

// What was silenced stays so: its connections are not those that are opened from now on.
void CrashingFleet::restoreLinks()
{
    std::erase_if(m_runs, [this](const Run &run) {
        return m_cutKind == CutKind::Silent && isCut(run.router);
    });
    m_cutRouters.clear();
}

void CrashingFleet::wait(kernel::Duration time)
{
    const kernel::Instant end = now() + time;
    while (now() < end)
        step();
}

int CrashingFleet::serve(std::size_t router, int count, kernel::Duration time)
{
    const std::size_t first = m_sound.size();
    for (int i = 0; i < count; ++i)
        sendRequest(router, false);
    wait(time);
    int served = 0;
    for (std::size_t i = first; i < m_sound.size(); ++i)
        served += m_sound[i].responder->status == 200 ? 1 : 0;
    return served;
}

void CrashingFleet::receiveRequests(std::size_t router)
{
    Member &member = *m_routers[router];
    for (; member.handledSends < member.http.sends.size(); ++member.handledSends) {
        const std::shared_ptr<FakeSend> send = member.http.sends[member.handledSends];
        if (send->cancelled)
            continue;
        const std::size_t upstream
            = upstreamWithId(http::findHeader(send->request.headers, "upstream").value_or(""));
        if (isCut(router) && m_cutKind == CutKind::Silent) {
            const auto fail = [send] {
                const http::ClientHandlers handlers = send->handlers;
                if (!send->cancelled)
                    handlers.onEnd(kernel::Error{ kernel::ResultCode::UpstreamTimeout, "silent" });
            };
            m_deliveries.push_back({ now() + silentConnectTime, fail, router });
            continue;
        }
        if (isCut(router) || upstream == m_upstreams.size() || !m_upstreams[upstream].running) {
            const http::ClientHandlers handlers = send->handlers;
            handlers.onEnd(kernel::Error{ kernel::ResultCode::UpstreamConnectFailed, "refused" });
            continue;
        }
        send->reportSent();
        const bool crashing = hasCrashingPart(send->request);
        if (crashing)
            m_crashingArrivals.push_back(now());
        const std::string resumed(http::findHeader(send->request.headers, "resume").value_or(""));
        Run run;
        run.send = send;
        run.router = router;
        run.upstream = upstream;
        run.crashing = crashing && m_partCrashes;
        run.lastEvent = std::atoi(resumed.c_str());
        run.dueAt = now() + promptTime;
        m_runs.push_back(std::move(run));
    }
}

void CrashingFleet::answerProbes(std::size_t router)
{
    Member &member = *m_routers[router];
    for (; member.handledConnects < member.http.connects.size(); ++member.handledConnects) {
        const FakeConnect connect = member.http.connects[member.handledConnects];
        if (isCut(router) && m_cutKind == CutKind::Silent) {
            const auto fail = [connect] {
                connect.callback(kernel::Error{ kernel::ResultCode::UpstreamTimeout, "silent" });
            };
            m_deliveries.push_back({ now() + silentConnectTime, fail, router });
            continue;
        }
        const bool running
            = !isCut(router) && std::ranges::any_of(m_upstreams, [&](const FleetProcess &one) {
                  return one.running && one.entry.endpoint == connect.endpoint;
              });
        if (running)
            connect.callback(kernel::Done{});
        else
            connect.callback(kernel::Error{ kernel::ResultCode::UpstreamConnectFailed, "refused" });
    }
}

void CrashingFleet::continueRuns()
{
    std::vector<Run> due;
    std::erase_if(m_runs, [&](const Run &run) {
        const bool isSilent = isCut(run.router) && m_cutKind == CutKind::Silent;
        if (run.dueAt > now() || isSilent)
            return false;
        due.push_back(run);
        return true;
    });
    for (Run &run : due)
        continueRun(std::move(run));
}

// Begins a response, sends its next event or ends it.
void CrashingFleet::continueRun(Run run)
{
    if (run.send->cancelled)
        return;
    const http::ClientHandlers handlers = run.send->handlers;
    if (isCut(run.router) && m_cutKind == CutKind::Refused) {
        handlers.onEnd(kernel::Error{ kernel::ResultCode::UpstreamBroken, "cut" });
        return;
    }
    if (run.crashing && m_upstreams[run.upstream].running && isCrashDue(run)) {
        m_crashes.push_back(now());
        crash(run.upstream);
    }
    if (!m_upstreams[run.upstream].running) {
        handlers.onEnd(kernel::Error{ kernel::ResultCode::UpstreamBroken, "crashed" });
        return;
    }
    if (!run.headSent) {
        run.headSent = true;
        run.dueAt = now() + stepTime;
        handlers.onHead({ 200, { { "proof", "p" }, { "events", "1" } } });
    } else if (run.lastEvent == m_options.eventsPerStream) {
        handlers.onEnd(kernel::Done{});
        return;
    } else {
        const std::string id = std::to_string(++run.lastEvent);
        ++run.eventsSent;
        run.dueAt = now() + eventInterval;
        handlers.onBody("id: " + id + "\ndata: x\n\n");
    }
    m_runs.push_back(std::move(run));
}

bool CrashingFleet::isCrashDue(const Run &run) const
{
    switch (m_options.moment) {
    case CrashMoment::BeforeHead:
        break;
    case CrashMoment::AfterHead:
        return run.headSent;
    case CrashMoment::WithinStream:
        return run.eventsSent == eventsBeforeCrash;
    }
    return true;
}

// The requests that ran at the upstream lose their connections.
void CrashingFleet::crash(std::size_t upstream)
{
    m_upstreams[upstream].running = false;
    m_upstreams[upstream].crashedAt = now();
    for (Run &run : m_runs) {
        if (run.upstream == upstream)
            run.dueAt = now();
    }
}

void CrashingFleet::crashUpstreams(std::size_t count)
{
    for (std::size_t i = 0; i < m_upstreams.size() && count > 0; ++i) {
        const std::size_t upstream = kernel::uniformBelow(m_random, m_upstreams.size());
        if (!m_upstreams[upstream].running)
            continue;
        crash(upstream);
        --count;
    }
}

void CrashingFleet::replaceCrashed()
{
    for (FleetProcess &upstream : m_upstreams) {
        if (upstream.running)
            continue;
        if (upstream.listed && now() - upstream.crashedAt >= listedAfterCrash) {
            upstream.listed = false;
            for (const auto &member : m_routers)
                member->forwarder->dropUpstream(upstream.entry.id);
        }
        if (now() - upstream.crashedAt < timeToReplace)
            continue;
        upstream.entry.id = kernel::UpstreamId("u" + std::to_string(m_lastProcess++));
        upstream.running = true;
        upstream.listed = true;
        for (const auto &member : m_routers)
            member->forwarder->setUpstream(upstream.entry);
    }
}

void CrashingFleet::deliverReports()
{
    std::vector<Delivery> due;
    std::erase_if(m_deliveries, [&](const Delivery &one) {
        if (one.dueAt > now())
            return false;
        due.push_back(one);
        return true;
    });
    for (const Delivery &one : due)
        one.deliver();
}

void CrashingFleet::run(kernel::Duration time, bool withCrashingPart)
{
    const kernel::Instant end = now() + time;
    const double stepSeconds = kernel::toSeconds(stepTime);
    while (now() < end) {
        if (kernel::uniform01(m_random) < m_options.soundPerSecond * stepSeconds)
            sendFromCaller(false);
        if (withCrashingPart
            && kernel::uniform01(m_random) < m_options.crashingPerSecond * stepSeconds)
            sendFromCaller(true);
        step();
    }
}

void CrashingFleet::step()
{
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        receiveRequests(i);
        answerProbes(i);
    }
    continueRuns();
    replaceCrashed();
    deliverReports();
    m_clock.advance(stepTime);
}

int CrashingFleet::crashingArrivalsSince(kernel::Instant from) const
{
    return static_cast<int>(std::ranges::count_if(
        m_crashingArrivals, [&](kernel::Instant arrival) { return arrival >= from; }));
}

double CrashingFleet::answeredShare(kernel::Instant from, kernel::Instant to,
                                    bool onlySharedFirstPart) const
{
    int sent = 0;
    int answered = 0;
    for (const SoundRequest &request : m_sound) {
        if (request.sentAt < from || request.sentAt >= to
            || (onlySharedFirstPart && !request.sharesFirstPart))
            continue;
        ++sent;
        answered += request.responder->status == 200 ? 1 : 0;
    }
    return sent == 0 ? 0 : static_cast<double>(answered) / sent;
}

std::size_t CrashingFleet::maxBlamedParts() const
{
    std::size_t most = 0;
    for (const auto &member : m_routers)
        most = std::max(most, member->forwarder->state().crashes.parts.blamed.parts.size());
    return most;
}

} // namespace acaciasail::forwarding::tests
