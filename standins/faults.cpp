// Faults by the control listener; standins/README.md lists them.

#include <nlohmann/json.hpp>

#include "world.h"

namespace acaciasail::standins {

namespace {

using Json = nlohmann::json;

// Parameters of a fault, each with a default.
class Parameters
{
public:
    explicit Parameters(const Json &json)
        : m_json(json)
    {}

    std::string text(const char *name) const
    {
        const auto found = m_json.find(name);
        return found != m_json.end() && found->is_string() ? found->get<std::string>() : "";
    }
    double number(const char *name, double fallback) const
    {
        const auto found = m_json.find(name);
        return found != m_json.end() && found->is_number() ? found->get<double>() : fallback;
    }
    int integer(const char *name, int fallback) const
    {
        return static_cast<int>(number(name, fallback));
    }
    bool flag(const char *name, bool fallback) const
    {
        const auto found = m_json.find(name);
        return found != m_json.end() && found->is_boolean() ? found->get<bool>() : fallback;
    }
    kernel::Duration milliseconds(const char *name, kernel::Duration fallback) const
    {
        return kernel::fromSeconds(
            number(name, static_cast<double>(kernel::toMilliseconds(fallback))) / 1000);
    }

private:
    const Json &m_json;
};

bool setObjectFault(ObjectApi &objects, const std::string &kind, const Parameters &parameters)
{
    ObjectFaults &faults = objects.faults();
    if (kind == "down") {
        faults.down = parameters.flag("on", true);
        if (faults.down)
            objects.breakWatches();
    } else if (kind == "silent") {
        faults.silent = parameters.flag("on", true);
    } else if (kind == "lose_replies") {
        faults.loseReplies = parameters.integer("count", 1);
    } else if (kind == "throttle") {
        faults.throttle = parameters.integer("count", 1);
    } else if (kind == "slow") {
        faults.delay = parameters.milliseconds("ms", {});
    } else if (kind == "stale_lists") {
        faults.staleLists = parameters.integer("count", 1);
        faults.staleRevision = kernel::Revision(parameters.integer("revision", 0));
    } else if (kind == "compact") {
        objects.objects().compact();
    } else if (kind == "break_watches") {
        objects.breakWatches();
    } else {
        return false;
    }
    return true;
}

bool setServicesFault(PlatformServices &services, const std::string &kind,
                      const Parameters &parameters)
{
    if (kind == "down") {
        services.down() = parameters.flag("on", true);
        return true;
    }
    if (kind == "load_interval") {
        services.loadInterval() = parameters.milliseconds("ms", {});
        return true;
    }
    if (kind == "rating") {
        externals::Rating rating;
        rating.request = kernel::RequestId(parameters.text("request"));
        rating.workspace = kernel::WorkspaceId(parameters.text("workspace"));
        rating.kind = kernel::KindId(parameters.text("kind_of_request"));
        rating.version = kernel::VersionId(parameters.text("version"));
        rating.score = parameters.number("score", 0);
        services.addRating(std::move(rating));
        return true;
    }
    return false;
}

bool setVmFault(PlatformServices &services, const std::string &kind, const Parameters &parameters)
{
    const kernel::VmId id(parameters.text("id"));
    std::vector<externals::VmEntry> vms = services.vms();
    if (kind == "remove") {
        std::erase_if(vms, [&](const auto &vm) { return vm.id == id; });
    } else if (kind == "leaving") {
        for (externals::VmEntry &vm : vms)
            vm.leaving = vm.id == id ? parameters.flag("on", true) : vm.leaving;
    } else if (kind == "add") {
        externals::VmEntry vm;
        vm.id = id;
        vm.role = parameters.text("role") == "upstream" ? externals::VmRole::Upstream
                                                        : externals::VmRole::Entry;
        vm.dataCentre = kernel::DataCentreId(parameters.text("data_centre"));
        vm.endpoint.ip = parameters.text("ip");
        vm.endpoint.port = static_cast<unsigned short>(parameters.integer("port", 0));
        std::erase_if(vms, [&](const auto &other) { return other.id == id; });
        vms.push_back(std::move(vm));
    } else {
        return false;
    }
    services.setVms(std::move(vms));
    return true;
}

bool setVersionFault(VersionSettings &version, const std::string &kind,
                     const Parameters &parameters)
{
    if (kind != "behave")
        return false;
    version.latencyFactor = parameters.number("latency_factor", version.latencyFactor);
    version.errorRate = parameters.number("error_rate", version.errorRate);
    version.quality = parameters.number("quality", version.quality);
    return true;
}

bool setRunnerFault(ModelRunner &runner, kernel::Duration crashTime, const std::string &kind,
                    const Parameters &parameters)
{
    RunnerFaults &faults = runner.faults();
    if (kind == "crash") {
        runner.crash(parameters.milliseconds("ms", crashTime));
    } else if (kind == "slow") {
        faults.slowFactor = parameters.number("factor", 1);
    } else if (kind == "errors") {
        faults.errorRate = parameters.number("rate", 0);
    } else if (kind == "cut") {
        faults.cuts = parameters.integer("count", 1);
        faults.cutAfterTokens = parameters.integer("after_tokens", 1);
    } else if (kind == "lose_order_replies") {
        faults.loseOrderReplies = parameters.integer("count", 1);
    } else {
        return false;
    }
    return true;
}

bool setApplicationFault(ApplicationRunner &runner, kernel::Duration crashTime,
                         const std::string &kind, const Parameters &parameters)
{
    ApplicationFaults &faults = runner.faults();
    if (kind == "crash") {
        runner.crash(parameters.milliseconds("ms", crashTime));
    } else if (kind == "slow") {
        faults.delay = parameters.milliseconds("ms", {});
    } else if (kind == "lose_replies") {
        faults.loseReplies = parameters.integer("count", 1);
    } else if (kind == "errors") {
        faults.errors = parameters.integer("count", 1);
    } else {
        return false;
    }
    return true;
}

} // namespace

kernel::Completion<kernel::Done> World::setFault(const std::string &json)
{
    const Json fault = Json::parse(json, nullptr, false);
    if (!fault.is_object())
        return kernel::Error{ kernel::ResultCode::InvalidField, "the fault is not a JSON object" };
    const Parameters parameters(fault);
    const std::string target = parameters.text("target");
    const std::string kind = parameters.text("kind");
    constexpr std::string_view versionTarget = "version:";
    bool known = false;
    if (target == "objects")
        known = setObjectFault(m_objects, kind, parameters);
    else if (target == "services")
        known = setServicesFault(m_services, kind, parameters);
    else if (target == "vms")
        known = setVmFault(m_services, kind, parameters);
    else if (target.starts_with(versionTarget))
        known = setVersionFault(m_context.versions[target.substr(versionTarget.size())], kind,
                                parameters);
    else if (ModelRunner *runner = findModelRunner(target))
        known = setRunnerFault(*runner, m_settings.crashTime, kind, parameters);
    else if (ApplicationRunner *application = findApplicationRunner(target))
        known = setApplicationFault(*application, m_settings.crashTime, kind, parameters);
    if (known)
        return kernel::Done{};
    return kernel::Error{ kernel::ResultCode::InvalidField, "no such target or kind of fault" };
}

} // namespace acaciasail::standins
