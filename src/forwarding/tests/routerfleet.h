#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "forwarding/tests/fakes.h"

namespace acaciasail::forwarding::tests {

/// Arrival of a request at an upstream.
struct FleetArrival
{
    kernel::Instant time{};
    /// The router had received a response that names the limit half a second before or earlier.
    bool fromToldRouter = false;
    /// The upstream was cold.
    bool atColdUpstream = false;
};

/// An upstream of the fleet below. It may name a rate limit or be cold; it enforces no limit.
struct FleetUpstream
{
    Upstream entry;
    std::optional<double> limitPerSecond;
    /// Arrivals from all routers.
    std::vector<FleetArrival> arrivals;
    /// Times at which the running routers first received a response that names the limit.
    std::map<std::size_t, kernel::Instant> toldAt;
    /// Whether it refuses connections.
    bool dark = false;
    kernel::Instant coldUntil{};
};

/// Responses that the callers of the fleet got.
struct FleetResponses
{
    int served = 0;
    int refused = 0;
    int refusedWithoutRetryAfter = 0;
    int other = 0;
};

/// Several routers with manual time, which share upstreams and a store of reports on rate limits.
class RouterFleet
{
public:
    RouterFleet(std::size_t routers, std::size_t upstreams, std::uint64_t seed);
    RouterFleet(const RouterFleet &) = delete;
    RouterFleet &operator=(const RouterFleet &) = delete;

    /// Sends requests at random times to random running routers, and moves time on.
    void run(kernel::Duration time, double requestsPerSecond);

    /// Starts a router; one that runs is killed first.
    void startRouter(std::size_t number);
    /// Ends a router at once; its report stays in the store.
    void killRouter(std::size_t number);
    /// Sets whether the router's reports reach the store, and whether it sees those of others.
    void setConnected(std::size_t number, bool writes, bool reads);
    /// Replaces an upstream's process under the same id.
    void restartUpstream(std::size_t number);
    /// Sets the limit of cold upstreams in requests per second, and the time for which they stay
    /// cold.
    void setColdLimit(double perSecond, kernel::Duration time);
    /// Moves an upstream to a data centre, before the routers are told of it.
    void setDataCentre(std::size_t upstream, const std::string &dataCentre);
    /// The upstream turns cold. Its registration says so at once; routers see that up to a second
    /// later, or when they see the store again.
    void turnCold(std::size_t upstream);
    /// The upstream refuses connections, until it comes back cold, as the same process.
    void setDark(std::size_t upstream, bool dark);
    /// The store's evacuations; routers see them as they see registrations.
    void setEvacuated(const std::set<kernel::DataCentreId> &dataCentres);
    /// Part of the callers' requests that belong to a single session.
    void setHotShare(double share) { m_hotShare = share; }
    /// Routers that get no requests from callers.
    void setIdle(std::size_t number, bool idle);

    kernel::Instant now() const { return m_clock.now(); }
    std::size_t size() const { return m_routers.size(); }
    std::vector<FleetUpstream> &upstreams() { return m_upstreams; }
    FleetResponses &responses() { return m_responses; }
    std::size_t storedReports() const { return m_store.size(); }
    int reportWrites() const { return m_reportWrites; }

    /// Returns the number of arrivals at an upstream in a span of time.
    int arrivals(std::size_t upstream, kernel::Instant from, kernel::Instant to) const;
    /// Returns the largest number of arrivals in a window of four seconds that starts at `from` or
    /// later.
    int mostArrivals(std::size_t upstream, kernel::Instant from) const;
    /// The same for the arrivals from routers that were told the limit by the upstream.
    int mostArrivalsFromTold(std::size_t upstream, kernel::Instant from) const;
    /// Returns the largest number of arrivals within a second while the upstream was cold.
    int mostColdArrivals(std::size_t upstream) const;
    /// Returns the number of arrivals that are allowed in a second while an upstream is cold.
    static int maxColdArrivals(double perSecond);
    /// Returns the number of arrivals that a limit allows in such a window.
    static int maxArrivals(double limitPerSecond);

private:
    struct Member
    {
        FakeHttp http;
        std::unique_ptr<Forwarder> forwarder;
        bool writes = true;
        bool reads = true;
        bool idle = false;
        bool listDue = true;
        std::set<kernel::VmId> unseenChanges;
        kernel::Instant nextWatchAt{};
        std::size_t handledSends = 0;
        std::size_t handledConnects = 0;
        /// Times at which the router sees registrations that changed, and the evacuations.
        std::map<std::size_t, kernel::Instant> registrationsDueAt;
        kernel::Instant evacuationsDueAt = kernel::Instant::max();
    };
    struct PendingResponse
    {
        kernel::Instant dueAt{};
        std::shared_ptr<FakeSend> send;
        std::size_t upstream = 0;
        std::size_t router = 0;
        std::optional<double> limitPerSecond;
    };

    kernel::VmId vmOf(std::size_t number) const;
    ForwarderCallbacks makeCallbacks(std::size_t number);
    void publish(std::size_t number, const LimitReport &report);
    void remove(const kernel::VmId &vm);
    void notifyAll(const kernel::VmId &vm);
    void deliverReports(Member &member);
    void deliverRegistrations(Member &member);
    void answerProbes(Member &member);
    kernel::Instant nextDelivery();
    void sendFromCaller();
    void receiveRequests(std::size_t number);
    int countMost(std::size_t upstream, kernel::Instant from, bool onlyTold) const;
    void sendResponses();
    void countResponses();

    kernel::ManualScheduler m_clock;
    kernel::Random m_random;
    std::shared_ptr<Configuration> m_configuration;
    std::vector<FleetUpstream> m_upstreams;
    std::vector<std::unique_ptr<Member>> m_routers;
    std::map<kernel::VmId, LimitReport> m_store;
    std::vector<PendingResponse> m_pendingResponses;
    std::vector<std::shared_ptr<FakeResponder>> m_openResponders;
    FleetResponses m_responses;
    kernel::Duration m_coldTime{};
    std::set<kernel::DataCentreId> m_evacuated;
    double m_hotShare = 0;
    int m_reportWrites = 0;
    int m_lastRequestNumber = 0;
};

} // namespace acaciasail::forwarding::tests
