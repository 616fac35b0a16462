#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/http.h"
#include "poison/poison.h"
#include "upstreams/internal/job.h"
#include "upstreams/internal/retrypolicy.h"

namespace acaciasail::upstreams {

/// Function that sends an HTTP request; in production http::Client::send.
using HttpSender = std::function<std::unique_ptr<http::Exchange>(const http::ClientRequest &,
                                                                 http::ClientHandlers)>;

struct DispatcherOptions
{
    int maxAttempts = 3;
    kernel::Duration connectTimeout = std::chrono::milliseconds(500);
    /// Inactivity timeout: longest time without data from an upstream, before the response head and
    /// between pieces of the body.
    kernel::Duration idleTimeout = std::chrono::seconds(30);
    /// Timeout of the health check that tells a crashed upstream from a lost connection.
    kernel::Duration probeTimeout = std::chrono::milliseconds(500);
    RetryBudget retryBudget;
};

/// Outcome of one attempt, which the choice of upstreams uses.
struct AttemptReport
{
    kernel::UpstreamId upstream;
    kernel::ResultCode code = kernel::ResultCode::Ok;
    bool crashed = false;
    /// Measured from the start of the attempt. Set once the first token, or the response head of a
    /// service call, has arrived.
    std::optional<kernel::Duration> timeToFirstToken;
    /// Time from the start to the end of the attempt.
    kernel::Duration total{};
};

/// Callbacks to the rest of the process.
struct DispatcherHooks
{
    std::function<void(const AttemptReport &)> onAttemptEnd;
    /// Called when there is new evidence about a poison request, so that the peers get it.
    std::function<void()> onPoisonChanged;
};

/// Runs jobs as one or more attempts at upstreams. All jobs must be destroyed before the
/// dispatcher.
class Dispatcher
{
public:
    Dispatcher(const kernel::Scheduler &scheduler, HttpSender sender, kernel::Random random,
               DispatcherOptions options = {}, DispatcherHooks hooks = {});
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Starts a job. The caller must keep the returned handle until onEnd is called. onEnd is never
    /// called before run() returns.
    std::unique_ptr<Job> run(JobSpec spec, JobHandlers handlers);

    /// Returns the number of this router's attempts in flight at one upstream.
    int inFlight(const kernel::UpstreamId &upstream) const;
    /// Returns the number of this router's attempts in flight at all upstreams.
    int inFlight() const;

    /// Returns encoded evidence about poison requests for the peers, the most important first.
    std::string encodePoison() const;
    /// Merges a peer's encoded evidence. Errors: PeerProtocol.
    kernel::Result<void> mergePoison(std::string_view bytes);
    const poison::PoisonEvidenceSet &poisonEvidence() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciasail::upstreams
