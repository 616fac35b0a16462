#include "standinsettings.h"

#include <sstream>

#include <toml++/toml.h>

#include "settings/settings.h"

namespace acaciasail::standins {

namespace {

using kernel::ResultCode;

// Reads the keys of one TOML table and collects the mistakes.
class Section
{
public:
    Section(const toml::table &table, std::string name, std::string &mistakes)
        : m_table(table)
        , m_name(std::move(name))
        , m_mistakes(mistakes)
    {}

    std::string text(const char *key, const std::string &fallback = {})
    {
        return m_table[key].value_or(fallback);
    }
    double number(const char *key, double fallback) { return m_table[key].value_or(fallback); }
    int integer(const char *key, int fallback) { return m_table[key].value_or(fallback); }
    bool flag(const char *key, bool fallback) { return m_table[key].value_or(fallback); }
    kernel::Duration milliseconds(const char *key, kernel::Duration fallback)
    {
        const double value = number(key, static_cast<double>(fallback.count()) / 1000);
        return kernel::fromSeconds(value / 1000);
    }
    kernel::Endpoint endpoint(const char *key)
    {
        const auto parsed = settings::parseEndpoint(text(key));
        if (!parsed)
            m_mistakes += m_name + "." + key + ": is not IP:PORT\n";
        return parsed.value_or(kernel::Endpoint{});
    }
    std::vector<std::string> texts(const char *key)
    {
        std::vector<std::string> result;
        if (const auto *list = m_table[key].as_array()) {
            for (const auto &element : *list)
                result.push_back(element.value_or(std::string()));
        }
        return result;
    }
    std::string requiredText(const char *key)
    {
        std::string value = text(key);
        if (value.empty())
            m_mistakes += m_name + "." + key + ": is required\n";
        return value;
    }

private:
    const toml::table &m_table;
    std::string m_name;
    std::string &m_mistakes;
};

VersionSettings readVersion(Section section)
{
    VersionSettings version;
    version.id = section.requiredText("id");
    version.latencyFactor = section.number("latency_factor", version.latencyFactor);
    version.errorRate = section.number("error_rate", version.errorRate);
    version.quality = section.number("quality", version.quality);
    version.loadTime = section.milliseconds("load_ms", version.loadTime);
    return version;
}

ModelRunnerSettings readModelRunner(Section section)
{
    ModelRunnerSettings runner;
    runner.id = section.requiredText("id");
    runner.listen = section.endpoint("listen");
    runner.dataCentre = section.text("data_centre");
    runner.versions = section.texts("versions");
    runner.slots = section.integer("slots", runner.slots);
    runner.queue = section.integer("queue", runner.queue);
    runner.firstTokenTime = section.milliseconds("first_token_ms", runner.firstTokenTime);
    runner.tokenTime = section.milliseconds("token_ms", runner.tokenTime);
    runner.answerTokens = section.integer("answer_tokens", runner.answerTokens);
    runner.checksFencing = section.flag("checks_fencing", runner.checksFencing);
    runner.loadLag = section.milliseconds("load_lag_ms", runner.loadLag);
    runner.cacheEventLag = section.milliseconds("cache_event_lag_ms", runner.cacheEventLag);
    runner.cacheEventLoss = section.number("cache_event_loss", runner.cacheEventLoss);
    runner.cachePrefixes = section.integer("cache_prefixes", runner.cachePrefixes);
    return runner;
}

ApplicationRunnerSettings readApplicationRunner(Section section)
{
    ApplicationRunnerSettings runner;
    runner.id = section.requiredText("id");
    runner.listen = section.endpoint("listen");
    runner.dataCentre = section.text("data_centre");
    runner.services = section.texts("services");
    runner.delay = section.milliseconds("delay_ms", runner.delay);
    return runner;
}

externals::VmEntry readVm(Section section)
{
    externals::VmEntry vm;
    vm.id = kernel::VmId(section.requiredText("id"));
    vm.role = section.text("role", "entry") == "upstream" ? externals::VmRole::Upstream
                                                          : externals::VmRole::Entry;
    vm.dataCentre = kernel::DataCentreId(section.text("data_centre"));
    vm.endpoint = section.endpoint("address");
    return vm;
}

// Reads each table of an array of tables.
template<class Entry>
void readEach(const toml::table &file, const char *name, Entry (*read)(Section),
              std::vector<Entry> &entries, std::string &mistakes)
{
    const auto *list = file[name].as_array();
    if (list == nullptr)
        return;
    for (const auto &element : *list) {
        if (const auto *table = element.as_table())
            entries.push_back(read(Section(*table, name, mistakes)));
    }
}

void readGeneral(Section section, StandinSettings &settings)
{
    settings.seed = static_cast<std::uint64_t>(section.integer("seed", 1));
    settings.platform = section.endpoint("platform");
    settings.control = section.endpoint("control");
    settings.heartbeat = section.milliseconds("heartbeat_ms", settings.heartbeat);
    settings.vmListLag = section.milliseconds("vm_list_lag_ms", settings.vmListLag);
    settings.ratedShare = section.number("rated_share", settings.ratedShare);
    settings.ratingDelay = section.milliseconds("rating_delay_ms", settings.ratingDelay);
    settings.loadInterval = section.milliseconds("load_interval_ms", settings.loadInterval);
    settings.poison = section.text("poison", settings.poison);
    settings.crashTime = section.milliseconds("crash_ms", settings.crashTime);
}

} // namespace

kernel::Completion<StandinSettings> readSettings(const std::string &file)
{
    StandinSettings settings;
    std::string mistakes;
    try {
        const toml::table table = toml::parse_file(file);
        readGeneral(Section(table, "settings", mistakes), settings);
        readEach(table, "vms", readVm, settings.vms, mistakes);
        readEach(table, "versions", readVersion, settings.versions, mistakes);
        readEach(table, "models", readModelRunner, settings.models, mistakes);
        readEach(table, "applications", readApplicationRunner, settings.applications, mistakes);
    } catch (const toml::parse_error &error) {
        std::ostringstream message;
        message << file << ": " << error;
        return kernel::Error{ ResultCode::SettingsUnreadable, message.str() };
    }
    if (!mistakes.empty())
        return kernel::Error{ ResultCode::SettingsInvalid, file + ":\n" + mistakes };
    return settings;
}

} // namespace acaciasail::standins
