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

/// Sends a request over HTTP; a daemon fills it from http::Client::send.
using HttpSender = std::function<std::unique_ptr<http::Exchange>(const http::ClientRequest &,
                                                                 http::ClientHandlers)>;

/// Settings of a dispatcher.
struct DispatcherOptions
{
    int maxAttempts = 3;
    kernel::Duration connectTimeout = std::chrono::milliseconds(500);
    /// Longest silence of an upstream before the head and between pieces.
    kernel::Duration idleTimeout = std::chrono::seconds(30);
    /// Time for an upstream to show that it did not crash.
    kernel::Duration probeTimeout = std::chrono::milliseconds(500);
    RetryBudget retryBudget;
};

/// How one attempt ended, for the choice of upstreams.
struct AttemptReport
{
    kernel::UpstreamId upstream;
    kernel::ResultCode code = kernel::ResultCode::Ok;
    bool crashed = false;
    /// From the attempt's start; set once a token or head came.
    std::optional<kernel::Duration> timeToFirstToken;
    kernel::Duration total{};
};

/// What the rest of the process wants to hear.
struct DispatcherHooks
{
    std::function<void(const AttemptReport &)> onAttemptEnd;
    /// New evidence against a request, to be sent to the peers.
    std::function<void()> onPoisonChanged;
};

/// Runs jobs as attempts at upstreams. Jobs must end before it goes.
class Dispatcher
{
public:
    Dispatcher(const kernel::Scheduler &scheduler, HttpSender sender, kernel::Random random,
               DispatcherOptions options = {}, DispatcherHooks hooks = {});
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    /// Runs a job; the caller keeps it until onEnd. onEnd is never called before this returns.
    std::unique_ptr<Job> run(JobSpec spec, JobHandlers handlers);

    /// Attempts in progress at an upstream, of this daemon.
    int inFlight(const kernel::UpstreamId &upstream) const;
    /// Attempts in progress at all upstreams, of this daemon.
    int inFlight() const;

    /// Evidence on poison requests for the peers, newest first.
    std::string encodePoison() const;
    /// Joins a peer's evidence. Errors: PeerProtocol.
    kernel::Result<void> mergePoison(std::string_view bytes);
    const poison::PoisonBook &poisonBook() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace acaciasail::upstreams
