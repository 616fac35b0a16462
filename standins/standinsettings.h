#pragma once

#include <string>
#include <vector>

#include "externals/externals.h"
#include "kernel/kernel.h"

namespace acaciasail::standins {

/// How a version behaves on any model runner.
struct VersionSettings
{
    std::string id;
    /// Times are multiplied by it.
    double latencyFactor = 1;
    /// Part of the requests that fail.
    double errorRate = 0;
    /// Mean of its ratings, between 0 and 1.
    double quality = 0.8;
    /// Time to load it.
    kernel::Duration loadTime = std::chrono::seconds(1);
};

struct ModelRunnerSettings
{
    std::string id;
    kernel::Endpoint listen;
    std::string dataCentre;
    std::vector<std::string> versions;
    int slots = 8;
    /// Requests that wait for a slot; further ones are refused as overloaded.
    int queue = 64;
    kernel::Duration firstTokenTime{};
    kernel::Duration tokenTime{};
    /// Tokens of an answer whose request sets no maximum, and the most of any.
    int answerTokens = 16;
    bool checksFencing = false;
    /// Age that the load report may have.
    kernel::Duration loadLag{};
    kernel::Duration cacheEventLag{};
    /// Part of the cache events that are never reported.
    double cacheEventLoss = 0;
    int cachePrefixes = 32;
};

struct ApplicationRunnerSettings
{
    std::string id;
    kernel::Endpoint listen;
    std::string dataCentre;
    std::vector<std::string> services;
    kernel::Duration delay{};
};

/// Settings of the stand-ins.
struct StandinSettings
{
    std::uint64_t seed = 1;
    /// Object API, VM list, ratings and weight store.
    kernel::Endpoint platform;
    kernel::Endpoint control;
    kernel::Duration heartbeat = std::chrono::seconds(1);
    kernel::Duration vmListLag{};
    /// Part of the finished requests that are rated, and when.
    double ratedShare = 1;
    kernel::Duration ratingDelay = std::chrono::seconds(1);
    /// Time between two loads that the weight store allows.
    kernel::Duration loadInterval{};
    /// A request whose text holds this crashes its runner.
    std::string poison = "POISON";
    /// Time for which a crashed runner refuses connections.
    kernel::Duration crashTime = std::chrono::milliseconds(500);
    std::vector<externals::VmEntry> vms;
    std::vector<VersionSettings> versions;
    std::vector<ModelRunnerSettings> models;
    std::vector<ApplicationRunnerSettings> applications;
};

/// Reads the settings of a TOML file. Errors: SettingsUnreadable, SettingsInvalid.
kernel::Completion<StandinSettings> readSettings(const std::string &file);

} // namespace acaciasail::standins
