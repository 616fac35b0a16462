#include "router/routersettings.h"

#include <algorithm>

namespace acaciasail::router {

namespace {

constexpr std::int64_t millisecondsPerMinute = 60000;
// Time for which a leaving upstream keeps serving.
constexpr kernel::Duration defaultLeaveTime = std::chrono::seconds(2);
// Upper bound of the retries allowed for each request of the window.
constexpr double maxRetriesPerRequest = 10;

// Reads a number that may be written as an integer or a float, which TOML distinguishes.
double readNumber(settings::Reader &reader, const std::string &key, double fallback,
                  double maxValue)
{
    const double value = reader.number(key, fallback);
    if (value < 0 || value > maxValue) {
        reader.reject(key, "must be between 0 and " + std::to_string(maxValue));
        return fallback;
    }
    return value;
}

kernel::Duration readSeconds(settings::Reader &reader, const std::string &key, double fallback)
{
    constexpr double maxSeconds = 3600;
    return kernel::fromSeconds(readNumber(reader, key, fallback, maxSeconds));
}

void readForwarding(settings::Reader &reader, forwarding::ForwardingOptions &options)
{
    options.vm = kernel::VmId(reader.requiredText("router.vm"));
    options.dataCentre = kernel::DataCentreId(reader.requiredText("router.data_centre"));
    options.connectTimeout = reader.milliseconds(
        "upstreams.connect_timeout_ms", options.connectTimeout, { 10, millisecondsPerMinute });
    options.followsEvacuations = reader.flag("evacuations.follow", options.followsEvacuations);
    options.retries.ratio
        = readNumber(reader, "retries.ratio", options.retries.ratio, maxRetriesPerRequest);
    // Upper bound of the retries allowed in a window in addition to the ratio.
    constexpr double maxExtraRetries = 1e6;
    options.retries.slack
        = readNumber(reader, "retries.slack", options.retries.slack, maxExtraRetries);
    options.retries.window
        = readSeconds(reader, "retries.window_s", kernel::toSeconds(options.retries.window));
    // A response's confidence is 0 to 100, so 101 is above every confidence.
    constexpr int maxConfidenceThreshold = 101;
    options.models.escalateBelow = static_cast<int>(reader.integer(
        "models.escalate_below", options.models.escalateBelow, { 0, maxConfidenceThreshold }));
    options.models.escalateBelowBusy = static_cast<int>(
        reader.integer("models.escalate_below_busy", options.models.escalateBelowBusy,
                       { 0, maxConfidenceThreshold }));
    options.models.escalateBelowForAnswer = static_cast<int>(
        reader.integer("models.escalate_below_for_answer", options.models.escalateBelowForAnswer,
                       { 0, maxConfidenceThreshold }));
}

// Callers get a fifth of the process's memory and five eighths of its descriptors: their requests
// need connections to upstreams, and the rest of the process some.
void readCallerLimits(settings::Reader &reader, RouterSettings &settings)
{
    constexpr std::int64_t megabyte = 1 << 20;
    constexpr std::int64_t maxMegabytes = 1 << 20;
    constexpr std::int64_t callersPart = 5;
    constexpr std::int64_t maxConnections = 1'000'000;
    constexpr std::int64_t usualConnections = 4000;
    constexpr std::int64_t usualMegabytes = 64;
    const std::int64_t memory = reader.integer("router.memory_mb", 0, { 0, maxMegabytes });
    const std::int64_t descriptors
        = reader.integer("router.max_descriptors", 0, { 0, maxConnections });
    const std::int64_t megabytes = reader.integer(
        "callers.memory_mb",
        memory > 0 ? std::max<std::int64_t>(memory / callersPart, 1) : usualMegabytes,
        { 1, maxMegabytes });
    settings.callerMemoryBytes = static_cast<std::size_t>(megabytes * megabyte);
    const std::int64_t connections
        = descriptors > 0 ? std::clamp<std::int64_t>(descriptors * 5 / 8, 1, usualConnections)
                          : usualConnections;
    settings.maxConnections = static_cast<std::size_t>(
        reader.integer("callers.max_connections", connections, { 1, maxConnections }));
}

} // namespace

CheckedRouterSettings readRouterSettings(settings::Reader &reader)
{
    CheckedRouterSettings result;
    RouterSettings &settings = result.settings;
    readForwarding(reader, settings.forwarding);
    settings.log.vm = settings.forwarding.vm.str();
    settings.log.toStandardOutput = true;
    settings.log.recentLines = 0;
    settings.log.level = kernel::EventLevel::Info;
    settings.callersListen = reader.requiredEndpoint("callers.listen");
    readCallerLimits(reader, settings);
    settings.readinessListen = reader.requiredEndpoint("readiness.listen");
    settings.metricsListen = reader.endpoint("metrics.listen", {});
    settings.store = reader.requiredEndpoint("store.address");
    settings.maxStoreAge = reader.milliseconds("store.max_age_ms", settings.maxStoreAge,
                                               { 1000, millisecondsPerMinute });
    settings.storeRelays = reader.flag("store.relays", settings.storeRelays);
    settings.forwarding.leaveTime = reader.milliseconds("upstreams.leave_ms", defaultLeaveTime,
                                                        { 100, millisecondsPerMinute });
    settings.stopTimeout = readSeconds(reader, "stop.timeout_s", 8);
    settings.balancerDelay = readSeconds(reader, "stop.balancer_delay_s", 2.8);
    result.mistakes = reader.finish();
    return result;
}

kernel::Result<CheckedRouterSettings> readRouterSettings(const std::string &file)
{
    BOOST_LEAF_AUTO(reader, settings::Reader::open(file));
    return readRouterSettings(reader);
}

} // namespace acaciasail::router
