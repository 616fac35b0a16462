#include "forwarding/tests/routerfleet.h"

#include <algorithm>

namespace acaciasail::forwarding::tests {

namespace {

using namespace std::chrono_literals;

constexpr kernel::Duration stepTime = 5ms;
constexpr kernel::Duration responseTime = 40ms;
constexpr kernel::Duration watchInterval = 2s;
constexpr kernel::Duration limitWindow = 4s;
constexpr double limitFactor = 1.5;
constexpr int limitSlack = 5;
constexpr kernel::Duration coldWindow = 1s;
// Longest time until a router sees a change in the store.
constexpr kernel::Duration maxDeliveryTime = 1s;
// Time after which a response that names a limit binds the router that received it.
constexpr kernel::Duration limitNoticeTime = 500ms;

std::shared_ptr<Configuration> makeConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->number = ConfigurationNumber(1);
    Route route;
    route.name = RouteName("safe");
    route.host = "site.example";
    route.pathPrefix = "/safe/";
    route.kind = RequestKind::Safe;
    route.maxAttempts = 3;
    route.timeout = 5s;
    route.latencyObjective = 500ms;
    route.services.push_back({ kernel::ServiceName("plain"), 1 });
    configuration->routes.push_back(route);
    configuration->workspaces.push_back({ kernel::WorkspaceId("makers"), std::nullopt });
    configuration->keys.emplace("key", 0);
    return configuration;
}

Upstream makeUpstream(std::size_t number)
{
    Upstream upstream;
    upstream.id = kernel::UpstreamId("u" + std::to_string(number));
    upstream.service = kernel::ServiceName("plain");
    upstream.endpoint = { "10.0.0.1", static_cast<unsigned short>(1000 + number) };
    upstream.version = SoftwareVersion("v1");
    upstream.slots = 4;
    upstream.startedAtMs = 1;
    return upstream;
}

} // namespace

RouterFleet::RouterFleet(std::size_t routers, std::size_t upstreams, std::uint64_t seed)
    : m_random(seed)
    , m_configuration(makeConfiguration())
{
    m_clock.advance(100s);
    for (std::size_t i = 0; i < upstreams; ++i)
        m_upstreams.push_back({ .entry = makeUpstream(i) });
    for (std::size_t i = 0; i < routers; ++i)
        m_routers.push_back(std::make_unique<Member>());
    for (std::size_t i = 0; i < routers; ++i)
        startRouter(i);
}

kernel::VmId RouterFleet::vmOf(std::size_t number) const
{
    return kernel::VmId("vm-" + std::to_string(number));
}

ForwarderCallbacks RouterFleet::makeCallbacks(std::size_t number)
{
    Member &member = *m_routers[number];
    ForwarderCallbacks callbacks;
    callbacks.send = member.http.sender();
    callbacks.connect = member.http.connector();
    callbacks.wire = makeTestWire();
    callbacks.writeRollout = [](const Rollout &, const RolloutStep &) {};
    callbacks.publishLimitReport
        = [this, number](const LimitReport &report) { publish(number, report); };
    callbacks.removeLimitReport = [this](const kernel::VmId &vm) { remove(vm); };
    return callbacks;
}

void RouterFleet::startRouter(std::size_t number)
{
    killRouter(number);
    Member &member = *m_routers[number];
    ForwardingOptions options;
    options.vm = vmOf(number);
    options.retries = { 0.9, 500, 10s };
    member.handledSends = member.http.sends.size();
    member.handledConnects = member.http.connects.size();
    member.registrationsDueAt.clear();
    member.evacuationsDueAt = kernel::Instant::max();
    member.forwarder = std::make_unique<Forwarder>(m_clock.scheduler(), makeCallbacks(number),
                                                   options, kernel::Random(m_random()));
    member.forwarder->setConfiguration(m_configuration, kernel::Revision(1));
    std::vector<Upstream> entries;
    for (const FleetUpstream &upstream : m_upstreams)
        entries.push_back(upstream.entry);
    member.forwarder->setUpstreams(entries);
    member.forwarder->setEvacuated(m_evacuated);
    member.forwarder->setStoreReachable(true);
    member.listDue = true;
    member.nextWatchAt = now();
}

void RouterFleet::killRouter(std::size_t number)
{
    Member &member = *m_routers[number];
    for (std::size_t i = 0; i < member.http.sends.size(); ++i)
        member.http.sends[i]->cancelled = true;
    member.forwarder = nullptr;
    for (FleetUpstream &upstream : m_upstreams)
        upstream.toldAt.erase(number);
}

void RouterFleet::setConnected(std::size_t number, bool writes, bool reads)
{
    Member &member = *m_routers[number];
    // A router lists the reports again after it could not watch them.
    member.listDue = member.listDue || (reads && !member.reads);
    member.writes = writes;
    member.reads = reads;
}

void RouterFleet::setIdle(std::size_t number, bool idle)
{
    m_routers[number]->idle = idle;
}

void RouterFleet::restartUpstream(std::size_t number)
{
    FleetUpstream &upstream = m_upstreams[number];
    ++upstream.entry.startedAtMs;
    upstream.limitPerSecond.reset();
    upstream.toldAt.clear();
    for (const auto &member : m_routers) {
        if (member->forwarder)
            member->forwarder->setUpstream(upstream.entry);
    }
}

void RouterFleet::setColdLimit(double perSecond, kernel::Duration time)
{
    m_coldTime = time;
    m_configuration = std::make_shared<Configuration>(*m_configuration);
    m_configuration->number += ConfigurationNumber(1);
    Service service;
    service.name = kernel::ServiceName("plain");
    service.coldTime = time;
    service.coldPerSecond = perSecond;
    m_configuration->services[service.name] = service;
    for (const auto &member : m_routers) {
        if (member->forwarder)
            member->forwarder->setConfiguration(m_configuration, kernel::Revision(2));
    }
}

void RouterFleet::setDataCentre(std::size_t upstream, const std::string &dataCentre)
{
    m_upstreams[upstream].entry.dataCentre = kernel::DataCentreId(dataCentre);
    for (const auto &member : m_routers)
        member->registrationsDueAt[upstream] = now();
}

kernel::Instant RouterFleet::nextDelivery()
{
    return now() + kernel::scaled(maxDeliveryTime, kernel::uniform01(m_random));
}

void RouterFleet::turnCold(std::size_t upstream)
{
    FleetUpstream &one = m_upstreams[upstream];
    one.coldUntil = now() + m_coldTime;
    // Differs from the value before, as the time that is left does.
    one.entry.coldFor = one.entry.coldFor == m_coldTime ? m_coldTime - 1ms : m_coldTime;
    for (const auto &member : m_routers)
        member->registrationsDueAt[upstream] = nextDelivery();
}

void RouterFleet::setDark(std::size_t upstream, bool dark)
{
    const bool returns = std::exchange(m_upstreams[upstream].dark, dark) && !dark;
    if (returns)
        turnCold(upstream);
}

void RouterFleet::setEvacuated(const std::set<kernel::DataCentreId> &dataCentres)
{
    m_evacuated = dataCentres;
    for (const auto &member : m_routers)
        member->evacuationsDueAt = nextDelivery();
}

void RouterFleet::deliverRegistrations(Member &member)
{
    if (!member.reads)
        return;
    std::erase_if(member.registrationsDueAt, [&](const auto &item) {
        if (item.second > now())
            return false;
        member.forwarder->setUpstream(m_upstreams[item.first].entry);
        return true;
    });
    if (member.evacuationsDueAt > now())
        return;
    member.evacuationsDueAt = kernel::Instant::max();
    member.forwarder->setEvacuated(m_evacuated);
}

void RouterFleet::answerProbes(Member &member)
{
    for (; member.handledConnects < member.http.connects.size(); ++member.handledConnects) {
        FakeConnect connect = member.http.connects[member.handledConnects];
        const auto upstream = std::ranges::find_if(m_upstreams, [&](const FleetUpstream &one) {
            return one.entry.endpoint == connect.endpoint;
        });
        if (upstream->dark)
            connect.fail();
        else
            connect.succeed();
    }
}

void RouterFleet::publish(std::size_t number, const LimitReport &report)
{
    if (!m_routers[number]->writes)
        return;
    ++m_reportWrites;
    m_store[vmOf(number)] = report;
    notifyAll(vmOf(number));
}

void RouterFleet::remove(const kernel::VmId &vm)
{
    m_store.erase(vm);
    notifyAll(vm);
}

void RouterFleet::notifyAll(const kernel::VmId &vm)
{
    for (const auto &member : m_routers)
        member->unseenChanges.insert(vm);
}

void RouterFleet::deliverReports(Member &member)
{
    if (!member.reads || now() < member.nextWatchAt
        || (!member.listDue && member.unseenChanges.empty()))
        return;
    member.nextWatchAt = now() + watchInterval;
    const std::set<kernel::VmId> changes = std::exchange(member.unseenChanges, {});
    if (std::exchange(member.listDue, false)) {
        member.forwarder->setLimitReports(m_store);
        return;
    }
    for (const kernel::VmId &vm : changes) {
        const auto stored = m_store.find(vm);
        if (stored == m_store.end())
            member.forwarder->dropLimitReport(vm);
        else
            member.forwarder->setLimitReport(vm, stored->second);
    }
}

void RouterFleet::sendFromCaller()
{
    std::vector<Forwarder *> running;
    for (const auto &member : m_routers) {
        if (member->forwarder && !member->idle)
            running.push_back(member->forwarder.get());
    }
    if (running.empty())
        return;
    Request request;
    request.id = kernel::RequestId("r" + std::to_string(++m_lastRequestNumber));
    request.method = "POST";
    request.host = "site.example";
    request.target = "/safe/x";
    request.key = "key";
    request.body = request.id.str();
    request.arrived = now();
    if (m_hotShare > 0 && kernel::uniform01(m_random) < m_hotShare)
        request.work = ModelWork{ "", 10, 10, { { "hot", 10 } } };
    m_openResponders.push_back(std::make_shared<FakeResponder>());
    running[kernel::uniformBelow(m_random, running.size())]->handle(std::move(request),
                                                                    m_openResponders.back());
}

void RouterFleet::receiveRequests(std::size_t number)
{
    Member &member = *m_routers[number];
    for (; member.handledSends < member.http.sends.size(); ++member.handledSends) {
        const std::shared_ptr<FakeSend> send = member.http.sends[member.handledSends];
        const std::string id(http::findHeader(send->request.headers, "upstream").value_or(""));
        const auto upstream = std::ranges::find_if(
            m_upstreams, [&](const FleetUpstream &one) { return one.entry.id.str() == id; });
        if (upstream->dark) {
            send->fail(kernel::ResultCode::UpstreamConnectFailed);
            continue;
        }
        const auto told = upstream->toldAt.find(number);
        const bool isTold
            = told != upstream->toldAt.end() && now() - told->second >= limitNoticeTime;
        upstream->arrivals.push_back({ now(), isTold, now() < upstream->coldUntil });
        send->reportSent();
        PendingResponse response;
        response.dueAt = now() + responseTime;
        response.send = send;
        response.upstream = static_cast<std::size_t>(upstream - m_upstreams.begin());
        response.router = number;
        response.limitPerSecond = upstream->limitPerSecond;
        m_pendingResponses.push_back(std::move(response));
    }
}

void RouterFleet::sendResponses()
{
    std::vector<PendingResponse> due;
    std::erase_if(m_pendingResponses, [&](const PendingResponse &one) {
        if (one.dueAt > now())
            return false;
        due.push_back(one);
        return true;
    });
    for (const PendingResponse &one : due) {
        if (one.send->cancelled)
            continue;
        http::Headers headers{ { "proof", "p" } };
        if (one.limitPerSecond) {
            headers.push_back({ "limit", std::to_string(*one.limitPerSecond) });
            m_upstreams[one.upstream].toldAt.try_emplace(one.router, now());
        }
        const http::ClientHandlers handlers = one.send->handlers;
        handlers.onHead({ 200, headers });
        if (!one.send->cancelled)
            handlers.onEnd(kernel::Done{});
    }
}

void RouterFleet::countResponses()
{
    std::erase_if(m_openResponders, [&](const std::shared_ptr<FakeResponder> &responder) {
        if (!responder->ended)
            return false;
        if (responder->status == 200)
            ++m_responses.served;
        else if (responder->status != 503)
            ++m_responses.other;
        else
            ++m_responses.refused;
        if (responder->status == 503 && responder->header("retry-after").empty())
            ++m_responses.refusedWithoutRetryAfter;
        return true;
    });
}

void RouterFleet::run(kernel::Duration time, double requestsPerSecond)
{
    const kernel::Instant end = now() + time;
    const double perStep = requestsPerSecond * kernel::toSeconds(stepTime);
    double due = kernel::uniform01(m_random);
    while (now() < end) {
        for (due += perStep * 2 * kernel::uniform01(m_random); due >= 1; due -= 1)
            sendFromCaller();
        for (std::size_t i = 0; i < m_routers.size(); ++i) {
            if (!m_routers[i]->forwarder)
                continue;
            receiveRequests(i);
            answerProbes(*m_routers[i]);
            deliverReports(*m_routers[i]);
            deliverRegistrations(*m_routers[i]);
        }
        sendResponses();
        countResponses();
        m_clock.advance(stepTime);
    }
}

int RouterFleet::arrivals(std::size_t upstream, kernel::Instant from, kernel::Instant to) const
{
    return static_cast<int>(
        std::ranges::count_if(m_upstreams[upstream].arrivals, [&](const FleetArrival &arrival) {
            return arrival.time >= from && arrival.time < to;
        }));
}

int RouterFleet::countMost(std::size_t upstream, kernel::Instant from, bool onlyTold) const
{
    std::vector<kernel::Instant> times;
    for (const FleetArrival &arrival : m_upstreams[upstream].arrivals) {
        if (arrival.time >= from && (arrival.fromToldRouter || !onlyTold))
            times.push_back(arrival.time);
    }
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::lower_bound(first, times.end(), *first + limitWindow);
        most = std::max(most, last - first);
    }
    return static_cast<int>(most);
}

int RouterFleet::mostColdArrivals(std::size_t upstream) const
{
    std::vector<kernel::Instant> times;
    for (const FleetArrival &arrival : m_upstreams[upstream].arrivals) {
        if (arrival.atColdUpstream)
            times.push_back(arrival.time);
    }
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::lower_bound(first, times.end(), *first + coldWindow);
        most = std::max(most, last - first);
    }
    return static_cast<int>(most);
}

int RouterFleet::maxColdArrivals(double perSecond)
{
    return static_cast<int>(limitFactor * perSecond) + limitSlack;
}

int RouterFleet::mostArrivals(std::size_t upstream, kernel::Instant from) const
{
    return countMost(upstream, from, false);
}

int RouterFleet::mostArrivalsFromTold(std::size_t upstream, kernel::Instant from) const
{
    return countMost(upstream, from, true);
}

int RouterFleet::maxArrivals(double limitPerSecond)
{
    return static_cast<int>(limitFactor * limitPerSecond * kernel::toSeconds(limitWindow))
           + limitSlack;
}

} // namespace acaciasail::forwarding::tests
