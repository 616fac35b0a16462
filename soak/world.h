#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "childprocess.h"
#include "loopbackproxy.h"
#include "platform/testing/runnerstandin.h"
#include "platform/testing/storestandin.h"
#include "record.h"

namespace acaciasail::soak {

/// What the routers are told of repeats: each spends its own part, and all together stay below.
/// Small, so that faults reach the bound.
inline constexpr double repeatRatio = 0.05;
inline constexpr double repeatSlack = 20;
inline constexpr int repeatWindowSeconds = 10;

/// Bodies that begin so crash the runner that begins to run them.
inline constexpr std::string_view crashingBody = "crashing-";

/// Which programs run, and where their files go.
struct WorldOptions
{
    std::string routerProgram;
    std::string folder;
    std::size_t routers = 5;
    std::size_t engines = 6;
    std::size_t desks = 4;
};

/// One router's place: its addresses and settings last, its processes come and go.
struct RouterPlace
{
    kernel::Endpoint callers;
    kernel::Endpoint readiness;
    std::string settingsFile;
    std::string outputFile;
    std::unique_ptr<LoopbackProxy> storePath;
    std::unique_ptr<ChildProcess> process;
    int processes = 0;
    /// An end of the process is expected: it was told to stop or was killed.
    bool endExpected = false;
    kernel::Instant startedAt{};
    kernel::Instant stopBy{};
    kernel::Timer restart;
    kernel::Timer resume;
};

/// A runner with the path to it.
struct RunnerPlace
{
    std::string id;
    std::string service;
    std::unique_ptr<platform::testing::RunnerStandin> standin;
    std::unique_ptr<LoopbackProxy> path;
    bool leaving = false;
    /// Since when the runner names a rate limit.
    std::optional<kernel::Instant> limitedSince;
};

/// The deployment that a soak runs: router processes between a store, runners and callers, all of
/// which are stand-ins on one loop.
class World
{
public:
    World(http::EventLoop &loop, const WorldOptions &options);
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    const kernel::Scheduler &scheduler() const { return m_loop.scheduler(); }
    platform::testing::StoreStandin &store() { return m_store; }
    std::vector<RouterPlace> &routers() { return m_routers; }
    std::vector<std::unique_ptr<RunnerPlace>> &runners() { return m_runners; }
    Record &record() { return m_record; }

    /// Writes the next configuration; the extra route is there or not.
    void configure(bool withExtraRoute);
    bool extraRoute() const { return m_extraRoute; }
    kernel::Instant configuredAt() const { return m_configuredAt; }

    void stopRouter(std::size_t number);
    void killRouter(std::size_t number);
    void reloadRouter(std::size_t number);
    void pauseRouter(std::size_t number, kernel::Duration time);
    /// Restarts what has ended, and notes processes that ended by themselves.
    void watchRouters();
    /// Runners leave as the platform tells them to: first they say so.
    void replaceRunner(std::size_t index);
    /// A runner announces in its responses, for this time, that it leaves; its registration does
    /// not say so. Some seconds later it ends.
    void announceLeaving(std::size_t index, kernel::Duration time);
    /// A runner refuses all requests for this time, with this Retry-After in seconds.
    void requestCooldown(std::size_t index, const std::string &retryAfter, kernel::Duration time);
    /// Lets a runner name a rate limit for some time.
    void limitRunner(std::size_t index, const std::string &perSecond, kernel::Duration time);
    /// A runner ends at once; the store hears of it later.
    void killRunner(std::size_t index);

    /// Called with a request's id and body when it has ended its runner.
    void whenRunnerCrashes(std::function<void(const std::string &, const std::string &)> function)
    {
        m_onRunnerCrash = std::move(function);
    }
    /// Whether a router or its path to the store was in trouble, or worked on, since then.
    bool isDisturbed(std::size_t router, kernel::Instant since) const;

    void noteUnplanned(const std::string &what, kernel::Duration time,
                       std::optional<std::size_t> router = {});
    void notePlanned(const std::string &what, kernel::Duration time,
                     std::optional<std::size_t> router = {});
    void notePathTrouble(const std::string &runner, kernel::Duration time);
    void noteStoreTrouble(kernel::Duration time, std::optional<std::size_t> router = {});
    /// Time that a runner in good order takes for a request, and between a stream's events.
    static kernel::Duration workTime();
    /// Counts the runs of runners that are still there.
    void finish();

private:
    kernel::Endpoint unusedEndpoint();
    void addRouter(std::size_t number);
    void startRouter(std::size_t number);
    void addRunner(const std::string &service);
    void registerRunner(const RunnerPlace &runner);
    void removeRunner(const std::string &id);
    // Changes the runner's behaviour after this time, if it is still there.
    void changeRunnerLater(const std::string &id, kernel::Duration time,
                           std::function<void(platform::testing::RunnerBehaviour &)> change);
    void onRunnerCrash(const std::string &id, const platform::testing::ReceivedRequest &request);
    void endRunner(const std::string &id);
    void countRuns(const RunnerPlace &runner);
    void endLimit(RunnerPlace &runner);
    void sampleTotals();

    http::EventLoop &m_loop;
    WorldOptions m_options;
    platform::testing::StoreStandin m_store;
    Record m_record;
    std::set<std::string> m_usedEndpoints;
    std::vector<RouterPlace> m_routers;
    std::vector<std::unique_ptr<RunnerPlace>> m_runners;
    std::function<void(const std::string &, const std::string &)> m_onRunnerCrash;
    // Timers stay where they are, as one may set another.
    std::deque<kernel::Timer> m_timers;
    kernel::Timer m_sampler;
    int m_lastRunner = 0;
    int m_version = 0;
    bool m_extraRoute = false;
    kernel::Instant m_configuredAt{};
};

} // namespace acaciasail::soak
