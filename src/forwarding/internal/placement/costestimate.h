#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "forwarding/internal/types.h"

namespace acaciasail::forwarding {

/// What the cost of a request depends on besides its size.
struct CostKey
{
    kernel::ServiceName service;
    std::string model;
    RouteName route;

    friend auto operator<=>(const CostKey &, const CostKey &) = default;
};

/// Factor that follows the observations: each moves it by a bounded step, so a few outliers change
/// little and old observations lose their influence.
struct LearnedFactor
{
    double logValue = 0;
    int samples = 0;
};

/// Sources of the newest observations. A source that gave many of them counts less with each.
struct RecentSources
{
    std::array<std::uint64_t, 16> hashes{};
    std::size_t next = 0;
};

/// Cost of a service's requests on an idle upstream of usual speed.
struct ServiceCost
{
    /// Correction of the usual time to the first event of a request with nothing to read.
    LearnedFactor base;
    /// Correction of the usual time to read one token.
    LearnedFactor read;
    /// Exponentially weighted moving average of the time to read a request's prompt, in
    /// milliseconds; 0 before the first request.
    double meanReadMs = 0;
    RecentSources upstreams;
    RecentSources callers;
};

/// Corrections for the requests of one route to one model.
struct RouteCost
{
    LearnedFactor read;
    /// Correction of the time per expected output token.
    LearnedFactor output;
};

/// What a router has learned about the cost of requests.
struct CostEstimates
{
    std::map<kernel::ServiceName, ServiceCost> services;
    std::map<CostKey, RouteCost> routes;
};

/// Expected cost of a request per token, in milliseconds of an idle upstream of usual speed.
struct CostRates
{
    /// Time to the first event of a request with nothing to read.
    double baseMs = 0;
    double readMsPerToken = 0;
    /// Upstream time that an output token takes up.
    double outputWorkMsPerToken = 0;
    /// Time from one output token to the next, as the caller sees it.
    double outputMsPerToken = 0;
};

/// Returns the expected number of output tokens: the caller's estimate bounded by the maximum, or
/// the usual fraction of the maximum.
double expectedOutputTokens(const ModelWork &work);

/// Returns the tokens to read, weighted by what each takes: a token takes longer the more tokens
/// stand before it. `cachedTokens` at the start of the prompt are not read.
double weightedReadTokens(double promptTokens, double cachedTokens);

/// Returns the model's price relative to the mean price of the service's models, which stands for
/// its pace as long as nothing is learned; 1 if the configuration names no price.
double relativePrice(const Configuration &configuration, const kernel::ServiceName &service,
                     const std::string &model);

/// Returns the rates for requests of this key: the initial values, corrected by what was learned.
CostRates costRates(const CostEstimates &estimates, const CostKey &key, double relativePrice);

/// One measured time to the first event of a stream.
struct FirstEventObservation
{
    /// Expected time at usual speed: `baseMs`, and `workMs` for the request's own prompt and the
    /// work that was ahead of it.
    double baseMs = 0;
    double workMs = 0;
    double actualMs = 0;
    kernel::UpstreamId upstream;
    /// The workspace, or the session without one.
    std::string caller;
};

/// Records a measured time to the first event. It corrects either the base or the time per token to
/// read, whichever accounts for more of the expected time.
void recordFirstEvent(CostEstimates &estimates, const CostKey &key,
                      const FirstEventObservation &observation);

/// Records the expected time to read the prompt of a request that was sent.
void recordReadMs(CostEstimates &estimates, const kernel::ServiceName &service, double readMs);

/// Records the time between the first and the last event of a response.
void recordOutputTime(CostEstimates &estimates, const CostKey &key, double expectedMs,
                      double actualMs);

/// Returns how far an estimate was off, as a label: "quarter" (within 25%), "half" (within twice or
/// half), "more".
std::string_view estimateError(double expectedMs, double actualMs);

} // namespace acaciasail::forwarding
