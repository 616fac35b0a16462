#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "forwarding/internal/request/streamevent.h"
#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::forwarding {

using RouteName = kernel::Id<struct RouteNameTag>;
/// Version of an upstream's software; a roll-out moves sessions from one version to another.
using SoftwareVersion = kernel::Id<struct SoftwareVersionTag>;
/// Number of a configuration; a newer configuration has a larger number.
using ConfigurationNumber = kernel::Amount<struct ConfigurationNumberTag>;

/// States whether a route's requests may be retried.
enum class RequestKind {
    /// The request may run any number of times.
    Safe,
    /// The request may run at most once.
    Unsafe,
    /// The response is a stream of numbered events. The request may be retried only if the route is
    /// resumable.
    Streaming,
};

std::string_view toString(RequestKind kind);

/// Share of a route's traffic that a service gets. Weights are relative to the sum of the route's
/// weights.
struct ServiceShare
{
    kernel::ServiceName service;
    std::int64_t weight = 1;
};

struct Route
{
    RouteName name;
    std::string host;
    /// Starts and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    /// Upper bound of the time from arrival to the end of the response.
    kernel::Duration timeout = std::chrono::seconds(30);
    /// Target for the time to the response, or to the first event of a stream. A later response is
    /// worth less to the caller.
    kernel::Duration latencyObjective = std::chrono::seconds(1);
    /// Target for the longest pause between a stream's events. A stream with a longer pause is
    /// worth less to the caller.
    kernel::Duration maxPause = std::chrono::seconds(1);
    /// Rank of the route's requests; 0 is the most urgent.
    int rank = 0;
    std::vector<ServiceShare> services;
    /// Maximum number of upstreams to which one request may be sent.
    int maxAttempts = 1;
    bool requiresKey = true;
    bool resumable = false;
    /// Models that may serve the request, smallest first; empty if the caller names the model.
    std::vector<std::string> models;
};

/// Price of one model, from the configuration of the service that runs it.
struct ModelPrice
{
    std::string name;
    /// Price per 1,000 generated tokens, in the currency of the configuration; a prompt token
    /// counts as a quarter of a generated token.
    double cost = 0;
};

struct Service
{
    kernel::ServiceName name;
    /// Number of requests that one upstream runs at once; 0 if the service does not state it.
    int slots = 0;
    /// Number of connections that one upstream accepts from all routers together.
    int maxConnections = 0;
    /// Number of tokens that one upstream keeps in memory; 0 if the service runs no model.
    std::int64_t memoryTokens = 0;
    std::vector<ModelPrice> models;
    /// Time for which an upstream may be cold after it started.
    kernel::Duration coldTime{};
    /// Limit of a cold upstream, in requests per second from all routers together; 0 for no limit.
    double coldPerSecond = 0;
};

/// A workspace's entry in the configuration.
struct Workspace
{
    kernel::WorkspaceId name;
    /// Overrides the route's rank if set.
    std::optional<int> rank;
};

/// Limits on what a caller may send.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    kernel::Duration headerTimeout = std::chrono::seconds(3);
    kernel::Duration idleTimeout = std::chrono::seconds(15);
};

/// One complete version of the operators' configuration.
struct Configuration
{
    ConfigurationNumber number;
    std::vector<Route> routes;
    std::map<kernel::ServiceName, Service> services;
    std::vector<Workspace> workspaces;
    /// Index into workspaces by the caller's API key.
    std::map<std::string, std::size_t, std::less<>> keys;
    CallerLimits limits;
};

/// One upstream process as it registered itself.
struct Upstream
{
    kernel::UpstreamId id;
    kernel::ServiceName service;
    kernel::Endpoint endpoint;
    kernel::DataCentreId dataCentre;
    SoftwareVersion version;
    int slots = 1;
    bool draining = false;
    /// Time for which the upstream stays cold, counted from its registration's last change.
    kernel::Duration coldFor{};
    /// Start time of the process. A process with another start time under the same id has none of
    /// the state of the previous process.
    std::int64_t startedAtMs = 0;

    bool operator==(const Upstream &) const = default;
};

/// Progress of a roll-out.
enum class RolloutState {
    /// The roll-out was ordered, and no router has started it yet.
    Ordered,
    Running,
    Completed,
    RolledBack,
};

std::string_view toString(RolloutState state);

/// Evidence of one router against a roll-out's target version that is too weak to roll back on its
/// own.
struct RolloutDoubt
{
    kernel::VmId vm;
    int badResponses = 0;
    /// Upstreams of the target version that gave the bad responses.
    std::vector<kernel::UpstreamId> upstreams;
    /// The doubt follows from slow responses alone; too few of them failed for a doubt.
    bool onlySlow = false;

    friend bool operator==(const RolloutDoubt &, const RolloutDoubt &) = default;
};

/// An operator's order to move a service to another version, with the progress that the routers
/// have recorded.
struct Rollout
{
    kernel::ServiceName service;
    SoftwareVersion target;
    /// Time within which the roll-out should complete.
    kernel::Duration targetDuration = std::chrono::seconds(30);
    RolloutState state = RolloutState::Ordered;
    /// Share of the sessions that use the new version while the roll-out runs, in thousandths.
    int sharePermille = 0;
    /// Wall-clock time at which the roll-out started to run; not set before that.
    std::optional<kernel::WallTime> startedAt;
    /// Holds at most one entry per router.
    std::vector<RolloutDoubt> doubts;
    /// Versions that earlier roll-outs of the service rolled back.
    std::set<SoftwareVersion> rejectedVersions;
    /// Whether the store, restored from an older copy, holds an earlier progress than this one,
    /// which has to be written again.
    bool progressLost = false;
    /// Where the order or its progress changed last.
    kernel::StorePosition position;
};

/// One part of a prompt. Requests whose prompts start with equal parts can share an engine's prompt
/// cache.
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;
};

/// A prompt part as the engines of one service know it.
struct PromptPartKey
{
    kernel::ServiceName service;
    std::string part;

    friend auto operator<=>(const PromptPartKey &, const PromptPartKey &) = default;
};

/// Work that a request asks a model to do.
struct ModelWork
{
    /// The model that the caller named; empty if the router chooses one of the route's models.
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    /// Parts of the prompt in their order. The last part usually belongs to this request alone, the
    /// part before it to the request's session.
    std::vector<PromptPart> parts;
    /// The caller's estimate of the number of output tokens, if it gave one.
    std::optional<std::int64_t> expectedOutputTokens;
};

/// A request as this library sees it, independent of the caller's protocol.
struct Request
{
    kernel::RequestId id;
    std::string method;
    /// Path and query, exactly as the caller wrote them.
    std::string target;
    std::string host;
    /// The caller's API key.
    std::string key;
    /// Headers to pass on. Hop-by-hop headers and the headers that the router sets itself are left
    /// out.
    http::Headers headers;
    std::string body;
    /// Timeout that the caller stated; not set if the caller stated none.
    std::optional<kernel::Duration> callerTimeout;
    std::optional<ModelWork> work;
    /// Id of the last event that the caller has received; set if the caller resumes a stream.
    std::optional<StreamEventId> resumeAfter;
    kernel::Instant arrived{};
};

/// Data of one attempt that the upstream gets in addition to the request itself.
struct AttemptContext
{
    kernel::Endpoint endpoint;
    kernel::UpstreamId upstream;
    kernel::WorkspaceId workspace;
    kernel::Duration timeLeft{};
    std::string model;
    /// Urgency from 0 to 9; 0 is the most urgent.
    int urgency = 5;
    /// Id of the last event that the caller has received; set when a stream is resumed.
    std::optional<StreamEventId> resumeAfter;
    /// Maximum idle time of a kept-alive connection that is used for the attempt.
    kernel::Duration maxIdle{};
    kernel::Duration connectTimeout{};
};

/// Status line and decoded headers of an upstream's response.
struct ResponseHead
{
    int status = 0;
    /// The upstream states that it did not run the request.
    bool notRun = false;
    /// The address belongs to another upstream than the one the request was meant for.
    bool wrongUpstream = false;
    /// The response has the header by which an upstream proves that the response is its own.
    bool hasProof = false;
    /// An intermediary changed the encoding of the body.
    bool isReencoded = false;
    /// The response is an event stream.
    bool isEventStream = false;
    /// The upstream announces that it is shutting down.
    bool leaving = false;
    /// Cooldown that an upstream asked for when it refused the request: it wants no requests for
    /// this time.
    std::optional<kernel::Duration> cooldown;
    /// The upstream asked for a cooldown, but the value could not be parsed as a time.
    bool cooldownUnparsable = false;
    /// Rate limit that the upstream names: requests per second from all routers together.
    std::optional<double> limitPerSecond;
    /// The upstream names a rate limit, but the value could not be parsed.
    bool limitUnparsable = false;
    /// Confidence of the model in its own response, 0 to 100.
    std::optional<int> confidence;
    /// Headers to pass on to the caller.
    http::Headers headers;
};

} // namespace acaciasail::forwarding
