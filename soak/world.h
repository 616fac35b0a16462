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
#include "storewriters.h"

namespace acaciasail::soak {

/// Retry budget of all routers together. It is small, so that faults exhaust it.
inline constexpr double repeatRatio = 0.05;
inline constexpr double repeatSlack = 20;
inline constexpr int repeatWindowSeconds = 10;

/// Limit of each cold runner, in requests per second from all routers, and how long it is cold.
inline constexpr double coldPerSecond = 8;
inline constexpr kernel::Duration coldTime = std::chrono::seconds(2);

/// A request whose body starts with this text crashes the runner that starts to run it.
inline constexpr std::string_view crashingBody = "crashing-";

/// The programs to run, the folder for their files and the size of the deployment.
struct WorldOptions
{
    std::string routerProgram;
    std::string folder;
    std::size_t routers = 5;
    std::size_t engines = 6;
    std::size_t desks = 4;
};

/// A router: its addresses and settings stay the same while its processes are replaced.
struct RouterPlace
{
    kernel::Endpoint callers;
    kernel::Endpoint readiness;
    kernel::Endpoint metrics;
    std::string settingsFile;
    std::string outputFile;
    std::unique_ptr<LoopbackProxy> storePath;
    std::unique_ptr<ChildProcess> process;
    int processes = 0;
    /// Whether the process was told to stop or was killed, so that its exit is expected.
    bool endExpected = false;
    kernel::Instant stopBy{};
    kernel::Timer restart;
    kernel::Timer resume;
};

/// A runner and the proxy in front of it.
struct RunnerPlace
{
    std::string id;
    std::string service;
    std::string dataCentre;
    std::unique_ptr<platform::testing::RunnerStandin> standin;
    std::unique_ptr<LoopbackProxy> path;
    std::int64_t startedAtMs = 0;
    /// Number of reports that it has written to the store.
    std::int64_t reports = 0;
    bool leaving = false;
    /// Whether its registration says that it is cold.
    bool registeredCold = false;
    /// Time since which the runner has named a rate limit.
    std::optional<kernel::Instant> limitedSince;
};

/// The deployment under test: router processes between a store, runners and callers. All but the
/// routers are stand-ins on one event loop.
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
    /// Returns nullptr if the runner has ended.
    RunnerPlace *findRunner(const std::string &id);

    /// Writes the next configuration, with or without the extra route.
    void configure(bool withExtraRoute);
    bool extraRoute() const { return m_extraRoute; }
    kernel::Instant configuredAt() const { return m_configuredAt; }

    void stopRouter(std::size_t number);
    void killRouter(std::size_t number);
    void reloadRouter(std::size_t number);
    void pauseRouter(std::size_t number, kernel::Duration time);
    /// Restarts routers that have exited, and records unexpected exits.
    void watchRouters();
    /// Writes or removes an entry as another writer does.
    void putEntry(const std::string &kind, const std::string &name, const nlohmann::json &spec)
    {
        m_writers.put(kind, name, spec);
    }
    void removeEntry(const std::string &kind, const std::string &name)
    {
        m_writers.remove(kind, name);
    }
    /// Lets the store go away and come back from an older copy. What operators and runners wrote
    /// since is written again after a delay.
    void restoreStore(kernel::Duration away, kernel::Duration writeDelay);
    /// Replaces a runner as the platform does: it registers as leaving, and ends some seconds
    /// later.
    void replaceRunner(std::size_t index);
    /// The registration of a runner says that it leaves, its responses don't. Some seconds later it
    /// ends.
    void registerLeaving(const std::string &id);
    /// A runner announces in its responses, for this time, that it leaves; its registration does
    /// not say so. Some seconds later it ends.
    void announceLeaving(std::size_t index, kernel::Duration time);
    /// A runner refuses all requests for this time, with this Retry-After in seconds.
    void requestCooldown(std::size_t index, const std::string &retryAfter, kernel::Duration time);
    /// Lets a runner name a rate limit for some time.
    void limitRunner(std::size_t index, const std::string &perSecond, kernel::Duration time);
    /// Evacuates a data centre for some time; its runners are cold at the end.
    void evacuate(const std::string &dataCentre, kernel::Duration time);
    /// Ends a runner at once; the store learns of it later.
    void killRunner(std::size_t index);

    /// Sets the function that is called with the id and body of each request that crashes a runner.
    void setCrashHandler(std::function<void(const std::string &, const std::string &)> function)
    {
        m_onRunnerCrash = std::move(function);
    }
    /// Returns whether a fault or planned work has affected a router or its path to the store since
    /// then.
    bool isDisturbed(std::size_t router, kernel::Instant since) const;

    void recordUnplanned(const std::string &what, kernel::Duration time,
                         std::optional<std::size_t> router = {});
    void recordPlanned(const std::string &what, kernel::Duration time,
                       std::optional<std::size_t> router = {});
    void recordPathTrouble(const std::string &runner, kernel::Duration time);
    void recordStoreTrouble(kernel::Duration time, std::optional<std::size_t> router = {});
    /// Time that a healthy runner takes for a request, and between the events of a stream.
    static kernel::Duration workTime();
    /// Records the runs of the runners that still exist.
    void finish();

private:
    kernel::Endpoint unusedEndpoint();
    void addRouter(std::size_t number);
    void startRouter(std::size_t number);
    void addRunner(const std::string &service, bool registeredCold = false);
    void setRegisteredCold(const std::string &dataCentre, bool cold);
    void recordCold(const RunnerPlace &runner);
    void registerRunner(RunnerPlace &runner);
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
    StoreWriters m_writers;
    Record m_record;
    std::set<std::string> m_usedEndpoints;
    std::vector<RouterPlace> m_routers;
    std::vector<std::unique_ptr<RunnerPlace>> m_runners;
    std::function<void(const std::string &, const std::string &)> m_onRunnerCrash;
    // A deque, because a timer that fires may add another one.
    std::deque<kernel::Timer> m_timers;
    kernel::Timer m_sampler;
    int m_lastRunner = 0;
    int m_version = 0;
    bool m_extraRoute = false;
    kernel::Instant m_configuredAt{};
};

} // namespace acaciasail::soak
