#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "http/http.h"
#include "kernel/kernel.h"

namespace acaciasail::forwarding {

using RouteName = kernel::Id<struct RouteNameTag>;
/// Version of an upstream's software, by which a roll-out is steered.
using SoftwareVersion = kernel::Id<struct SoftwareVersionTag>;
/// Number of a configuration; a later one is larger.
using ConfigurationNumber = kernel::Amount<struct ConfigurationNumberTag>;

/// What may be repeated of a route's requests.
enum class RequestKind {
    /// May run any number of times.
    Safe,
    /// May run once at most.
    Unsafe,
    /// A stream of numbered events; may be repeated only where the route says it may be resumed.
    Streaming,
};

std::string_view toString(RequestKind kind);

/// A service's part of a route's traffic; parts count relative to each other.
struct ServiceShare
{
    kernel::ServiceName service;
    std::int64_t weight = 1;
};

struct Route
{
    RouteName name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RequestKind kind = RequestKind::Unsafe;
    /// Longest time to an answer's end.
    kernel::Duration timeout = std::chrono::seconds(30);
    /// Time to the answer, or a stream's first event, for which the caller gets its full worth.
    kernel::Duration latencyObjective = std::chrono::seconds(1);
    /// Longest pause between a stream's events for which the caller gets its full worth.
    kernel::Duration maxPause = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int rank = 0;
    std::vector<ServiceShare> services;
    /// Upstreams to which one request may be sent.
    int maxAttempts = 1;
    bool needsKey = true;
    bool resumable = false;
    /// Models that may answer, smallest first; empty where the caller names the model.
    std::vector<std::string> models;
};

/// What an engine's service says of its models.
struct ModelPrice
{
    std::string name;
    /// Per 1,000 tokens generated; a token read counts as a quarter.
    double cost = 0;
};

struct Service
{
    kernel::ServiceName name;
    /// Requests that one upstream runs at once; 0 where the service says nothing.
    int slots = 0;
    /// Connections that one upstream takes from all daemons together.
    int maxConnections = 0;
    /// Tokens that one upstream keeps in memory; 0 where the service runs no model.
    std::int64_t memoryTokens = 0;
    std::vector<ModelPrice> models;
};

/// A workspace's entry in the configuration.
struct Workspace
{
    kernel::WorkspaceId name;
    /// Goes before the route's rank.
    std::optional<int> rank;
};

/// Limits of what a caller may send.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 4U << 20U;
    kernel::Duration headerTimeout = std::chrono::seconds(3);
    kernel::Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the operators' configuration, whole.
struct Configuration
{
    ConfigurationNumber number;
    std::vector<Route> routes;
    std::map<kernel::ServiceName, Service> services;
    std::vector<Workspace> workspaces;
    /// Index into workspaces by key.
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
    /// Start of the process; another start under the same id knows nothing of what was before.
    std::int64_t startedAtMs = 0;
};

/// How far a roll-out has come.
enum class RolloutState {
    /// Nobody has begun it.
    Ordered,
    Running,
    Completed,
    RolledBack,
};

std::string_view toString(RolloutState state);

/// What one daemon holds against a roll-out's target, too little to condemn it alone.
struct RolloutDoubt
{
    kernel::VmId vm;
    int badAnswers = 0;
    /// Upstreams of the target that gave them.
    std::vector<kernel::UpstreamId> upstreams;

    friend bool operator==(const RolloutDoubt &, const RolloutDoubt &) = default;
};

/// An operator's order to move a service to another version, with what the daemons made of it.
struct Rollout
{
    kernel::ServiceName service;
    SoftwareVersion target;
    /// Time in which it should be completed.
    kernel::Duration wantedTime = std::chrono::seconds(30);
    RolloutState state = RolloutState::Ordered;
    /// Part of the sessions that use the new version, in thousandths, while it runs.
    int sharePermille = 0;
    /// Time of day at which it began to run; none before.
    std::optional<kernel::WallTime> startedAt;
    /// One entry a daemon at most.
    std::vector<RolloutDoubt> doubts;
    kernel::Revision revision;
};

/// One part of a prompt; requests with equal first parts can share what an engine has read.
struct PromptPart
{
    std::string id;
    std::int64_t tokens = 0;
};

/// What a request asks of a model.
struct ModelWork
{
    /// The model named by the caller; empty where the route's models are to be chosen from.
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxOutputTokens = 0;
    /// In the order of the prompt; the last one is the session's or the request's own.
    std::vector<PromptPart> parts;
};

/// A request as the flow sees it, whichever protocol brought it.
struct Request
{
    kernel::RequestId id;
    std::string method;
    /// Path and query, as the caller wrote them.
    std::string target;
    std::string host;
    std::string key;
    /// Headers to pass on; those of one connection and those that the flow sets are left out.
    http::Headers headers;
    std::string body;
    /// Time that the caller waits; none where it did not say.
    std::optional<kernel::Duration> patience;
    std::optional<ModelWork> work;
    kernel::Instant arrived{};
};

/// What an attempt tells the upstream besides the request itself.
struct AttemptFacts
{
    kernel::Endpoint endpoint;
    kernel::UpstreamId upstream;
    kernel::WorkspaceId workspace;
    kernel::Duration timeLeft{};
    std::string model;
    /// 0 to 9, 0 first.
    int urgency = 5;
    /// Number of the last event that the caller has; set when a stream goes on.
    std::optional<std::string> resumeAfter;
    kernel::Duration maxIdle{};
    kernel::Duration connectTimeout{};
};

/// The head of an upstream's answer.
struct AnswerHead
{
    int status = 0;
    /// The upstream states that it did not run the request.
    bool notRun = false;
    /// Another upstream than the one meant has the address.
    bool wrongUpstream = false;
    /// It bears the upstream's proof of its answer.
    bool proven = false;
    /// The body was changed on its way.
    bool encoded = false;
    bool events = false;
    /// The upstream says that it leaves.
    bool leaving = false;
    /// The upstream, which turned the request away, wants none for this time.
    std::optional<kernel::Duration> rest;
    /// It asked for rest by a text that is no time.
    bool restUnreadable = false;
    /// The model's own opinion of its answer, 0 to 100.
    std::optional<int> confidence;
    /// Headers for the caller.
    http::Headers headers;
};

} // namespace acaciasail::forwarding
