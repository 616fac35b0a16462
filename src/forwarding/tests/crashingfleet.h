#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "forwarding/tests/fakes.h"

namespace acaciasail::forwarding::tests {

/// When an upstream crashes that runs a request with the crashing part.
enum class CrashMoment {
    BeforeHead,
    AfterHead,
    WithinStream,
};

/// How the links between routers and upstreams fail. Nothing ends in either case.
enum class CutKind {
    /// Connections are reset and new ones refused.
    Refused,
    /// Nothing passes, and nobody is told.
    Silent,
};

/// How the fleet below is used.
struct CrashingFleetOptions
{
    std::size_t routers = 5;
    std::size_t upstreams = 24;
    CrashMoment moment = CrashMoment::AfterHead;
    /// The crashing part opens the prompt; otherwise it follows the part that the route's requests
    /// share.
    bool crashingPartOpensPrompt = false;
    /// Name of the crashing part; that of the shared first parts is "system" and a number.
    std::string crashingPart = "bad";
    /// Number of first parts that requests share. The requests with the crashing part share the
    /// first of them.
    std::size_t systemPrompts = 4;
    double crashingPerSecond = 6;
    double soundPerSecond = 60;
    int eventsPerStream = 12;
    /// Time until a router's report reaches the others.
    kernel::Duration reportTime = std::chrono::milliseconds(10);
    std::uint64_t seed = 1;
};

/// A sound request as its caller saw it.
struct SoundRequest
{
    kernel::Instant sentAt{};
    bool sharesFirstPart = false;
    std::shared_ptr<FakeResponder> responder;
};

/// Several routers with manual time before upstreams that crash when they run a request with a
/// certain prompt part. A crashed upstream is back as another process after some seconds. Sound
/// requests run beside, with the same key and partly the same other parts.
class CrashingFleet
{
public:
    explicit CrashingFleet(const CrashingFleetOptions &options);
    CrashingFleet(const CrashingFleet &) = delete;
    CrashingFleet &operator=(const CrashingFleet &) = delete;

    /// Sends requests at random times to random running routers, and moves time on.
    void run(kernel::Duration time, bool withCrashingPart);

    /// Sets whether the crashing part crashes upstreams; it does from the start.
    void setPartCrashes(bool crashes) { m_partCrashes = crashes; }
    /// Starts a router; one that runs is killed first. It knows what the store holds.
    void startRouter(std::size_t number);
    /// Crashes this many upstreams, which no request caused.
    void crashUpstreams(std::size_t count);
    /// Cuts the links between these routers and all upstreams, or restores all links.
    void cutLinks(const std::set<std::size_t> &routers, CutKind kind);
    void restoreLinks();

    kernel::Instant now() const { return m_clock.now(); }
    /// Returns the times at which upstreams crashed because of the crashing part.
    const std::vector<kernel::Instant> &crashes() const { return m_crashes; }
    /// Returns the number of requests with the crashing part that reached upstreams since then.
    int crashingArrivalsSince(kernel::Instant from) const;
    /// Returns the share of the sound requests sent within this span that got the start of a
    /// response; of those that share their first part only, if wanted.
    double answeredShare(kernel::Instant from, kernel::Instant to, bool onlySharedFirstPart) const;

    /// Moves time on without further requests.
    void wait(kernel::Duration time);
    /// Sends this many sound requests to a router and returns how many got the start of a response
    /// within that time.
    int serve(std::size_t router, int count, kernel::Duration time);

    /// Returns the largest number of parts that a router refuses.
    std::size_t maxBlamedParts() const;

private:
    struct Member
    {
        FakeHttp http;
        std::unique_ptr<Forwarder> forwarder;
        std::size_t handledSends = 0;
        std::size_t handledConnects = 0;
    };
    struct FleetProcess
    {
        Upstream entry;
        bool running = true;
        kernel::Instant crashedAt{};
        bool listed = true;
    };
    struct Run
    {
        std::shared_ptr<FakeSend> send;
        std::size_t router = 0;
        std::size_t upstream = 0;
        bool crashing = false;
        bool headSent = false;
        // Number of the last event of the stream, which may have come from another run.
        int lastEvent = 0;
        int eventsSent = 0;
        kernel::Instant dueAt{};
    };
    struct Delivery
    {
        kernel::Instant dueAt{};
        std::function<void()> deliver;
        // Router whose restart drops the delivery, if there is one.
        std::optional<std::size_t> router;
    };

    void sendFromCaller(bool crashing);
    void sendRequest(std::optional<std::size_t> router, bool crashing);
    bool isCut(std::size_t router) const;
    void receiveRequests(std::size_t router);
    void answerProbes(std::size_t router);
    void step();
    void continueRuns();
    void continueRun(Run run);
    bool isCrashDue(const Run &run) const;
    void crash(std::size_t upstream);
    void replaceCrashed();
    void deliverReports();
    ForwarderCallbacks makeCallbacks(std::size_t number);
    template<class Report>
    void share(std::size_t number, const Report &report);
    std::size_t upstreamWithId(std::string_view id) const;

    CrashingFleetOptions m_options;
    kernel::ManualScheduler m_clock;
    kernel::Random m_random;
    std::shared_ptr<Configuration> m_configuration;
    std::vector<FleetProcess> m_upstreams;
    std::vector<std::unique_ptr<Member>> m_routers;
    // Restores each router's last report at the router with this number.
    std::map<std::size_t, std::function<void(std::size_t)>> m_store;
    std::vector<Delivery> m_deliveries;
    std::vector<Run> m_runs;
    std::vector<SoundRequest> m_sound;
    std::vector<std::shared_ptr<FakeResponder>> m_crashingResponders;
    std::vector<kernel::Instant> m_crashes;
    std::vector<kernel::Instant> m_crashingArrivals;
    std::set<std::size_t> m_cutRouters;
    CutKind m_cutKind = CutKind::Refused;
    bool m_partCrashes = true;
    int m_lastRequest = 0;
    int m_lastProcess = 0;
};

} // namespace acaciasail::forwarding::tests
