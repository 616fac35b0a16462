#include "forwarding/internal/placement/costestimate.h"

#include <algorithm>
#include <cmath>

namespace acaciasail::forwarding {

namespace {

// Initial values, which the learned factors correct.
constexpr double usualBaseMs = 10;
constexpr double usualReadMsPerToken = 0.015;
constexpr double usualOutputMsPerToken = 10;
// Number of prompt tokens read in the time of one generated token, at a usual batch size.
constexpr double promptTokensPerOutputToken = 12;
// Expected output as a fraction of the maximum, which callers set higher than the output they get.
constexpr double usedFractionOfMaxOutput = 0.5;
// Number of preceding tokens at which a token takes twice as long to read as the first one.
constexpr double doublingContextTokens = 40'000;

// First and smallest step of a factor, as logarithms.
constexpr double firstStep = 0.5;
constexpr double smallestStep = 0.05;
constexpr double samplesToHalveStep = 4;
// Fraction of the route's step by which the service's factor moves. New models and routes start
// from the service's factor.
constexpr double serviceStepShare = 0.3;
const double maxLogFactor = std::log(30.0);
constexpr double median = 0.5;
// Work unknown to the router only lengthens the measured times, so a low quantile is closest to the
// time that the reading itself takes.
constexpr double readQuantile = 0.3;
constexpr double meanReadWeight = 0.05;
// Callers may name models, so the number of keys is bounded.
constexpr std::size_t maxKeys = 512;
// Lower bound of times and of ratios of times, for divisions and logarithms.
constexpr double smallestMs = 0.01;

double valueOf(const LearnedFactor &factor)
{
    return std::exp(factor.logValue);
}

// Moves the factor towards the value below which the fraction `quantile` of the observations lies.
void observe(LearnedFactor &factor, double ratio, double quantile, double weight)
{
    const double step
        = std::max(smallestStep, firstStep / (1 + factor.samples / samplesToHalveStep));
    const double distance = std::log(std::max(ratio, smallestMs));
    const double side = 2 * (distance > 0 ? quantile : 1 - quantile);
    factor.logValue += weight * side * std::clamp(distance, -step, step);
    factor.logValue = std::clamp(factor.logValue, -maxLogFactor, maxLogFactor);
    ++factor.samples;
}

// Returns the weight of an observation of this source, and records it.
double takeSource(RecentSources &recent, std::string_view source)
{
    const std::uint64_t hash = kernel::hash64(source);
    const auto count = std::ranges::count(recent.hashes, hash);
    recent.hashes[recent.next] = hash;
    recent.next = (recent.next + 1) % recent.hashes.size();
    return 1.0 / static_cast<double>(1 + count);
}

RouteCost *findOrAdd(CostEstimates &estimates, const CostKey &key)
{
    const auto known = estimates.routes.find(key);
    if (known != estimates.routes.end())
        return &known->second;
    return estimates.routes.size() < maxKeys ? &estimates.routes[key] : nullptr;
}

} // namespace

double expectedOutputTokens(const ModelWork &work)
{
    const auto most = static_cast<double>(work.maxOutputTokens);
    if (!work.expectedOutputTokens)
        return usedFractionOfMaxOutput * most;
    const auto stated = static_cast<double>(*work.expectedOutputTokens);
    return most > 0 ? std::clamp(stated, 0.0, most) : std::max(stated, 0.0);
}

double weightedReadTokens(double promptTokens, double cachedTokens)
{
    const double cached = std::clamp(cachedTokens, 0.0, promptTokens);
    const auto weighted
        = [](double tokens) { return tokens + tokens * tokens / (2 * doublingContextTokens); };
    return weighted(promptTokens) - weighted(cached);
}

double relativePrice(const Configuration &configuration, const kernel::ServiceName &service,
                     const std::string &model)
{
    const auto found = configuration.services.find(service);
    if (found == configuration.services.end())
        return 1;
    double total = 0;
    double own = 0;
    for (const ModelPrice &price : found->second.models) {
        total += price.cost;
        if (price.name == model)
            own = price.cost;
    }
    return own > 0 ? own * static_cast<double>(found->second.models.size()) / total : 1;
}

CostRates costRates(const CostEstimates &estimates, const CostKey &key, double relativePrice)
{
    ServiceCost service;
    if (const auto known = estimates.services.find(key.service); known != estimates.services.end())
        service = known->second;
    RouteCost route;
    if (const auto known = estimates.routes.find(key); known != estimates.routes.end())
        route = known->second;
    CostRates rates;
    rates.baseMs = usualBaseMs * valueOf(service.base);
    rates.readMsPerToken
        = usualReadMsPerToken * relativePrice * valueOf(service.read) * valueOf(route.read);
    rates.outputWorkMsPerToken = promptTokensPerOutputToken * rates.readMsPerToken;
    rates.outputMsPerToken = usualOutputMsPerToken * relativePrice * valueOf(route.output);
    return rates;
}

void recordFirstEvent(CostEstimates &estimates, const CostKey &key,
                      const FirstEventObservation &observation)
{
    ServiceCost &service = estimates.services[key.service];
    const double weight = takeSource(service.upstreams, observation.upstream.str())
                          * takeSource(service.callers, observation.caller);
    const double baseMs = std::max(observation.baseMs, smallestMs);
    if (observation.workMs < baseMs) {
        observe(service.base, (observation.actualMs - observation.workMs) / baseMs, median, weight);
        return;
    }
    const double ratio = (observation.actualMs - baseMs) / observation.workMs;
    observe(service.read, ratio, readQuantile, weight * serviceStepShare);
    if (RouteCost *route = findOrAdd(estimates, key))
        observe(route->read, ratio, readQuantile, weight);
}

void recordReadMs(CostEstimates &estimates, const kernel::ServiceName &service, double readMs)
{
    double &mean = estimates.services[service].meanReadMs;
    mean = mean == 0 ? readMs : mean + meanReadWeight * (readMs - mean);
}

void recordOutputTime(CostEstimates &estimates, const CostKey &key, double expectedMs,
                      double actualMs)
{
    if (expectedMs <= 0)
        return;
    if (RouteCost *route = findOrAdd(estimates, key))
        observe(route->output, actualMs / expectedMs, median, 1);
}

std::string_view estimateError(double expectedMs, double actualMs)
{
    constexpr double quarter = 1.25;
    constexpr double twice = 2;
    const double larger = std::max(expectedMs, actualMs);
    const double smaller = std::max(std::min(expectedMs, actualMs), smallestMs);
    if (larger <= quarter * smaller)
        return "quarter";
    return larger <= twice * smaller ? "half" : "more";
}

} // namespace acaciasail::forwarding
