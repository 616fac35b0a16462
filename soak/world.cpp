#include "world.h"

#include <algorithm>
#include <csignal>
#include <fstream>

#include <sys/socket.h>
#include <unistd.h>

#include "http/internal/address.h"
#include "platform/testing/wireforms.h"

namespace acaciasail::soak {

namespace {

using platform::testing::RouteSpec;
using platform::testing::RunnerStandin;

constexpr kernel::Duration stopTimeout = std::chrono::seconds(4);
constexpr kernel::Duration balancerDelay = std::chrono::milliseconds(600);
constexpr kernel::Duration stopTolerance = std::chrono::seconds(1);
// Delay before a router that has exited is started again.
constexpr kernel::Duration restartDelay = std::chrono::milliseconds(150);
// Time from a process's start until it serves.
constexpr kernel::Duration startTime = std::chrono::milliseconds(800);
// Time after which the store learns that a runner is gone.
constexpr kernel::Duration lapseTime = std::chrono::milliseconds(600);
// Time for which a leaving runner keeps serving.
constexpr kernel::Duration leaveTime = std::chrono::milliseconds(3500);
// A runner whose registration alone says that it leaves ends after this time, which is long enough
// for late requests to show.
constexpr kernel::Duration registeredLeaveTime = std::chrono::seconds(7);
// A runner that announces its leaving only in its responses ends after this time.
constexpr kernel::Duration unregisteredLeaveTime = std::chrono::seconds(5);
constexpr kernel::Duration newRunnerDelay = std::chrono::milliseconds(300);
constexpr kernel::Duration sampleInterval = std::chrono::seconds(1);
constexpr int eventsPerStream = 30;
constexpr kernel::Duration usualWork = std::chrono::milliseconds(15);

// Returns a loopback address for the routers of this run, so that neither another run nor an
// outgoing connection takes a port that a router needs again.
std::string ownLoopback()
{
    constexpr int octet = 250;
    const int pid = getpid();
    return "127." + std::to_string(1 + pid / octet % octet) + "." + std::to_string(1 + pid % octet)
           + ".1";
}

// Returns an endpoint on which nothing listens at present.
kernel::Endpoint freeEndpoint()
{
    auto fd = kernel::capture([] { return http::openListener({ ownLoopback(), 0 }); });
    http::SocketAddress bound;
    bound.length = sizeof bound.storage;
    getsockname(fd.value(), bound.get(), &bound.length);
    close(fd.value());
    return http::toEndpoint(bound);
}

} // namespace

World::World(http::EventLoop &loop, const WorldOptions &options)
    : m_loop(loop)
    , m_options(options)
    , m_store(loop, { "127.0.0.1", 0 })
    , m_writers(m_store)
{
    configure(false);
    for (std::size_t i = 0; i < m_options.engines; ++i)
        addRunner("engines");
    for (std::size_t i = 0; i < m_options.desks; ++i)
        addRunner("desk");
    m_routers.resize(m_options.routers);
    for (std::size_t i = 0; i < m_options.routers; ++i)
        addRouter(i);
    sampleTotals();
}

void World::configure(bool withExtraRoute)
{
    std::vector<RouteSpec> routes{ { "look", "safe", "desk" },
                                   { "desk", "unsafe", "desk" },
                                   { "chat", "streaming", "engines" } };
    if (withExtraRoute)
        routes.push_back({ "extra", "safe", "desk" });
    m_extraRoute = withExtraRoute;
    m_configuredAt = scheduler().now();
    auto spec = platform::testing::makeConfigurationSpec(++m_version, routes);
    for (const char *service : { "desk", "engines" })
        platform::testing::addColdLimit(spec, service, coldPerSecond, coldTime);
    m_writers.put("config", "main", spec);
}

void World::addRouter(std::size_t number)
{
    RouterPlace &place = m_routers[number];
    place.callers = unusedEndpoint();
    place.readiness = unusedEndpoint();
    place.metrics = unusedEndpoint();
    place.storePath = std::make_unique<LoopbackProxy>(m_loop, m_store.endpoint());
    const std::string base = m_options.folder + "/router-" + std::to_string(number);
    place.settingsFile = base + ".toml";
    place.outputFile = base + ".log";
    std::ofstream(place.settingsFile)
        << "[router]\nvm = \"vm-" << number << "\"\ndata_centre = \"z\"\n[callers]\nlisten = \""
        << kernel::toString(place.callers) << "\"\n[readiness]\nlisten = \""
        << kernel::toString(place.readiness) << "\"\n[metrics]\nlisten = \""
        << kernel::toString(place.metrics) << "\"\n[store]\naddress = \""
        << kernel::toString(place.storePath->endpoint()) << "\"\n[retries]\nratio = " << repeatRatio
        << "\nslack = " << repeatSlack << "\nwindow_s = " << repeatWindowSeconds
        << "\n[stop]\ntimeout_s = " << kernel::toSeconds(stopTimeout)
        << "\nbalancer_delay_s = " << kernel::toSeconds(balancerDelay)
        << "\n[evacuations]\nfollow = true\n";
    startRouter(number);
}

// Returns an endpoint that no other router of this run uses, including routers that don't listen
// yet.
kernel::Endpoint World::unusedEndpoint()
{
    kernel::Endpoint endpoint = freeEndpoint();
    while (!m_usedEndpoints.insert(kernel::toString(endpoint)).second)
        endpoint = freeEndpoint();
    return endpoint;
}

void World::startRouter(std::size_t number)
{
    RouterPlace &place = m_routers[number];
    place.process = std::make_unique<ChildProcess>(
        std::vector<std::string>{ m_options.routerProgram, "--settings", place.settingsFile },
        place.outputFile);
    ++place.processes;
    place.endExpected = false;
    recordPlanned("start", startTime, number);
}

void World::stopRouter(std::size_t number)
{
    RouterPlace &place = m_routers[number];
    if (!place.process || !place.process->running() || place.endExpected)
        return;
    place.endExpected = true;
    place.stopBy = scheduler().now() + stopTimeout + stopTolerance;
    recordPlanned("stop", stopTimeout + stopTolerance, number);
    place.process->signal(SIGTERM);
}

void World::killRouter(std::size_t number)
{
    RouterPlace &place = m_routers[number];
    if (!place.process)
        return;
    place.endExpected = true;
    place.stopBy = {};
    recordUnplanned("kill", startTime, number);
    place.process->signal(SIGKILL);
}

void World::reloadRouter(std::size_t number)
{
    RouterPlace &place = m_routers[number];
    if (place.process && !place.process->hasDefaultAction(SIGHUP))
        place.process->signal(SIGHUP);
}

void World::pauseRouter(std::size_t number, kernel::Duration time)
{
    RouterPlace &place = m_routers[number];
    if (!place.process || !place.process->running())
        return;
    recordUnplanned("pause", time, number);
    if (place.stopBy != kernel::Instant{})
        place.stopBy += time;
    place.process->signal(SIGSTOP);
    place.resume = kernel::Timer(scheduler(), time, [&place] {
        if (place.process)
            place.process->signal(SIGCONT);
    });
}

void World::watchRouters()
{
    for (std::size_t i = 0; i < m_routers.size(); ++i) {
        RouterPlace &place = m_routers[i];
        if (!place.process)
            continue;
        if (place.process->running()) {
            if (place.stopBy != kernel::Instant{} && scheduler().now() > place.stopBy) {
                m_record.broken.push_back("a process that is told to stop ends in time: router "
                                          + std::to_string(i));
                place.stopBy = {};
            }
            continue;
        }
        const std::string ending = place.process->ending();
        // A process that is told to stop before it handles signals is ended by the signal.
        const bool asTold = ending == "exit 0" || ending == "signal 9" || ending == "signal 15";
        if (!place.endExpected || !asTold) {
            m_record.broken.push_back(
                "no process ends by itself: router " + std::to_string(i) + " process "
                + std::to_string(place.processes) + " ended by " + ending + " at "
                + std::to_string(kernel::toMilliseconds(scheduler().now().time_since_epoch()))
                + " ms");
            recordUnplanned("own end", startTime, i);
        }
        place.process = nullptr;
        place.stopBy = {};
        place.restart = kernel::Timer(scheduler(), restartDelay, [this, i] { startRouter(i); });
    }
}

void World::addRunner(const std::string &service, bool registeredCold)
{
    auto place = std::make_unique<RunnerPlace>();
    place->id = service + "-" + std::to_string(++m_lastRunner);
    place->service = service;
    place->dataCentre = m_lastRunner % 2 == 0 ? "z" : "z2";
    place->startedAtMs = kernel::toMilliseconds(scheduler().wallNow().time_since_epoch());
    place->registeredCold = registeredCold;
    m_record.dataCentreOfRunner[place->id] = place->dataCentre;
    if (registeredCold)
        recordCold(*place);
    place->standin
        = std::make_unique<RunnerStandin>(m_loop, kernel::Endpoint{ "127.0.0.1", 0 }, place->id);
    place->standin->behaviour().eventsPerStream = eventsPerStream;
    place->standin->behaviour().work = usualWork;
    place->standin->behaviour().crashBodyPrefix = crashingBody;
    // Every second runner writes a head before it crashes.
    if (m_lastRunner % 2 == 0)
        place->standin->behaviour().crashAfterEvents = 0;
    place->standin->setCrashHandler(
        [this, id = place->id](const platform::testing::ReceivedRequest &request) {
            onRunnerCrash(id, request);
        });
    place->path = std::make_unique<LoopbackProxy>(m_loop, place->standin->endpoint());
    registerRunner(*place);
    m_runners.push_back(std::move(place));
}

void World::registerRunner(RunnerPlace &runner)
{
    auto spec = platform::testing::makeRunnerSpec(runner.service, runner.path->endpoint(),
                                                  runner.leaving);
    platform::testing::setDataCentre(spec, runner.dataCentre);
    if (runner.registeredCold)
        platform::testing::setColdTime(spec, coldTime);
    platform::testing::setReport(spec, runner.startedAtMs, ++runner.reports);
    m_writers.put("servers", runner.id, spec);
}

void World::recordCold(const RunnerPlace &runner)
{
    const kernel::Instant now = scheduler().now();
    m_record.coldTimes.push_back({ runner.id, now, now + coldTime });
}

void World::evacuate(const std::string &dataCentre, kernel::Duration time)
{
    m_writers.put("evacuations", dataCentre, nlohmann::json::object());
    m_record.evacuations.push_back({ dataCentre, scheduler().now() });
    recordPlanned("evacuation", time + coldTime);
    m_timers.emplace_back(scheduler(), time, [this, dataCentre] {
        setRegisteredCold(dataCentre, true);
        m_writers.remove("evacuations", dataCentre);
        m_record.evacuations.back().to = scheduler().now();
    });
    m_timers.emplace_back(scheduler(), time + coldTime,
                          [this, dataCentre] { setRegisteredCold(dataCentre, false); });
}

void World::setRegisteredCold(const std::string &dataCentre, bool cold)
{
    for (const auto &runner : m_runners) {
        if (runner->dataCentre != dataCentre || runner->registeredCold == cold)
            continue;
        runner->registeredCold = cold;
        registerRunner(*runner);
        if (cold)
            recordCold(*runner);
    }
}

void World::restoreStore(kernel::Duration away, kernel::Duration writeDelay)
{
    recordStoreTrouble(away + writeDelay);
    m_store.setBehaviour(platform::testing::StoreBehaviour::ResetsConnections);
    m_timers.emplace_back(scheduler(), away, [this] {
        m_writers.restoreCopy();
        m_store.setBehaviour(platform::testing::StoreBehaviour::Normal);
    });
    m_timers.emplace_back(scheduler(), away + writeDelay, [this] { m_writers.writeAgain(); });
}

void World::replaceRunner(std::size_t index)
{
    RunnerPlace &runner = *m_runners[index];
    if (runner.leaving)
        return;
    runner.leaving = true;
    runner.standin->behaviour().announcesLeaving = true;
    registerRunner(runner);
    recordPlanned("runner leaves", leaveTime);
    addRunner(runner.service);
    m_timers.emplace_back(scheduler(), leaveTime, [this, id = runner.id] {
        m_writers.remove("servers", id);
        removeRunner(id);
    });
}

void World::registerLeaving(const std::string &id)
{
    RunnerPlace *runner = findRunner(id);
    if (runner == nullptr || runner->leaving)
        return;
    runner->leaving = true;
    registerRunner(*runner);
    m_record.registeredLeaving[id] = scheduler().now();
    recordPlanned("runner leaves", registeredLeaveTime);
    addRunner(runner->service);
    m_timers.emplace_back(scheduler(), registeredLeaveTime, [this, id] {
        m_writers.remove("servers", id);
        removeRunner(id);
    });
}

void World::announceLeaving(std::size_t index, kernel::Duration time)
{
    RunnerPlace &runner = *m_runners[index];
    if (runner.leaving)
        return;
    runner.leaving = true;
    const std::string id = runner.id;
    runner.standin->behaviour().announcesLeaving = true;
    changeRunnerLater(id, time, [](auto &behaviour) { behaviour.announcesLeaving = false; });
    m_timers.emplace_back(scheduler(), unregisteredLeaveTime, [this, id] {
        recordUnplanned("leaving runner ends", lapseTime);
        endRunner(id);
    });
    addRunner(runner.service);
}

void World::requestCooldown(std::size_t index, const std::string &retryAfter, kernel::Duration time)
{
    RunnerPlace &runner = *m_runners[index];
    recordUnplanned("runner " + runner.id + " asks for a cooldown",
                    time + kernel::fromSeconds(std::atof(retryAfter.c_str())));
    runner.standin->behaviour().retryAfterSeconds = retryAfter;
    changeRunnerLater(runner.id, time,
                      [](auto &behaviour) { behaviour.retryAfterSeconds.clear(); });
}

void World::changeRunnerLater(const std::string &id, kernel::Duration time,
                              std::function<void(platform::testing::RunnerBehaviour &)> change)
{
    m_timers.emplace_back(scheduler(), time, [this, id, change = std::move(change)] {
        if (RunnerPlace *runner = findRunner(id))
            change(runner->standin->behaviour());
    });
}

void World::limitRunner(std::size_t index, const std::string &perSecond, kernel::Duration time)
{
    RunnerPlace &runner = *m_runners[index];
    if (runner.limitedSince)
        return;
    runner.limitedSince = scheduler().now();
    runner.standin->behaviour().limitPerSecond = perSecond;
    m_timers.emplace_back(scheduler(), time, [this, id = runner.id] {
        if (RunnerPlace *place = findRunner(id))
            endLimit(*place);
    });
}

void World::endLimit(RunnerPlace &runner)
{
    if (!runner.limitedSince)
        return;
    const std::string text = std::exchange(runner.standin->behaviour().limitPerSecond, {});
    m_record.limited.push_back(
        { runner.id, std::atof(text.c_str()), *runner.limitedSince, scheduler().now() });
    runner.limitedSince.reset();
}

void World::killRunner(std::size_t index)
{
    recordUnplanned("runner killed", lapseTime);
    // A copy, because the runner is destroyed.
    const std::string id = m_runners[index]->id;
    endRunner(id);
}

// A timer ends the runner, which can't be destroyed within its own callback.
void World::onRunnerCrash(const std::string &id, const platform::testing::ReceivedRequest &request)
{
    recordUnplanned("runner crashed at " + request.id, lapseTime);
    // A crashed process refuses connections before others see that it is gone.
    if (RunnerPlace *runner = findRunner(id))
        runner->path->stopListening();
    m_timers.emplace_back(scheduler(), kernel::Duration{}, [this, id] { endRunner(id); });
    if (m_onRunnerCrash)
        m_onRunnerCrash(request.id, request.body);
}

RunnerPlace *World::findRunner(const std::string &id)
{
    const auto found = std::ranges::find(m_runners, id, &RunnerPlace::id);
    return found == m_runners.end() ? nullptr : found->get();
}

void World::endRunner(const std::string &id)
{
    const RunnerPlace *runner = findRunner(id);
    if (runner == nullptr)
        return;
    const std::string service = runner->service;
    const bool wasLeaving = runner->leaving;
    removeRunner(id);
    m_timers.emplace_back(scheduler(), lapseTime, [this, id] { m_writers.remove("servers", id); });
    if (!wasLeaving) {
        m_timers.emplace_back(scheduler(), newRunnerDelay,
                              [this, service] { addRunner(service, true); });
    }
}

// Destroys a runner and resets its connections.
void World::removeRunner(const std::string &id)
{
    const auto found = std::ranges::find(m_runners, id, &RunnerPlace::id);
    if (found == m_runners.end())
        return;
    countRuns(**found);
    endLimit(**found);
    (*found)->path->stopListening();
    (*found)->path->resetConnections();
    m_runners.erase(found);
}

void World::countRuns(const RunnerPlace &runner)
{
    for (const auto &[request, count] : runner.standin->runCounts())
        m_record.runs[request] += count;
    m_record.arrivals[runner.id] = runner.standin->arrivals();
}

void World::sampleTotals()
{
    std::int64_t runs = 0;
    for (const auto &[request, count] : m_record.runs)
        runs += count;
    for (const auto &runner : m_runners) {
        for (const auto &[request, count] : runner->standin->runCounts())
            runs += count;
    }
    m_record.totals.emplace_back(static_cast<std::int64_t>(m_record.asked.size()), runs);
    m_writers.takeCopy();
    m_sampler = kernel::Timer(scheduler(), sampleInterval, [this] { sampleTotals(); });
}

void World::recordUnplanned(const std::string &what, kernel::Duration time,
                            std::optional<std::size_t> router)
{
    const kernel::Instant now = scheduler().now();
    m_record.unplanned.push_back({ now, now + time, what, router });
}

void World::recordPlanned(const std::string &what, kernel::Duration time,
                          std::optional<std::size_t> router)
{
    const kernel::Instant now = scheduler().now();
    m_record.planned.push_back({ now, now + time, what, router });
}

void World::recordPathTrouble(const std::string &runner, kernel::Duration time)
{
    const kernel::Instant now = scheduler().now();
    m_record.pathTrouble[runner].push_back({ now, now + time, "path", {} });
}

void World::recordStoreTrouble(kernel::Duration time, std::optional<std::size_t> router)
{
    const kernel::Instant now = scheduler().now();
    m_record.storeTrouble.push_back({ now, now + time, "store", router });
}

bool World::isDisturbed(std::size_t router, kernel::Instant since) const
{
    const auto touches = [&](const Disturbance &one) {
        return (!one.router || *one.router == router) && one.to >= since;
    };
    // Faults of runners do not affect a router by themselves.
    const auto touchesIt = [&](const Disturbance &one) { return one.router && touches(one); };
    return std::ranges::any_of(m_record.storeTrouble, touches)
           || std::ranges::any_of(m_record.unplanned, touchesIt)
           || std::ranges::any_of(m_record.planned, touchesIt);
}

kernel::Duration World::workTime()
{
    return usualWork;
}

void World::finish()
{
    for (const auto &runner : m_runners) {
        countRuns(*runner);
        endLimit(*runner);
    }
}

} // namespace acaciasail::soak
